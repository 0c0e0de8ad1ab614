#include "apps/gateway/demand_meter.h"

#include <cmath>

namespace marigold::gateway {
namespace {

/** Short enough to follow a demand that moves within seconds, long enough not
 * to chase single requests of a rare model. */
constexpr double kMemorySeconds = 4;
/** Work below this is forgotten. */
constexpr double kLeastWorkMs = 0.5;

} // namespace

void
DemandMeter::decay(base::TimePoint aNow)
{
  if (mDecayed != base::TimePoint{}) {
    const double factor =
      std::exp(-base::inSeconds(aNow - mDecayed) / kMemorySeconds);
    for (auto& [ref, work] : mWork) {
      work *= factor;
    }
    std::erase_if(mWork, [](const auto& aItem) {
      return aItem.second < kLeastWorkMs;
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
  mWork[aRef] += aWorkMs;
}

std::map<catalog::ModelRef, double>
DemandMeter::rates(base::TimePoint aNow)
{
  decay(aNow);
  std::map<catalog::ModelRef, double> rates;
  for (const auto& [ref, work] : mWork) {
    rates[ref] = work / kMemorySeconds;
  }
  return rates;
}

} // namespace marigold::gateway
