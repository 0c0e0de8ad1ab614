#include "apps/gateway/plan_statistics.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kLogPeriod = 1s;

} // namespace

PlanStatistics::PlanStatistics(observe::Metrics& aMetrics)
  : mPlanDurations(
      aMetrics.durationHistogram("marigold_plan_seconds",
                                 "Time of one plan of the owner of orders"))
{
}

void
PlanStatistics::recordPlan(const residency::PlanInput& aSituation,
                           std::size_t aOrderCount,
                           base::Duration aDuration,
                           base::TimePoint aNow)
{
  mPlanDurations.Observe(base::inSeconds(aDuration));
  ++mPlans;
  mOrderCount += aOrderCount;
  mTotalDuration += aDuration;
  if (aNow - mLoggedAt < kLogPeriod) {
    return;
  }
  mLoggedAt = aNow;
  const auto orderable = std::count_if(
    aSituation.engines.begin(),
    aSituation.engines.end(),
    [](const residency::Engine& aEngine) { return aEngine.orderable; });
  const auto awaited =
    std::count_if(aSituation.demand.begin(),
                  aSituation.demand.end(),
                  [](const auto& aItem) { return aItem.second.waiting > 0; });
  observe::logInfo(
    "plans",
    { { "count", std::to_string(mPlans) },
      { "taken_ms", std::to_string(base::inMilliseconds(mTotalDuration)) },
      { "steps", std::to_string(mOrderCount) },
      { "engines", std::to_string(aSituation.engines.size()) },
      { "orderable", std::to_string(orderable) },
      { "demanded", std::to_string(aSituation.demand.size()) },
      { "awaited", std::to_string(awaited) },
      { "store_loads_left", std::to_string(aSituation.availableStoreLoads) } });
  mPlans = 0;
  mOrderCount = 0;
  mTotalDuration = {};
}

} // namespace marigold::gateway
