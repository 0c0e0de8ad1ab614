#include "residency/unserved_tracker.h"

#include "residency/residency.h"

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** An absence in which nobody asked for this long begins anew: callers of a
 * rare adapter come back within their longest timeouts, about half of it. */
constexpr base::Duration kForgotten = 60s;

} // namespace

void
UnservedTracker::update(PlanInput& aSituation, base::TimePoint aNow)
{
  std::erase_if(mAbsences, [&](const auto& aItem) {
    return aNow - aItem.second.askedAt > kForgotten;
  });
  for (const auto& [ref, demand] : aSituation.demand) {
    if (demand.waiting > 0 && aSituation.spec->models.contains(ref.model)) {
      const auto entry = mAbsences.try_emplace(ref, Absence{ aNow, aNow });
      entry.first->second.askedAt = aNow;
    }
  }
  for (const Engine& engine : aSituation.engines) {
    if (!engine.draining) {
      eraseHeld(engine);
    }
  }
  for (const auto& [ref, absence] : mAbsences) {
    const auto row = aSituation.demand.find(ref);
    if (row != aSituation.demand.end()) {
      row->second.unserved = aNow - absence.since;
    }
  }
}

void
UnservedTracker::eraseHeld(const Engine& aEngine)
{
  for (const auto& [model, adapters] : aEngine.models) {
    mAbsences.erase({ model, "" });
    for (const std::string& adapter : adapters) {
      mAbsences.erase({ model, adapter });
    }
  }
}

} // namespace marigold::residency
