#include "apps/load/measures.h"

#include <algorithm>
#include <map>

namespace marigold::load {
namespace {

using nlohmann::json;

constexpr double kSecondsPerHour = 3600;
constexpr double kPerThousand = 1000;

const Work&
workOf(const Run& aRun, std::size_t aIndex)
{
  const Planned& planned = aRun.plan[aIndex];
  return aRun.scenario.teams[planned.team].mix[planned.work];
}

json
milliseconds(const std::optional<base::Duration>& aTime)
{
  return aTime ? json(base::inSeconds(*aTime) * kPerThousand) : json();
}

double
share(double aPart, double aWhole)
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
  std::size_t good = 0;
  for (std::size_t index = 0; index < aRun.seen.size(); ++index) {
    good += inTime(aRun, index) ? 1 : 0;
  }
  const double hours =
    base::inSeconds(aRun.scenario.duration) / kSecondsPerHour;
  return {
    { "measure", "attainment" },
    { "sent", aRun.seen.size() },
    { "in_time", good },
    { "share",
      share(static_cast<double>(good), static_cast<double>(aRun.seen.size())) },
    { "accelerators", aRun.scenario.accelerators },
    { "per_accelerator",
      static_cast<double>(good) / aRun.scenario.accelerators },
    { "models_moved_per_hour", static_cast<double>(aRecords.loads) / hours }
  };
}

/** Latencies and lateness of the generator itself. */
json
latency(const Run& aRun)
{
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> lateness;
  for (std::size_t index = 0; index < aRun.seen.size(); ++index) {
    const Seen& seen = aRun.seen[index];
    lateness.push_back(base::inSeconds(seen.sent - aRun.plan[index].at) *
                       kPerThousand);
    if (seen.firstEvent) {
      first.push_back(base::inSeconds(*seen.firstEvent - seen.sent) *
                      kPerThousand);
      gaps.push_back(base::inSeconds(seen.longestGap) * kPerThousand);
    }
  }
  constexpr double kMedian = 0.5;
  constexpr double kMost = 0.95;
  return { { "measure", "latency" },
           { "streams", first.size() },
           { "first_event_ms_p50", percentile(first, kMedian) },
           { "first_event_ms_p95", percentile(first, kMost) },
           { "longest_gap_ms_p95", percentile(gaps, kMost) },
           { "generator_late_ms_max", percentile(lateness, 1) } };
}

struct TeamCount
{
  std::size_t inRate = 0;
  std::size_t inTime = 0;  ///< of those in rate
  std::size_t refused = 0; ///< all refusals for the rate
  std::size_t wrongful = 0;
};

TeamCount
countTeam(const Run& aRun, std::size_t aTeam)
{
  TeamCount count;
  const std::vector<bool> admitted = admittedByExactBucket(aRun, aTeam);
  for (std::size_t index = 0; index < aRun.seen.size(); ++index) {
    if (aRun.plan[index].team != aTeam) {
      continue;
    }
    const bool refused = aRun.seen[index].code == "rate-exceeded";
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
           { "share", share(static_cast<double>(aCount.inTime), inRate) },
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
  for (const Seen& seen : aRun.seen) {
    std::string name = seen.code;
    if (name.empty()) {
      name = seen.whole ? "ok" : (seen.status == 0 ? "no-answer" : "not-whole");
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
  for (std::size_t index = 0; index < aRun.seen.size(); ++index) {
    if (aRun.plan[index].team == aTeam) {
      order.push_back(index);
    }
  }
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aRun.seen[aLeft].sent < aRun.seen[aRight].sent;
    });
  std::vector<bool> admitted(aRun.seen.size(), false);
  double tokens = team.burst;
  base::Duration filledAt = base::Duration::zero();
  for (const std::size_t index : order) {
    const Seen& seen = aRun.seen[index];
    tokens = std::min(
      team.burst, tokens + team.rate * base::inSeconds(seen.sent - filledAt));
    filledAt = seen.sent;
    if (seen.cost <= tokens) {
      tokens -= seen.cost;
      admitted[index] = true;
    }
  }
  return admitted;
}

bool
inTime(const Run& aRun, std::size_t aIndex)
{
  const Seen& seen = aRun.seen[aIndex];
  const Work& work = workOf(aRun, aIndex);
  if (!seen.whole || !seen.ended || *seen.ended - seen.sent > work.deadline) {
    return false;
  }
  return work.kind != Kind::Stream ||
         (seen.firstEvent && *seen.firstEvent - seen.sent <= work.firstEvent);
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
  const Planned& planned = aRun.plan[aIndex];
  const Seen& seen = aRun.seen[aIndex];
  return { { "reference", planned.reference },
           { "team", aRun.scenario.teams[planned.team].name },
           { "work", planned.work },
           { "entry", aRun.scenario.entries[planned.entry].text() },
           { "planned_ms", milliseconds(planned.at) },
           { "sent_ms", milliseconds(seen.sent) },
           { "first_event_ms", milliseconds(seen.firstEvent) },
           { "ended_ms", milliseconds(seen.ended) },
           { "longest_gap_ms", milliseconds(seen.longestGap) },
           { "tokens", seen.tokens },
           { "status", seen.status },
           { "outcome", seen.outcome },
           { "code", seen.code },
           { "request_id", seen.requestId },
           { "whole", seen.whole },
           { "in_time", inTime(aRun, aIndex) } };
}

} // namespace marigold::load
