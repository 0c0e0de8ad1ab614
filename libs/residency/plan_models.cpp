#include "residency/fleet_view.h"

#include <algorithm>
#include <optional>

namespace marigold::residency {
namespace {

using base::ModelName;

/** A replica that spends more of each second on one model is a bottleneck. */
constexpr double kHotMsPerSecond = 450;
/** Taking a replica away must leave the others below this. */
constexpr double kCoolMsPerSecond = 300;
/** A model with less work than this is idle. */
constexpr double kIdleMsPerSecond = 1;

/** Where and how a model could be loaded. */
struct Option
{
  const Engine* engine = nullptr;
  std::optional<ModelName> victim;
  double cost = 0; ///< lower is better
  bool fromStore = true;
};

double
loadSeconds(const catalog::Model& aModel, const Engine& aEngine)
{
  if (aEngine.cachedInMemory.contains(aModel.name)) {
    return base::inSeconds(aModel.memoryLoad);
  }
  if (aEngine.cachedOnDisk.contains(aModel.name)) {
    return base::inSeconds(aModel.diskLoad);
  }
  return base::inSeconds(aModel.storeLoad);
}

/** Plans the models of one service. */
class ModelPlanner
{
public:
  explicit ModelPlanner(const Situation& aSituation)
    : mView(aSituation)
    , mStoreLoadsLeft(aSituation.storeLoadsLeft)
  {
  }

  std::vector<Step> plan()
  {
    for (const auto& [need, name, reason] : needs()) {
      place(name, reason);
    }
    return std::move(mSteps);
  }

private:
  struct Need
  {
    double urgency = 0;
    ModelName name;
    const char* reason = "";
  };

  /** @return models that need a further replica, the most urgent first */
  std::vector<Need> needs() const
  {
    constexpr double kWaitingUrgency = 1e6;
    constexpr double kAbsentUrgency = 1e5;
    std::vector<Need> needs;
    for (const auto& [name, model] : mView.situation().spec->models) {
      const double work = mView.work(name);
      if (mView.replicas(name) == 0) {
        const unsigned waiting = mView.waiting(name);
        needs.push_back({ waiting * kWaitingUrgency + kAbsentUrgency + work,
                          name,
                          waiting > 0 ? "requests wait" : "no replica" });
      } else if (mView.workPerReplica(name) > kHotMsPerSecond) {
        needs.push_back({ mView.workPerReplica(name), name, "hot" });
      }
    }
    std::stable_sort(
      needs.begin(), needs.end(), [](const Need& aLeft, const Need& aRight) {
        return aLeft.urgency > aRight.urgency;
      });
    return needs;
  }

  /** @return the model whose loss at the engine hurts least, if any may go */
  std::optional<ModelName> victimOf(const Engine& aEngine,
                                    const ModelName& aFor) const
  {
    std::optional<ModelName> best;
    double bestWork = kCoolMsPerSecond;
    const bool urgent = mView.replicas(aFor) == 0 &&
                        (mView.waiting(aFor) > 0 ||
                         mView.work(aFor) > kIdleMsPerSecond);
    for (const auto& [name, adapters] : aEngine.models) {
      const unsigned replicas = mView.replicas(name);
      if (name == aFor || mTaken.contains(name)) {
        continue;
      }
      double work = 0;
      if (replicas > 1) {
        work = mView.work(name) / (replicas - 1);
      } else if (urgent && mView.work(name) < kIdleMsPerSecond &&
                 mView.waiting(name) == 0) {
        work = kCoolMsPerSecond / 2; // the last replica of an idle model
      } else {
        continue;
      }
      if (work < bestWork) {
        best = name;
        bestWork = work;
      }
    }
    return best;
  }

  std::optional<Option> optionAt(const Engine& aEngine,
                                 const catalog::Model& aModel) const
  {
    if (aEngine.leaving || !aEngine.orderable || mUsed.contains(aEngine.name) ||
        aEngine.models.contains(aModel.name) ||
        aEngine.arriving.contains(aModel.name)) {
      return std::nullopt;
    }
    Option option;
    option.engine = &aEngine;
    option.fromStore = !aEngine.cachedInMemory.contains(aModel.name) &&
                       !aEngine.cachedOnDisk.contains(aModel.name);
    constexpr double kMsPerSecond = 1000;
    option.cost = loadSeconds(aModel, aEngine) +
                  mView.engineLoad(aEngine) / kMsPerSecond * 4;
    if (mView.freeMb(aEngine) < aModel.weightsMb) {
      option.victim = victimOf(aEngine, aModel.name);
      if (!option.victim) {
        return std::nullopt;
      }
      constexpr double kUnloadSeconds = 0.5;
      option.cost += kUnloadSeconds +
                     mView.workPerReplica(*option.victim) / kMsPerSecond * 4;
    }
    return option;
  }

  void place(const ModelName& aName, const char* aReason)
  {
    const catalog::Model& model = mView.situation().spec->models.at(aName);
    std::optional<Option> best;
    for (const Engine& engine : mView.situation().engines) {
      const auto option = optionAt(engine, model);
      const bool allowed =
        option && (!option->fromStore || mStoreLoadsLeft > 0);
      if (allowed && (!best || option->cost < best->cost)) {
        best = option;
      }
    }
    if (!best) {
      return;
    }
    mUsed.insert(best->engine->name);
    if (best->victim) {
      // The load follows once a report shows that the memory is free.
      mTaken.insert(*best->victim);
      mSteps.push_back(
        { best->engine->name, false, { *best->victim, "" }, false, aReason });
      return;
    }
    mStoreLoadsLeft -= best->fromStore ? 1 : 0;
    mSteps.push_back(
      { best->engine->name, true, { aName, "" }, best->fromStore, aReason });
  }

  FleetView mView;
  unsigned mStoreLoadsLeft;
  std::set<base::UpstreamName> mUsed;
  std::set<ModelName> mTaken;
  std::vector<Step> mSteps;
};

} // namespace

std::vector<Step>
planModels(const Situation& aSituation)
{
  return ModelPlanner(aSituation).plan();
}

} // namespace marigold::residency
