#include "peers/summary_builder.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Period of summaries with all totals, for peers that missed a change. */
constexpr base::Duration kFullPeriod = 4s;

} // namespace

void
SummaryBuilder::add(const Status& aStatus,
                    bool aFull,
                    base::Duration aRepeatTime,
                    base::TimePoint aNow,
                    Summary& aSummary)
{
  MemberUsage& member = aSummary.members[aStatus.vm];
  member.incarnation = aStatus.incarnation;
  member.sequence = aStatus.sequence;
  member.draining = aStatus.draining;
  for (const auto& [team, units] : aStatus.usage) {
    Total& total = mTotals[{ aStatus.vm, team }];
    if (total.units != units) {
      total = { units, aNow };
    }
    if (aFull || aNow - total.changedAt < aRepeatTime) {
      member.usage[team] = units;
    }
  }
  for (const auto& [name, load] : aStatus.loads) {
    aSummary.loads[name] += load;
  }
  for (const auto& [name, demand] : aStatus.demand) {
    aSummary.demand[name] += demand;
  }
  aSummary.drainingUpstreams.insert(aStatus.drainingUpstreams.begin(),
                                    aStatus.drainingUpstreams.end());
  for (const base::VmName& vm : aStatus.unregistered) {
    auto& unregistered = aSummary.unregistered;
    if (std::find(unregistered.begin(), unregistered.end(), vm) ==
        unregistered.end()) {
      unregistered.push_back(vm);
    }
  }
}

Summary
SummaryBuilder::build(const Status& aOwn,
                      const PeerTable& aTable,
                      base::Duration aMaxAge,
                      base::Duration aRepeatTime,
                      base::TimePoint aNow)
{
  const bool full = mCompleteRequested || aNow - mLastFullAt > kFullPeriod;
  mCompleteRequested = false;
  if (full) {
    mLastFullAt = aNow;
  }
  Summary summary;
  summary.dataCentre = aOwn.dataCentre;
  summary.relay = aOwn.vm;
  summary.incarnation = aOwn.incarnation;
  summary.sequence = ++mSequence;
  summary.catalogVersion = aOwn.catalogVersion;
  summary.levels = aOwn.levels;
  summary.crashes = aOwn.crashes;
  summary.gossip = aOwn.gossip;
  summary.complete = full;
  add(aOwn, full, aRepeatTime, aNow, summary);
  for (const auto& [vm, entry] : aTable.statuses()) {
    const bool ownDataCentre = entry.status.dataCentre == aOwn.dataCentre;
    if (ownDataCentre && aNow - entry.receivedAt < aMaxAge) {
      add(entry.status, full, aRepeatTime, aNow, summary);
    }
  }
  if (full) {
    std::erase_if(mTotals, [&summary](const auto& aItem) {
      return !summary.members.contains(aItem.first.first);
    });
  }
  return summary;
}

} // namespace marigold::peers
