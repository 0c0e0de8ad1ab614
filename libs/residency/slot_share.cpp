#include "residency/slot_share.h"

#include <algorithm>

namespace marigold::residency {
namespace {

bool
waitsForPlace(const AdapterFigures& aAdapter)
{
  const Demand* demand = aAdapter.demand;
  return aAdapter.places == 0 && demand != nullptr &&
         (demand->waiting > 0 || demand->unserved > base::Duration{});
}

unsigned
waitingAdapters(const ModelFigures& aModel)
{
  return static_cast<unsigned>(std::count_if(
    aModel.adapters.begin(), aModel.adapters.end(), [](const auto& aItem) {
      return waitsForPlace(aItem.second);
    }));
}

} // namespace

SlotShare::SlotShare(FleetView& aView)
  : mView(aView)
  , mSlots(aView.engines().size())
{
  for (std::size_t i = 0; i < mSlots.size(); ++i) {
    countUsed(i);
  }
  assign();
}

unsigned
SlotShare::lacking(const ModelFigures& aModel) const
{
  const auto found = mLacking.find(&aModel);
  return found == mLacking.end() ? 0 : found->second;
}

void
SlotShare::countUsed(std::size_t aEngine)
{
  const EngineFigures& engine = mView.engines()[aEngine];
  SlotsAt& slots = mSlots[aEngine];
  slots.usedBy.resize(engine.held.size());
  if (engine.engine->leaving) {
    return;
  }
  unsigned taken = 0;
  for (std::size_t i = 0; i < engine.held.size(); ++i) {
    for (const AdapterFigures* adapter : engine.held[i].adapters) {
      const bool only = adapter->places == 1 && adapter->demand != nullptr;
      const bool inUse = only && adapter->demand->running > 0;
      const bool askedFor =
        only && adapter->demand->workMsPerSecond >= kLeastWorkMs;
      taken += inUse ? 1U : 0U;
      slots.usedBy[i] += inUse || askedFor ? 1U : 0U;
    }
  }
  const unsigned all = mView.situation().spec->adapterSlots;
  slots.open = all - std::min(all, taken);
}

void
SlotShare::assign()
{
  std::vector<std::pair<const ModelFigures*, unsigned>> needs;
  for (const ModelFigures& model : mView.models()) {
    const unsigned waiting = model.spec == nullptr ? 0 : waitingAdapters(model);
    if (waiting > 0) {
      needs.emplace_back(&model, waiting);
    }
  }
  // Models with the least choice first, so that others use what is left.
  std::stable_sort(
    needs.begin(), needs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first->replicas < aRight.first->replicas;
    });
  for (const auto& [model, waiting] : needs) {
    for (unsigned i = 0; i < waiting; ++i) {
      if (!assignOne(*model)) {
        mLacking[model] = waiting - i;
        break;
      }
    }
  }
}

bool
SlotShare::assignOne(const ModelFigures& aModel)
{
  const Trace* best = nullptr;
  for (const Trace& trace : aModel.traces) {
    const bool has = (trace.holds || trace.loading) && !trace.unloading;
    if (has && mSlots[trace.engine].open > 0 &&
        (best == nullptr ||
         mSlots[trace.engine].open > mSlots[best->engine].open)) {
      best = &trace;
    }
  }
  if (best == nullptr) {
    return false;
  }
  SlotsAt& slots = mSlots[best->engine];
  --slots.open;
  const auto& held = mView.engines()[best->engine].held;
  for (std::size_t i = 0; i < held.size(); ++i) {
    slots.usedBy[i] += held[i].model == &aModel ? 1U : 0U;
  }
  return true;
}

} // namespace marigold::residency
