#include "residency/unserved_tracker.h"

#include "residency/residency.h"

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** An unserved period ends after this long without requests. Callers of a
 * rarely used adapter retry within their longest timeouts, about half of this.
 */
constexpr base::Duration kMaxRequestGap = 60s;

} // namespace

void
UnservedTracker::update(PlanInput& aInput, base::TimePoint aNow)
{
  std::erase_if(mPeriods, [&](const auto& aItem) {
    return aNow - aItem.second.lastRequestAt > kMaxRequestGap;
  });
  for (const auto& [ref, demand] : aInput.demand) {
    if (demand.waiting > 0 && aInput.spec->models.contains(ref.model)) {
      const auto entry =
        mPeriods.try_emplace(ref, UnservedPeriod{ aNow, aNow });
      entry.first->second.lastRequestAt = aNow;
    }
  }
  for (const Engine& engine : aInput.engines) {
    if (!engine.draining) {
      eraseServed(engine);
    }
  }
  for (const auto& [ref, period] : mPeriods) {
    const auto row = aInput.demand.find(ref);
    if (row != aInput.demand.end()) {
      row->second.unservedTime = aNow - period.since;
    }
  }
}

void
UnservedTracker::eraseServed(const Engine& aEngine)
{
  for (const auto& [model, adapters] : aEngine.models) {
    mPeriods.erase({ model, "" });
    for (const std::string& adapter : adapters) {
      mPeriods.erase({ model, adapter });
    }
  }
}

} // namespace marigold::residency
