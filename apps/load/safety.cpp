#include "apps/load/measures.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace marigold::load {
namespace {

using nlohmann::json;

constexpr std::string_view kNotRun = "not-run";

std::string
headerOf(const json& aRun, std::string_view aName)
{
  if (!aRun.contains("headers")) {
    return "";
  }
  for (const auto& [name, value] : aRun["headers"].items()) {
    if (http::equalIgnoringCase(name, aName) && value.is_string()) {
      return value;
    }
  }
  return "";
}

int
countDoubleRuns(const json& aServiceRuns)
{
  std::map<std::string, int> runs;
  int doubleRuns = 0;
  for (const json& run : aServiceRuns) {
    const std::string key = headerOf(run, "Idempotency-Key");
    if (!key.empty() && ++runs[key] > 1) {
      ++doubleRuns;
    }
  }
  return doubleRuns;
}

/** Counts requests reported as "not-run" that an upstream did run. */
int
countFalseNotRun(const Run& aRun, const UpstreamRecords& aRecords)
{
  std::set<std::string> executedIds;
  std::set<std::string> executedKeys;
  for (const json* runs : { &aRecords.engineRuns, &aRecords.serviceRuns }) {
    for (const json& run : *runs) {
      executedIds.insert(headerOf(run, "X-Request-Id"));
      executedKeys.insert(headerOf(run, "Idempotency-Key"));
    }
  }
  std::map<std::string, bool> onlyNotRun;
  int violations = 0;
  for (std::size_t index = 0; index < aRun.results.size(); ++index) {
    const RequestResult& result = aRun.results[index];
    const bool notRun = result.outcome == kNotRun;
    if (notRun && !result.requestId.empty() &&
        executedIds.contains(result.requestId)) {
      ++violations;
    }
    const std::string& key = aRun.plan[index].idempotencyKey;
    if (!key.empty()) {
      const auto [entry, inserted] = onlyNotRun.emplace(key, notRun);
      entry->second = entry->second && notRun;
    }
  }
  // If every attempt of a booking was reported as "not-run", no upstream may
  // have run its idempotency key, not even under a request id that was never
  // returned to the caller.
  for (const auto& [key, notRun] : onlyNotRun) {
    violations += notRun && executedKeys.contains(key) ? 1 : 0;
  }
  return violations;
}

int
countLeakedKeys(const Run& aRun, const UpstreamRecords& aRecords)
{
  int leaks = 0;
  for (const json* runs : { &aRecords.engineRuns, &aRecords.serviceRuns }) {
    for (const json& run : *runs) {
      const std::string text = run.dump();
      for (const TeamLoad& team : aRun.scenario.teams) {
        leaks += text.find(team.key) != std::string::npos ? 1 : 0;
      }
    }
  }
  return leaks;
}

} // namespace

SafetyCounts
countSafety(const Run& aRun, const UpstreamRecords& aRecords)
{
  SafetyCounts counts;
  counts.doubleRuns = countDoubleRuns(aRecords.serviceRuns);
  counts.falseNotRun = countFalseNotRun(aRun, aRecords);
  counts.keysSeen = countLeakedKeys(aRun, aRecords);
  for (const RequestResult& result : aRun.results) {
    counts.foreignAnswers += result.foreign ? 1 : 0;
    counts.cutAnswers += result.silentlyTruncated ? 1 : 0;
  }
  return counts;
}

} // namespace marigold::load
