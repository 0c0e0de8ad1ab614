/** @file Measures of a run, from the callers' results and the upstreams'
 * records.
 */
#pragma once

#include "apps/load/plan.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigold::load {

/** Result of one planned request as its caller saw it. Times are since the
 * start of the run. */
struct RequestResult
{
  base::Duration sent = base::Duration::zero();
  std::optional<base::Duration> firstEvent;
  std::optional<base::Duration> ended;
  base::Duration longestGap = base::Duration::zero(); ///< between events
  int status = 0; ///< HTTP status; 0: no answer
  int tokens = 0;
  double cost = 0;       ///< tokens that the system charges
  std::string outcome;   ///< Marigold-Outcome
  std::string code;      ///< result code of a refusal or error event
  std::string requestId; ///< X-Request-Id
  bool complete = false; ///< the connection was not lost
  bool whole = false;    ///< see AnswerCheck
  bool foreign = false;  ///< see AnswerCheck
  bool silentlyTruncated = false;
};

/** Records that the upstreams kept of a run. */
struct UpstreamRecords
{
  nlohmann::json engineRuns = nlohmann::json::array();
  nlohmann::json serviceRuns = nlohmann::json::array();
  std::int64_t loads = 0; ///< models loaded during the run
  int overcommits = 0;
  int unreachable = 0; ///< record queries that failed
};

/** Scenario, plan and results of a run. */
struct Run
{
  const Scenario& scenario;
  const std::vector<PlannedRequest>& plan;
  const std::vector<RequestResult>& results; ///< one for each planned request
};

/**
 * Replays the requests of a team in sending order through one exact fleet-wide
 * token bucket, the reference for wrongful refusals.
 * @param aRun run
 * @param aTeam position of the team
 * @return for each planned request whether it would have been admitted; false
 * for requests of other teams
 */
std::vector<bool>
admittedByExactBucket(const Run& aRun, std::size_t aTeam);

/** @param aRun run @param aIndex request
 * @return true if its answer is whole and met its deadlines */
bool
inTime(const Run& aRun, std::size_t aIndex);

/** @param aRun run @param aRecords records of the upstreams
 * @return one JSON object for each measure */
std::vector<nlohmann::json>
measure(const Run& aRun, const UpstreamRecords& aRecords);

/** @param aRun run @param aIndex request
 * @return JSON object for the request, one line of the --records file */
nlohmann::json
recordLine(const Run& aRun, std::size_t aIndex);

/** Violations of safety guarantees; each count must be zero. */
struct SafetyCounts
{
  int doubleRuns = 0;     ///< further runs of one idempotency key
  int falseNotRun = 0;    ///< reported as "not-run", but run
  int foreignAnswers = 0; ///< answers to another request
  int cutAnswers = 0;     ///< truncated without an error
  int keysSeen = 0;       ///< API keys in upstream records
};

/** @param aRun run @param aRecords records of the upstreams @return counts */
SafetyCounts
countSafety(const Run& aRun, const UpstreamRecords& aRecords);

} // namespace marigold::load
