/**
 * @file
 * Measures placement strategies in virtual time: an evening whose busiest hour
 * moves with the sunset, on one data centre's engines per deployment's size.
 * Prints one JSON object a line.
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

/** Size of a deployment. */
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

/** Requests per second that one accelerator completes. */
constexpr double kEngineRate = 10;

/** A request is in time if it completes within that. */
constexpr double kDeadlineSeconds = 20;

/** Demand at the peak, as a share of what all engines complete. */
constexpr double kPeakShare = 0.9;

/** Each model's peak is at another time of the evening and lasts so long. */
constexpr double kPeakSeconds = 1800;

/** An engine with what runs and waits on it. */
struct FakeEngine
{
  Engine info;
  Report report;
  std::map<Item, std::pair<double, OrderId>> loading; ///< seconds left
};

/** Requests of one model and team that wait, by the second of arrival. */
struct Queue
{
  ItemName item;
  int team = 0;
  std::map<int, double> waiting;
};

/** What a strategy reached. */
struct Score
{
  double inTime = 0;
  double late = 0;
  int modelMoves = 0;
  int adapterMoves = 0;
  std::vector<double> teamInTime = std::vector<double>(kTeams);
  std::vector<double> teamAll = std::vector<double>(kTeams);
};

class Evening
{
public:
  Evening(const Deployment& aSize,
          const std::string& aStrategy,
          std::uint64_t aSeed)
    : mSize(aSize)
    , mRandom(aSeed)
  {
    OwnerSettings settings;
    settings.self = "p1";
    settings.storeRate = aSize.storeRate;
    settings.storeConcurrency = aSize.storeConcurrency;
    settings.adapterConcurrency = aSize.adapterLimit;
    auto made = base::capture([&] { return makeStrategy(aStrategy); });
    mOwner = std::make_unique<Owner>(
      settings, std::move(std::get<std::unique_ptr<Strategy>>(made)));
    std::vector<Engine> engines;
    for (int i = 0; i < aSize.engines; ++i) {
      FakeEngine engine;
      engine.info = { "e" + std::to_string(i), kEngineMb, true };
      engines.push_back(engine.info);
      mEngines.push_back(engine);
    }
    mOwner->setEngines(engines);
    declare();
  }

  Score run(int aSeconds)
  {
    for (mSecond = 0; mSecond < aSeconds; ++mSecond) {
      mNow += kTick;
      arrive(aSeconds);
      serve();
      finishLoads();
      place();
    }
    return mScore;
  }

private:
  void declare()
  {
    Declarations declared;
    for (int i = 0; i < mSize.models; ++i) {
      const std::string model = "m" + std::to_string(i);
      declared[{ model, "" }] = { "v1", kModelMb };
      mQueues.push_back({ { model, "" }, i % kTeams, {} });
      mPeaks.push_back(mRandom.unit());
      // Few models carry most of the demand.
      mWeights.push_back(1.0 / (1 + static_cast<double>(mRandom.below(8))));
    }
    for (int i = 0; i < mSize.adapters; ++i) {
      const ItemName item{ "m" + std::to_string(i % mSize.models),
                           "a" + std::to_string(i) };
      declared[item] = { "v1", kAdapterMb };
      mQueues.push_back({ item, i % kTeams, {} });
      mPeaks.push_back(mPeaks.at(i % mSize.models));
      mWeights.push_back(0.2 / (1 + static_cast<double>(mRandom.below(4))));
    }
    mOwner->setDeclared(declared);
  }

  /** Share of a queue's peak at this time; the sunset moves it west. */
  double height(std::size_t aQueue, int aSeconds) const
  {
    constexpr double kBase = 0.02;
    const double peak = mPeaks[aQueue] * aSeconds;
    const double distance = (mSecond - peak) / kPeakSeconds;
    return kBase + std::exp(-distance * distance);
  }

  void arrive(int aSeconds)
  {
    double sum = 0;
    for (const double weight : mWeights) {
      sum += weight;
    }
    // The average height over the evening is about two peaks' width.
    const double scale = kPeakShare * kEngineRate * mSize.engines / sum *
                         (aSeconds / (2 * kPeakSeconds));
    for (std::size_t i = 0; i < mQueues.size(); ++i) {
      const double mean = scale * mWeights[i] * height(i, aSeconds);
      // Bursty: a tenth of the seconds carries all requests of ten.
      const double arrived = mRandom.chance(0.1) ? mean * 10 : 0;
      Queue& queue = mQueues[i];
      if (arrived > 0) {
        queue.waiting[mSecond] += arrived;
        mScore.teamAll[queue.team] += arrived;
        mDemand[queue.item].requests += arrived;
        if (!queue.item.adapter.empty()) {
          mDemand[{ queue.item.model, "" }].requests += arrived;
        }
      }
    }
  }

  bool holds(const FakeEngine& aEngine, const ItemName& aItem) const
  {
    return aEngine.report.resident.contains({ aItem.model, "v1", "" }) &&
           aEngine.report.resident.contains(
             { aItem.model, "v1", aItem.adapter });
  }

  /** Each engine serves the oldest requests that it can; requests with fewer
   * engines go first, as routing by load does. */
  void serve()
  {
    std::vector<double> capacity(mEngines.size(), kEngineRate);
    std::vector<std::pair<int, Queue*>> order;
    for (Queue& queue : mQueues) {
      int engines = 0;
      for (const FakeEngine& engine : mEngines) {
        engines += holds(engine, queue.item) ? 1 : 0;
      }
      order.emplace_back(engines, &queue);
    }
    std::stable_sort(order.begin(), order.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.first < aRight.first;
    });
    for (auto& [engines, queue] : order) {
      for (std::size_t i = 0; i < mEngines.size(); ++i) {
        if (holds(mEngines[i], queue->item)) {
          take(*queue, capacity[i]);
        }
      }
      shed(*queue);
      int waiting = 0;
      for (const auto& [second, count] : queue->waiting) {
        waiting += static_cast<int>(std::ceil(count));
      }
      noteWaiting(*queue, engines == 0 ? waiting : 0);
    }
  }

  void noteWaiting(const Queue& aQueue, int aWaiting)
  {
    mDemand[aQueue.item].waiting = aWaiting;
    if (!aQueue.item.adapter.empty() && aWaiting > 0) {
      mDemand[{ aQueue.item.model, "" }].waiting += aWaiting;
    }
  }

  void take(Queue& aQueue, double& aCapacity)
  {
    while (!aQueue.waiting.empty() && aCapacity > 0) {
      auto& [second, count] = *aQueue.waiting.begin();
      const double served = std::min(count, aCapacity);
      aCapacity -= served;
      count -= served;
      mScore.inTime += served;
      mScore.teamInTime[aQueue.team] += served;
      if (count <= 0) {
        aQueue.waiting.erase(aQueue.waiting.begin());
      }
    }
  }

  void shed(Queue& aQueue)
  {
    while (!aQueue.waiting.empty() &&
           mSecond - aQueue.waiting.begin()->first > kDeadlineSeconds) {
      mScore.late += aQueue.waiting.begin()->second;
      aQueue.waiting.erase(aQueue.waiting.begin());
    }
  }

  void finishLoads()
  {
    for (FakeEngine& engine : mEngines) {
      for (auto& [item, left] : engine.loading) {
        left.first -= base::inSeconds(kTick);
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

  void place()
  {
    mOwner->addDemand(mDemand);
    mDemand.clear();
    act(mOwner->tick(mNow));
  }

  void act(const Actions& aActions)
  {
    for (const Order& order : aActions.orders) {
      execute(order);
    }
    if (aActions.call) {
      act(mOwner->onPlatform(answer(*aActions.call), mNow));
    }
  }

  void execute(const Order& aOrder)
  {
    for (FakeEngine& engine : mEngines) {
      if (engine.info.name != aOrder.engine) {
        continue;
      }
      engine.report.fence = std::max(engine.report.fence, aOrder.fence);
      engine.report.orders[aOrder.id] = Progress::Done;
      const bool isModel = aOrder.item.adapter.empty();
      if (aOrder.op == Op::Load) {
        ++(isModel ? mScore.modelMoves : mScore.adapterMoves);
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

  PlatformAnswer answer(const PlatformCall& aCall)
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

  Deployment mSize;
  base::Random mRandom;
  std::unique_ptr<Owner> mOwner;
  std::vector<FakeEngine> mEngines;
  std::vector<Queue> mQueues;
  std::vector<double> mPeaks;
  std::vector<double> mWeights;
  DemandByItem mDemand;
  base::TimePoint mNow{ 1000s };
  int mSecond = 0;
  std::string mLedger;
  std::uint64_t mRevision = 0;
  Score mScore;
};

void
print(const Deployment& aSize,
      const char* aStrategy,
      int aHours,
      const Score& aScore)
{
  double worst = 1;
  for (int team = 0; team < kTeams; ++team) {
    worst = std::min(worst, aScore.teamInTime[team] / aScore.teamAll[team]);
  }
  const nlohmann::json line{
    { "deployment", aSize.name },
    { "strategy", aStrategy },
    { "in_time_per_accelerator", aScore.inTime / aSize.engines },
    { "late_share", aScore.late / (aScore.inTime + aScore.late) },
    { "models_moved_per_hour", aScore.modelMoves / aHours },
    { "adapters_moved_per_hour", aScore.adapterMoves / aHours },
    { "worst_team", worst },
  };
  std::cout << line.dump() << "\n";
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  const std::string wanted = arguments["--deployment"].asString();
  const int hours = static_cast<int>(arguments["--hours"].asLong());
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  for (const Deployment& size : kDeployments) {
    if (wanted != "both" && wanted != size.name) {
      continue;
    }
    for (const char* strategy : { "forecast", "static", "lru" }) {
      Evening evening(size, strategy, seed);
      print(size, strategy, hours, evening.run(hours * 3600));
    }
  }
  return 0;
}
