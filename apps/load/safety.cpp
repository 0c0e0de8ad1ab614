#include "apps/load/measures.h"

#include <map>
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
  int doubles = 0;
  for (const json& run : aServiceRuns) {
    const std::string key = headerOf(run, "Idempotency-Key");
    if (!key.empty() && ++runs[key] > 1) {
      ++doubles;
    }
  }
  return doubles;
}

/** Requests whose caller was told "not run" although an upstream ran them. */
int
countFalseNotRun(const Run& aRun, const UpstreamRecords& aRecords)
{
  std::set<std::string> ranIds;
  std::set<std::string> ranKeys;
  for (const json* runs : { &aRecords.engineRuns, &aRecords.serviceRuns }) {
    for (const json& run : *runs) {
      ranIds.insert(headerOf(run, "X-Request-Id"));
      ranKeys.insert(headerOf(run, "Idempotency-Key"));
    }
  }
  std::map<std::string, bool> onlyNotRun;
  int wrong = 0;
  for (std::size_t index = 0; index < aRun.seen.size(); ++index) {
    const Seen& seen = aRun.seen[index];
    const bool notRun = seen.outcome == kNotRun;
    if (notRun && !seen.requestId.empty() && ranIds.contains(seen.requestId)) {
      ++wrong;
    }
    const std::string& key = aRun.plan[index].idempotencyKey;
    if (!key.empty()) {
      const auto [known, fresh] = onlyNotRun.emplace(key, notRun);
      known->second = known->second && notRun;
    }
  }
  // A booking of which every attempt was "not run" must not have been run by
  // an attempt with an id that no caller was told.
  for (const auto& [key, notRun] : onlyNotRun) {
    wrong += notRun && ranKeys.contains(key) ? 1 : 0;
  }
  return wrong;
}

int
countKeysSeen(const Run& aRun, const UpstreamRecords& aRecords)
{
  int seen = 0;
  for (const json* runs : { &aRecords.engineRuns, &aRecords.serviceRuns }) {
    for (const json& run : *runs) {
      const std::string text = run.dump();
      for (const TeamLoad& team : aRun.scenario.teams) {
        seen += text.find(team.key) != std::string::npos ? 1 : 0;
      }
    }
  }
  return seen;
}

} // namespace

SafetyCounts
countSafety(const Run& aRun, const UpstreamRecords& aRecords)
{
  SafetyCounts counts;
  counts.doubleRuns = countDoubleRuns(aRecords.serviceRuns);
  counts.falseNotRun = countFalseNotRun(aRun, aRecords);
  counts.keysSeen = countKeysSeen(aRun, aRecords);
  for (const Seen& seen : aRun.seen) {
    counts.foreignAnswers += seen.foreign ? 1 : 0;
    counts.cutAnswers += seen.cutSilently ? 1 : 0;
  }
  return counts;
}

} // namespace marigold::load
