#include "apps/gateway/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace marigold::gateway {
namespace {

/** Time constant that follows a demand which changes within seconds. */
constexpr double kFastSeconds = 3;
/** Time constant that bridges the gaps between requests for a rare model. */
constexpr double kSlowSeconds = 12;
/** Models with less work than this are removed. */
constexpr double kMinWorkMs = 0.5;

} // namespace

void
DemandMeter::decay(base::TimePoint aNow)
{
  if (mDecayedAt != base::TimePoint{}) {
    const double passed = base::inSeconds(aNow - mDecayedAt);
    const double fast = std::exp(-passed / kFastSeconds);
    const double slow = std::exp(-passed / kSlowSeconds);
    for (auto& [ref, work] : mAverages) {
      work.fast *= fast;
      work.slow *= slow;
    }
    std::erase_if(mAverages, [](const auto& aItem) {
      return aItem.second.slow < kMinWorkMs;
    });
  }
  mDecayedAt = aNow;
}

void
DemandMeter::add(const catalog::ModelRef& aRef,
                 double aWorkMs,
                 base::TimePoint aNow)
{
  decay(aNow);
  mAverages[aRef].fast += aWorkMs;
  mAverages[aRef].slow += aWorkMs;
}

std::map<catalog::ModelRef, double>
DemandMeter::rates(base::TimePoint aNow)
{
  decay(aNow);
  std::map<catalog::ModelRef, double> rates;
  for (const auto& [ref, work] : mAverages) {
    rates[ref] = std::max(work.fast / kFastSeconds, work.slow / kSlowSeconds);
  }
  return rates;
}

} // namespace marigold::gateway
