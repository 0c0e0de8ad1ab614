/** @file Tests of the residency library. */
#include "residency/residency.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace marigold;
using namespace std::chrono_literals;
using catalog::ModelRef;
using residency::Engine;
using residency::FormerOwner;
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
    model.storeLoadTime = 9s;
    model.diskLoadTime = 2s;
    model.memoryLoadTime = 1s;
    spec.models[name] = model;
  }
  return spec;
}

Engine
engine(const std::string& aName, const std::vector<std::string>& aModels)
{
  Engine result;
  result.name = aName;
  for (const std::string& model : aModels) {
    result.models[model] = {};
  }
  return result;
}

const PlannedOrder*
orderFor(const std::vector<PlannedOrder>& aOrders,
         const std::string& aModel,
         bool aLoad)
{
  for (const PlannedOrder& order : aOrders) {
    if (order.target.model == aModel && order.load == aLoad) {
      return &order;
    }
  }
  return nullptr;
}

} // namespace

TEST_GROUP(PlanModels)
{
  catalog::EngineSpec spec = makeSpec({ "a", "b", "c", "d" });
  PlanInput input;

  void setup() override
  {
    input.spec = &spec;
    input.availableStoreLoads = 5;
  }
};

// Room for a large hot model needs two evictions, of which the second costs
// more than the model gains. Guards against an unload that serves nobody, after
// which the evicted model is loaded again, and so on.
TEST(PlanModels, EvictsNothingUnlessAllEvictionsAreWorthIt)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  spec.models["c"].weightsMb = 2 * kWeightsMb;
  input.engines = { engine("e1", { "a", "b" }),
                    engine("e2", { "a", "b" }),
                    engine("e3", { "c" }) };
  input.demand[{ "a", "" }] = { 60, 0, 1 };
  input.demand[{ "b", "" }] = { 900, 0, 9 };
  input.demand[{ "c", "" }] = { 600, 0, 6 };
  CHECK(residency::planModels(input).empty());
}

// The cheapest victim is too small to make room for a hot model. Guards against
// its eviction, which would serve nobody.
TEST(PlanModels, EvictsAModelThatIsLargeEnough)
{
  spec.models["a"].weightsMb = kWeightsMb / 2;
  spec.weightsMb = 2.5 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "b", "c" }),
                    engine("e2", { "a", "b", "c" }),
                    engine("e3", { "d" }) };
  input.demand[{ "b", "" }] = { 40, 0, 1 };
  input.demand[{ "c", "" }] = { 60, 0, 1 };
  input.demand[{ "d", "" }] = { 900, 0, 9 };
  input.engines[2].orderable = false;
  const auto orders = residency::planModels(input);
  CHECK(orderFor(orders, "b", false) != nullptr);
  CHECK(orderFor(orders, "a", false) == nullptr);
}

// The only engine that held a model has gone.
TEST(PlanModels, LoadsAModelThatNoEngineHolds)
{
  input.engines = { engine("e1", { "a", "b" }), engine("e2", { "a", "c" }) };
  input.demand[{ "d", "" }] = { 50, 2, 0 };
  const auto orders = residency::planModels(input);
  CHECK(orderFor(orders, "d", true) != nullptr);
}

// Guards against an engine that is ordered to load more than its memory holds.
TEST(PlanModels, LoadsInProgressCountAsUsedMemory)
{
  Engine full = engine("e1", { "a", "b" });
  full.loading = { "c" };
  input.engines = { full };
  input.demand[{ "d", "" }] = { 500, 5, 0 };
  CHECK(orderFor(residency::planModels(input), "d", true) == nullptr);
}

// Guards against the memory of a model counting as free before its unload ends.
TEST(PlanModels, UnloadingModelsStillUseMemory)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine changing = engine("e1", { "a", "b" });
  changing.unloading = { "a" };
  input.engines = { changing, engine("e2", { "a", "c" }) };
  input.demand[{ "d", "" }] = { 500, 5, 0 };
  const auto orders = residency::planModels(input);
  const PlannedOrder* load = orderFor(orders, "d", true);
  CHECK(load == nullptr || load->engine != "e1");
}

// Demand moves to a model with a single replica.
TEST(PlanModels, ReplacesIdleReplicasByReplicasOfAHotModel)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "b" }),
                    engine("e2", { "a", "c" }),
                    engine("e3", { "a", "d" }) };
  input.demand[{ "b", "" }] = { 600, 0, 5 };
  const auto orders = residency::planModels(input);
  const PlannedOrder* unload = orderFor(orders, "a", false);
  CHECK(unload != nullptr);
  CHECK(unload->engine != "e1");
}

// More models are requested than fit into memory. Guards against a hot model
// taking all memory that is freed for a starved one.
TEST(PlanModels, PlacesAStarvedModelBeforeMoreReplicasOfAHotOne)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a" }), engine("e2", { "b", "c" }) };
  input.demand[{ "b", "" }] = { 2000, 0, 9 };
  input.demand[{ "d", "" }] = { 0, 1, 0, 11s };
  const auto orders = residency::planModels(input);
  const PlannedOrder* load = orderFor(orders, "d", true);
  CHECK(load != nullptr);
  STRCMP_EQUAL("e1", load->engine.c_str());
}

// Many rarely used models compete for little memory. Guards against a model
// that is requested all the time and never loaded.
TEST(PlanModels, StarvedModelEvictsTheLastReplicaOfARarelyUsedOne)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "b" }) };
  input.demand[{ "a", "" }] = { 900, 0, 9 };
  input.demand[{ "b", "" }] = { 20, 0, 1 };
  input.demand[{ "c", "" }] = { 10, 1, 0, 2s };
  CHECK(residency::planModels(input).empty());
  input.demand[{ "c", "" }].unservedTime = 11s;
  const auto orders = residency::planModels(input);
  CHECK(orderFor(orders, "b", false) != nullptr);
  CHECK(orderFor(orders, "a", false) == nullptr);
}

// Guards against unserved time that is tracked for adapters only.
TEST(PlanModels, TracksTheUnservedTimeOfModels)
{
  residency::UnservedTracker tracker;
  input.engines = { engine("e1", { "a", "b" }) };
  input.demand[{ "c", "" }] = { 10, 1, 0 };
  tracker.update(input, base::TimePoint{ 100s });
  input.demand[{ "c", "" }] = { 10, 0, 0 };
  tracker.update(input, base::TimePoint{ 107s });
  CHECK(input.demand.at({ "c", "" }).unservedTime == 7s);
  input.engines.push_back(engine("e2", { "c" }));
  input.demand[{ "c", "" }] = { 10, 1, 0 };
  tracker.update(input, base::TimePoint{ 108s });
  CHECK(input.demand.at({ "c", "" }).unservedTime == 0s);
}

// Guards against thrashing: an only replica that is evicted for a small gain
// has to be loaded again seconds later.
TEST(PlanModels, KeepsTheLastReplicaOfAModel)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "b" }), engine("e2", { "c", "d" }) };
  input.demand[{ "a", "" }] = { 900, 0, 9 };
  CHECK(residency::planModels(input).empty());
}

// Guards against unloading several replicas of a model in successive plans,
// because engine records list a model until its unload ends.
TEST(PlanModels, DoesNotCountUnloadingReplicas)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine changing = engine("e1", { "a", "b" });
  changing.unloading = { "a" };
  changing.orderable = false;
  input.engines = { changing, engine("e2", { "a", "c" }) };
  input.demand[{ "d", "" }] = { 30, 0, 0 };
  CHECK(orderFor(residency::planModels(input), "a", false) == nullptr);
}

// Two of three engines with a model answer errors to all, or are silent, while
// another model is hot. Guards against unloading it from the one that serves.
TEST(PlanModels, KeepsTheLastReplicaThatServes)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine second = engine("e2", { "a", "b" });
  Engine third = engine("e3", { "a", "c" });
  second.orderable = third.orderable = false;
  input.engines = { engine("e1", { "a", "d" }), second, third };
  input.demand[{ "a", "" }] = { 30, 0, 1 };
  input.demand[{ "c", "" }] = { 900, 0, 9 };
  input.demand[{ "d", "" }] = { 30, 0, 1 };
  CHECK(orderFor(residency::planModels(input), "a", false) != nullptr);
  input.engines[1].impaired = true;
  CHECK(orderFor(residency::planModels(input), "a", false) != nullptr);
  input.engines[2].impaired = true;
  CHECK(residency::planModels(input).empty());
}

// Guards against unloading a model from the only engine that serves it since
// another one has begun to load it.
TEST(PlanModels, KeepsTheLastReplicaThatServesWhileAnotherLoads)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine loading = engine("e2", { "c" });
  loading.loading = { "a" };
  loading.orderable = false;
  input.engines = { engine("e1", { "a", "d" }), loading };
  input.demand[{ "a", "" }] = { 30, 0, 1 };
  input.demand[{ "c", "" }] = { 900, 0, 9 };
  CHECK(orderFor(residency::planModels(input), "a", false) == nullptr);
  input.engines[0].impaired = true; // It is still better than none.
  CHECK(orderFor(residency::planModels(input), "a", false) == nullptr);
}

// Guards against taking room from a model as if all its engines served: one of
// two that do is worth more than one of six.
TEST(PlanModels, CountsTheReplicasThatServeAsTheRoomOfAModel)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "d" }), engine("e2", { "a", "c" }) };
  input.engines[1].orderable = false;
  for (const char* name : { "e3", "e4", "e5", "e6" }) {
    input.engines.push_back(engine(name, { "a", "c" }));
    input.engines.back().orderable = false;
  }
  input.demand[{ "a", "" }] = { 600, 0, 6 };
  input.demand[{ "c", "" }] = { 1800, 0, 18 };
  CHECK(orderFor(residency::planModels(input), "a", false) != nullptr);
  for (std::size_t i = 2; i < input.engines.size(); ++i) {
    input.engines[i].impaired = true;
  }
  CHECK(orderFor(residency::planModels(input), "a", false) == nullptr);
}

// A trouble of seconds ends sooner than a load. Guards against loads and
// evictions each time that it begins and ends.
TEST(PlanModels, PlacesNothingAnewWhileReplicasAreImpaired)
{
  Engine first = engine("e1", { "a" });
  Engine second = engine("e2", { "a" });
  first.impaired = second.impaired = true;
  input.engines = { first, second, engine("e3", { "b" }) };
  input.demand[{ "a", "" }] = { 100, 0, 1 };
  CHECK(orderFor(residency::planModels(input), "a", true) == nullptr);
}

// Guards against a model that is never loaded because the last replicas that
// serve are kept for ever.
TEST(PlanModels, StarvedModelEvictsTheLastReplicaThatServes)
{
  spec.weightsMb = kWeightsMb + 1000;
  Engine impaired = engine("e2", { "a" });
  impaired.impaired = true;
  impaired.orderable = false;
  input.engines = { engine("e1", { "a" }), impaired };
  input.demand[{ "a", "" }] = { 5, 0, 0 };
  input.demand[{ "b", "" }] = { 20, 2, 0, 5s };
  CHECK(residency::planModels(input).empty());
  input.demand[{ "b", "" }] = { 20, 2, 0, 12s };
  CHECK(orderFor(residency::planModels(input), "a", false) != nullptr);
}

// A model with little work has more requested adapters than its engines have
// slots. Guards against adapters that are never loaded.
TEST(PlanModels, AddsReplicasForAdaptersWithoutSlots)
{
  Engine full = engine("e1", { "a", "b" });
  full.models["a"] = { "a1", "a2" };
  input.engines = { full, engine("e2", { "b", "c", "d" }) };
  input.engines.push_back(engine("e3", { "b", "c", "d" }));
  for (const char* adapter : { "a1", "a2" }) {
    input.demand[{ "a", adapter }] = { 2, 0, 1 };
  }
  for (const char* adapter : { "a3", "a4" }) {
    input.demand[{ "a", adapter }] = { 2, 1, 0 };
  }
  const auto orders = residency::planModels(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
  CHECK(orders[0].engine != "e1");
}

// Guards against a replica that is added for adapters at an engine without a
// free slot, where it serves none of them.
TEST(PlanModels, AddsReplicasForAdaptersAtEnginesWithFreeSlots)
{
  Engine full = engine("e1", { "a", "b" });
  full.models["a"] = { "a1", "a2" };
  Engine busy = engine("e2", { "b", "d" });
  busy.models["b"] = { "a1", "a2" };
  Engine open = engine("e3", { "b", "d" });
  input.engines = { full, busy, open };
  for (const char* model : { "a", "b" }) {
    input.demand[{ model, "a1" }] = { 2, 0, 1 };
    input.demand[{ model, "a2" }] = { 2, 0, 1 };
  }
  input.demand[{ "a", "a3" }] = { 2, 1, 0 };
  const auto orders = residency::planModels(input);
  const PlannedOrder* load = orderFor(orders, "a", true);
  CHECK(load != nullptr);
  STRCMP_EQUAL("e3", load->engine.c_str());
}

// Guards against evicting a replica while adapters in use depend on it, which
// makes it necessary to load it again.
TEST(PlanModels, KeepsReplicasWhoseSlotsAreInUse)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  Engine first = engine("e1", { "a", "b" });
  first.models["a"] = { "a1", "a2" };
  Engine second = engine("e2", { "a", "c" });
  second.models["a"] = { "a3", "a4" };
  input.engines = { first, second };
  for (const std::string& adapter : spec.models["a"].adapters) {
    input.demand[{ "a", adapter }] = { 2, 0, 1 };
  }
  input.demand[{ "b", "" }] = { 230, 0, 2 };
  CHECK(residency::planModels(input).empty());
}

// Only an adapter of a model that no engine holds is requested, and every other
// model has one replica. Guards against never loading the model.
TEST(PlanModels, LoadsTheModelOfARequestedAdapter)
{
  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines = { engine("e1", { "a", "b" }), engine("e2", { "c" }) };
  input.engines[1].draining = true;
  input.demand[{ "d", "a1" }] = { 2, 1, 0 };
  const auto orders = residency::planModels(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
}

// Guards against exceeding the rate limit of the weights store.
TEST(PlanModels, RespectsTheRateLimitOfTheWeightsStore)
{
  input.availableStoreLoads = 0;
  Engine cached = engine("e2", { "a" });
  input.engines = { engine("e1", { "a" }), cached };
  CHECK(residency::planModels(input).empty());
  input.engines[1].cachedOnDisk = { "b" };
  const auto orders = residency::planModels(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("e2", orders[0].engine.c_str());
  CHECK(!orders[0].fromStore);
}

// Guards against orders to engines that drain or whose state is unknown.
TEST(PlanModels, SendsNoOrdersToDrainingOrUnknownEngines)
{
  Engine draining = engine("e1", {});
  draining.draining = true;
  Engine unknown = engine("e2", {});
  unknown.orderable = false;
  input.engines = { draining, unknown };
  CHECK(residency::planModels(input).empty());
}

// The only holder of a model has crashed and will be back within seconds, with
// its disk. Guards against long loads and evictions that end after that.
TEST(PlanModels, ModelOfARestartingEngineIsLoadedElsewhereOnlyIfThatIsQuick)
{
  spec = makeSpec({ "a", "b", "c" });
  const auto loadsHotModel = [this] {
    return orderFor(residency::planModels(input), "a", true) != nullptr;
  };
  const auto evicts = [this] {
    const auto orders = residency::planModels(input);
    return std::any_of(orders.begin(),
                       orders.end(),
                       [](const PlannedOrder& aOrder) { return !aOrder.load; });
  };
  input.demand = { { { "a", "" }, { 500, 5, 0 } },
                   { { "b", "" }, { 1, 0, 0 } } };
  input.engines = { engine("e1", { "a" }), engine("e2", { "b" }) };
  input.engines[0].draining = true;
  input.engines[0].restarting = true;
  CHECK(!loadsHotModel());
  input.engines[1].cachedOnDisk = { "a" };
  CHECK(loadsHotModel());

  spec.weightsMb = 2 * kWeightsMb + 1000;
  input.engines[1].models["c"] = {};
  input.engines.push_back(engine("e3", { "b", "c" }));
  CHECK(!evicts());
  // Once its record is removed, nobody knows whether it will be back.
  input.engines.erase(input.engines.begin());
  CHECK(evicts());
}

// Two software versions serve, and an engine of one crashes with the streams of
// a model. Guards against a load at the other one, which may not continue them.
TEST(PlanModels, ModelOfACrashedEngineIsLoadedWhereItsStreamsMayGoOn)
{
  input.demand = { { { "a", "" }, { 500, 5, 0 } } };
  input.engines = { engine("e1", { "a" }), engine("e2", {}), engine("e3", {}) };
  input.engines[0].draining = true;
  input.engines[0].restarting = true;
  input.engines[1].cachedOnDisk = { "a" };
  input.engines[2].cachedOnDisk = { "a" };
  for (const std::uint32_t software : { 1U, 2U }) {
    input.engines[0].software = software;
    input.engines[1].software = 1;
    input.engines[2].software = 2;
    const auto orders = residency::planModels(input);
    const PlannedOrder* load = orderFor(orders, "a", true);
    CHECK(load != nullptr);
    STRCMP_EQUAL(software == 1 ? "e2" : "e3", load->engine.c_str());
  }
}

TEST_GROUP(PlanAdapters)
{
  catalog::EngineSpec spec = makeSpec({ "a", "b" });
  PlanInput input;

  void setup() override
  {
    input.spec = &spec;
  }
};

// A rarely used adapter is requested while no engine holds it.
TEST(PlanAdapters, LoadsAnAdapterThatRequestsWaitFor)
{
  input.engines = { engine("e1", { "b" }), engine("e2", { "a" }) };
  input.demand[{ "a", "a1" }] = { 0, 1, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("e2", orders[0].engine.c_str());
  CHECK(orders[0].load);
}

// Two software versions serve, and callers take up streams of an adapter that
// only the other one holds. Guards against take-ups that are refused although
// the adapter is loaded in milliseconds.
TEST(PlanAdapters, LoadsAnAdapterWhereItsStreamsMayGoOn)
{
  input.engines = { engine("e1", { "a" }),
                    engine("e2", { "a" }),
                    engine("e3", { "b" }) };
  input.engines[0].software = 1;
  input.engines[0].models["a"] = { "a1" };
  input.engines[1].software = 2;
  input.engines[2].software = 2;
  input.demand[{ "a", "a1" }].takeUps = { { 2, 1 } };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("e2", orders[0].engine.c_str());
  STRCMP_EQUAL("a1", orders[0].target.adapter.c_str());
  input.engines[1].models["a"] = { "a1" };
  CHECK(residency::planAdapters(input).empty());
}

// No engine holds an adapter that new requests and streams of one software wait
// for. Guards against two loads of it, or one that serves only the former.
TEST(PlanAdapters, LoadsAnAdapterForNewRequestsAndStreamsOnce)
{
  input.engines = { engine("e1", { "a" }), engine("e2", { "a" }) };
  input.engines[0].software = 1;
  input.engines[1].software = 2;
  input.demand[{ "a", "a1" }].waiting = 4;
  input.demand[{ "a", "a1" }].takeUps = { { 2, 1 } };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("e2", orders[0].engine.c_str());
}

// The engine whose software began a stream can get no order now. Guards against
// one waiting take-up that stops the load for all new requests.
TEST(PlanAdapters, LoadsAnAdapterForNewRequestsWhileATakeUpHasNoPlace)
{
  input.engines = { engine("e1", { "a" }), engine("e2", { "a" }) };
  input.engines[0].software = 1;
  input.engines[1].software = 2;
  input.demand[{ "a", "a1" }].waiting = 20;
  input.demand[{ "a", "a1" }].takeUps = { { 2, 1 } };
  const auto loadsAtFirst = [this] {
    const auto orders = residency::planAdapters(input);
    return orders.size() == 1 && orders[0].load && orders[0].engine == "e1";
  };
  input.engines[1].orderable = false;
  CHECK(loadsAtFirst());
  input.engines[1].orderable = true;
  input.engines[1].quiet = true;
  CHECK(loadsAtFirst());
  input.engines[1].quiet = false;
  input.engines[1].models["a"] = { "a2", "a3" };
  input.demand[{ "a", "a2" }] = { 900, 0, 30 };
  input.demand[{ "a", "a3" }] = { 900, 0, 30 };
  CHECK(loadsAtFirst());
}

// Both versions hold an adapter in use. Guards against a take-up of another one
// that takes its place at the only engine which may go on with its streams.
TEST(PlanAdapters, TakeUpDoesNotEvictTheOnlyReplicaOfItsSoftware)
{
  spec.adapterSlots = 1;
  input.engines = { engine("e1", { "a" }), engine("e2", { "a" }) };
  input.engines[0].software = 1;
  input.engines[0].models["a"] = { "a2" };
  input.engines[1].software = 2;
  input.engines[1].models["a"] = { "a2" };
  input.demand[{ "a", "a2" }] = { 900, 0, 30 };
  input.demand[{ "a", "a1" }].takeUps = { { 2, 1 } };
  CHECK(residency::planAdapters(input).empty());
  input.engines.push_back(engine("e3", { "a" }));
  input.engines[2].software = 2;
  input.engines[2].models["a"] = { "a2" };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
}

// Guards against unloading an adapter in use: the unload waits for running
// requests and blocks further orders to the engine.
TEST(PlanAdapters, EvictsOnlyIdleAdapters)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  input.engines = { full };
  input.demand[{ "a", "a1" }] = { 1, 0, 2 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// Guards against evicting an adapter before the requests that waited for it
// arrive.
TEST(PlanAdapters, KeepsRecentlyLoadedAdapters)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  full.recentlyLoaded = { { "a", "a1" }, { "a", "a2" } };
  input.engines = { full };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  CHECK(residency::planAdapters(input).empty());
}

// More adapters are requested than an engine has slots. Guards against slots
// being allocated in the order of names.
TEST(PlanAdapters, LoadsTheAdapterWithMostWaitingRequestsFirst)
{
  input.engines = { engine("e1", { "a" }) };
  input.demand[{ "a", "a1" }] = { 0, 1, 0 };
  input.demand[{ "a", "a2" }] = { 0, 3, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// Guards against starvation of a rarely used adapter that competes with ones
// that always have more requests.
TEST(PlanAdapters, LoadsAnAdapterUnservedForLongFirst)
{
  input.engines = { engine("e1", { "a" }) };
  input.demand[{ "a", "a1" }] = { 50, 5, 0, 1s };
  input.demand[{ "a", "a2" }] = { 0, 1, 0, 10s };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// A hot adapter and an unserved one compete for a slot. Guards against a second
// replica being loaded before a first one.
TEST(PlanAdapters, LoadsUnservedAdaptersBeforeSecondReplicasOfHotOnes)
{
  Engine other = engine("e2", { "a" });
  other.models["a"] = { "a1" };
  other.orderable = false;
  input.engines = { engine("e1", { "a" }), other };
  input.demand[{ "a", "a1" }] = { 900, 0, 9 };
  input.demand[{ "a", "a2" }] = { 0, 1, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// Every adapter of a busy engine is in use. Guards against an unserved adapter
// that waits while others have two replicas.
TEST(PlanAdapters, EvictsARedundantReplicaInUse)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine other = engine("e2", { "b" });
  other.models["a"] = { "a2", "a4" };
  other.orderable = false;
  input.engines = { full, other };
  input.demand[{ "a", "a1" }] = { 10, 0, 1 };
  input.demand[{ "a", "a2" }] = { 500, 0, 5 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// Guards against evicting the only replica of a requested adapter before the
// second replica of another.
TEST(PlanAdapters, EvictsARedundantReplicaBeforeAnOnlyOne)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine other = engine("e2", { "a" });
  other.models["a"] = { "a2", "a4" };
  other.orderable = false;
  input.engines = { full, other };
  input.demand[{ "a", "a1" }] = { 5, 0, 0 };
  input.demand[{ "a", "a2" }] = { 80, 0, 0 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// Guards against evicting an adapter in use from the only engine that serves
// it, since another one, which errs or unloads its model, holds it too.
TEST(PlanAdapters, KeepsTheLastReplicaThatServes)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine other = engine("e2", { "b" });
  other.models["a"] = { "a2", "a4" };
  other.orderable = false;
  input.engines = { full, other };
  input.demand[{ "a", "a1" }] = { 10, 0, 1 };
  input.demand[{ "a", "a2" }] = { 500, 0, 5 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  LONGS_EQUAL(1, residency::planAdapters(input).size());
  input.engines[1].impaired = true;
  CHECK(residency::planAdapters(input).empty());
  input.engines[1].impaired = false;
  input.engines[1].unloading = { "a" };
  CHECK(residency::planAdapters(input).empty());
}

// Guards against second replicas for each trouble of seconds.
TEST(PlanAdapters, PlacesNothingAnewWhileReplicasAreImpaired)
{
  Engine first = engine("e1", { "a" });
  first.models["a"] = { "a1" };
  Engine second = engine("e2", { "a" });
  second.models["a"] = { "a1" };
  first.impaired = second.impaired = true;
  input.engines = { first, second, engine("e3", { "a" }) };
  input.demand[{ "a", "a1" }] = { 500, 0, 5 };
  CHECK(residency::planAdapters(input).empty());
}

// Guards against evicting both replicas of an adapter in one plan.
TEST(PlanAdapters, KeepsOneReplicaOfAnAdapterInUse)
{
  Engine first = engine("e1", { "a" });
  first.models["a"] = { "a2" };
  Engine second = engine("e2", { "a" });
  second.models["a"] = { "a2" };
  spec.adapterSlots = 1;
  input.engines = { first, second };
  input.demand[{ "a", "a2" }] = { 10, 0, 1 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0 };
  input.demand[{ "a", "a4" }] = { 0, 1, 0 };
  LONGS_EQUAL(1, residency::planAdapters(input).size());
}

// Guards against thrashing: the second replica of a hot adapter evicts the only
// replica of a requested one, which then evicts the second replica.
TEST(PlanAdapters, SecondReplicasDoNotEvictRequestedOnlyReplicas)
{
  spec.adapterSlots = 1;
  Engine rare = engine("e1", { "a" });
  rare.models["a"] = { "a1" };
  Engine hot = engine("e2", { "a" });
  hot.models["a"] = { "a2" };
  input.engines = { rare, hot };
  input.demand[{ "a", "a1" }] = { 5, 0, 0 };
  input.demand[{ "a", "a2" }] = { 500, 0, 5 };
  CHECK(residency::planAdapters(input).empty());
}

// Guards against evicting one adapter after another for the same unserved one
// until the engine that unloaded the first has reported.
TEST(PlanAdapters, WaitsForASlotBeingFreed)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine awaitingReport = engine("e2", { "a" });
  awaitingReport.models["a"] = { "a1" };
  awaitingReport.orderable = false;
  input.engines = { full, awaitingReport };
  input.demand[{ "a", "a3" }] = { 0, 1, 0, 1s };
  CHECK(residency::planAdapters(input).empty());
  input.demand[{ "a", "a4" }] = { 0, 1, 0, 1s };
  LONGS_EQUAL(1, residency::planAdapters(input).size());
}

// Requests for a rarely used adapter end before a slot is free. Guards against
// the slot being filled with an adapter that was never requested.
TEST(PlanAdapters, GivesAFreedSlotToTheAdapterRequestedEarlier)
{
  Engine freed = engine("e1", { "a" });
  freed.models["a"] = { "a1" };
  input.engines = { freed };
  input.demand[{ "a", "a3" }] = { 5, 0, 0, 5s };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(orders[0].load);
  STRCMP_EQUAL("a3", orders[0].target.adapter.c_str());
  input.engines[0].models["a"].insert("a2");
  CHECK(residency::planAdapters(input).empty());
}

// Guards against waiting for a slot of an engine that takes no orders for as
// long as it has asked for quiet.
TEST(PlanAdapters, DoesNotWaitForASlotOfAQuietEngine)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine quiet = engine("e2", { "a" });
  quiet.models["a"] = { "a1" };
  quiet.quiet = true;
  input.engines = { full, quiet };
  input.demand[{ "a", "a3" }] = { 0, 1, 0, 1s };
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("e1", orders[0].engine.c_str());
}

// Guards against waiting forever for an engine that does not report again.
TEST(PlanAdapters, LimitsTheWaitForASlotBeingFreed)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  Engine silent = engine("e2", { "a" });
  silent.orderable = false;
  input.engines = { full, silent };
  input.demand[{ "a", "a3" }] = { 0, 1, 0, 15s };
  LONGS_EQUAL(1, residency::planAdapters(input).size());
}

// More adapters are in use all the time than there are slots. Guards against
// adapters that were loaded first keeping their slots forever.
TEST(PlanAdapters, EvictsAnAdapterInUseForAStarvedOne)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  input.engines = { full };
  input.demand[{ "a", "a1" }] = { 300, 0, 4 };
  input.demand[{ "a", "a2" }] = { 50, 0, 1 };
  input.demand[{ "a", "a3" }] = { 0, 1, 0, 3s };
  CHECK(residency::planAdapters(input).empty());
  input.demand[{ "a", "a3" }].unservedTime = 10s;
  const auto orders = residency::planAdapters(input);
  LONGS_EQUAL(1, orders.size());
  CHECK(!orders[0].load);
  STRCMP_EQUAL("a2", orders[0].target.adapter.c_str());
}

// A busy model has many rarely used adapters. Guards against the first request
// for each waiting seconds behind an order in progress.
TEST(PlanAdapters, PrefetchesIntoFreeSlots)
{
  Engine half = engine("e1", { "a" });
  half.models["a"] = { "a1" };
  input.engines = { half, engine("e2", { "a", "b" }) };
  input.demand[{ "a", "" }] = { 100, 0, 1 };
  const auto orders = residency::planAdapterPrefetch(input);
  LONGS_EQUAL(2, orders.size());
  for (const PlannedOrder& order : orders) {
    CHECK(order.load);
    STRCMP_EQUAL("a", order.target.model.c_str());
    CHECK(order.target.adapter != "a1");
  }
}

// Guards against prefetched adapters that evict others.
TEST(PlanAdapters, PrefetchEvictsNothing)
{
  Engine full = engine("e1", { "a" });
  full.models["a"] = { "a1", "a2" };
  input.engines = { full };
  input.demand[{ "a", "" }] = { 100, 0, 1 };
  CHECK(residency::planAdapterPrefetch(input).empty());
}

TEST_GROUP(AbsenceWatch)
{
  catalog::EngineSpec spec = makeSpec({ "a" });
  residency::UnservedTracker tracker;
  const base::TimePoint start{ 100s };
  const ModelRef rare{ "a", "a1" };

  /** @return unserved time of the adapter */
  base::Duration unservedAt(base::TimePoint aNow, unsigned aWaiting, bool aHeld)
  {
    PlanInput input;
    input.spec = &spec;
    input.engines = { engine("e1", { "a" }) };
    if (aHeld) {
      input.engines[0].models["a"] = { "a1" };
    }
    input.demand[rare] = { 1, aWaiting, 0 };
    tracker.update(input, aNow);
    return input.demand[rare].unservedTime;
  }
};

// Single requests for a rarely used adapter are each refused before the next
// one arrives. Guards against unserved time that starts anew with each request.
TEST(AbsenceWatch, UnservedTimeContinuesBetweenRequests)
{
  CHECK(unservedAt(start, 1, false) == 0s);
  CHECK(unservedAt(start + 10s, 0, false) == 10s);
  CHECK(unservedAt(start + 20s, 1, false) == 20s);
}

// Guards against unserved time that continues while an engine holds the
// adapter, and against an old unserved period that is resumed.
TEST(AbsenceWatch, UnservedTimeEndsWithAReplicaOrWithoutRequests)
{
  unservedAt(start, 1, false);
  CHECK(unservedAt(start + 10s, 0, true) == 0s);
  CHECK(unservedAt(start + 11s, 1, false) == 0s);
  CHECK(unservedAt(start + 80s, 1, false) == 0s);
}

TEST_GROUP(LoadWindow)
{
  residency::StoreLoadLimiter limiter;
  const base::TimePoint start{ 100s };

  void setup() override
  {
    limiter.setLimit({ 1, 5s, 1.1, 3 });
  }

  /** Starts loads until the limit is reached. @return number of loads */
  unsigned exhaust(base::TimePoint aNow)
  {
    unsigned started = 0;
    while (limiter.available(aNow) > 0) {
      limiter.recordLoad(aNow);
      ++started;
    }
    return started;
  }
};

// Many models become busy at once, while the weights store limits the loads of
// the whole fleet over a sliding window.
TEST(LoadWindow, LoadsStayWithinTheLimitOfTheStore)
{
  const unsigned first = exhaust(start);
  CHECK(first >= 6);
  CHECK(first <= 1 * 5 * 1.1 + 3);
  LONGS_EQUAL(0, limiter.available(start + 4s));
  CHECK(limiter.available(start + 5300ms) > 0);
}

// Orders to distant engines take effect later than those to near ones. A full
// window of distant loads followed by near ones must not begin within a window.
TEST(LoadWindow, OrdersTakeEffectAtDifferentDelays)
{
  constexpr base::Duration kFar = 100ms;
  constexpr base::Duration kNear = 2ms;
  limiter.setLimit({ 20, 5s, 1.1, 3 });
  std::vector<base::TimePoint> begun;
  for (base::TimePoint now = start; now < start + 20s; now += 10ms) {
    const bool firstWindow = now < start + 2500ms;
    while (limiter.available(now) > 0) {
      limiter.recordLoad(now);
      begun.push_back(now + (firstWindow ? kFar : kNear));
    }
  }
  std::sort(begun.begin(), begun.end());
  for (std::size_t first = 0, last = 0; last < begun.size(); ++last) {
    while (begun[last] - begun[first] >= 5s) {
      ++first;
    }
    CHECK(last - first + 1 <= 113);
  }
}

// Guards against twice the loads that the store allows, when a new owner starts
// with an empty window just after the previous owner used its own.
TEST(LoadWindow, NewOwnerCountsTheLoadsOfThePreviousOne)
{
  exhaust(start);
  residency::StoreLoadLimiter nextOwner;
  nextOwner.setLimit({ 1, 5s, 1.1, 3 });
  nextOwner.replaceLoads(limiter.loadAges(start + 1s), start + 1s);
  nextOwner.startOwnership(3s, FormerOwner::OtherVm, start + 3s);
  LONGS_EQUAL(0, nextOwner.available(start + 3s));
  CHECK(nextOwner.available(start + 5300ms) > 0);
}

// Guards against exceeding the limit when a VM becomes the owner without a
// recent report of the previous owner's loads.
TEST(LoadWindow, WindowIsFullWithoutARecentReport)
{
  limiter.startOwnership(3s, FormerOwner::OtherVm, start);
  LONGS_EQUAL(0, limiter.available(start));
  CHECK(limiter.available(start + 2300ms) > 0);
}

// Guards against twice the loads that the store allows, when the next process
// of the owner's VM begins with an empty window: no plan has set its limit yet.
TEST(LoadWindow, WindowOfANewProcessIsFullBeforeItsFirstPlan)
{
  residency::StoreLoadLimiter next;
  next.startOwnership(900ms, FormerOwner::OwnVm, start);
  next.setLimit({}); // another service, without a limit
  next.setLimit({ 1, 5s, 1.1, 3 });
  LONGS_EQUAL(0, next.available(start));
  CHECK(!next.loadAges(start).empty());
  next.setLimit({ 1, 5s, 1.1, 3 }); // each plan sets it
  CHECK(next.available(start + 4400ms) > 0);
}

// Guards against a fleet that loads nothing in its first seconds: a VM that has
// seen no owner for a window need not wait for it again.
TEST(LoadWindow, FirstOwnerOfAFleetHasAnEmptyWindow)
{
  limiter.startOwnership(5300ms, FormerOwner::OtherVm, start);
  CHECK(limiter.available(start) >= 6);
}

// The owner is killed and starts again within a second. Guards against a wait
// for loads that its peers know did not happen, and against more than the limit
// if they did.
TEST(LoadWindow, NewProcessLearnsTheLoadsOfTheFormerOneFromPeers)
{
  limiter.recordLoad(start);
  limiter.recordLoad(start);
  residency::StoreLoadLimiter peer;
  peer.setLimit({ 1, 5s, 1.1, 3 });
  peer.replaceLoads(limiter.loadAges(start + 100ms), start + 100ms);
  const base::TimePoint heard = start + 2s;
  residency::StoreLoadLimiter next;
  next.startOwnership(900ms, FormerOwner::OwnVm, heard);
  next.setLimit({ 1, 5s, 1.1, 3 });
  LONGS_EQUAL(0, next.available(heard));
  next.mergeReport(peer.loadAges(heard), *peer.reportAge(heard), heard);
  LONGS_EQUAL(limiter.available(heard), next.available(heard));
  CHECK(!next.reportAge(heard)); // it has not heard the owner itself
}

// Guards against twice the loads that the store allows: a VM that has never
// planned has no limit yet, and passed on the loads of the last 250 ms only.
TEST(LoadWindow, PeerThatNeverOwnedOrdersPassesOnAllLoadsInTheWindow)
{
  const unsigned ordered = exhaust(start);
  residency::StoreLoadLimiter peer;
  peer.replaceLoads(limiter.loadAges(start + 1s), start + 1s);
  const base::TimePoint heard = start + 2s;
  residency::StoreLoadLimiter next;
  next.startOwnership(900ms, FormerOwner::OwnVm, heard);
  next.mergeReport(peer.loadAges(heard), *peer.reportAge(heard), heard);
  next.setLimit({ 1, 5s, 1.1, 3 });
  LONGS_EQUAL(ordered, next.loadAges(heard).size());
  LONGS_EQUAL(0, next.available(heard));
}

// Guards against the same where another VM takes over: what a peer without a
// limit passes on replaced what the next owner had heard from the former one.
TEST(LoadWindow, LaterReportOfAPeerDoesNotHideLoadsHeardFromTheOwner)
{
  exhaust(start);
  residency::StoreLoadLimiter peer;
  peer.replaceLoads(limiter.loadAges(start + 100ms), start + 100ms);
  residency::StoreLoadLimiter next;
  next.replaceLoads(limiter.loadAges(start + 100ms), start + 100ms);
  const auto ages = peer.loadAges(start + 1s);
  const base::Duration age = *peer.reportAge(start + 1s);
  next.mergeReport(ages, age, start + 1050ms); // 50 ms on its way
  next.startOwnership(3s, FormerOwner::OtherVm, start + 3s);
  next.setLimit({ 1, 5s, 1.1, 3 });
  LONGS_EQUAL(0, next.available(start + 3s));
}

// A peer passes on what it heard before the owner's latest loads, and its
// message is long on its way behind a full link. Guards against a report that
// looks newer than it is and hides the loads that the next owner has heard of.
TEST(LoadWindow, ReportThatWasLongOnItsWayDoesNotHideNewerLoads)
{
  residency::StoreLoadLimiter peer;
  peer.replaceLoads({}, start - 100ms);
  const base::Duration age = *peer.reportAge(start);
  exhaust(start + 200ms);
  residency::StoreLoadLimiter next;
  next.setLimit({ 0, 5s, 1.1, 3 }); // it has not planned, but knows the window
  next.replaceLoads(limiter.loadAges(start + 300ms), start + 300ms);
  next.mergeReport(peer.loadAges(start), age, start + 1s);
  next.startOwnership(3s, FormerOwner::OtherVm, start + 3s);
  next.setLimit({ 1, 5s, 1.1, 3 });
  LONGS_EQUAL(0, next.available(start + 3s));
  CHECK(next.available(start + 5500ms) > 0);
}

// Guards against a VM that keeps loads which no longer count, and takes no news
// of a peer for them: it would wait for a window after it took over.
TEST(LoadWindow, ReportWithFewerLoadsIsTakenOnceTheOthersHaveExpired)
{
  exhaust(start);
  residency::StoreLoadLimiter next;
  next.setLimit({ 0, 5s, 1.1, 3 });
  next.replaceLoads(limiter.loadAges(start + 100ms), start + 100ms);
  next.mergeReport({}, 50ms, start + 5500ms);
  next.startOwnership(3s, FormerOwner::OtherVm, start + 8s);
  next.setLimit({ 1, 5s, 1.1, 3 });
  CHECK(next.available(start + 8s) >= 6);
}

// Guards against a report from before the latest loads of another VM, as one of
// a peer that was cut off from that VM.
TEST(LoadWindow, OldReportOfAPeerDoesNotEmptyTheWindow)
{
  limiter.startOwnership(3s, FormerOwner::OtherVm, start);
  limiter.mergeReport({}, 4s, start);
  LONGS_EQUAL(0, limiter.available(start));
  limiter.mergeReport({}, 3400ms, start);
  CHECK(limiter.available(start) >= 6);
}

TEST(LoadWindow, ZeroRateMeansNoLimit)
{
  limiter.setLimit({});
  limiter.startOwnership(3s, FormerOwner::OtherVm, start);
  CHECK(limiter.available(start) > 1000);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
