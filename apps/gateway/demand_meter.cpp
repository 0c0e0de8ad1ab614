#include "apps/gateway/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace marigold::gateway {
namespace {

/** Time constant that follows a demand which changes within seconds. */
constexpr double kQuickSeconds = 3;
/** Time constant that bridges the gaps between requests for a rare model. */
constexpr double kSlowSeconds = 12;
/** Models with less work than this are removed. */
constexpr double kLeastWorkMs = 0.5;

} // namespace

void
DemandMeter::decay(base::TimePoint aNow)
{
  if (mDecayed != base::TimePoint{}) {
    const double passed = base::inSeconds(aNow - mDecayed);
    const double quick = std::exp(-passed / kQuickSeconds);
    const double slow = std::exp(-passed / kSlowSeconds);
    for (auto& [ref, work] : mWork) {
      work.quick *= quick;
      work.slow *= slow;
    }
    std::erase_if(mWork, [](const auto& aItem) {
      return aItem.second.slow < kLeastWorkMs;
    });
  }
  mDecayed = aNow;
}

void
DemandMeter::add(const catalog::ModelRef& aRef,
                 double aWorkMs,
                 base::TimePoint aNow)
{
  decay(aNow);
  mWork[aRef].quick += aWorkMs;
  mWork[aRef].slow += aWorkMs;
}

std::map<catalog::ModelRef, double>
DemandMeter::rates(base::TimePoint aNow)
{
  decay(aNow);
  std::map<catalog::ModelRef, double> rates;
  for (const auto& [ref, work] : mWork) {
    rates[ref] = std::max(work.quick / kQuickSeconds, work.slow / kSlowSeconds);
  }
  return rates;
}

} // namespace marigold::gateway
