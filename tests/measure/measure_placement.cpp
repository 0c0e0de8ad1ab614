/**
 * @file
 * Measures the planners of the residency library and simple baselines in
 * virtual time on the engines of each deployment. Each model has its demand
 * peak at another time of the run, as the evening peak moves with the sunset.
 * Prints one JSON object per line.
 */
#include "apps/gateway/demand_meter.h"
#include "placement_baselines.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;
using namespace marigold::residency;
using namespace std::chrono_literals;

namespace {

constexpr const char* kUsage = R"(Measures placement strategies in one run.

Usage:
  measure-placement [--deployment NAME] [--seed N] [--hours N]
  measure-placement (-h | --help)

Options:
  --deployment NAME  kochi, hreinsun or both [default: both].
  --seed N           Seed of the demand [default: 1].
  --hours N          Simulated hours [default: 6].
  -h --help          Show this text.
)";

/** Size of a deployment and limits on its loads. */
struct Deployment
{
  const char* name;
  int engines;
  int models;
  int adapters;
  double storeLoadsPerSecond;
};

constexpr std::array kDeployments{
  Deployment{ "kochi", 12, 15, 40, 1 },
  Deployment{ "hreinsun", 21, 35, 100, 2 },
};

constexpr base::Duration kTick = 1s;
constexpr double kEngineMb = 80000;
constexpr double kModelMb = 30000;
constexpr double kAdapterMb = 200;
constexpr unsigned kAdapterSlots = 100;
constexpr base::Duration kLoadTime = 8s;
constexpr base::Duration kStoreWindow = 5s;
/** Plans in one tick: an engine takes one order at a time, and loads of
 * adapters take far less than a tick. */
constexpr int kPlansPerTick = 10;
constexpr int kTeams = 5;

/** Requests per second that one engine completes. */
constexpr double kEngineRequestsPerSecond = 10;

/** A request that completes within this time is in time. */
constexpr double kDeadlineSeconds = 20;

/** Peak demand as a share of the capacity of all engines. */
constexpr double kPeakLoad = 0.9;

/** Demand of a model falls to 1/e at this distance from its peak. */
constexpr double kPeakWidthSeconds = 1800;

constexpr double kWorkMsPerRequest = 1000 / kEngineRequestsPerSecond;

/** An engine with its models and the load in progress. */
struct SimulatedEngine
{
  base::UpstreamName name;
  HeldModels models;
  std::optional<base::ModelName> loading;
  base::Duration loadTimeLeft{};
};

/** Waiting requests for one model or adapter, by second of arrival. */
struct Queue
{
  catalog::ModelRef item;
  int team = 0;
  std::map<int, double> waiting;
  double served = 0; ///< in this tick
};

/** Totals of a run with one planner. */
struct StrategyResult
{
  double inTime = 0;
  double late = 0;
  int modelMoves = 0;
  int adapterMoves = 0;
  std::vector<double> teamInTimeRequests = std::vector<double>(kTeams);
  std::vector<double> teamRequests = std::vector<double>(kTeams);
};

/** Runs a planner against generated demand. */
class PlacementSimulation
{
public:
  PlacementSimulation(const Deployment& aDeployment,
                      std::string_view aPlanner,
                      std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mRandom(aSeed)
    , mPlanner(measure::makePlanner(aPlanner))
  {
    mStoreLoads.setLimit(
      { mDeployment.storeLoadsPerSecond, kStoreWindow, 1, 0 });
    for (int i = 0; i < mDeployment.engines; ++i) {
      mEngines.push_back({ "e" + std::to_string(i), {}, {}, {} });
    }
    declareModels();
  }

  StrategyResult run(int aSeconds)
  {
    for (mElapsedSeconds = 0; mElapsedSeconds < aSeconds; ++mElapsedSeconds) {
      mNow += kTick;
      generateRequests(aSeconds);
      serveQueues();
      advanceLoads();
      orderLoads();
    }
    return mResult;
  }

private:
  void declareModels()
  {
    mSpec.weightsMb = kEngineMb;
    mSpec.adapterSlots = kAdapterSlots;
    mSpec.storeLoadsPerSecond = mDeployment.storeLoadsPerSecond;
    for (int i = 0; i < mDeployment.models; ++i) {
      catalog::Model model;
      model.name = "m" + std::to_string(i);
      model.weightsMb = kModelMb;
      model.adapterMb = kAdapterMb;
      model.storeLoadTime = kLoadTime;
      mQueues.push_back({ { model.name, "" }, i % kTeams, {} });
      mPeakTimes.push_back(mRandom.unit());
      // A few models get most of the demand.
      mDemandWeights.push_back(1.0 /
                               (1 + static_cast<double>(mRandom.below(8))));
      mSpec.models[model.name] = std::move(model);
    }
    for (int i = 0; i < mDeployment.adapters; ++i) {
      const int model = i % mDeployment.models;
      const catalog::ModelRef item{ "m" + std::to_string(model),
                                    "a" + std::to_string(i) };
      mSpec.models.at(item.model).adapters.push_back(item.adapter);
      mQueues.push_back({ item, i % kTeams, {} });
      mPeakTimes.push_back(mPeakTimes.at(model));
      mDemandWeights.push_back(0.2 /
                               (1 + static_cast<double>(mRandom.below(4))));
    }
  }

  /** @return the current demand of a queue relative to its peak */
  double relativeDemand(std::size_t aQueue, int aSeconds) const
  {
    constexpr double kBaseDemand = 0.02;
    const double peakSeconds = mPeakTimes[aQueue] * aSeconds;
    const double distance = (mElapsedSeconds - peakSeconds) / kPeakWidthSeconds;
    return kBaseDemand + std::exp(-distance * distance);
  }

  void generateRequests(int aSeconds)
  {
    double totalWeight = 0;
    for (const double weight : mDemandWeights) {
      totalWeight += weight;
    }
    // The mean of relativeDemand is about two peak widths divided by the
    // length of the run.
    const double requestsPerWeight = kPeakLoad * kEngineRequestsPerSecond *
                                     mDeployment.engines / totalWeight *
                                     (aSeconds / (2 * kPeakWidthSeconds));
    for (std::size_t i = 0; i < mQueues.size(); ++i) {
      const double mean =
        requestsPerWeight * mDemandWeights[i] * relativeDemand(i, aSeconds);
      // Bursts: one second in ten carries the requests of ten seconds.
      const double arrived = mRandom.chance(0.1) ? mean * 10 : 0;
      Queue& queue = mQueues[i];
      if (arrived > 0) {
        queue.waiting[mElapsedSeconds] += arrived;
        mResult.teamRequests[queue.team] += arrived;
        mDemandMeter.add(queue.item, arrived * kWorkMsPerRequest, mNow);
        mRequests[queue.item] += arrived;
        if (!queue.item.adapter.empty()) {
          mRequests[{ queue.item.model, "" }] += arrived;
        }
      }
    }
  }

  /** @return whether the engine has both the model and the adapter */
  static bool isResident(const SimulatedEngine& aEngine,
                         const catalog::ModelRef& aItem)
  {
    const auto held = aEngine.models.find(aItem.model);
    return held != aEngine.models.end() &&
           (aItem.adapter.empty() || held->second.contains(aItem.adapter));
  }

  /** Serves the oldest requests of each queue. Queues with fewer engines go
   * first, as with routing by load. */
  void serveQueues()
  {
    std::vector<double> capacity(mEngines.size(), kEngineRequestsPerSecond);
    std::vector<std::pair<int, Queue*>> queuesByEngines;
    for (Queue& queue : mQueues) {
      int engines = 0;
      for (const SimulatedEngine& engine : mEngines) {
        engines += isResident(engine, queue.item) ? 1 : 0;
      }
      queuesByEngines.emplace_back(engines, &queue);
    }
    std::stable_sort(
      queuesByEngines.begin(),
      queuesByEngines.end(),
      [](auto& aLeft, auto& aRight) { return aLeft.first < aRight.first; });
    mWaiting.clear();
    for (auto& [engines, queue] : queuesByEngines) {
      queue->served = 0;
      for (std::size_t i = 0; i < mEngines.size(); ++i) {
        if (isResident(mEngines[i], queue->item)) {
          serveFromQueue(*queue, capacity[i]);
        }
      }
      dropLateRequests(*queue);
      double waiting = 0;
      for (const auto& [second, count] : queue->waiting) {
        waiting += std::ceil(count);
      }
      mWaiting[queue->item] = engines == 0 ? static_cast<unsigned>(waiting) : 0;
    }
  }

  void serveFromQueue(Queue& aQueue, double& aCapacity)
  {
    while (!aQueue.waiting.empty() && aCapacity > 0) {
      auto& [second, count] = *aQueue.waiting.begin();
      const double served = std::min(count, aCapacity);
      aCapacity -= served;
      count -= served;
      aQueue.served += served;
      mResult.inTime += served;
      mResult.teamInTimeRequests[aQueue.team] += served;
      if (count <= 0) {
        aQueue.waiting.erase(aQueue.waiting.begin());
      }
    }
  }

  /** Drops requests past their deadline. */
  void dropLateRequests(Queue& aQueue)
  {
    while (!aQueue.waiting.empty() &&
           mElapsedSeconds - aQueue.waiting.begin()->first > kDeadlineSeconds) {
      mResult.late += aQueue.waiting.begin()->second;
      aQueue.waiting.erase(aQueue.waiting.begin());
    }
  }

  void advanceLoads()
  {
    for (SimulatedEngine& engine : mEngines) {
      engine.loadTimeLeft -= kTick;
      if (engine.loading && engine.loadTimeLeft <= base::Duration{}) {
        engine.models[*engine.loading];
        engine.loading.reset();
      }
    }
  }

  void orderLoads()
  {
    for (int plan = 0; plan < kPlansPerTick; ++plan) {
      const auto orders = mPlanner->plan(planInput(), mRequests, mNow);
      for (const PlannedOrder& order : orders) {
        execute(order);
      }
      if (orders.empty()) {
        break;
      }
    }
    mRequests.clear();
  }

  PlanInput planInput()
  {
    PlanInput input;
    input.spec = &mSpec;
    for (const auto& [item, rate] : mDemandMeter.rates(mNow)) {
      input.demand[item].workMsPerSecond = rate;
    }
    for (const Queue& queue : mQueues) {
      const unsigned waiting = mWaiting[queue.item];
      if (waiting > 0 || queue.served > 0) {
        Demand& demand = input.demand[queue.item];
        demand.waiting = waiting;
        demand.running = static_cast<unsigned>(
          std::ceil(queue.served / kEngineRequestsPerSecond));
      }
    }
    input.availableStoreLoads = mStoreLoads.available(mNow);
    for (const SimulatedEngine& simulated : mEngines) {
      Engine engine;
      engine.name = simulated.name;
      engine.dataCentre = "dc";
      engine.models = simulated.models;
      engine.orderable = !simulated.loading;
      if (simulated.loading) {
        engine.loading.insert(*simulated.loading);
      }
      input.engines.push_back(std::move(engine));
    }
    return input;
  }

  void execute(const PlannedOrder& aOrder)
  {
    const auto engine = std::find_if(
      mEngines.begin(), mEngines.end(), [&](const SimulatedEngine& aEngine) {
        return aEngine.name == aOrder.engine;
      });
    const auto& [model, adapter] = aOrder.target;
    if (aOrder.load) {
      ++(adapter.empty() ? mResult.modelMoves : mResult.adapterMoves);
    }
    if (!adapter.empty()) {
      auto& adapters = engine->models.at(model);
      if (aOrder.load) {
        adapters.insert(adapter);
      } else {
        adapters.erase(adapter);
      }
    } else if (aOrder.load) {
      mStoreLoads.recordLoad(mNow);
      engine->loading = model;
      engine->loadTimeLeft = kLoadTime;
    } else {
      engine->models.erase(model);
    }
    checkMemory(*engine);
  }

  void checkMemory(const SimulatedEngine& aEngine) const
  {
    double used = aEngine.loading ? kModelMb : 0;
    std::size_t slots = 0;
    for (const auto& [model, adapters] : aEngine.models) {
      slots += adapters.size();
      used += kModelMb + kAdapterMb * static_cast<double>(adapters.size());
    }
    if (used > kEngineMb || slots > kAdapterSlots) {
      throw std::logic_error("an engine was ordered to hold too much");
    }
  }

  Deployment mDeployment;
  base::Random mRandom;
  std::unique_ptr<measure::Planner> mPlanner;
  catalog::EngineSpec mSpec;
  StoreLoadLimiter mStoreLoads;
  gateway::DemandMeter mDemandMeter;
  std::vector<SimulatedEngine> mEngines;
  std::vector<Queue> mQueues;
  std::vector<double> mPeakTimes;     ///< by queue, as a share of the run
  std::vector<double> mDemandWeights; ///< by queue
  measure::Requests mRequests;
  std::map<catalog::ModelRef, unsigned> mWaiting; ///< without an engine
  base::TimePoint mNow{ 1000s };
  int mElapsedSeconds = 0;
  StrategyResult mResult;
};

void
printResult(const Deployment& aDeployment,
            const char* aStrategy,
            int aHours,
            const StrategyResult& aResult)
{
  double lowestInTimeShare = 1;
  for (int team = 0; team < kTeams; ++team) {
    lowestInTimeShare =
      std::min(lowestInTimeShare,
               aResult.teamInTimeRequests[team] / aResult.teamRequests[team]);
  }
  const nlohmann::json line{
    { "deployment", aDeployment.name },
    { "strategy", aStrategy },
    { "in_time_per_accelerator", aResult.inTime / aDeployment.engines },
    { "late_share", aResult.late / (aResult.inTime + aResult.late) },
    { "models_moved_per_hour", aResult.modelMoves / aHours },
    { "adapters_moved_per_hour", aResult.adapterMoves / aHours },
    { "worst_team", lowestInTimeShare },
  };
  std::cout << line.dump() << "\n";
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  const std::string selectedDeployment = arguments["--deployment"].asString();
  const int hours = static_cast<int>(arguments["--hours"].asLong());
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  for (const Deployment& deployment : kDeployments) {
    if (selectedDeployment != "both" && selectedDeployment != deployment.name) {
      continue;
    }
    for (const char* strategy : { "marigold", "static", "lru" }) {
      PlacementSimulation simulation(deployment, strategy, seed);
      printResult(deployment, strategy, hours, simulation.run(hours * 3600));
    }
  }
  return 0;
}
