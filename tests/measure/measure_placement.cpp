/**
 * @file
 * Measures placement strategies in virtual time on the engines of one data
 * centre of each deployment. Each model has its demand peak at another time of
 * the run, as the evening peak moves with the sunset. Prints one JSON object
 * per line.
 */
#include "placement/placement.h"

#include <cmath>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;
using namespace marigold::placement;
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
  double storeRate;
  int storeConcurrency;
  int adapterLimit;
};

constexpr std::array kDeployments{
  Deployment{ "kochi", 12, 15, 40, 1, 10, 90 },
  Deployment{ "hreinsun", 21, 35, 100, 2, 25, 180 },
};

constexpr base::Duration kTick = 1s;
constexpr int kEngineMb = 80000;
constexpr int kModelMb = 30000;
constexpr int kAdapterMb = 200;
constexpr double kLoadSeconds = 8;
constexpr double kAdapterLoadSeconds = 0.02;
constexpr int kTeams = 5;

/** Requests per second that one engine completes. */
constexpr double kEngineRequestsPerSecond = 10;

/** A request that completes within this time is in time. */
constexpr double kDeadlineSeconds = 20;

/** Peak demand as a share of the capacity of all engines. */
constexpr double kPeakLoad = 0.9;

/** Demand of a model falls to 1/e at this distance from its peak. */
constexpr double kPeakWidthSeconds = 1800;

/** An engine with its report and the loads in progress. */
struct SimulatedEngine
{
  Engine info;
  Report report;
  std::map<Item, std::pair<double, OrderId>> loading; ///< seconds left
};

/** Waiting requests for one model or adapter, by second of arrival. */
struct Queue
{
  ItemName item;
  int team = 0;
  std::map<int, double> waiting;
};

/** Totals of a run under one strategy. */
struct StrategyResult
{
  double inTime = 0;
  double late = 0;
  int modelMoves = 0;
  int adapterMoves = 0;
  std::vector<double> teamInTimeRequests = std::vector<double>(kTeams);
  std::vector<double> teamRequests = std::vector<double>(kTeams);
};

/** Runs a placement strategy against generated demand. */
class PlacementSimulation
{
public:
  PlacementSimulation(const Deployment& aDeployment,
                      const std::string& aStrategy,
                      std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mRandom(aSeed)
  {
    OwnerSettings settings;
    settings.self = "p1";
    settings.storeRate = aDeployment.storeRate;
    settings.storeConcurrency = aDeployment.storeConcurrency;
    settings.adapterConcurrency = aDeployment.adapterLimit;
    auto strategy = base::capture([&] { return makeStrategy(aStrategy); });
    mOwner = std::make_unique<Owner>(
      settings, std::move(std::get<std::unique_ptr<Strategy>>(strategy)));
    std::vector<Engine> engines;
    for (int i = 0; i < aDeployment.engines; ++i) {
      SimulatedEngine engine;
      engine.info = { "e" + std::to_string(i), kEngineMb, true };
      engines.push_back(engine.info);
      mEngines.push_back(engine);
    }
    mOwner->setEngines(engines);
    declareItems();
  }

  StrategyResult run(int aSeconds)
  {
    for (mElapsedSeconds = 0; mElapsedSeconds < aSeconds; ++mElapsedSeconds) {
      mNow += kTick;
      generateRequests(aSeconds);
      serveQueues();
      advanceLoads();
      updatePlacement();
    }
    return mResult;
  }

private:
  void declareItems()
  {
    Declarations declared;
    for (int i = 0; i < mDeployment.models; ++i) {
      const std::string model = "m" + std::to_string(i);
      declared[{ model, "" }] = { "v1", kModelMb };
      mQueues.push_back({ { model, "" }, i % kTeams, {} });
      mPeakTimes.push_back(mRandom.unit());
      // A few models get most of the demand.
      mDemandWeights.push_back(1.0 /
                               (1 + static_cast<double>(mRandom.below(8))));
    }
    for (int i = 0; i < mDeployment.adapters; ++i) {
      const ItemName item{ "m" + std::to_string(i % mDeployment.models),
                           "a" + std::to_string(i) };
      declared[item] = { "v1", kAdapterMb };
      mQueues.push_back({ item, i % kTeams, {} });
      mPeakTimes.push_back(mPeakTimes.at(i % mDeployment.models));
      mDemandWeights.push_back(0.2 /
                               (1 + static_cast<double>(mRandom.below(4))));
    }
    mOwner->setDeclared(declared);
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
        mDemand[queue.item].requests += arrived;
        if (!queue.item.adapter.empty()) {
          mDemand[{ queue.item.model, "" }].requests += arrived;
        }
      }
    }
  }

  /** @return whether the engine has both the model and the adapter */
  bool isResident(const SimulatedEngine& aEngine, const ItemName& aItem) const
  {
    return aEngine.report.resident.contains({ aItem.model, "v1", "" }) &&
           aEngine.report.resident.contains(
             { aItem.model, "v1", aItem.adapter });
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
    for (auto& [engines, queue] : queuesByEngines) {
      for (std::size_t i = 0; i < mEngines.size(); ++i) {
        if (isResident(mEngines[i], queue->item)) {
          serveFromQueue(*queue, capacity[i]);
        }
      }
      dropLateRequests(*queue);
      int waiting = 0;
      for (const auto& [second, count] : queue->waiting) {
        waiting += static_cast<int>(std::ceil(count));
      }
      recordWaiting(*queue, engines == 0 ? waiting : 0);
    }
  }

  void recordWaiting(const Queue& aQueue, int aWaiting)
  {
    mDemand[aQueue.item].waiting = aWaiting;
    if (!aQueue.item.adapter.empty() && aWaiting > 0) {
      mDemand[{ aQueue.item.model, "" }].waiting += aWaiting;
    }
  }

  void serveFromQueue(Queue& aQueue, double& aCapacity)
  {
    while (!aQueue.waiting.empty() && aCapacity > 0) {
      auto& [second, count] = *aQueue.waiting.begin();
      const double served = std::min(count, aCapacity);
      aCapacity -= served;
      count -= served;
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
      for (auto& [item, remaining] : engine.loading) {
        remaining.first -= base::inSeconds(kTick);
      }
      std::erase_if(engine.loading, [&](const auto& aEntry) {
        if (aEntry.second.first > 0) {
          return false;
        }
        engine.report.orders[aEntry.second.second] = Progress::Done;
        engine.report.resident[aEntry.first] =
          aEntry.first.adapter.empty() ? kModelMb : kAdapterMb;
        return true;
      });
      ++engine.report.sequence;
      mOwner->onReport(engine.info.name, engine.report);
    }
  }

  void updatePlacement()
  {
    mOwner->addDemand(mDemand);
    mDemand.clear();
    applyActions(mOwner->tick(mNow));
  }

  void applyActions(const Actions& aActions)
  {
    for (const Order& order : aActions.orders) {
      executeOrder(order);
    }
    if (aActions.call) {
      applyActions(
        mOwner->onPlatform(answerPlatformCall(*aActions.call), mNow));
    }
  }

  void executeOrder(const Order& aOrder)
  {
    for (SimulatedEngine& engine : mEngines) {
      if (engine.info.name != aOrder.engine) {
        continue;
      }
      engine.report.fence = std::max(engine.report.fence, aOrder.fence);
      engine.report.orders[aOrder.id] = Progress::Done;
      const bool isModel = aOrder.item.adapter.empty();
      if (aOrder.op == Op::Load) {
        ++(isModel ? mResult.modelMoves : mResult.adapterMoves);
        engine.report.orders[aOrder.id] = Progress::Pending;
        engine.loading[aOrder.item] = { isModel ? kLoadSeconds
                                                : kAdapterLoadSeconds,
                                        aOrder.id };
      } else if (aOrder.op == Op::Unload) {
        std::erase_if(engine.report.resident, [&](const auto& aEntry) {
          return aEntry.first == aOrder.item ||
                 (isModel && aEntry.first.model == aOrder.item.model);
        });
      }
    }
  }

  PlatformAnswer answerPlatformCall(const PlatformCall& aCall)
  {
    switch (aCall.call) {
      case Call::ReadHolder:
        return { base::Code::NotFound, "", 0 };
      case Call::ReadLedger:
        return { mRevision == 0 ? base::Code::NotFound : base::Code::Ok,
                 mLedger,
                 mRevision };
      case Call::WriteLedger:
        mLedger = aCall.value;
        return { base::Code::Ok, "", ++mRevision };
      case Call::WriteHolder:
        return {};
      default:
        return { base::Code::Ok, "l1", 0 };
    }
  }

  Deployment mDeployment;
  base::Random mRandom;
  std::unique_ptr<Owner> mOwner;
  std::vector<SimulatedEngine> mEngines;
  std::vector<Queue> mQueues;
  std::vector<double> mPeakTimes;     ///< by queue, as a share of the run
  std::vector<double> mDemandWeights; ///< by queue
  DemandByItem mDemand;
  base::TimePoint mNow{ 1000s };
  int mElapsedSeconds = 0;
  std::string mLedger;
  std::uint64_t mRevision = 0;
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
    for (const char* strategy : { "forecast", "static", "lru" }) {
      PlacementSimulation simulation(deployment, strategy, seed);
      printResult(deployment, strategy, hours, simulation.run(hours * 3600));
    }
  }
  return 0;
}
