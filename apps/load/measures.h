/** @file The measures of a run, from the caller's side and upstreams' records.
 */
#pragma once

#include "apps/load/plan.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigold::load {

/** What the caller saw of one planned request. Times are since the start. */
struct Seen
{
  base::Duration sent = base::Duration::zero();
  std::optional<base::Duration> firstEvent;
  std::optional<base::Duration> ended;
  base::Duration longestGap = base::Duration::zero(); ///< between events
  int status = 0;                                     ///< 0: no answer
  int tokens = 0;
  double cost = 0;       ///< tokens that the system charges
  std::string outcome;   ///< Marigold-Outcome
  std::string code;      ///< result code of a refusal or error event
  std::string requestId; ///< X-Request-Id
  bool complete = false; ///< the connection did not break off
  bool whole = false;
  bool foreign = false;
  bool cutSilently = false;
};

/** What the upstreams know at the end of a run. */
struct UpstreamRecords
{
  nlohmann::json engineRuns = nlohmann::json::array();
  nlohmann::json serviceRuns = nlohmann::json::array();
  std::int64_t loads = 0; ///< models loaded during the run
  int overcommits = 0;
  int unreachable = 0; ///< upstreams that could not be asked
};

/** A whole run. */
struct Run
{
  const Scenario& scenario;
  const std::vector<Planned>& plan;
  const std::vector<Seen>& seen; ///< one for each planned request
};

/**
 * One exact fleet-wide token bucket of a team over the order of sending.
 * @param aRun run
 * @param aTeam position of the team
 * @return for each planned request whether it would have been admitted; false
 * for requests of other teams
 */
std::vector<bool>
admittedByExactBucket(const Run& aRun, std::size_t aTeam);

/** @param aRun run @param aIndex request
 * @return true if it was answered completely and in time */
bool
inTime(const Run& aRun, std::size_t aIndex);

/** @param aRun run @param aRecords records of the upstreams
 * @return one JSON object for each measure */
std::vector<nlohmann::json>
measure(const Run& aRun, const UpstreamRecords& aRecords);

/** @param aRun run @param aIndex request
 * @return one line of the record of requests */
nlohmann::json
recordLine(const Run& aRun, std::size_t aIndex);

/** Safety counts; each of them must be zero. */
struct SafetyCounts
{
  int doubleRuns = 0;
  int falseNotRun = 0;
  int foreignAnswers = 0;
  int cutAnswers = 0;
  int keysSeen = 0;
};

/** @param aRun run @param aRecords records of the upstreams @return counts */
SafetyCounts
countSafety(const Run& aRun, const UpstreamRecords& aRecords);

} // namespace marigold::load
