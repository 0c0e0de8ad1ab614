#include "residency/fleet_stats.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;
using catalog::ModelRef;

/** An adapter with more work than this gets a second replica. */
constexpr double kHotAdapterMsPerSecond = 150;

/** Cost of an eviction against the work of engines: an engine without a free
 * slot is chosen only if its work is this much lower. */
constexpr double kEvictionCostMsPerSecond = 300;
/** Value of a waiting request relative to work in ms per second. */
constexpr double kValuePerWaitingRequest = 100;
/** Value of each second that the adapter has been unserved. It equals that of a
 * waiting request, so that a rarely used adapter overtakes a busy one within
 * the timeouts of its callers, 10 to 30 s. */
constexpr double kValuePerUnservedSecond = 100;
/** An adapter in use is evicted only for one that has been unserved for this
 * long, because its unload waits a few seconds for its requests and blocks
 * other orders to the engine meanwhile. */
constexpr base::Duration kStarvationTime = 5s;
/** The new adapter must have this many times the value of an evicted adapter in
 * use. */
constexpr double kMinValueRatio = 2;
/** An adapter that has been unserved for longer no longer waits for a slot that
 * an engine is freeing. Unloads of adapters in use start after kStarvationTime
 * and usually end within a few seconds. */
constexpr base::Duration kMaxSlotWait = 10s;

unsigned
waitingTakeUps(const Demand& aDemand)
{
  unsigned sum = 0;
  for (const auto& [software, count] : aDemand.takeUps) {
    sum += count;
  }
  return sum;
}

double
demandValue(const Demand* aDemand)
{
  return aDemand == nullptr
           ? 0
           : aDemand->workMsPerSecond +
               kValuePerWaitingRequest *
                 (aDemand->waiting + waitingTakeUps(*aDemand)) +
               kValuePerUnservedSecond * base::inSeconds(aDemand->unservedTime);
}

bool
inUse(const AdapterStats& aAdapter)
{
  return aAdapter.demand != nullptr && aAdapter.demand->running > 0;
}

/** An adapter that needs a further replica. */
struct ReplicaNeed
{
  bool unserved = false; ///< no engine holds it and it is requested
  double value = 0;      ///< compared with other needs and with victims
  const ModelStats* model = nullptr;
  const AdapterStats* adapter = nullptr;
  /** Of the engines that may serve it, if it is for streams that go on. */
  std::optional<std::uint32_t> software;
};

/** How much an eviction harms, in the order in which adapters are evicted. */
enum class EvictionClass : std::uint8_t
{
  Unneeded,  ///< idle, and either not requested or redundant
  Redundant, ///< in use, and held by another engine too
  Idle,      ///< the only replica, requested but not in use
  InUse,     ///< the only replica, in use
};

/** The cheapest adapter to evict from an engine, cached per engine. */
struct Victim
{
  const ModelStats* model = nullptr;
  AdapterStats* adapter = nullptr; ///< null: no adapter may be evicted
  EvictionClass evictionClass = EvictionClass::Unneeded;
  double value = 0;
  bool impaired = false; ///< its engine is
  bool cached = false;   ///< false until computed, and after an eviction
};

/** @param aImpaired whether the engine of the replica is impaired */
EvictionClass
evictionClassOf(const AdapterStats& aAdapter, bool aImpaired)
{
  const bool redundant = aAdapter.replicasLike(aImpaired) > 1;
  if (inUse(aAdapter)) {
    return redundant ? EvictionClass::Redundant : EvictionClass::InUse;
  }
  return redundant || demandValue(aAdapter.demand) < kIdleMsPerSecond
           ? EvictionClass::Unneeded
           : EvictionClass::Idle;
}

/** @return value including running requests, which delay an unload */
double
evictionValue(const AdapterStats& aAdapter)
{
  const Demand* demand = aAdapter.demand;
  return demandValue(demand) +
         (demand == nullptr ? 0 : kValuePerWaitingRequest * demand->running);
}

ModelRef
refOf(const ModelStats& aModel, const AdapterStats& aAdapter)
{
  return { aModel.name, std::string(aAdapter.name) };
}

/** Plans the adapters of one service. */
class AdapterPlanner
{
public:
  explicit AdapterPlanner(const PlanInput& aInput)
    : mFleet(aInput)
    , mUnavailable(aInput.engines.size())
    , mVictims(aInput.engines.size())
    , mReservedSlots(aInput.engines.size())
  {
    for (std::size_t i = 0; i < mUnavailable.size(); ++i) {
      mUnavailable[i] = mFleet.engines()[i].acceptsOrders ? 0 : 1;
      mAvailableEngines += mFleet.engines()[i].acceptsOrders ? 1U : 0U;
    }
  }

  std::vector<PlannedOrder> plan()
  {
    for (const ReplicaNeed& need : needs()) {
      if (mAvailableEngines == 0) {
        break;
      }
      place(need);
    }
    return std::move(mOrders);
  }

  std::vector<PlannedOrder> planPrefetch()
  {
    for (const ModelStats& model : mFleet.models()) {
      if (model.spec == nullptr || model.workMsPerSecond < kIdleMsPerSecond) {
        continue;
      }
      for (const std::string& adapter : model.spec->adapters) {
        const auto known = model.adapters.find(adapter);
        const bool held =
          known != model.adapters.end() && known->second.replicas > 0;
        if (!held && !prefetch(model, adapter)) {
          break;
        }
      }
    }
    return std::move(mOrders);
  }

private:
  /** @return unserved adapters, then hot ones, each sorted by value, the
   * largest first */
  std::vector<ReplicaNeed> needs()
  {
    std::vector<ReplicaNeed> needs;
    for (const ModelStats& model : mFleet.models()) {
      if (model.spec == nullptr) {
        continue;
      }
      for (const auto& [name, adapter] : model.adapters) {
        const Demand* demand = adapter.demand;
        if (demand == nullptr) {
          continue;
        }
        const bool unserved =
          adapter.replicas == 0 &&
          (demand->waiting > 0 || demand->unservedTime > base::Duration{});
        const bool hot = adapter.replicas == 1 &&
                         demand->workMsPerSecond > kHotAdapterMsPerSecond;
        addTakeUps(model, adapter, needs);
        if (unserved || hot) {
          needs.push_back(
            { unserved, demandValue(demand), &model, &adapter, std::nullopt });
        }
      }
    }
    std::stable_sort(needs.begin(),
                     needs.end(),
                     [](const ReplicaNeed& aLeft, const ReplicaNeed& aRight) {
                       return aLeft.unserved != aRight.unserved
                                ? aLeft.unserved
                                : aLeft.value > aRight.value;
                     });
    return needs;
  }

  /** Adds the needs of streams that go on: an engine with their software holds
   * the model, and none of these the adapter. */
  void addTakeUps(const ModelStats& aModel,
                  const AdapterStats& aAdapter,
                  std::vector<ReplicaNeed>& aNeeds) const
  {
    for (const auto& [software, count] : aAdapter.demand->takeUps) {
      if (holdersWith(software, aModel, nullptr, true) > 0 &&
          holdersWith(software, aModel, &aAdapter, true) == 0) {
        aNeeds.push_back(
          { true, demandValue(aAdapter.demand), &aModel, &aAdapter, software });
      }
    }
  }

  /** @param aAdapter adapter, or nullptr for the model alone
   * @param aImpaired whether impaired engines count
   * @return engines with the software that hold it */
  std::size_t holdersWith(std::uint32_t aSoftware,
                          const ModelStats& aModel,
                          const AdapterStats* aAdapter,
                          bool aImpaired) const
  {
    return static_cast<std::size_t>(std::count_if(
      aModel.presences.begin(),
      aModel.presences.end(),
      [&](const ModelPresence& aPresence) {
        const EngineStats& engine = mFleet.engines()[aPresence.engine];
        return engine.engine->software == aSoftware &&
               !engine.engine->draining &&
               (aImpaired || !engine.engine->impaired) && aPresence.holds &&
               !aPresence.unloading &&
               (aAdapter == nullptr || holds(engine, *aAdapter));
      }));
  }

  static bool mayServe(const EngineStats& aEngine, const ReplicaNeed& aNeed)
  {
    return !aNeed.software || aEngine.engine->software == *aNeed.software;
  }

  bool hasFreeSlot(const EngineStats& aEngine) const
  {
    return aEngine.usedSlots < mFleet.input().spec->adapterSlots;
  }

  /** @return true if the engine holds the model and can get an order */
  bool acceptsLoad(const ModelPresence& aPresence) const
  {
    return aPresence.holds && !aPresence.unloading &&
           mUnavailable[aPresence.engine] == 0;
  }

  /** Orders an adapter's load at the engine with the most free slots.
   * @return false if no engine has a slot for an adapter of the model */
  bool prefetch(const ModelStats& aModel, const std::string& aAdapter)
  {
    const EngineStats* best = nullptr;
    std::size_t bestIndex = 0;
    for (const ModelPresence& presence : aModel.presences) {
      const EngineStats& engine = mFleet.engines()[presence.engine];
      if (acceptsLoad(presence) && hasFreeSlot(engine) &&
          (best == nullptr || engine.usedSlots < best->usedSlots)) {
        best = &engine;
        bestIndex = presence.engine;
      }
    }
    if (best == nullptr) {
      return false;
    }
    addOrder(bestIndex, true, { aModel.name, aAdapter }, "free slot");
    return true;
  }

  /** @return the adapter whose eviction from the engine harms least */
  Victim cheapestVictim(const EngineStats& aEngine) const
  {
    const bool impaired = aEngine.engine->impaired;
    Victim cheapest;
    cheapest.cached = true;
    for (const HeldModel& held : aEngine.held) {
      for (AdapterStats* adapter : held.adapters) {
        if (held.unloading ||
            isRecentlyLoaded(aEngine, *held.model, *adapter)) {
          continue;
        }
        const EvictionClass evictionClass = evictionClassOf(*adapter, impaired);
        const double value = evictionValue(*adapter);
        if (cheapest.adapter == nullptr ||
            std::tie(evictionClass, value) <
              std::tie(cheapest.evictionClass, cheapest.value)) {
          cheapest = {
            held.model, adapter, evictionClass, value, impaired, true
          };
        }
      }
    }
    return cheapest;
  }

  static bool isRecentlyLoaded(const EngineStats& aEngine,
                               const ModelStats& aModel,
                               const AdapterStats& aAdapter)
  {
    const std::set<ModelRef>& recent = aEngine.engine->recentlyLoaded;
    return !recent.empty() && recent.contains(refOf(aModel, aAdapter));
  }

  const Victim& cachedVictim(std::size_t aEngine)
  {
    Victim& victim = mVictims[aEngine];
    if (!victim.cached) {
      victim = cheapestVictim(mFleet.engines()[aEngine]);
    }
    return victim;
  }

  static bool holds(const EngineStats& aEngine, const AdapterStats& aAdapter)
  {
    return std::any_of(
      aEngine.held.begin(), aEngine.held.end(), [&](const HeldModel& aHeld) {
        return std::find(aHeld.adapters.begin(),
                         aHeld.adapters.end(),
                         &aAdapter) != aHeld.adapters.end();
      });
  }

  void place(const ReplicaNeed& aNeed)
  {
    if (mLoaded.contains(aNeed.adapter)) {
      return; // A replica for streams that go on serves other requests too.
    }
    const ModelPresence* best = nullptr;
    Victim bestVictim;
    double bestCost = 0;
    for (const ModelPresence& presence : aNeed.model->presences) {
      const EngineStats& engine = mFleet.engines()[presence.engine];
      if (!acceptsLoad(presence) || !mayServe(engine, aNeed) ||
          holds(engine, *aNeed.adapter)) {
        continue;
      }
      Victim victim;
      double cost = engine.workMsPerSecond;
      if (!hasFreeSlot(engine)) {
        victim = cachedVictim(presence.engine);
        if (!mayEvict(victim, aNeed)) {
          continue;
        }
        cost += kEvictionCostMsPerSecond *
                  (1 + static_cast<double>(victim.evictionClass)) +
                victim.value;
      }
      if (best == nullptr || cost < bestCost) {
        best = &presence;
        bestVictim = victim;
        bestCost = cost;
      }
    }
    const bool loadsDirectly = best != nullptr && bestVictim.adapter == nullptr;
    if (best == nullptr || (!loadsDirectly && reserveSlotBeingFreed(aNeed))) {
      return;
    }
    const char* reason = aNeed.unserved ? "requests wait" : "hot";
    if (bestVictim.adapter == nullptr) {
      addOrder(best->engine, true, refOf(*aNeed.model, *aNeed.adapter), reason);
      mLoaded.insert(aNeed.adapter);
      return;
    }
    markEvicted(bestVictim);
    addOrder(best->engine,
             false,
             refOf(*bestVictim.model, *bestVictim.adapter),
             reason);
  }

  /** Reserves a free slot at an engine that holds the model but is not
   * orderable now, as after an unload until its next report.
   * @return true if a slot was reserved */
  bool reserveSlotBeingFreed(const ReplicaNeed& aNeed)
  {
    if (aNeed.adapter->demand->unservedTime > kMaxSlotWait) {
      return false;
    }
    for (const ModelPresence& presence : aNeed.model->presences) {
      const EngineStats& stats = mFleet.engines()[presence.engine];
      const Engine& engine = *stats.engine;
      const bool awaitsReport = !engine.draining && !engine.quiet &&
                                !engine.orderable && engine.loading.empty() &&
                                engine.unloading.empty();
      if (presence.holds && awaitsReport && mayServe(stats, aNeed) &&
          stats.usedSlots + mReservedSlots[presence.engine] <
            mFleet.input().spec->adapterSlots) {
        ++mReservedSlots[presence.engine];
        return true;
      }
    }
    return false;
  }

  bool mayEvict(const Victim& aVictim, const ReplicaNeed& aNeed) const
  {
    if (aVictim.adapter == nullptr) {
      return false;
    }
    if (aNeed.software) {
      // Streams of the victim must be able to go on, too.
      return aVictim.evictionClass == EvictionClass::Unneeded ||
             (aVictim.evictionClass == EvictionClass::Redundant &&
              holdersWith(*aNeed.software,
                          *aVictim.model,
                          aVictim.adapter,
                          aVictim.impaired) > 1);
    }
    if (aNeed.unserved && aNeed.adapter->demand->waiting == 0) {
      return false; // Requested earlier but not now; wait for a free slot.
    }
    if (!aNeed.unserved) {
      return aVictim.evictionClass == EvictionClass::Unneeded &&
             aVictim.value <= aNeed.value;
    }
    switch (aVictim.evictionClass) {
      case EvictionClass::Unneeded:
      case EvictionClass::Redundant:
        return true;
      case EvictionClass::Idle:
        return aVictim.value <= aNeed.value;
      case EvictionClass::InUse:
        return aNeed.adapter->demand->unservedTime >= kStarvationTime &&
               aVictim.value * kMinValueRatio <= aNeed.value;
    }
    return false;
  }

  /** Counts the evicted replica, so that the same plan does not evict the last
   * replica of the adapter as a redundant one. */
  void markEvicted(const Victim& aVictim)
  {
    --aVictim.adapter->replicas;
    --aVictim.adapter->held;
    aVictim.adapter->serving -= aVictim.impaired ? 0U : 1U;
    for (const ModelPresence& presence : aVictim.model->presences) {
      mVictims[presence.engine].cached = false;
    }
  }

  void addOrder(std::size_t aEngine,
                bool aLoad,
                const ModelRef& aTarget,
                const char* aReason)
  {
    mUnavailable[aEngine] = 1;
    --mAvailableEngines;
    mOrders.push_back({ mFleet.engines()[aEngine].engine->name,
                        aLoad,
                        aTarget,
                        false,
                        aReason });
  }

  FleetStats mFleet;
  std::vector<char> mUnavailable;        ///< by engine: gets no further order
  std::size_t mAvailableEngines = 0;     ///< engines that can get an order
  std::set<const AdapterStats*> mLoaded; ///< ordered in this plan
  std::vector<Victim> mVictims;
  std::vector<unsigned>
    mReservedSlots; ///< by engine: free slots reserved in this plan
  std::vector<PlannedOrder> mOrders;
};

} // namespace

std::vector<PlannedOrder>
planAdapters(const PlanInput& aInput)
{
  return AdapterPlanner(aInput).plan();
}

std::vector<PlannedOrder>
planAdapterPrefetch(const PlanInput& aInput)
{
  return AdapterPlanner(aInput).planPrefetch();
}

} // namespace marigold::residency
