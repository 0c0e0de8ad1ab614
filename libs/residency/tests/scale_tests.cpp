/** @file Tests of the plans of a grown fleet: their cost and their fairness. */
#include "residency/residency.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <ctime>

using namespace marigold;
using namespace std::chrono_literals;
using catalog::ModelRef;
using residency::Engine;
using residency::Situation;

namespace {

/** Sizes of a grown deployment. */
constexpr std::size_t kEngines = 140;
constexpr std::size_t kModels = 259;
constexpr std::size_t kAdaptersPerModel = 5;
constexpr std::size_t kModelsPerEngine = 3;
constexpr unsigned kSlots = 5;
/** Models that most of the demand falls to, each on many engines. */
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
      model.storeLoad = 9s;
      model.diskLoad = 2s;
      model.memoryLoad = 1s;
      for (std::size_t a = 1; a <= kAdaptersPerModel; ++a) {
        model.adapters.push_back("a" + std::to_string(a));
      }
      spec.models[model.name] = model;
    }
    situation.spec = &spec;
    situation.storeLoadsLeft = 5;
    for (std::size_t i = 0; i < kEngines; ++i) {
      situation.engines.push_back(engineAt(i));
    }
    for (std::size_t i = 0; i < kModels; i += i < kBusyModels ? 1 : 3) {
      const double work = i < kBusyModels ? 900 : 20;
      situation.demand[{ nameOf(i), "" }] = { work, 0, 2 };
      for (std::size_t a = 1; a <= kAdaptersPerModel; ++a) {
        const bool waits = (i + a) % 4 == 0;
        situation.demand[{ nameOf(i), "a" + std::to_string(a) }] = {
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
  Situation situation;

private:
  static Engine engineAt(std::size_t aIndex)
  {
    Engine made;
    made.name = "i-" + std::to_string(1000 + aIndex);
    made.models[nameOf(aIndex % kBusyModels)] = { "a1", "a2", "a3" };
    for (std::size_t i = 1; i < kModelsPerEngine; ++i) {
      const std::size_t model = 2 * aIndex + i - 1;
      made.models[nameOf(model % kModels)].insert("a4");
      made.cachedOnDisk.insert(nameOf((model + 60) % kModels));
    }
    return made;
  }
};

/** @return processor time of the fastest of several calls in clock ticks */
template<typename Work>
double
leastTicks(const Work& aWork)
{
  constexpr int kRuns = 9;
  constexpr int kCalls = 4; // long enough for the resolution of the clock
  double least = 0;
  for (int run = 0; run < kRuns; ++run) {
    const std::clock_t begin = std::clock();
    for (int call = 0; call < kCalls; ++call) {
      aWork();
    }
    const auto ticks = static_cast<double>(std::clock() - begin);
    least = run == 0 ? ticks : std::min(least, ticks);
  }
  return least;
}

} // namespace

TEST_GROUP(PlansOfAGrownFleet)
{
  GrownFleet fleet;
};

// Guards against an owner of orders that falls behind its event loop, because
// each plan looks names up for every pair of a need and an engine. The copy of
// the situation is the measure, so that the bound holds on any processor.
TEST(PlansOfAGrownFleet, CostAFewCopiesOfTheSituation)
{
  constexpr double kMostCopies = 40;
  std::size_t seen = 0;
  const double copy = leastTicks([&] {
    const Situation copied = fleet.situation;
    seen += copied.engines.size();
  });
  const double plans = leastTicks([&] {
    seen += residency::planAdapters(fleet.situation).size();
    seen += residency::planModels(fleet.situation).size();
    seen += residency::planSpareAdapters(fleet.situation).size();
  });
  CHECK(seen > 0);
  CHECK_TEXT(
    plans < kMostCopies * copy,
    ("all plans cost " + std::to_string(plans / copy) + " copies").c_str());
}
