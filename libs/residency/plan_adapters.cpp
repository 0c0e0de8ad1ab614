#include "residency/fleet_view.h"

#include <algorithm>
#include <optional>

namespace marigold::residency {
namespace {

using catalog::ModelRef;

/** An adapter with more work than this gets a second place. */
constexpr double kHotAdapterMsPerSecond = 150;

/** Load that an engine without a free slot must have less than others. */
constexpr double kEvictionCost = 300;
/** A model with less work is idle; its adapters need no places. */
constexpr double kLeastWorkMs = 1;
/** Weight of a waiting request against work in ms per second. */
constexpr double kWaitingWeight = 100;

std::size_t
adaptersAt(const Engine& aEngine)
{
  std::size_t count = 0;
  for (const auto& [model, adapters] : aEngine.models) {
    count += adapters.size();
  }
  return count;
}

bool
holds(const Engine& aEngine, const ModelRef& aRef)
{
  const auto model = aEngine.models.find(aRef.model);
  return model != aEngine.models.end() && model->second.contains(aRef.adapter);
}

/** Plans the adapters of one service. */
class AdapterPlanner
{
public:
  explicit AdapterPlanner(const Situation& aSituation)
    : mView(aSituation)
  {
  }

  std::vector<Step> plan()
  {
    for (const auto& [ref, demand] : mView.situation().demand) {
      if (ref.adapter.empty() || !declared(ref)) {
        continue;
      }
      const std::size_t places = placesOf(ref);
      const bool missing = places == 0 && demand.waiting > 0;
      const bool hot =
        places == 1 && demand.workMsPerSecond > kHotAdapterMsPerSecond;
      if (missing || hot) {
        place(ref, missing ? "requests wait" : "hot");
      }
    }
    return std::move(mSteps);
  }

  std::vector<Step> planSpare()
  {
    for (const auto& [name, model] : mView.situation().spec->models) {
      if (mView.work(name) < kLeastWorkMs) {
        continue;
      }
      for (const std::string& adapter : model.adapters) {
        const ModelRef ref{ name, adapter };
        if (placesOf(ref) == 0) {
          fill(ref);
        }
      }
    }
    return std::move(mSteps);
  }

private:
  /** Loads an adapter at the engine with the most free slots, if any. */
  void fill(const ModelRef& aRef)
  {
    const Engine* best = nullptr;
    for (const Engine& engine : mView.situation().engines) {
      if (!canTake(engine, aRef) ||
          adaptersAt(engine) >= mView.situation().spec->adapterSlots) {
        continue;
      }
      if (best == nullptr || adaptersAt(engine) < adaptersAt(*best)) {
        best = &engine;
      }
    }
    if (best != nullptr) {
      mUsed.insert(best->name);
      mSteps.push_back({ best->name, true, aRef, false, "free slot" });
    }
  }

  /** @return true if the engine has the model and may get an order for it */
  bool canTake(const Engine& aEngine, const ModelRef& aRef) const
  {
    return !aEngine.leaving && aEngine.orderable &&
           !mUsed.contains(aEngine.name) &&
           aEngine.models.contains(aRef.model) &&
           !aEngine.retiring.contains(aRef.model) && !holds(aEngine, aRef);
  }

  bool declared(const ModelRef& aRef) const
  {
    return mView.situation().spec->models.contains(aRef.model);
  }

  std::size_t placesOf(const ModelRef& aRef) const
  {
    const auto& engines = mView.situation().engines;
    return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [&](const Engine& aEngine) {
        return !aEngine.leaving && holds(aEngine, aRef);
      }));
  }

  double demandOf(const ModelRef& aRef) const
  {
    const auto found = mView.situation().demand.find(aRef);
    return found == mView.situation().demand.end()
             ? 0
             : found->second.workMsPerSecond +
                 kWaitingWeight * found->second.waiting;
  }

  /** @return the idle adapter at the engine that is asked for least; one with
   * running requests would block the engine's orders until they end */
  std::optional<ModelRef> coldestAt(const Engine& aEngine) const
  {
    std::optional<ModelRef> coldest;
    for (const auto& [model, adapters] : aEngine.models) {
      for (const std::string& adapter : adapters) {
        const ModelRef ref{ model, adapter };
        if (aEngine.fresh.contains(ref) || inUse(ref)) {
          continue;
        }
        if (!coldest || demandOf(ref) < demandOf(*coldest)) {
          coldest = ref;
        }
      }
    }
    return coldest;
  }

  bool inUse(const ModelRef& aRef) const
  {
    const auto found = mView.situation().demand.find(aRef);
    return found != mView.situation().demand.end() && found->second.running > 0;
  }

  void place(const ModelRef& aRef, const char* aReason)
  {
    const Engine* best = nullptr;
    std::optional<ModelRef> bestVictim;
    double bestCost = 0;
    for (const Engine& engine : mView.situation().engines) {
      if (!canTake(engine, aRef)) {
        continue;
      }
      std::optional<ModelRef> victim;
      double cost = mView.engineLoad(engine);
      if (adaptersAt(engine) >= mView.situation().spec->adapterSlots) {
        victim = coldestAt(engine);
        if (!victim || demandOf(*victim) > demandOf(aRef)) {
          continue;
        }
        cost += kEvictionCost + demandOf(*victim);
      }
      if (best == nullptr || cost < bestCost) {
        best = &engine;
        bestVictim = victim;
        bestCost = cost;
      }
    }
    if (best == nullptr) {
      return;
    }
    mUsed.insert(best->name);
    mSteps.push_back(
      { best->name, !bestVictim, bestVictim.value_or(aRef), false, aReason });
  }

  FleetView mView;
  std::set<base::UpstreamName> mUsed;
  std::vector<Step> mSteps;
};

} // namespace

std::vector<Step>
planAdapters(const Situation& aSituation)
{
  return AdapterPlanner(aSituation).plan();
}

std::vector<Step>
planSpareAdapters(const Situation& aSituation)
{
  return AdapterPlanner(aSituation).planSpare();
}

} // namespace marigold::residency
