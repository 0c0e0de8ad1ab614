/** @file Tests of the residency library; each names the load it answers. */
#include "residency/residency.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using catalog::ModelRef;
using residency::Engine;
using residency::PlanInput;
using residency::PlannedOrder;

namespace {

constexpr double kWeightsMb = 70000;

catalog::EngineSpec
makeSpec(const std::vector<std::string>& aModels)
{
  catalog::EngineSpec spec;
  spec.weightsMb = 3 * kWeightsMb + 1000;
  spec.adapterSlots = 2;
  for (const std::string& name : aModels) {
    catalog::Model model;
    model.name = name;
    model.weightsMb = kWeightsMb;
    model.adapters = { "a1", "a2", "a3", "a4" };
    model.adapterMb = 60;
    model.storeLoad = 9s;
    model.diskLoad = 2s;
    model.memoryLoad = 1s;
    spec.models[name] = model;
  }
  return spec;
}

Engine
engine(const std::string& aName, const std::vector<std::string>& aModels)
{
  Engine made;
  made.name = aName;
  for (const std::string& model : aModels) {
    made.models[model] = {};
  }
  return made;
}

const PlannedOrder*
stepFor(const std::vector<PlannedOrder>& aSteps,
        const std::string& aModel,
        bool aLoad)
{
  for (const PlannedOrder& step : aSteps) {
    if (step.target.model == aModel && step.load == aLoad) {
      return &step;
    }
  }
  return nullptr;
}

} // namespace

TEST_GROUP(PlanModels)
{
  catalog::EngineSpec spec = makeSpec({ "a", "b", "c", "d" });
  PlanInput situation;

  void setup() override
  {
    situation.spec = &spec;
    situation.availableStoreLoads = 5;
  }
};

// Load pattern: the only upstream of a model was taken away.
TEST(PlanModels, LoadsAModelThatNoEngineHolds)
{
  situation.engines = { engine("e1", { "a", "b" }),
                        engine("e2", { "a", "c" }) };
  situation.demand[{ "d", "" }] = { 50, 2, 0 };
  const auto steps = residency::planModels(situation);
  CHECK(stepFor(steps, "d", true) != nullptr);
}

// Guards against an engine that is ordered to load more than it can hold.
TEST(PlanModels, NeverExceedsTheMemory)
{
  Engine full = engine("e1", { "a", "b" });
  full.loading = { "c" };
  situation.engines = { full };
  situation.demand[{ "d", "" }] = { 500, 5, 0 };
  CHECK(stepFor(residency::planModels(situation), "d", true) == nullptr);
}

// Guards against an unload that runs being counted as free memory already.
TEST(PlanModels, RetiringModelsStillTakeMemory)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine changing = engine("e1", { "a", "b" });
  changing.unloading = { "a" };
  situation.engines = { changing, engine("e2", { "a", "c" }) };
  situation.demand[{ "d", "" }] = { 500, 5, 0 };
  const auto steps = residency::planModels(situation);
  const PlannedOrder* load = stepFor(steps, "d", true);
  CHECK(load == nullptr || load->engine != "e1");
}

// Load pattern: demand moves to a model that has a single replica.
TEST(PlanModels, AddsReplicasOfAHotModelInPlaceOfIdleOnes)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  situation.engines = { engine("e1", { "a", "b" }),
                        engine("e2", { "a", "c" }),
                        engine("e3", { "a", "d" }) };
  situation.demand[{ "b", "" }] = { 600, 0, 5 };
  const auto steps = residency::planModels(situation);
  const PlannedOrder* unload = stepFor(steps, "a", false);
  CHECK(unload != nullptr);
  CHECK(unload->engine != "e1");
}

// Load pattern: more models are asked for than engines have room for. Guards
// against a hot model taking each place that is freed for an absent one.
TEST(PlanModels, PlacesAStarvedModelBeforeMoreReplicasOfAHotOne)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  situation.engines = { engine("e1", { "a" }), engine("e2", { "b", "c" }) };
  situation.demand[{ "b", "" }] = { 2000, 0, 9 };
  situation.demand[{ "d", "" }] = { 0, 1, 0, 11s };
  const auto steps = residency::planModels(situation);
  const PlannedOrder* load = stepFor(steps, "d", true);
  CHECK(load != nullptr);
  STRCMP_EQUAL("e1", load->engine.c_str());
}

// Load pattern: as many rare models as places, each asked for now and then.
// Guards against a model that is asked for all day and never served.
TEST(PlanModels, ModelThatWaitedLongTakesTheLastReplicaOfARareOne)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  situation.engines = { engine("e1", { "a", "b" }) };
  situation.demand[{ "a", "" }] = { 900, 0, 9 };
  situation.demand[{ "b", "" }] = { 20, 0, 1 };
  situation.demand[{ "c", "" }] = { 10, 1, 0, 2s };
  CHECK(residency::planModels(situation).empty());
  situation.demand[{ "c", "" }].unserved = 11s;
  const auto steps = residency::planModels(situation);
  CHECK(stepFor(steps, "b", false) != nullptr);
  CHECK(stepFor(steps, "a", false) == nullptr);
}

// Guards against the time without an engine being kept for adapters only.
TEST(PlanModels, AbsenceOfAModelIsRemembered)
{
  residency::UnservedTracker absences;
  situation.engines = { engine("e1", { "a", "b" }) };
  situation.demand[{ "c", "" }] = { 10, 1, 0 };
  absences.update(situation, base::TimePoint{ 100s });
  situation.demand[{ "c", "" }] = { 10, 0, 0 };
  absences.update(situation, base::TimePoint{ 107s });
  CHECK(situation.demand.at({ "c", "" }).unserved == 7s);
  situation.engines.push_back(engine("e2", { "c" }));
  situation.demand[{ "c", "" }] = { 10, 1, 0 };
  absences.update(situation, base::TimePoint{ 108s });
  CHECK(situation.demand.at({ "c", "" }).unserved == 0s);
}

// Guards against thrash: sole replicas of rare models left for a small gain
// and had to be loaded again seconds later.
TEST(PlanModels, KeepsTheLastReplicaOfAModel)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  situation.engines = { engine("e1", { "a", "b" }),
                        engine("e2", { "c", "d" }) };
  situation.demand[{ "a", "" }] = { 900, 0, 9 };
  CHECK(residency::planModels(situation).empty());
}

// Guards against several replicas of a model being unloaded in successive
// plans because records still list those that leave.
TEST(PlanModels, CountsRetiringReplicasAsGone)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine changing = engine("e1", { "a", "b" });
  changing.unloading = { "a" };
  changing.orderable = false;
  situation.engines = { changing, engine("e2", { "a", "c" }) };
  situation.demand[{ "d", "" }] = { 30, 0, 0 };
  CHECK(stepFor(residency::planModels(situation), "a", false) == nullptr);
}

// Load pattern: many adapters of a model with little work are asked for, more
// than the slots of its engines. Guards against some that are never served.
TEST(PlanModels, AddsReplicasForAdaptersWithoutSlots)
{
  Engine full = engine("e1", { "a", "b" });
  full.models["a"] = { "a1", "a2" };
  situation.engines = { full, engine("e2", { "b", "c", "d" }) };
  situation.engines.push_back(engine("e3", { "b", "c", "d" }));
  for (const char* adapter : { "a1", "a2" }) {
    situation.demand[{ "a", adapter }] = { 2, 0, 1 };
  }
  for (const char* adapter : { "a3", "a4" }) {
    situation.demand[{ "a", adapter }] = { 2, 1, 0 };
  }
  const auto steps = residency::planModels(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(!steps[0].load);
  CHECK(steps[0].engine != "e1");
}

// Guards against a replica for adapters at an engine whose slots are all in
// use, which serves none of them.
TEST(PlanModels, AddsReplicasForAdaptersWhereSlotsAreOpen)
{
  Engine full = engine("e1", { "a", "b" });
  full.models["a"] = { "a1", "a2" };
  Engine busy = engine("e2", { "b", "d" });
  busy.models["b"] = { "a1", "a2" };
  Engine open = engine("e3", { "b", "d" });
  situation.engines = { full, busy, open };
  for (const char* model : { "a", "b" }) {
    situation.demand[{ model, "a1" }] = { 2, 0, 1 };
    situation.demand[{ model, "a2" }] = { 2, 0, 1 };
  }
  situation.demand[{ "a", "a3" }] = { 2, 1, 0 };
  const auto steps = residency::planModels(situation);
  const PlannedOrder* load = stepFor(steps, "a", true);
  CHECK(load != nullptr);
  STRCMP_EQUAL("e3", load->engine.c_str());
}

// Guards against a replica that leaves while adapters in use depend on it, and
// is loaded again for them.
TEST(PlanModels, KeepsReplicasWhoseSlotsAreInUse)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine first = engine("e1", { "a", "b" });
  first.models["a"] = { "a1", "a2" };
  Engine second = engine("e2", { "a", "c" });
  second.models["a"] = { "a3", "a4" };
  situation.engines = { first, second };
  for (const std::string& adapter : spec.models["a"].adapters) {
    situation.demand[{ "a", adapter }] = { 2, 0, 1 };
  }
  situation.demand[{ "b", "" }] = { 230, 0, 2 };
  CHECK(residency::planModels(situation).empty());
}

// Load pattern: only an adapter of an absent model is asked for, and every
// other model has one replica. Guards against it never being served.
TEST(PlanModels, LoadsTheAbsentModelOfAnAdapterThatIsAskedFor)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  situation.engines = { engine("e1", { "a", "b" }), engine("e2", { "c" }) };
  situation.engines[1].draining = true;
  situation.demand[{ "d", "a1" }] = { 2, 1, 0 };
  const auto steps = residency::planModels(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(!steps[0].load);
}

// Guards against more loads than the weights store allows.
TEST(PlanModels, RespectsTheRateOfTheStore)
{
  situation.availableStoreLoads = 0;
  Engine cached = engine("e2", { "a" });
  situation.engines = { engine("e1", { "a" }), cached };
  CHECK(residency::planModels(situation).empty());
  situation.engines[1].cachedOnDisk = { "b" };
  const auto steps = residency::planModels(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("e2", steps[0].engine.c_str());
  CHECK(!steps[0].fromStore);
}

// Guards against orders to engines that leave or whose state is unclear.
TEST(PlanModels, LeavesUnusableEnginesAlone)
{
  Engine leaving = engine("e1", {});
  leaving.draining = true;
  Engine unclear = engine("e2", {});
  unclear.orderable = false;
  situation.engines = { leaving, unclear };
  CHECK(residency::planModels(situation).empty());
}

TEST_GROUP(PlanAdapters)
{
  catalog::EngineSpec spec = makeSpec({ "a", "b" });
  PlanInput situation;

  void setup() override
  {
    situation.spec = &spec;
  }
};

// Load pattern: a rare adapter is asked for while no engine holds it.
TEST(PlanAdapters, LoadsAnAdapterThatRequestsWaitFor)
{
  situation.engines = { engine("e1", { "b" }), engine("e2", { "a" }) };
  situation.demand[{ "a", "a1" }] = { 0, 1, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("e2", steps[0].engine.c_str());
  CHECK(steps[0].load);
}

// Guards against an unload that waits for running requests and blocks every
// further order to its engine.
TEST(PlanAdapters, EvictsOnlyIdleAdapters)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  situation.engines = { full };
  situation.demand[{ "a", "a1" }] = { 1, 0, 2 };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(!steps[0].load);
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Guards against an adapter that leaves before the requests that waited for it
// arrive.
TEST(PlanAdapters, KeepsFreshAdapters)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  full.recentlyLoaded = { { "a", "a1" }, { "a", "a2" } };
  situation.engines = { full };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0 };
  CHECK(residency::planAdapters(situation).empty());
}

// Load pattern: more adapters are asked for than an engine has slots. Guards
// against the places going by the order of names.
TEST(PlanAdapters, PlacesTheMostAwaitedAdapterFirst)
{
  situation.engines = { engine("e1", { "a" }) };
  situation.demand[{ "a", "a1" }] = { 0, 1, 0 };
  situation.demand[{ "a", "a2" }] = { 0, 3, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Load pattern: a rare adapter competes with ones that always have more
// requests. Guards against it waiting all day.
TEST(PlanAdapters, PlacesAnAdapterThatHasWaitedLong)
{
  situation.engines = { engine("e1", { "a" }) };
  situation.demand[{ "a", "a1" }] = { 50, 5, 0, 1s };
  situation.demand[{ "a", "a2" }] = { 0, 1, 0, 10s };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Load pattern: a hot adapter and an absent one want the same slot. Guards
// against a second place before a first one.
TEST(PlanAdapters, PlacesAbsentAdaptersBeforeSecondPlacesOfHotOnes)
{
  Engine other = engine("e2", { "a" });
  other.models["a"] = { "a1" };
  other.orderable = false;
  situation.engines = { engine("e1", { "a" }), other };
  situation.demand[{ "a", "a1" }] = { 900, 0, 9 };
  situation.demand[{ "a", "a2" }] = { 0, 1, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Load pattern: every adapter of a busy engine is in use. Guards against an
// absent adapter that waits while others have two places.
TEST(PlanAdapters, EvictsASecondPlaceInUse)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine other = engine("e2", { "b" });
  other.models["a"] = { "a2", "a4" };
  other.orderable = false;
  situation.engines = { full, other };
  situation.demand[{ "a", "a1" }] = { 10, 0, 1 };
  situation.demand[{ "a", "a2" }] = { 500, 0, 5 };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(!steps[0].load);
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Guards against the only place of an adapter that is asked for leaving before
// the second place of another.
TEST(PlanAdapters, EvictsASecondPlaceBeforeTheOnlyOne)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine other = engine("e2", { "a" });
  other.models["a"] = { "a2", "a4" };
  other.orderable = false;
  situation.engines = { full, other };
  situation.demand[{ "a", "a1" }] = { 5, 0, 0 };
  situation.demand[{ "a", "a2" }] = { 80, 0, 0 };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Guards against an adapter that loses both of its places in one plan.
TEST(PlanAdapters, KeepsOnePlaceOfAnAdapterInUse)
{
  Engine first = engine("e1", { "a" });
  first.models["a"] = { "a2" };
  Engine second = engine("e2", { "a" });
  second.models["a"] = { "a2" };
  spec.adapterSlots = 1;
  situation.engines = { first, second };
  situation.demand[{ "a", "a2" }] = { 10, 0, 1 };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0 };
  situation.demand[{ "a", "a4" }] = { 0, 1, 0 };
  LONGS_EQUAL(1, residency::planAdapters(situation).size());
}

// Guards against the second place of a hot adapter pushing out the only place
// of one that is asked for, which then pushes the second place out again.
TEST(PlanAdapters, SecondPlacesTakeNoOnlyPlaceThatIsAskedFor)
{
  spec.adapterSlots = 1;
  Engine rare = engine("e1", { "a" });
  rare.models["a"] = { "a1" };
  Engine hot = engine("e2", { "a" });
  hot.models["a"] = { "a2" };
  situation.engines = { rare, hot };
  situation.demand[{ "a", "a1" }] = { 5, 0, 0 };
  situation.demand[{ "a", "a2" }] = { 500, 0, 5 };
  CHECK(residency::planAdapters(situation).empty());
}

// Guards against one adapter after another leaving for the same one, until the
// report of the engine that unloaded the first.
TEST(PlanAdapters, WaitsForTheSlotThatComes)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine settling = engine("e2", { "a" });
  settling.models["a"] = { "a1" };
  settling.orderable = false;
  situation.engines = { full, settling };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0, 1s };
  CHECK(residency::planAdapters(situation).empty());
  situation.demand[{ "a", "a4" }] = { 0, 1, 0, 1s };
  LONGS_EQUAL(1, residency::planAdapters(situation).size());
}

// Load pattern: single requests for a rare adapter, which end before a slot is
// free. Guards against the slot going to an adapter that nobody asked for.
TEST(PlanAdapters, GivesTheFreedSlotToTheAdapterThatWaited)
{
  Engine freed = engine("e1", { "a" });
  freed.models["a"] = { "a1" };
  situation.engines = { freed };
  situation.demand[{ "a", "a3" }] = { 5, 0, 0, 5s };
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(steps[0].load);
  STRCMP_EQUAL("a3", steps[0].what.adapter.c_str());
  situation.engines[0].models["a"].insert("a2");
  CHECK(residency::planAdapters(situation).empty());
}

// Guards against waiting for an engine that never reports again.
TEST(PlanAdapters, WaitsNotForeverForASlotThatComes)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine silent = engine("e2", { "a" });
  silent.orderable = false;
  situation.engines = { full, silent };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0, 15s };
  LONGS_EQUAL(1, residency::planAdapters(situation).size());
}

// Load pattern: more adapters are in use all the time than there are slots.
// Guards against those that came first keeping their places all day.
TEST(PlanAdapters, EvictsAnAdapterInUseForOneThatWaitedLong)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  situation.engines = { full };
  situation.demand[{ "a", "a1" }] = { 300, 0, 4 };
  situation.demand[{ "a", "a2" }] = { 50, 0, 1 };
  situation.demand[{ "a", "a3" }] = { 0, 1, 0, 3s };
  CHECK(residency::planAdapters(situation).empty());
  situation.demand[{ "a", "a3" }].unserved = 10s;
  const auto steps = residency::planAdapters(situation);
  LONGS_EQUAL(1, steps.size());
  CHECK(!steps[0].load);
  STRCMP_EQUAL("a2", steps[0].what.adapter.c_str());
}

// Load pattern: many adapters of a busy model, each asked for now and then; the
// first request for each waited seconds behind a running order.
TEST(PlanAdapters, FillsFreeSlotsAhead)
{
  Engine half = engine("e1", { "a" });
  half.models["a"] = { "a1" };
  situation.engines = { half, engine("e2", { "a", "b" }) };
  situation.demand[{ "a", "" }] = { 100, 0, 1 };
  const auto steps = residency::planAdapterPrefetch(situation);
  LONGS_EQUAL(2, steps.size());
  for (const PlannedOrder& step : steps) {
    CHECK(step.load);
    STRCMP_EQUAL("a", step.target.model.c_str());
    CHECK(step.target.adapter != "a1");
  }
}

// Guards against spare adapters that push others out.
TEST(PlanAdapters, FillsNoFullEngine)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  situation.engines = { full };
  situation.demand[{ "a", "" }] = { 100, 0, 1 };
  CHECK(residency::planAdapterPrefetch(situation).empty());
}

TEST_GROUP(AbsenceWatch)
{
  catalog::EngineSpec spec = makeSpec({ "a" });
  residency::UnservedTracker watch;
  const base::TimePoint start{ 100s };
  const ModelRef rare{ "a", "a1" };

  /** @return time for which the watch counts the adapter as unserved */
  base::Duration unservedAt(base::TimePoint aNow, unsigned aWaiting, bool aHeld)
  {
    PlanInput situation;
    situation.spec = &spec;
    situation.engines = { engine("e1", { "a" }) };
    if (aHeld) {
      situation.engines[0].models["a"] = { "a1" };
    }
    situation.demand[rare] = { 1, aWaiting, 0 };
    watch.update(situation, aNow);
    return situation.demand[rare].unserved;
  }
};

// Load pattern: single requests for a rare adapter, each refused before the
// next one. Guards against each of them beginning at the end of the queue.
TEST(AbsenceWatch, CountsOverPausesBetweenRequests)
{
  CHECK(unservedAt(start, 1, false) == 0s);
  CHECK(unservedAt(start + 10s, 0, false) == 10s);
  CHECK(unservedAt(start + 20s, 1, false) == 20s);
}

// Guards against an adapter that had a place going before those without one,
// and against an absence of long ago that still counts.
TEST(AbsenceWatch, EndsWithAPlaceOrWithoutRequests)
{
  unservedAt(start, 1, false);
  CHECK(unservedAt(start + 10s, 0, true) == 0s);
  CHECK(unservedAt(start + 11s, 1, false) == 0s);
  CHECK(unservedAt(start + 80s, 1, false) == 0s);
}

TEST_GROUP(LoadWindow)
{
  residency::StoreLoadLimiter window;
  const base::TimePoint start{ 100s };

  void setup() override
  {
    window.setLimit({ 1, 5s, 1.1, 3 });
  }

  /** @return loads begun by one owner as long as it may, at one moment */
  unsigned use(base::TimePoint aNow)
  {
    unsigned begun = 0;
    while (window.available(aNow) > 0) {
      window.recordLoad(aNow);
      ++begun;
    }
    return begun;
  }
};

// Load pattern: many models become busy at once; the weights store limits its
// loads over a sliding window of the whole fleet.
TEST(LoadWindow, LoadsStayWithinTheLimitOfTheStore)
{
  const unsigned first = use(start);
  CHECK(first >= 6);
  CHECK(first <= 1 * 5 * 1.1 + 3);
  LONGS_EQUAL(0, window.available(start + 4s));
  CHECK(window.available(start + 5100ms) > 0);
}

// Guards against an owner that begins with a full window although the one
// before has just used it: twice the loads that the store allows.
TEST(LoadWindow, NewOwnerCountsTheLoadsOfTheOneBefore)
{
  use(start);
  residency::StoreLoadLimiter next;
  next.setLimit({ 1, 5s, 1.1, 3 });
  next.replaceLoads(window.loadAges(start + 1s), start + 1s);
  next.startOwnership(3s, start + 3s);
  LONGS_EQUAL(0, next.available(start + 3s));
  CHECK(next.available(start + 5100ms) > 0);
}

// Guards against a VM that never heard the owner before and starts loads that
// together with that owner's exceed the limit.
TEST(LoadWindow, UnheardOwnerMayHaveUsedTheWholeWindow)
{
  window.startOwnership(3s, start);
  LONGS_EQUAL(0, window.available(start));
  CHECK(window.available(start + 2100ms) > 0);
}

TEST(LoadWindow, NoRateMeansNoLimit)
{
  window.setLimit({});
  window.startOwnership(3s, start);
  CHECK(window.available(start) > 1000);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
