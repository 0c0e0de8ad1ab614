/** @file The part of the owner that learns from reports. */
#include "placement/owner.h"

#include <algorithm>

namespace marigold::placement {
namespace {

using namespace std::chrono_literals;

/** A new owner waits that long for engines that do not answer. */
constexpr base::Duration kReportWait = 10s;

} // namespace

void
Owner::onReport(const base::UpstreamName& aEngine, const Report& aReport)
{
  const auto found = mEngines.find(aEngine);
  if (found == mEngines.end()) {
    return;
  }
  EngineState& state = found->second;
  const auto age = [](const Report& aOf) {
    return std::make_pair(aOf.incarnation, aOf.sequence);
  };
  if (state.reported && age(aReport) <= age(state.report)) {
    return;
  }
  if (!state.reported || aReport.incarnation != state.report.incarnation) {
    // What an earlier run of the engine showed says nothing of this one.
    state.provenAt.reset();
    state.markedAt = {};
    for (Record& record : mRecords) {
      const bool ours = record.order.engine == aEngine;
      record.open = record.open && !(ours && state.reported && record.sent);
    }
  }
  state.reported = true;
  state.report = aReport;
  for (Record& record : mRecords) {
    if (record.order.engine != aEngine || !record.sent ||
        !provesNewer(state.engine, aReport, record)) {
      continue;
    }
    if (record.created) {
      state.provenAt =
        std::max(state.provenAt.value_or(*record.created), *record.created);
    }
    const auto listed = aReport.orders.find(record.order.id);
    if (listed == aReport.orders.end()
          ? record.order.op == Op::Fence || aReport.fence > record.order.fence
          : listed->second != Progress::Pending) {
      record.open = false;
      record.settled = true;
    }
  }
}

/** Orders that no report shows are given up, so that they are given again. They
 * stay in the account. */
void
Owner::noteLost(base::TimePoint aNow)
{
  for (Record& record : mRecords) {
    if (!record.open || !record.sent ||
        aNow - record.lastSend < mSettings.retryAfter) {
      continue;
    }
    const auto state = mEngines.find(record.order.engine);
    const bool pending = state != mEngines.end() && state->second.reported &&
                         state->second.report.orders.contains(record.order.id);
    record.open = pending;
  }
}

bool
Owner::retirable(const Record& aRecord, base::TimePoint aNow) const
{
  if (!aRecord.sent) {
    return false;
  }
  const base::TimePoint harmless =
    aRecord.lastSend + mSettings.longestOrderDelay + mSettings.longestPause;
  const auto state = mEngines.find(aRecord.order.engine);
  if (state == mEngines.end()) {
    return aNow >= harmless;
  }
  if (aRecord.order.op != Op::Load) {
    return !aRecord.open;
  }
  return state->second.provenAt && *state->second.provenAt >= harmless;
}

int
Owner::accountMb(const base::UpstreamName& aEngine) const
{
  const EngineState& state = mEngines.at(aEngine);
  return state.provenAt
           ? mSettings.account(state.engine, state.report, mRecords)
           : state.engine.memoryMb;
}

std::set<Place>
Owner::draining() const
{
  std::set<Place> places;
  for (const auto& [place, since] : mDraining) {
    places.insert(place);
  }
  return places;
}

/** A plan on a part of the engines would move models for no reason. */
bool
Owner::complete(base::TimePoint aNow) const
{
  return aNow - mTakenOver >= kReportWait ||
         std::all_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
           return aEntry.second.provenAt.has_value();
         });
}

bool
Owner::settled() const
{
  return std::none_of(
    mRecords.begin(), mRecords.end(), [](const Record& aRecord) {
      return aRecord.sent && aRecord.open;
    });
}

} // namespace marigold::placement
