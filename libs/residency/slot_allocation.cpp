#include "residency/slot_allocation.h"

#include <algorithm>

namespace marigold::residency {
namespace {

bool
isUnserved(const AdapterStats& aAdapter)
{
  const Demand* demand = aAdapter.demand;
  return aAdapter.replicas == 0 && demand != nullptr &&
         (demand->waiting > 0 || demand->unservedTime > base::Duration{});
}

unsigned
countUnservedAdapters(const ModelStats& aModel)
{
  return static_cast<unsigned>(std::count_if(
    aModel.adapters.begin(), aModel.adapters.end(), [](const auto& aItem) {
      return isUnserved(aItem.second);
    }));
}

} // namespace

SlotAllocation::SlotAllocation(FleetStats& aFleet)
  : mFleet(aFleet)
  , mSlots(aFleet.engines().size())
{
  for (std::size_t i = 0; i < mSlots.size(); ++i) {
    countSlotsInUse(i);
  }
  allocate();
}

unsigned
SlotAllocation::missing(const ModelStats& aModel) const
{
  const auto found = mMissing.find(&aModel);
  return found == mMissing.end() ? 0 : found->second;
}

void
SlotAllocation::countSlotsInUse(std::size_t aEngine)
{
  const EngineStats& engine = mFleet.engines()[aEngine];
  EngineSlots& slots = mSlots[aEngine];
  slots.neededByModel.resize(engine.held.size());
  if (engine.engine->draining) {
    return;
  }
  unsigned taken = 0;
  for (std::size_t i = 0; i < engine.held.size(); ++i) {
    for (const AdapterStats* adapter : engine.held[i].adapters) {
      const bool soleReplica =
        adapter->replicas == 1 && adapter->demand != nullptr;
      const bool inUse = soleReplica && adapter->demand->running > 0;
      const bool inDemand =
        soleReplica && adapter->demand->workMsPerSecond >= kIdleMsPerSecond;
      taken += inUse ? 1U : 0U;
      slots.neededByModel[i] += inUse || inDemand ? 1U : 0U;
    }
  }
  const unsigned all = mFleet.input().spec->adapterSlots;
  slots.available = all - std::min(all, taken);
}

void
SlotAllocation::allocate()
{
  std::vector<std::pair<const ModelStats*, unsigned>> needs;
  for (const ModelStats& model : mFleet.models()) {
    const unsigned unserved =
      model.spec == nullptr ? 0 : countUnservedAdapters(model);
    if (unserved > 0) {
      needs.emplace_back(&model, unserved);
    }
  }
  // Models with the fewest replicas first, because they have the fewest slots
  // to choose from.
  std::stable_sort(
    needs.begin(), needs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first->replicas < aRight.first->replicas;
    });
  for (const auto& [model, unserved] : needs) {
    for (unsigned i = 0; i < unserved; ++i) {
      if (!allocateOne(*model)) {
        mMissing[model] = unserved - i;
        break;
      }
    }
  }
}

bool
SlotAllocation::allocateOne(const ModelStats& aModel)
{
  const ModelPresence* best = nullptr;
  for (const ModelPresence& presence : aModel.presences) {
    const bool isResident =
      (presence.holds || presence.loading) && !presence.unloading;
    if (isResident && mSlots[presence.engine].available > 0 &&
        (best == nullptr ||
         mSlots[presence.engine].available > mSlots[best->engine].available)) {
      best = &presence;
    }
  }
  if (best == nullptr) {
    return false;
  }
  EngineSlots& slots = mSlots[best->engine];
  --slots.available;
  const auto& held = mFleet.engines()[best->engine].held;
  for (std::size_t i = 0; i < held.size(); ++i) {
    slots.neededByModel[i] += held[i].model == &aModel ? 1U : 0U;
  }
  return true;
}

} // namespace marigold::residency
