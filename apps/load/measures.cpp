#include "apps/load/measures.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace marigold::load {
namespace {

using nlohmann::json;

constexpr double kSecondsPerHour = 3600;
constexpr double kPerThousand = 1000;

const RequestClass&
requestClassOf(const Run& aRun, std::size_t aIndex)
{
  const PlannedRequest& planned = aRun.plan[aIndex];
  return aRun.scenario.teams[planned.team].mix[planned.requestClass];
}

json
milliseconds(const std::optional<base::Duration>& aTime)
{
  return aTime ? json(base::inSeconds(*aTime) * kPerThousand) : json();
}

double
ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 1;
}

double
percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aFraction)];
}

json
attainment(const Run& aRun, const UpstreamRecords& aRecords)
{
  std::size_t onTime = 0;
  for (std::size_t index = 0; index < aRun.results.size(); ++index) {
    onTime += inTime(aRun, index) ? 1 : 0;
  }
  const double hours =
    base::inSeconds(aRun.scenario.duration) / kSecondsPerHour;
  return { { "measure", "attainment" },
           { "sent", aRun.results.size() },
           { "in_time", onTime },
           { "share",
             ratio(static_cast<double>(onTime),
                   static_cast<double>(aRun.results.size())) },
           { "accelerators", aRun.scenario.accelerators },
           { "per_accelerator",
             static_cast<double>(onTime) / aRun.scenario.accelerators },
           { "models_moved_per_hour",
             static_cast<double>(aRecords.loads) / hours } };
}

/** Latency percentiles, and how late the generator sent its requests. */
json
latency(const Run& aRun)
{
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> lateness;
  for (std::size_t index = 0; index < aRun.results.size(); ++index) {
    const RequestResult& result = aRun.results[index];
    lateness.push_back(base::inSeconds(result.sent - aRun.plan[index].at) *
                       kPerThousand);
    if (result.firstEvent) {
      first.push_back(base::inSeconds(*result.firstEvent - result.sent) *
                      kPerThousand);
      gaps.push_back(base::inSeconds(result.longestGap) * kPerThousand);
    }
  }
  constexpr double kMedianFraction = 0.5;
  constexpr double kTailFraction = 0.95;
  return { { "measure", "latency" },
           { "streams", first.size() },
           { "first_event_ms_p50", percentile(first, kMedianFraction) },
           { "first_event_ms_p95", percentile(first, kTailFraction) },
           { "longest_gap_ms_p95", percentile(gaps, kTailFraction) },
           { "generator_late_ms_max", percentile(lateness, 1) } };
}

struct TeamCount
{
  std::size_t inRate = 0;
  std::size_t inTime = 0;  ///< of those within the rate
  std::size_t refused = 0; ///< all "rate-exceeded" refusals
  std::size_t wrongful = 0;
};

TeamCount
countTeam(const Run& aRun, std::size_t aTeam)
{
  TeamCount count;
  const std::vector<bool> admitted = admittedByExactBucket(aRun, aTeam);
  for (std::size_t index = 0; index < aRun.results.size(); ++index) {
    if (aRun.plan[index].team != aTeam) {
      continue;
    }
    const bool refused = aRun.results[index].code == "rate-exceeded";
    count.refused += refused ? 1 : 0;
    if (admitted[index]) {
      ++count.inRate;
      count.wrongful += refused ? 1 : 0;
      count.inTime += inTime(aRun, index) ? 1 : 0;
    }
  }
  return count;
}

json
teamJson(const Run& aRun, std::size_t aTeam, const TeamCount& aCount)
{
  const auto inRate = static_cast<double>(aCount.inRate);
  return { { "measure", "team" },
           { "team", aRun.scenario.teams[aTeam].name },
           { "in_rate", aCount.inRate },
           { "in_time", aCount.inTime },
           { "share", ratio(static_cast<double>(aCount.inTime), inRate) },
           { "refused", aCount.refused },
           { "wrongful_per_thousand",
             aCount.inRate == 0 ? 0
                                : static_cast<double>(aCount.wrongful) *
                                    kPerThousand / inRate } };
}

void
addTeams(const Run& aRun, std::vector<json>& aMeasures)
{
  json worst;
  double wrongful = 0;
  double inRate = 0;
  for (std::size_t team = 0; team < aRun.scenario.teams.size(); ++team) {
    const TeamCount count = countTeam(aRun, team);
    const json line = teamJson(aRun, team, count);
    aMeasures.push_back(line);
    if (count.inRate > 0 &&
        (worst.is_null() || line["share"] < worst["share"])) {
      worst = line;
    }
    wrongful += static_cast<double>(count.wrongful);
    inRate += static_cast<double>(count.inRate);
  }
  if (!worst.is_null()) {
    worst["measure"] = "worst_team";
    aMeasures.push_back(worst);
  }
  aMeasures.push_back(
    { { "measure", "wrongful_refusals" },
      { "in_rate", inRate },
      { "wrongful", wrongful },
      { "per_thousand", inRate > 0 ? wrongful * kPerThousand / inRate : 0 } });
}

json
outcomes(const Run& aRun)
{
  std::map<std::string, int> codes;
  for (const RequestResult& result : aRun.results) {
    std::string name = result.code;
    if (name.empty()) {
      name =
        result.whole ? "ok" : (result.status == 0 ? "no-answer" : "not-whole");
    }
    ++codes[name];
  }
  return { { "measure", "outcomes" }, { "codes", codes } };
}

} // namespace

std::vector<bool>
admittedByExactBucket(const Run& aRun, std::size_t aTeam)
{
  const TeamLoad& team = aRun.scenario.teams[aTeam];
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < aRun.results.size(); ++index) {
    if (aRun.plan[index].team == aTeam) {
      order.push_back(index);
    }
  }
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aRun.results[aLeft].sent < aRun.results[aRight].sent;
    });
  std::vector<bool> admitted(aRun.results.size(), false);
  double tokens = team.burst;
  base::Duration filledAt = base::Duration::zero();
  for (const std::size_t index : order) {
    const RequestResult& result = aRun.results[index];
    tokens = std::min(
      team.burst, tokens + team.rate * base::inSeconds(result.sent - filledAt));
    filledAt = result.sent;
    if (result.cost <= tokens) {
      tokens -= result.cost;
      admitted[index] = true;
    }
  }
  return admitted;
}

bool
inTime(const Run& aRun, std::size_t aIndex)
{
  const RequestResult& result = aRun.results[aIndex];
  const RequestClass& requestClass = requestClassOf(aRun, aIndex);
  if (!result.whole || !result.ended ||
      *result.ended - result.sent > requestClass.deadline) {
    return false;
  }
  return requestClass.kind != RequestKind::Stream ||
         (result.firstEvent &&
          *result.firstEvent - result.sent <= requestClass.firstEvent);
}

std::vector<json>
measure(const Run& aRun, const UpstreamRecords& aRecords)
{
  std::vector<json> measures{ attainment(aRun, aRecords), latency(aRun) };
  addTeams(aRun, measures);
  measures.push_back(outcomes(aRun));
  const SafetyCounts counts = countSafety(aRun, aRecords);
  measures.push_back({ { "measure", "safety" },
                       { "double_runs", counts.doubleRuns },
                       { "false_not_run", counts.falseNotRun },
                       { "foreign_answers", counts.foreignAnswers },
                       { "cut_answers", counts.cutAnswers },
                       { "keys_seen", counts.keysSeen },
                       { "overcommits", aRecords.overcommits },
                       { "upstreams_not_asked", aRecords.unreachable } });
  return measures;
}

json
recordLine(const Run& aRun, std::size_t aIndex)
{
  const PlannedRequest& planned = aRun.plan[aIndex];
  const RequestResult& result = aRun.results[aIndex];
  return { { "reference", planned.reference },
           { "team", aRun.scenario.teams[planned.team].name },
           { "work", planned.requestClass },
           { "entry", aRun.scenario.entries[planned.entry].text() },
           { "planned_ms", milliseconds(planned.at) },
           { "sent_ms", milliseconds(result.sent) },
           { "first_event_ms", milliseconds(result.firstEvent) },
           { "ended_ms", milliseconds(result.ended) },
           { "longest_gap_ms", milliseconds(result.longestGap) },
           { "tokens", result.tokens },
           { "status", result.status },
           { "outcome", result.outcome },
           { "code", result.code },
           { "request_id", result.requestId },
           { "whole", result.whole },
           { "in_time", inTime(aRun, aIndex) } };
}

} // namespace marigold::load
