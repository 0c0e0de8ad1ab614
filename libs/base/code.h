/** @file Numbered result codes; docs/result-codes.md explains each of them. */
#pragma once

#include <cstdint>
#include <string_view>

namespace marigold::base {

/** Whether an upstream executed the request, as far as it is known. */
enum class Outcome : std::uint8_t
{
  Ran,     ///< executed; this is its answer
  NotRun,  ///< provably not executed by this attempt
  Unknown, ///< may or may not have been executed
};

enum class Code : std::uint16_t
{
  Ok = 0,
  BadRequest = 100,
  KeyMissing = 101,
  KeyUnknown = 102,
  KeyWithdrawn = 103,
  RouteUnknown = 104,
  ModelUnknown = 105,
  KeyStale = 106,
  IdempotencyKeyMissing = 107,
  BodyTooLarge = 108,
  TeamNotAllowed = 109,
  RateExceeded = 120,
  CostAboveBurst = 121,
  Overloaded = 122,
  DeadlineUnreachable = 123,
  NoUpstream = 130,
  UpstreamRefused = 131,
  UpstreamFailed = 132,
  UpstreamTimeout = 133,
  AnswerTruncated = 134,
  AnswerCrossed = 135,
  UpstreamError = 136,
  ClaimQuorumMissing = 140,
  ClaimInProgress = 141,
  OutcomeUnknown = 142,
  CallerLeft = 143,
  RequestPoisonous = 150,
  RequestBlocked = 151,
  Draining = 160,
  NotReady = 161,
  SettingsInvalid = 200,
  ManifestInvalid = 201,
  FileUnreadable = 202,
  DocumentInvalid = 203,
  PlatformUnreachable = 300,
  PlatformTimeout = 301,
  PlatformRateLimited = 302,
  RevisionConflict = 303,
  NotFound = 304,
  ValueTooLarge = 305,
  WriteOutcomeUnknown = 306,
  LeaseLost = 307,
  HistoryCompacted = 308,
  MessageForged = 400,
  MessageReplayed = 401,
  MessageTooLarge = 402,
  MessageMalformed = 403,
  MessageVersionUnsupported = 404,
  MemoryWouldOvercommit = 500,
  NotOwner = 501,
  OrderRefused = 502,
  Internal = 900,
};

/** Name, HTTP status and outcome of a result code. */
struct CodeInfo
{
  Code code;
  std::string_view name; ///< stable name in logs and answers
  int httpStatus;        ///< HTTP status for callers; 0 if never sent to one
  Outcome outcome;       ///< whether the request was executed
};

/**
 * @param aCode any code
 * @return its name, HTTP status and outcome
 */
const CodeInfo&
codeInfo(Code aCode);

/**
 * @param aOutcome any outcome
 * @return its name in the Marigold-Outcome header: ran, not-run or unknown
 */
std::string_view
outcomeName(Outcome aOutcome);

} // namespace marigold::base
