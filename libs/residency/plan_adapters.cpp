#include "residency/fleet_view.h"

#include <algorithm>
#include <tuple>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;
using catalog::ModelRef;

/** An adapter with more work than this gets a second place. */
constexpr double kHotAdapterMsPerSecond = 150;

/** Load that an engine without a free slot must have less than others. */
constexpr double kEvictionCost = 300;
/** Weight of a waiting request against work in ms per second. */
constexpr double kWaitingWeight = 100;
/** Weight of each second without a place: as a further waiting request, so
 * that a rare adapter overtakes a busy one within the timeouts of its callers,
 * 10 to 30 s. */
constexpr double kUnservedWeight = 100;
/** An adapter in use leaves only for one that was without a place for this
 * long: its unload waits for its requests, a few seconds, and no other order
 * reaches the engine meanwhile. */
constexpr base::Duration kLongUnserved = 5s;
/** An adapter in use must be worth less than the other by this factor. */
constexpr double kGainOverLoss = 2;
/** An adapter waits for a slot that an engine just freed until it was without a
 * place for this long; unloads in use, which begin after kLongUnserved, mostly
 * end within a few seconds. */
constexpr base::Duration kSlotComes = 10s;

double
valueOf(const Demand* aDemand)
{
  return aDemand == nullptr
           ? 0
           : aDemand->workMsPerSecond + kWaitingWeight * aDemand->waiting +
               kUnservedWeight * base::inSeconds(aDemand->unserved);
}

bool
inUse(const AdapterFigures& aAdapter)
{
  return aAdapter.demand != nullptr && aAdapter.demand->running > 0;
}

/** An adapter that a further place would help. */
struct Need
{
  bool absent = false; ///< no engine holds it and it is asked for
  double value = 0;    ///< against other needs and against what has to leave
  const ModelFigures* model = nullptr;
  const AdapterFigures* adapter = nullptr;
};

/** Adapters in the order in which they leave. */
enum class Loss : std::uint8_t
{
  Nothing,     ///< idle, and nobody asks for it or another engine holds it
  SecondPlace, ///< in use, but another engine holds it too
  Idle,        ///< asked for now and then, no other engine holds it
  InUse,       ///< no other engine holds it
};

/** An adapter that may leave an engine. */
struct Victim
{
  const ModelFigures* model = nullptr;
  AdapterFigures* adapter = nullptr; ///< none: no adapter may leave
  Loss loss = Loss::Nothing;
  double value = 0;
  bool known = false; ///< false before the first look and after a change
};

Loss
lossOf(const AdapterFigures& aAdapter)
{
  const bool second = aAdapter.places > 1;
  if (inUse(aAdapter)) {
    return second ? Loss::SecondPlace : Loss::InUse;
  }
  return second || valueOf(aAdapter.demand) < kLeastWorkMs ? Loss::Nothing
                                                           : Loss::Idle;
}

/** @return value with the running requests, which an unload waits for */
double
victimValueOf(const AdapterFigures& aAdapter)
{
  const Demand* demand = aAdapter.demand;
  return valueOf(demand) +
         (demand == nullptr ? 0 : kWaitingWeight * demand->running);
}

ModelRef
refOf(const ModelFigures& aModel, const AdapterFigures& aAdapter)
{
  return { aModel.name, std::string(aAdapter.name) };
}

/** Plans the adapters of one service. */
class AdapterPlanner
{
public:
  explicit AdapterPlanner(const PlanInput& aSituation)
    : mView(aSituation)
    , mUsed(aSituation.engines.size())
    , mVictims(aSituation.engines.size())
    , mPromised(aSituation.engines.size())
  {
    for (std::size_t i = 0; i < mUsed.size(); ++i) {
      mUsed[i] = mView.engines()[i].mayOrder ? 0 : 1;
      mLeft += mView.engines()[i].mayOrder ? 1U : 0U;
    }
  }

  std::vector<PlannedOrder> plan()
  {
    for (const Need& need : needs()) {
      if (mLeft == 0) {
        break;
      }
      place(need);
    }
    return std::move(mSteps);
  }

  std::vector<PlannedOrder> planSpare()
  {
    for (const ModelFigures& model : mView.models()) {
      if (model.spec == nullptr || model.workMsPerSecond < kLeastWorkMs) {
        continue;
      }
      for (const std::string& adapter : model.spec->adapters) {
        const auto known = model.adapters.find(adapter);
        const bool held =
          known != model.adapters.end() && known->second.places > 0;
        if (!held && !fill(model, adapter)) {
          break;
        }
      }
    }
    return std::move(mSteps);
  }

private:
  /** @return absent adapters that are asked for, then hot ones, each by
   * urgency */
  std::vector<Need> needs()
  {
    std::vector<Need> needs;
    for (const ModelFigures& model : mView.models()) {
      if (model.spec == nullptr) {
        continue;
      }
      for (const auto& [name, adapter] : model.adapters) {
        const Demand* demand = adapter.demand;
        if (demand == nullptr) {
          continue;
        }
        const bool absent =
          adapter.places == 0 &&
          (demand->waiting > 0 || demand->unserved > base::Duration{});
        const bool hot = adapter.places == 1 &&
                         demand->workMsPerSecond > kHotAdapterMsPerSecond;
        if (absent || hot) {
          needs.push_back({ absent, valueOf(demand), &model, &adapter });
        }
      }
    }
    std::stable_sort(
      needs.begin(), needs.end(), [](const Need& aLeft, const Need& aRight) {
        return aLeft.absent != aRight.absent ? aLeft.absent
                                             : aLeft.value > aRight.value;
      });
    return needs;
  }

  bool slotFree(const EngineFigures& aEngine) const
  {
    return aEngine.adapters < mView.situation().spec->adapterSlots;
  }

  /** @return true if the engine has the model and may get an order for it */
  bool canTake(const Trace& aTrace) const
  {
    return aTrace.holds && !aTrace.unloading && mUsed[aTrace.engine] == 0;
  }

  /** Loads an adapter at the engine with the most free slots.
   * @return false if no engine has a slot for an adapter of the model */
  bool fill(const ModelFigures& aModel, const std::string& aAdapter)
  {
    const EngineFigures* best = nullptr;
    std::size_t bestIndex = 0;
    for (const Trace& trace : aModel.traces) {
      const EngineFigures& engine = mView.engines()[trace.engine];
      if (canTake(trace) && slotFree(engine) &&
          (best == nullptr || engine.adapters < best->adapters)) {
        best = &engine;
        bestIndex = trace.engine;
      }
    }
    if (best == nullptr) {
      return false;
    }
    order(bestIndex, true, { aModel.name, aAdapter }, "free slot");
    return true;
  }

  /** @return the adapter at the engine whose place is worth least */
  Victim leastLoss(const EngineFigures& aEngine) const
  {
    Victim least;
    least.known = true;
    for (const HeldModel& held : aEngine.held) {
      for (AdapterFigures* adapter : held.adapters) {
        if (fresh(aEngine, *held.model, *adapter)) {
          continue;
        }
        const Loss loss = lossOf(*adapter);
        const double value = victimValueOf(*adapter);
        if (least.adapter == nullptr ||
            std::tie(loss, value) < std::tie(least.loss, least.value)) {
          least = { held.model, adapter, loss, value, true };
        }
      }
    }
    return least;
  }

  static bool fresh(const EngineFigures& aEngine,
                    const ModelFigures& aModel,
                    const AdapterFigures& aAdapter)
  {
    const std::set<ModelRef>& fresh = aEngine.engine->fresh;
    return !fresh.empty() && fresh.contains(refOf(aModel, aAdapter));
  }

  const Victim& victimOf(std::size_t aEngine)
  {
    Victim& victim = mVictims[aEngine];
    if (!victim.known) {
      victim = leastLoss(mView.engines()[aEngine]);
    }
    return victim;
  }

  static bool holds(const EngineFigures& aEngine,
                    const AdapterFigures& aAdapter)
  {
    return std::any_of(
      aEngine.held.begin(), aEngine.held.end(), [&](const HeldModel& aHeld) {
        return std::find(aHeld.adapters.begin(),
                         aHeld.adapters.end(),
                         &aAdapter) != aHeld.adapters.end();
      });
  }

  void place(const Need& aNeed)
  {
    const Trace* best = nullptr;
    Victim bestVictim;
    double bestCost = 0;
    for (const Trace& trace : aNeed.model->traces) {
      const EngineFigures& engine = mView.engines()[trace.engine];
      if (!canTake(trace) || holds(engine, *aNeed.adapter)) {
        continue;
      }
      Victim victim;
      double cost = engine.loadMsPerSecond;
      if (!slotFree(engine)) {
        victim = victimOf(trace.engine);
        if (!mayLeave(victim, aNeed)) {
          continue;
        }
        cost +=
          kEvictionCost * (1 + static_cast<double>(victim.loss)) + victim.value;
      }
      if (best == nullptr || cost < bestCost) {
        best = &trace;
        bestVictim = victim;
        bestCost = cost;
      }
    }
    const bool loads = best != nullptr && bestVictim.adapter == nullptr;
    if (best == nullptr || (!loads && slotComes(aNeed))) {
      return;
    }
    const char* reason = aNeed.absent ? "requests wait" : "hot";
    if (bestVictim.adapter == nullptr) {
      order(best->engine, true, refOf(*aNeed.model, *aNeed.adapter), reason);
      return;
    }
    take(bestVictim);
    order(best->engine,
          false,
          refOf(*bestVictim.model, *bestVictim.adapter),
          reason);
  }

  /** @return true if an engine of the model has a slot but gets no orders now,
   * as after an unload until its report; the slot then counts as promised */
  bool slotComes(const Need& aNeed)
  {
    if (aNeed.adapter->demand->unserved > kSlotComes) {
      return false;
    }
    for (const Trace& trace : aNeed.model->traces) {
      const EngineFigures& figures = mView.engines()[trace.engine];
      const Engine& engine = *figures.engine;
      const bool settles = !engine.draining && !engine.orderable &&
                           engine.loading.empty() && engine.unloading.empty();
      if (trace.holds && settles &&
          figures.adapters + mPromised[trace.engine] <
            mView.situation().spec->adapterSlots) {
        ++mPromised[trace.engine];
        return true;
      }
    }
    return false;
  }

  static bool mayLeave(const Victim& aVictim, const Need& aNeed)
  {
    if (aVictim.adapter == nullptr) {
      return false;
    }
    if (aNeed.absent && aNeed.adapter->demand->waiting == 0) {
      return false; // It was asked for a moment ago; a free slot will do.
    }
    if (!aNeed.absent) {
      return aVictim.loss == Loss::Nothing && aVictim.value <= aNeed.value;
    }
    switch (aVictim.loss) {
      case Loss::Nothing:
      case Loss::SecondPlace:
        return true;
      case Loss::Idle:
        return aVictim.value <= aNeed.value;
      case Loss::InUse:
        return aNeed.adapter->demand->unserved >= kLongUnserved &&
               aVictim.value * kGainOverLoss <= aNeed.value;
    }
    return false;
  }

  /** An adapter leaves an engine; its last place is no second place. */
  void take(const Victim& aVictim)
  {
    --aVictim.adapter->places;
    for (const Trace& trace : aVictim.model->traces) {
      mVictims[trace.engine].known = false;
    }
  }

  void order(std::size_t aEngine,
             bool aLoad,
             const ModelRef& aWhat,
             const char* aReason)
  {
    mUsed[aEngine] = 1;
    --mLeft;
    mSteps.push_back(
      { mView.engines()[aEngine].engine->name, aLoad, aWhat, false, aReason });
  }

  FleetView mView;
  std::vector<char> mUsed; ///< by engine: it gets no further order
  std::size_t mLeft = 0;   ///< engines that may still get one
  std::vector<Victim> mVictims;
  std::vector<unsigned> mPromised; ///< by engine: slots that come
  std::vector<PlannedOrder> mSteps;
};

} // namespace

std::vector<PlannedOrder>
planAdapters(const PlanInput& aSituation)
{
  return AdapterPlanner(aSituation).plan();
}

std::vector<PlannedOrder>
planAdapterPrefetch(const PlanInput& aSituation)
{
  return AdapterPlanner(aSituation).planSpare();
}

} // namespace marigold::residency
