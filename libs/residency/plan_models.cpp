#include "residency/slot_share.h"

#include <algorithm>
#include <optional>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;
using base::ModelName;

/** Work per replica at which one more millisecond of work costs twice as much:
 * about a third of an engine, which other models share. */
constexpr double kFairMsPerSecond = 300;
/** A model with a single replica is lost with it, for as long as a load takes;
 * this part of its work, up to a limit, counts as that risk. */
constexpr double kSingleRisk = 0.5;
constexpr double kMostRiskedMs = 60;
/** Cost of a model that no engine holds: its first caller waits for a load. */
constexpr double kAbsentCost = 40;
/** Cost of each request that waits for the model now. */
constexpr double kWaitingCost = 200;
/** Cost of each second for which an absent model has been asked for; with it a
 * rare model overtakes busier ones within the timeouts of its callers, 5 to
 * 15 s. */
constexpr double kUnservedCost = 40;
/** The last replica of a model in use leaves only for one that was asked for
 * without an engine for this long: two of the shorter timeouts of callers, so
 * that the places of busy models do not change hands all the time. */
constexpr base::Duration kLongUnserved = 10s;
/** Cost of each adapter that is asked for and for which the engines of its
 * model have no slot: more than that of an absent model, because its callers
 * wait for as long as this lasts, not for one load; less than a waiting
 * request, because slots can change hands. */
constexpr double kAdapterCost = 60;
/** A change must bring this much more than it costs, because demand is only
 * estimated and every load takes a part of the store's rate. */
constexpr double kLeastGain = 25;
constexpr double kGainOverLoss = 2;
/** Work below which the last replica of a model may leave for a model that
 * requests wait for. */
constexpr double kIdleMsPerSecond = 1;
/** Weight of a second of loading and of an engine's other work when the engine
 * is chosen. */
constexpr double kSecondCost = 10;
constexpr double kEngineLoadCost = 0.05;

/** A place for a further replica. */
struct Option
{
  std::size_t engine = 0;
  ModelFigures* victim = nullptr;
  double gain = 0;
  bool fromStore = true;
};

/** A model that a further replica would help. */
struct Need
{
  bool awaited = false; ///< no engine holds the model and requests wait for it
  bool starved = false; ///< likewise, for a long time
  double gain = 0;      ///< without the adapters
  unsigned lacking = 0; ///< adapters that need a slot of a further replica
  ModelFigures* model = nullptr;

  /** @param aSlots slots that adapters can get with the replica */
  double gainWith(unsigned aSlots) const
  {
    return gain + kAdapterCost * std::min(lacking, aSlots);
  }
};

/** Which last replicas may leave an engine. */
enum class LastReplica : std::uint8_t
{
  Stays,
  LeavesIdle,
  LeavesInUse,
};

/** A model that may leave an engine. */
struct Victim
{
  ModelFigures* model = nullptr; ///< none: no model may leave
  double loss = 0;
  bool known = false; ///< false before the first look and after a change
};

/** @return cost of serving the model's demand with a number of replicas */
double
costOf(const ModelFigures& aModel, unsigned aReplicas)
{
  const double work = aModel.workMsPerSecond;
  if (aReplicas == 0) {
    return kAbsentCost + work * work / kFairMsPerSecond + work +
           aModel.waiting * kWaitingCost +
           base::inSeconds(aModel.unserved) * kUnservedCost;
  }
  const double queueing = work * work / (kFairMsPerSecond * aReplicas);
  const double risk =
    aReplicas == 1 ? kSingleRisk * std::min(work, kMostRiskedMs) : 0;
  return queueing + risk;
}

/**
 * Plans the models of one service by the gain of each further replica against
 * the loss of the one that has to leave for it.
 */
class ModelPlanner
{
public:
  explicit ModelPlanner(const PlanInput& aSituation)
    : mView(aSituation)
    , mSlots(mView)
    , mStoreLoadsLeft(aSituation.availableStoreLoads)
    , mTraces(aSituation.engines.size())
    , mVictims(aSituation.engines.size())
    , mIdleVictims(aSituation.engines.size())
    , mUsedVictims(aSituation.engines.size())
  {
    for (std::size_t i = 0; i < mView.engines().size(); ++i) {
      if (mView.engines()[i].mayOrder) {
        mOrderable.push_back(i);
      }
    }
  }

  std::vector<PlannedOrder> plan()
  {
    for (const Need& need : needs()) {
      if (mOrderable.empty()) {
        break;
      }
      place(need);
    }
    return std::move(mSteps);
  }

private:
  /** @return models that requests wait for in vain for long, then the others,
   * each by the gain of a further replica, the largest first */
  std::vector<Need> needs()
  {
    const unsigned slots = mView.situation().spec->adapterSlots;
    std::vector<Need> needs;
    for (ModelFigures& model : mView.models()) {
      if (model.spec == nullptr) {
        continue;
      }
      const unsigned lacking = mSlots.lacking(model);
      double gain =
        costOf(model, model.replicas) - costOf(model, model.replicas + 1);
      // Requests for an adapter of an absent model wait for the model too.
      gain += model.replicas == 0 && lacking > 0 ? kWaitingCost : 0;
      const bool awaited =
        model.replicas == 0 && (model.waiting > 0 || lacking > 0);
      const bool starved = awaited && model.unserved >= kLongUnserved;
      const Need need{ awaited, starved, gain, lacking, &model };
      if (need.gainWith(slots) > kLeastGain) {
        needs.push_back(need);
      }
    }
    std::stable_sort(needs.begin(),
                     needs.end(),
                     [slots](const Need& aLeft, const Need& aRight) {
                       return aLeft.starved != aRight.starved
                                ? aLeft.starved
                                : aLeft.gainWith(slots) >
                                    aRight.gainWith(slots);
                     });
    return needs;
  }

  /** @return the model at the engine whose loss costs least */
  Victim leastLoss(std::size_t aEngine, LastReplica aLast) const
  {
    const auto& allHeld = mView.engines()[aEngine].held;
    Victim best;
    best.known = true;
    for (std::size_t i = 0; i < allHeld.size(); ++i) {
      const HeldModel& held = allHeld[i];
      const ModelFigures& model = *held.model;
      if (model.replicas == 0 || held.unloading || taken(model)) {
        continue;
      }
      const bool idle = model.workMsPerSecond < kIdleMsPerSecond;
      const bool lastMayLeave = aLast == LastReplica::LeavesInUse ||
                                (aLast == LastReplica::LeavesIdle && idle);
      if (model.replicas == 1 && !lastMayLeave) {
        continue;
      }
      const double loss = costOf(model, model.replicas - 1) -
                          costOf(model, model.replicas) +
                          kAdapterCost * mSlots.at(aEngine).usedBy[i];
      if (best.model == nullptr || loss < best.loss) {
        best.model = held.model;
        best.loss = loss;
      }
    }
    return best;
  }

  const Victim& victimOf(std::size_t aEngine, LastReplica aLast)
  {
    Victim& victim = aLast == LastReplica::Stays        ? mVictims[aEngine]
                     : aLast == LastReplica::LeavesIdle ? mIdleVictims[aEngine]
                                                        : mUsedVictims[aEngine];
    if (!victim.known) {
      victim = leastLoss(aEngine, aLast);
    }
    return victim;
  }

  static LastReplica lastReplicaFor(const Need& aNeed)
  {
    if (!aNeed.awaited) {
      return LastReplica::Stays;
    }
    return aNeed.starved ? LastReplica::LeavesInUse : LastReplica::LeavesIdle;
  }

  bool taken(const ModelFigures& aModel) const
  {
    return std::find(mTaken.begin(), mTaken.end(), &aModel) != mTaken.end();
  }

  /** A model leaves an engine in this plan; no other replica of it does. */
  void take(ModelFigures& aModel)
  {
    mTaken.push_back(&aModel);
    for (const Trace& trace : aModel.traces) {
      mVictims[trace.engine].known = false;
      mIdleVictims[trace.engine].known = false;
      mUsedVictims[trace.engine].known = false;
    }
  }

  /** @return true if the engine can get the model, with what it takes */
  bool consider(std::size_t aEngine, const Need& aNeed, Option& aOption)
  {
    const EngineFigures& engine = mView.engines()[aEngine];
    const catalog::Model& model = *aNeed.model->spec;
    const Trace& trace = mTraces[aEngine];
    if (trace.holds || trace.loading) {
      return false;
    }
    aOption.engine = aEngine;
    aOption.fromStore = !trace.inMemory && !trace.onDisk;
    if (aOption.fromStore && mStoreLoadsLeft == 0) {
      return false;
    }
    const base::Duration load = trace.inMemory ? model.memoryLoad
                                : trace.onDisk ? model.diskLoad
                                               : model.storeLoad;
    const double gain = aNeed.gainWith(mSlots.at(aEngine).open);
    if (gain <= kLeastGain) {
      return false;
    }
    aOption.gain = gain - base::inSeconds(load) * kSecondCost -
                   engine.loadMsPerSecond * kEngineLoadCost;
    if (engine.freeMb >= model.weightsMb) {
      return true;
    }
    const Victim& victim = victimOf(aEngine, lastReplicaFor(aNeed));
    if (victim.model == nullptr ||
        gain < victim.loss * kGainOverLoss + kLeastGain) {
      return false;
    }
    aOption.victim = victim.model;
    aOption.gain -= victim.loss;
    return true;
  }

  std::optional<Option> bestOption(const Need& aNeed)
  {
    for (const Trace& trace : aNeed.model->traces) {
      mTraces[trace.engine] = trace;
    }
    std::optional<Option> best;
    for (const std::size_t engine : mOrderable) {
      Option option;
      if (consider(engine, aNeed, option) &&
          (!best || option.gain > best->gain)) {
        best = option;
      }
    }
    for (const Trace& trace : aNeed.model->traces) {
      mTraces[trace.engine] = {};
    }
    return best;
  }

  void place(const Need& aNeed)
  {
    const auto best = bestOption(aNeed);
    if (!best) {
      return;
    }
    std::erase(mOrderable, best->engine);
    const base::UpstreamName& engine =
      mView.engines()[best->engine].engine->name;
    const ModelName& name = aNeed.model->name;
    const bool absent = aNeed.model->replicas == 0;
    const std::string reason =
      (absent ? "no replica of " : "more replicas of ") + name + ", gain " +
      std::to_string(static_cast<int>(aNeed.gain)) +
      ", adapters without slot " + std::to_string(aNeed.lacking);
    if (best->victim != nullptr) {
      // The load follows once the record shows that the memory is free.
      take(*best->victim);
      mSteps.push_back(
        { engine, false, { best->victim->name, "" }, false, reason });
      return;
    }
    mStoreLoadsLeft -= best->fromStore ? 1 : 0;
    mSteps.push_back({ engine, true, { name, "" }, best->fromStore, reason });
  }

  FleetView mView;
  SlotShare mSlots;
  unsigned mStoreLoadsLeft;
  std::vector<std::size_t> mOrderable; ///< engines without an order, in order
  std::vector<Trace> mTraces;          ///< of the model in hand, by engine
  std::vector<Victim> mVictims;        ///< by engine
  std::vector<Victim> mIdleVictims;    ///< where a last idle replica may leave
  std::vector<Victim> mUsedVictims;    ///< where any last replica may leave
  std::vector<const ModelFigures*> mTaken;
  std::vector<PlannedOrder> mSteps;
};

} // namespace

std::vector<PlannedOrder>
planModels(const PlanInput& aSituation)
{
  return ModelPlanner(aSituation).plan();
}

} // namespace marigold::residency
