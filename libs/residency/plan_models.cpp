#include "residency/slot_allocation.h"

#include <algorithm>
#include <optional>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;
using base::ModelName;

/** Work per replica at which the marginal queueing cost of a millisecond of
 * work is 2: about a third of an engine, because models share engines. */
constexpr double kQueueingScaleMsPerSecond = 300;
/** If the only replica of a model is lost, the model is unavailable until a
 * load ends. This fraction of its work, up to kMaxRiskMsPerSecond, is the cost
 * of that risk. */
constexpr double kSingleReplicaRisk = 0.5;
constexpr double kMaxRiskMsPerSecond = 60;
/** Cost of a model that no engine holds: its first request waits for a load. */
constexpr double kColdStartCost = 40;
/** Cost of each request that waits for the model. */
constexpr double kCostPerWaitingRequest = 200;
/** Cost of each second for which a requested model has been held by no engine.
 * It lets a rarely used model overtake busier ones within the timeouts of its
 * callers, 5 to 15 s. */
constexpr double kCostPerUnservedSecond = 40;
/** The last replica of a model in use is evicted only for a model that has been
 * unserved for this long. It is twice the shorter timeouts of callers, so that
 * busy models do not thrash. */
constexpr base::Duration kStarvationTime = 10s;
/** Cost of each requested adapter for which the engines of its model have no
 * slot. It is higher than kColdStartCost, because its callers wait until a slot
 * is free and not just for one load, and lower than kCostPerWaitingRequest,
 * because a slot can be freed by evicting another adapter. */
constexpr double kCostPerMissingSlot = 60;
/** Minimum net gain of a change, because demand is only estimated and a load
 * may consume the rate limit of the weights store. */
constexpr double kMinGain = 25;
/** The gain of a change must exceed the loss of the evicted model by this
 * factor. */
constexpr double kMinGainLossRatio = 2;
/** Work below which the last replica of a model may be evicted for a model that
 * requests wait for. */
constexpr double kIdleLastReplicaMsPerSecond = 1;
/** Time in which an engine restarts and loads its models from disk again. A
 * load elsewhere that takes longer does not help their callers. */
constexpr base::Duration kRestartTime = 3s;
/** Costs of the load time and of the engine's other work when an engine is
 * chosen for a replica. */
constexpr double kCostPerLoadSecond = 10;
constexpr double kCostPerEngineWorkMs = 0.05;
/** Gain of an engine whose software began the streams that broke off with
 * another replica: their callers take them up, and no other software may go on
 * with them. Worth four seconds of a load; their callers wait little longer. */
constexpr double kSameSoftwareGain = 40;

/** A possible engine for a further replica of a model. */
struct Placement
{
  std::size_t engine = 0;
  ModelStats* victim = nullptr; ///< to evict next; null: memory is free
  double gain = 0;
  bool fromStore = true;
};

/** A model that would benefit from a further replica. */
struct ReplicaNeed
{
  bool unserved = false; ///< no engine holds the model and requests wait for it
  bool starved = false;  ///< unserved for at least kStarvationTime
  double gain = 0;       ///< cost saved, without that of missing slots
  unsigned missingSlots = 0; ///< adapters that no replica has a slot for
  ModelStats* model = nullptr;

  /** @param aSlots slots available at the new replica
   * @return cost saved, including that of missing slots */
  double gainWithSlots(unsigned aSlots) const
  {
    return gain + kCostPerMissingSlot * std::min(missingSlots, aSlots);
  }
};

/** Whether the last replica of a model may be evicted. */
enum class LastReplicaPolicy : std::uint8_t
{
  Keep,
  EvictIdle,
  EvictInUse,
};

/** A model that may be evicted from an engine. */
struct Victim
{
  ModelStats* model = nullptr;
  double loss = 0;    ///< cost of its eviction
  double freedMb = 0; ///< memory that its eviction frees
};

/** The models that may be evicted from an engine, the cheapest first. */
struct Victims
{
  std::vector<Victim> models;
  bool cached = false; ///< false until computed, and after an eviction
};

/** Evictions that make room for a model. */
struct Eviction
{
  ModelStats* first = nullptr; ///< null: there is no way to make room
  double loss = 0;             ///< of all models that have to be evicted
};

/** @param aVictims the cheapest first @param aMissingMb memory to be freed
 * @return the cheaper of evicting the cheapest models until there is room, and
 * of evicting a single model that is large enough */
Eviction
makeRoom(const std::vector<Victim>& aVictims, double aMissingMb)
{
  Eviction single;
  for (const Victim& victim : aVictims) {
    if (victim.freedMb >= aMissingMb) {
      single = { victim.model, victim.loss };
      break;
    }
  }
  double freedMb = 0;
  double loss = 0;
  for (const Victim& victim : aVictims) {
    freedMb += victim.freedMb;
    loss += victim.loss;
    if (single.first != nullptr && loss >= single.loss) {
      return single;
    }
    if (freedMb >= aMissingMb) {
      return { aVictims.front().model, loss };
    }
  }
  return single;
}

/** @return cost of serving the model's demand with aReplicas replicas */
double
costOf(const ModelStats& aModel, unsigned aReplicas)
{
  const double work = aModel.workMsPerSecond;
  if (aReplicas == 0) {
    return kColdStartCost + work * work / kQueueingScaleMsPerSecond + work +
           aModel.waiting * kCostPerWaitingRequest +
           base::inSeconds(aModel.unservedTime) * kCostPerUnservedSecond;
  }
  const double queueing = work * work / (kQueueingScaleMsPerSecond * aReplicas);
  const double risk =
    aReplicas == 1 ? kSingleReplicaRisk * std::min(work, kMaxRiskMsPerSecond)
                   : 0;
  return queueing + risk;
}

/**
 * Plans the models of one service greedily. A replica is added where its gain
 * exceeds the loss of the model that has to be evicted for it.
 */
class ModelPlanner
{
public:
  explicit ModelPlanner(const PlanInput& aInput)
    : mFleet(aInput)
    , mSlots(mFleet)
    , mAvailableStoreLoads(aInput.availableStoreLoads)
    , mPresence(aInput.engines.size())
    , mRedundantVictims(aInput.engines.size())
    , mIdleVictims(aInput.engines.size())
    , mInUseVictims(aInput.engines.size())
  {
    for (std::size_t i = 0; i < mFleet.engines().size(); ++i) {
      if (mFleet.engines()[i].acceptsOrders) {
        mAvailableEngines.push_back(i);
      }
    }
  }

  std::vector<PlannedOrder> plan()
  {
    for (const ReplicaNeed& need : needs()) {
      if (mAvailableEngines.empty()) {
        break;
      }
      place(need);
    }
    return std::move(mOrders);
  }

private:
  /** @return starved models, then the others, each sorted by the gain of a
   * further replica, the largest first */
  std::vector<ReplicaNeed> needs()
  {
    const unsigned slots = mFleet.input().spec->adapterSlots;
    std::vector<ReplicaNeed> needs;
    for (ModelStats& model : mFleet.models()) {
      if (model.spec == nullptr) {
        continue;
      }
      const unsigned missingSlots = mSlots.missing(model);
      double gain =
        costOf(model, model.replicas) - costOf(model, model.replicas + 1);
      // Requests for an adapter also wait for its model.
      gain +=
        model.replicas == 0 && missingSlots > 0 ? kCostPerWaitingRequest : 0;
      const bool unserved =
        model.replicas == 0 && (model.waiting > 0 || missingSlots > 0);
      const bool starved = unserved && model.unservedTime >= kStarvationTime;
      const ReplicaNeed need{ unserved, starved, gain, missingSlots, &model };
      if (need.gainWithSlots(slots) > kMinGain) {
        needs.push_back(need);
      }
    }
    std::stable_sort(
      needs.begin(),
      needs.end(),
      [slots](const ReplicaNeed& aLeft, const ReplicaNeed& aRight) {
        return aLeft.starved != aRight.starved
                 ? aLeft.starved
                 : aLeft.gainWithSlots(slots) > aRight.gainWithSlots(slots);
      });
    return needs;
  }

  /** @return the models that may be evicted from the engine, the cheapest
   * first */
  std::vector<Victim> findVictims(std::size_t aEngine,
                                  LastReplicaPolicy aPolicy) const
  {
    const auto& heldModels = mFleet.engines()[aEngine].held;
    const bool impaired = mFleet.engines()[aEngine].engine->impaired;
    std::vector<Victim> victims;
    for (std::size_t i = 0; i < heldModels.size(); ++i) {
      const HeldModel& held = heldModels[i];
      const ModelStats& model = *held.model;
      if (model.replicas == 0 || held.unloading || alreadyEvicted(model)) {
        continue;
      }
      const bool idle = model.workMsPerSecond < kIdleLastReplicaMsPerSecond;
      const bool lastEvictable =
        aPolicy == LastReplicaPolicy::EvictInUse ||
        (aPolicy == LastReplicaPolicy::EvictIdle && idle);
      // A replica that loads or errs does not take over from one that serves.
      const unsigned replicas = model.replicasLike(impaired);
      if (replicas <= 1 && !lastEvictable) {
        continue;
      }
      const double loss =
        costOf(model, replicas - 1) - costOf(model, replicas) +
        kCostPerMissingSlot * mSlots.at(aEngine).neededByModel[i];
      // The size of a model that is no longer configured is not known.
      const double freedMb = model.spec != nullptr
                               ? model.spec->weightsMb
                               : mFleet.input().spec->weightsMb;
      victims.push_back({ held.model, loss, freedMb });
    }
    std::stable_sort(victims.begin(),
                     victims.end(),
                     [](const Victim& aLeft, const Victim& aRight) {
                       return aLeft.loss < aRight.loss;
                     });
    return victims;
  }

  const std::vector<Victim>& cachedVictims(std::size_t aEngine,
                                           LastReplicaPolicy aPolicy)
  {
    Victims& victims =
      aPolicy == LastReplicaPolicy::Keep        ? mRedundantVictims[aEngine]
      : aPolicy == LastReplicaPolicy::EvictIdle ? mIdleVictims[aEngine]
                                                : mInUseVictims[aEngine];
    if (!victims.cached) {
      victims = { findVictims(aEngine, aPolicy), true };
    }
    return victims.models;
  }

  static LastReplicaPolicy policyFor(const ReplicaNeed& aNeed)
  {
    if (!aNeed.unserved) {
      return LastReplicaPolicy::Keep;
    }
    return aNeed.starved ? LastReplicaPolicy::EvictInUse
                         : LastReplicaPolicy::EvictIdle;
  }

  bool alreadyEvicted(const ModelStats& aModel) const
  {
    return std::find(mEvicted.begin(), mEvicted.end(), &aModel) !=
           mEvicted.end();
  }

  /** Excludes the model from further evictions, because a plan evicts at most
   * one replica of a model. */
  void markEvicted(ModelStats& aModel)
  {
    mEvicted.push_back(&aModel);
    for (const ModelPresence& presence : aModel.presences) {
      mRedundantVictims[presence.engine].cached = false;
      mIdleVictims[presence.engine].cached = false;
      mInUseVictims[presence.engine].cached = false;
    }
  }

  /** Evaluates the engine for a further replica of the model.
   * @return true if aPlacement was filled in, false if the engine is
   * unsuitable */
  bool evaluate(std::size_t aEngine,
                const ReplicaNeed& aNeed,
                Placement& aPlacement)
  {
    const EngineStats& engine = mFleet.engines()[aEngine];
    const catalog::Model& model = *aNeed.model->spec;
    const ModelPresence& presence = mPresence[aEngine];
    if (presence.holds || presence.loading) {
      return false;
    }
    aPlacement.engine = aEngine;
    aPlacement.fromStore = !presence.inMemory && !presence.onDisk;
    if (aPlacement.fromStore && mAvailableStoreLoads == 0) {
      return false;
    }
    const base::Duration load = presence.inMemory ? model.memoryLoadTime
                                : presence.onDisk ? model.diskLoadTime
                                                  : model.storeLoadTime;
    const bool memoryIsFree = engine.freeMb >= model.weightsMb;
    if (aNeed.model->onRestartingEngine &&
        (!memoryIsFree || load > kRestartTime)) {
      return false;
    }
    const double gain = aNeed.gainWithSlots(mSlots.at(aEngine).available);
    if (gain <= kMinGain) {
      return false;
    }
    aPlacement.gain = gain - base::inSeconds(load) * kCostPerLoadSecond -
                      engine.workMsPerSecond * kCostPerEngineWorkMs;
    if (aNeed.model->brokenSoftware.contains(engine.engine->software)) {
      aPlacement.gain += kSameSoftwareGain;
    }
    if (memoryIsFree) {
      return true;
    }
    const Eviction eviction = makeRoom(cachedVictims(aEngine, policyFor(aNeed)),
                                       model.weightsMb - engine.freeMb);
    if (eviction.first == nullptr ||
        gain < eviction.loss * kMinGainLossRatio + kMinGain) {
      return false;
    }
    aPlacement.victim = eviction.first;
    aPlacement.gain -= eviction.loss;
    return true;
  }

  std::optional<Placement> bestPlacement(const ReplicaNeed& aNeed)
  {
    for (const ModelPresence& presence : aNeed.model->presences) {
      mPresence[presence.engine] = presence;
    }
    std::optional<Placement> best;
    for (const std::size_t engine : mAvailableEngines) {
      Placement placement;
      if (evaluate(engine, aNeed, placement) &&
          (!best || placement.gain > best->gain)) {
        best = placement;
      }
    }
    for (const ModelPresence& presence : aNeed.model->presences) {
      mPresence[presence.engine] = {};
    }
    return best;
  }

  void place(const ReplicaNeed& aNeed)
  {
    const auto best = bestPlacement(aNeed);
    if (!best) {
      return;
    }
    std::erase(mAvailableEngines, best->engine);
    const base::UpstreamName& engine =
      mFleet.engines()[best->engine].engine->name;
    const ModelName& name = aNeed.model->name;
    const bool absent = aNeed.model->replicas == 0;
    const std::string reason =
      (absent ? "no replica of " : "more replicas of ") + name + ", gain " +
      std::to_string(static_cast<int>(aNeed.gain)) +
      ", adapters without slot " + std::to_string(aNeed.missingSlots);
    if (best->victim != nullptr) {
      // A later plan orders the load, once the engine's record shows that the
      // memory is free.
      markEvicted(*best->victim);
      mOrders.push_back(
        { engine, false, { best->victim->name, "" }, false, reason });
      return;
    }
    mAvailableStoreLoads -= best->fromStore ? 1 : 0;
    mOrders.push_back({ engine, true, { name, "" }, best->fromStore, reason });
  }

  FleetStats mFleet;
  SlotAllocation mSlots;
  unsigned mAvailableStoreLoads;
  std::vector<std::size_t>
    mAvailableEngines; ///< engines without an order in this plan
  std::vector<ModelPresence> mPresence;   ///< of the current model, by engine
  std::vector<Victims> mRedundantVictims; ///< for Keep, by engine
  std::vector<Victims> mIdleVictims;      ///< for EvictIdle, by engine
  std::vector<Victims> mInUseVictims;     ///< for EvictInUse, by engine
  std::vector<const ModelStats*> mEvicted;
  std::vector<PlannedOrder> mOrders;
};

} // namespace

std::vector<PlannedOrder>
planModels(const PlanInput& aInput)
{
  return ModelPlanner(aInput).plan();
}

} // namespace marigold::residency
