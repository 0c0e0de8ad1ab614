/** @file Tests of the cost and the fairness of plans for a large fleet. */
#include "residency/residency.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <ctime>
#include <iterator>

using namespace marigold;
using namespace std::chrono_literals;
using catalog::ModelRef;
using residency::Engine;
using residency::PlanInput;

namespace {

/** Sizes of a large deployment. */
constexpr std::size_t kEngines = 140;
constexpr std::size_t kModels = 259;
constexpr std::size_t kAdaptersPerModel = 5;
constexpr std::size_t kModelsPerEngine = 3;
constexpr unsigned kSlots = 5;
/** Models with most of the demand, each on many engines. */
constexpr std::size_t kBusyModels = 30;

/** A fleet with several replicas of busy models and one of most others. */
class GrownFleet
{
public:
  GrownFleet()
  {
    spec.weightsMb = 220000;
    spec.adapterSlots = kSlots;
    for (std::size_t i = 0; i < kModels; ++i) {
      catalog::Model model;
      model.name = nameOf(i);
      model.weightsMb = 65000 + static_cast<double>(i % 9) * 1000;
      model.adapterMb = 60;
      model.storeLoadTime = 9s;
      model.diskLoadTime = 2s;
      model.memoryLoadTime = 1s;
      for (std::size_t a = 1; a <= kAdaptersPerModel; ++a) {
        model.adapters.push_back("a" + std::to_string(a));
      }
      spec.models[model.name] = model;
    }
    input.spec = &spec;
    input.availableStoreLoads = 5;
    for (std::size_t i = 0; i < kEngines; ++i) {
      input.engines.push_back(engineAt(i));
    }
    for (std::size_t i = 0; i < kModels; i += i < kBusyModels ? 1 : 3) {
      const double work = i < kBusyModels ? 900 : 20;
      input.demand[{ nameOf(i), "" }] = { work, 0, 2 };
      for (std::size_t a = 1; a <= kAdaptersPerModel; ++a) {
        const bool waits = (i + a) % 4 == 0;
        input.demand[{ nameOf(i), "a" + std::to_string(a) }] = {
          15, waits ? 1U : 0U, waits ? 0U : 1U
        };
      }
    }
  }

  static std::string nameOf(std::size_t aIndex)
  {
    return "decu" + std::to_string(100000 + aIndex * 7919);
  }

  catalog::EngineSpec spec;
  PlanInput input;

private:
  static Engine engineAt(std::size_t aIndex)
  {
    Engine result;
    result.name = "i-" + std::to_string(1000 + aIndex);
    result.models[nameOf(aIndex % kBusyModels)] = { "a1", "a2", "a3" };
    for (std::size_t i = 1; i < kModelsPerEngine; ++i) {
      const std::size_t model = 2 * aIndex + i - 1;
      result.models[nameOf(model % kModels)].insert("a4");
      result.cachedOnDisk.insert(nameOf((model + 60) % kModels));
    }
    return result;
  }
};

/** @return processor time of the fastest of several runs in clock ticks */
template<typename Work>
double
minTicks(const Work& aWork)
{
  constexpr int kRuns = 9;
  constexpr int kCalls = 4; // long enough for the resolution of the clock
  double fastest = 0;
  for (int run = 0; run < kRuns; ++run) {
    const std::clock_t start = std::clock();
    for (int call = 0; call < kCalls; ++call) {
      aWork();
    }
    const auto ticks = static_cast<double>(std::clock() - start);
    fastest = run == 0 ? ticks : std::min(fastest, ticks);
  }
  return fastest;
}

} // namespace

TEST_GROUP(PlansOfAGrownFleet)
{
  GrownFleet fleet;
};

// Guards against plans that block the owner's event loop because they look up
// names for every pair of a need and an engine. The cost of copying the input
// is the unit, so that the bound does not depend on the processor.
TEST(PlansOfAGrownFleet, CostIsWithinAFewCopiesOfTheInput)
{
  constexpr double kMaxCopies = 40;
  std::size_t seen = 0;
  const double copy = minTicks([&] {
    const PlanInput copied = fleet.input;
    seen += copied.engines.size();
  });
  const double plans = minTicks([&] {
    seen += residency::planAdapters(fleet.input).size();
    seen += residency::planModels(fleet.input).size();
    seen += residency::planAdapterPrefetch(fleet.input).size();
  });
  CHECK(seen > 0);
  CHECK_TEXT(
    plans < kMaxCopies * copy,
    ("all plans cost " + std::to_string(plans / copy) + " copies").c_str());
}

namespace {

/** Simulated time of a round, which is a plan and its effects. */
constexpr base::Duration kRound = 500ms;
constexpr unsigned kRounds = 120;
constexpr unsigned kRecentlyLoadedRounds = 3; ///< exempt from eviction
constexpr unsigned kReportRounds = 1;         ///< from an unload to a report
constexpr unsigned kUnloadRounds = 4;         ///< of an unload in use
constexpr unsigned kLoadRounds = 8;           ///< of a model's load
constexpr unsigned kMaxWaiting = 6;           ///< before timeouts

/** Executes the plans and records which adapters were loaded. */
class FleetSimulation
{
public:
  explicit FleetSimulation(GrownFleet& aFleet)
    : mFleet(aFleet.input)
    , mBusyUntil(kEngines)
  {
  }

  /** Requests an adapter in every following round. */
  void addRequests(const ModelRef& aRef) { mRequested.insert(aRef); }

  void runRound()
  {
    completeOrders();
    updateDemand();
    mTracker.update(mFleet, base::TimePoint{} + mRound * kRound);
    std::set<base::UpstreamName> used;
    std::size_t count = 0;
    for (const auto plan : { &residency::planAdapters,
                             &residency::planModels,
                             &residency::planAdapterPrefetch }) {
      for (const residency::PlannedOrder& order : plan(mFleet)) {
        if (used.insert(order.engine).second) {
          apply(order);
          ++count;
        }
      }
    }
    orders.push_back(count);
    ++mRound;
  }

  /** @return requested adapters that no engine ever held */
  std::vector<ModelRef> neverServed() const
  {
    std::vector<ModelRef> never;
    std::set_difference(mRequested.begin(),
                        mRequested.end(),
                        mServed.begin(),
                        mServed.end(),
                        std::back_inserter(never));
    return never;
  }

  std::vector<std::size_t> orders; ///< number of orders in each round

private:
  Engine& engineOf(const residency::PlannedOrder& aOrder)
  {
    return *std::find_if(
      mFleet.engines.begin(), mFleet.engines.end(), [&](const Engine& aEngine) {
        return aEngine.name == aOrder.engine;
      });
  }

  void completeOrders()
  {
    mFleet.availableStoreLoads = mRound % 2 == 0 ? 1 : 0;
    for (std::size_t i = 0; i < kEngines; ++i) {
      Engine& engine = mFleet.engines[i];
      if (mBusyUntil[i] > mRound) {
        continue;
      }
      engine.orderable = true;
      for (const base::ModelName& model : engine.loading) {
        engine.models[model];
      }
      for (const base::ModelName& model : engine.unloading) {
        engine.models.erase(model);
      }
      engine.loading.clear();
      engine.unloading.clear();
    }
    std::erase_if(mLoadedAt, [this](const auto& aItem) {
      return mRound - aItem.second > kRecentlyLoadedRounds;
    });
  }

  void updateDemand()
  {
    std::set<ModelRef> held;
    for (Engine& engine : mFleet.engines) {
      engine.recentlyLoaded.clear();
      for (const auto& [model, adapters] : engine.models) {
        for (const std::string& adapter : adapters) {
          const ModelRef ref{ model, adapter };
          held.insert(ref);
          if (mLoadedAt.contains({ engine.name, ref })) {
            engine.recentlyLoaded.insert(ref);
          }
        }
      }
    }
    mServed.insert(held.begin(), held.end());
    for (const ModelRef& ref : mRequested) {
      residency::Demand& demand = mFleet.demand[ref];
      const bool served = held.contains(ref);
      const unsigned rate = 1 + static_cast<unsigned>(ref.model.back()) % 3;
      demand.workMsPerSecond = 15 * rate;
      demand.running = served ? rate : 0;
      demand.waiting =
        served ? 0 : std::min(demand.waiting + rate, kMaxWaiting);
      demand.unservedTime = {};
    }
  }

  void apply(const residency::PlannedOrder& aOrder)
  {
    Engine& engine = engineOf(aOrder);
    const ModelRef& target = aOrder.target;
    unsigned rounds = 1;
    if (target.adapter.empty()) {
      (aOrder.load ? engine.loading : engine.unloading).insert(target.model);
      rounds = aOrder.load ? kLoadRounds : kUnloadRounds;
    } else if (aOrder.load) {
      engine.models[target.model].insert(target.adapter);
      mLoadedAt[{ engine.name, target }] = mRound;
    } else {
      engine.models[target.model].erase(target.adapter);
      const auto demand = mFleet.demand.find(target);
      const bool runs =
        demand != mFleet.demand.end() && demand->second.running > 0;
      rounds += runs ? kUnloadRounds : kReportRounds;
    }
    std::size_t taken = 0;
    for (const auto& [model, adapters] : engine.models) {
      taken += adapters.size();
    }
    CHECK(taken <= kSlots);
    engine.orderable = false;
    mBusyUntil[static_cast<std::size_t>(&engine - mFleet.engines.data())] =
      mRound + rounds;
  }

  PlanInput& mFleet;
  residency::UnservedTracker mTracker;
  unsigned mRound = 0;
  std::vector<unsigned> mBusyUntil; ///< round, by engine
  std::map<std::pair<base::UpstreamName, ModelRef>, unsigned> mLoadedAt;
  std::set<ModelRef> mRequested;
  std::set<ModelRef> mServed;
};

} // namespace

// More adapters are requested all the time than the fleet has slots, many of
// them of models with a single replica, and the busy models change half-way.
// Guards against adapters that are never loaded and against thrashing.
TEST(PlansOfAGrownFleet, EveryRequestedAdapterIsLoadedInTurn)
{
  constexpr std::size_t kMaxOrders = kEngines / 4;
  fleet.input.demand.clear();
  FleetSimulation simulation(fleet);
  for (std::size_t i = 0; i < kModels; ++i) {
    for (std::size_t a = 1; a <= kAdaptersPerModel; ++a) {
      if (i < kBusyModels || (i + a) % 2 == 0) {
        simulation.addRequests(
          { GrownFleet::nameOf(i), "a" + std::to_string(a) });
      }
    }
  }
  std::size_t late = 0;
  for (unsigned round = 0; round < kRounds; ++round) {
    const std::size_t shift = round < kRounds / 2 ? 0 : kBusyModels / 3;
    for (std::size_t i = 0; i < 2 * kBusyModels; ++i) {
      const bool busy = i >= shift && i < shift + kBusyModels;
      fleet.input.demand[{ GrownFleet::nameOf(i), "" }] = { busy ? 600.0 : 10.0,
                                                            0,
                                                            2 };
    }
    simulation.runRound();
    late += round < kRounds / 2 ? 0 : simulation.orders.back();
  }
  std::string never;
  for (const ModelRef& ref : simulation.neverServed()) {
    never += " " + ref.text();
  }
  STRCMP_EQUAL("", never.c_str());
  CHECK_TEXT(
    late / (kRounds / 2) < kMaxOrders,
    (std::to_string(late / (kRounds / 2)) + " orders a round").c_str());
}
