#include "base/code.h"

#include <algorithm>
#include <array>

namespace marigold::base {
namespace {

constexpr std::array kCodes{
  CodeInfo{ Code::Ok, "ok", 200, Outcome::Ran },
  CodeInfo{ Code::BadRequest, "bad-request", 400, Outcome::NotRun },
  CodeInfo{ Code::KeyMissing, "key-missing", 401, Outcome::NotRun },
  CodeInfo{ Code::KeyUnknown, "key-unknown", 401, Outcome::NotRun },
  CodeInfo{ Code::KeyWithdrawn, "key-withdrawn", 401, Outcome::NotRun },
  CodeInfo{ Code::RouteUnknown, "route-unknown", 404, Outcome::NotRun },
  CodeInfo{ Code::ModelUnknown, "model-unknown", 404, Outcome::NotRun },
  CodeInfo{ Code::KeyStale, "key-stale", 503, Outcome::NotRun },
  CodeInfo{ Code::IdempotencyKeyMissing,
            "idempotency-key-missing",
            400,
            Outcome::NotRun },
  CodeInfo{ Code::BodyTooLarge, "body-too-large", 413, Outcome::NotRun },
  CodeInfo{ Code::TeamNotAllowed, "team-not-allowed", 403, Outcome::NotRun },
  CodeInfo{ Code::RateExceeded, "rate-exceeded", 429, Outcome::NotRun },
  CodeInfo{ Code::CostAboveBurst, "cost-above-burst", 400, Outcome::NotRun },
  CodeInfo{ Code::Overloaded, "overloaded", 503, Outcome::NotRun },
  CodeInfo{ Code::DeadlineUnreachable,
            "deadline-unreachable",
            503,
            Outcome::NotRun },
  CodeInfo{ Code::NoUpstream, "no-upstream", 503, Outcome::NotRun },
  CodeInfo{ Code::UpstreamRefused, "upstream-refused", 502, Outcome::NotRun },
  CodeInfo{ Code::UpstreamFailed, "upstream-failed", 502, Outcome::Unknown },
  CodeInfo{ Code::UpstreamTimeout, "upstream-timeout", 504, Outcome::Unknown },
  CodeInfo{ Code::AnswerTruncated, "answer-truncated", 502, Outcome::Unknown },
  CodeInfo{ Code::AnswerCrossed, "answer-crossed", 502, Outcome::Unknown },
  CodeInfo{ Code::UpstreamError, "upstream-error", 502, Outcome::Unknown },
  CodeInfo{ Code::ClaimQuorumMissing,
            "claim-quorum-missing",
            503,
            Outcome::NotRun },
  CodeInfo{ Code::ClaimInProgress, "claim-in-progress", 409, Outcome::Unknown },
  CodeInfo{ Code::OutcomeUnknown, "outcome-unknown", 504, Outcome::Unknown },
  CodeInfo{ Code::CallerLeft, "caller-left", 503, Outcome::Unknown },
  CodeInfo{ Code::RequestPoisonous,
            "request-poisonous",
            422,
            Outcome::Unknown },
  CodeInfo{ Code::RequestBlocked, "request-blocked", 503, Outcome::NotRun },
  CodeInfo{ Code::Draining, "draining", 503, Outcome::NotRun },
  CodeInfo{ Code::NotReady, "not-ready", 503, Outcome::NotRun },
  CodeInfo{ Code::SettingsInvalid, "settings-invalid", 0, Outcome::NotRun },
  CodeInfo{ Code::ManifestInvalid, "manifest-invalid", 400, Outcome::NotRun },
  CodeInfo{ Code::FileUnreadable, "file-unreadable", 0, Outcome::NotRun },
  CodeInfo{ Code::DocumentInvalid, "document-invalid", 400, Outcome::NotRun },
  CodeInfo{ Code::PlatformUnreachable,
            "platform-unreachable",
            503,
            Outcome::NotRun },
  CodeInfo{ Code::PlatformTimeout, "platform-timeout", 504, Outcome::Unknown },
  CodeInfo{ Code::PlatformRateLimited,
            "platform-rate-limited",
            503,
            Outcome::NotRun },
  CodeInfo{ Code::RevisionConflict, "revision-conflict", 409, Outcome::NotRun },
  CodeInfo{ Code::NotFound, "not-found", 404, Outcome::NotRun },
  CodeInfo{ Code::ValueTooLarge, "value-too-large", 413, Outcome::NotRun },
  CodeInfo{ Code::WriteOutcomeUnknown,
            "write-outcome-unknown",
            504,
            Outcome::Unknown },
  CodeInfo{ Code::LeaseLost, "lease-lost", 409, Outcome::NotRun },
  CodeInfo{ Code::HistoryCompacted, "history-compacted", 0, Outcome::NotRun },
  CodeInfo{ Code::MessageForged, "message-forged", 0, Outcome::NotRun },
  CodeInfo{ Code::MessageReplayed, "message-replayed", 0, Outcome::NotRun },
  CodeInfo{ Code::MessageTooLarge, "message-too-large", 0, Outcome::NotRun },
  CodeInfo{ Code::MessageMalformed, "message-malformed", 0, Outcome::NotRun },
  CodeInfo{ Code::MessageVersionUnsupported,
            "message-version-unsupported",
            0,
            Outcome::NotRun },
  CodeInfo{ Code::MemoryWouldOvercommit,
            "memory-would-overcommit",
            0,
            Outcome::NotRun },
  CodeInfo{ Code::NotOwner, "not-owner", 0, Outcome::NotRun },
  CodeInfo{ Code::OrderRefused, "order-refused", 0, Outcome::NotRun },
  CodeInfo{ Code::Internal, "internal", 500, Outcome::Unknown },
};

} // namespace

const CodeInfo&
codeInfo(Code aCode)
{
  const auto* row =
    std::find_if(kCodes.begin(), kCodes.end(), [aCode](const CodeInfo& aRow) {
      return aRow.code == aCode;
    });
  return row != kCodes.end() ? *row : kCodes.back();
}

std::string_view
outcomeName(Outcome aOutcome)
{
  static constexpr std::array<std::string_view, 3> kNames{ "ran",
                                                           "not-run",
                                                           "unknown" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

} // namespace marigold::base
