/** @file Tests of the engine stand-in, whose state is an oracle in other tests.
 */
#include "standins/common/adapter_time.h"
#include "standins/common/faults.h"
#include "standins/engine/orders.h"
#include "standins/engine/prefix_cache.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::standin;
using std::chrono::milliseconds;

namespace {

base::TimePoint
at(int aMilliseconds)
{
  return base::TimePoint{} + milliseconds(aMilliseconds);
}

Order
load(const char* aId, std::uint64_t aFence, int aMemoryMb)
{
  return { aId, aFence, OrderOp::Load, aId, "v1", "", "", aMemoryMb };
}

Order
unload(const char* aId, std::uint64_t aFence, const char* aModel)
{
  return { aId, aFence, OrderOp::Unload, aModel, "v1", "", "", 0 };
}

OrderState
stateOf(const Orders& aOrders, const std::string& aId)
{
  for (const OrderRecord& record : aOrders.records()) {
    if (record.id == aId) {
      return record.state;
    }
  }
  FAIL("no such order");
  return OrderState::Failed;
}

} // namespace

TEST_GROUP(Engine)
{
  Accelerator accelerator{ 1000 };
  Batch batch{ BatchSpeed{ 2, milliseconds(5), milliseconds(1) } };
};

// A short overcommit must stay visible in the counters after memory is freed.
TEST(Engine, OvercommitIsRememberedAfterTheMemoryIsFree)
{
  OrderSettings settings;
  settings.checksMemory = false;
  Orders orders(settings, accelerator);
  orders.accept(load("a", 1, 600), at(0));
  orders.accept(load("b", 1, 600), at(1));
  orders.advance(batch, at(1000));
  orders.accept(unload("c", 1, "a"), at(1001));
  orders.advance(batch, at(1002));
  orders.advance(batch, at(1100));
  LONGS_EQUAL(600, accelerator.usedMb());
  LONGS_EQUAL(1200, accelerator.highestMb());
  LONGS_EQUAL(1, accelerator.overcommits());
}

// A load that does not fit into free memory must be rejected.
TEST(Engine, ShortMemoryIsRefused)
{
  Orders orders(OrderSettings{}, accelerator);
  LONGS_EQUAL(202, orders.accept(load("a", 1, 600), at(0)).status);
  LONGS_EQUAL(507, orders.accept(load("b", 1, 600), at(1)).status);
  LONGS_EQUAL(0, accelerator.overcommits());
}

// Orders with an older fencing token must not take effect after a newer one.
TEST(Engine, FenceStopsOlderOrders)
{
  Orders orders(OrderSettings{}, accelerator);
  orders.accept(load("a", 1, 600), at(0));
  Order fence = load("f", 2, 0);
  fence.op = OrderOp::Fence;
  LONGS_EQUAL(202, orders.accept(fence, at(1)).status);
  orders.advance(batch, at(1000));
  LONGS_EQUAL(0, accelerator.usedMb());
  CHECK(stateOf(orders, "a") == OrderState::Failed);
  CHECK(stateOf(orders, "f") == OrderState::Done);
  LONGS_EQUAL(409, orders.accept(load("b", 1, 10), at(1001)).status);
}

// An engine without fencing must accept orders with a stale fencing token.
TEST(Engine, FenceIsIgnoredWhereSettingsSaySo)
{
  OrderSettings settings;
  settings.enforcesFencing = false;
  Orders orders(settings, accelerator);
  orders.accept(load("a", 5, 100), at(0));
  LONGS_EQUAL(202, orders.accept(load("b", 1, 100), at(1)).status);
  orders.advance(batch, at(1000));
  LONGS_EQUAL(200, accelerator.usedMb());
}

// Injected faults must occur: lost orders never take effect, late orders take
// effect after the delay, duplicated orders execute again after an unload.
TEST(Engine, OrdersAreLostLateAndDoneTwice)
{
  Orders orders(OrderSettings{}, accelerator);
  orders.setFaults({ 1, 1, 1, milliseconds(2000) });
  CHECK(orders.accept(load("lost", 1, 100), at(0)).dropsConnection);
  CHECK(orders.accept(load("late", 1, 100), at(0)).dropsConnection);
  CHECK(!orders.accept(load("twice", 1, 100), at(0)).dropsConnection);
  orders.advance(batch, at(600));
  LONGS_EQUAL(100, accelerator.usedMb());
  orders.accept(unload("u", 1, "twice"), at(700));
  orders.advance(batch, at(701));
  orders.advance(batch, at(800));
  LONGS_EQUAL(0, accelerator.usedMb());
  orders.advance(batch, at(2000));
  orders.advance(batch, at(2600));
  LONGS_EQUAL(200, accelerator.usedMb());
  CHECK(accelerator.servingVersion("twice", "").has_value());
  CHECK(accelerator.servingVersion("late", "").has_value());
  CHECK(!accelerator.servingVersion("lost", "").has_value());
}

// An unload must wait for the requests of its model, and a model that is being
// unloaded must not serve new requests.
TEST(Engine, UnloadWaitsForRequests)
{
  Orders orders(OrderSettings{}, accelerator);
  orders.accept(load("a", 1, 100), at(0));
  orders.advance(batch, at(600));
  batch.add({ 1, "a", "v1", 0, 0, 1, {}, false, {} });
  orders.accept(unload("u", 1, "a"), at(601));
  orders.advance(batch, at(602));
  CHECK(!accelerator.servingVersion("a", "").has_value());
  orders.advance(batch, at(5000));
  LONGS_EQUAL(100, accelerator.usedMb());
  batch.remove(1);
  orders.advance(batch, at(5010));
  orders.advance(batch, at(5100));
  LONGS_EQUAL(0, accelerator.usedMb());
}

// A load must not complete before its weights are fetched.
TEST(Engine, LoadsWaitForWeights)
{
  OrderSettings settings;
  settings.usesWeights = true;
  Orders orders(settings, accelerator);
  orders.accept(load("a", 1, 100), at(0));
  LONGS_EQUAL(1, orders.takePendingFetches().size());
  orders.advance(batch, at(10'000));
  CHECK(stateOf(orders, "a") == OrderState::Pending);
  LONGS_EQUAL(100, accelerator.usedMb());
  orders.onWeightsFetched("a", true, at(10'000));
  orders.advance(batch, at(10'600));
  CHECK(stateOf(orders, "a") == OrderState::Done);
}

// Adapter load time must grow with the loads in flight above the limit.
TEST(Engine, AdapterLoadsSlowDownAboveTheLimit)
{
  const base::Duration alone = adapterLoadTime("x", 1, 90);
  CHECK(alone >= milliseconds(4) && alone <= milliseconds(20));
  CHECK(adapterLoadTime("x", 90, 90) == alone);
  CHECK(adapterLoadTime("x", 180, 90) == alone * 2);
}

// The batch must respect its capacity and priorities, and its steps must take
// longer as it grows.
TEST(Engine, BatchAdmitsByPriorityUpToCapacity)
{
  batch.add({ 1, "m", "v1", 1, 0, 2, {}, false, {} });
  batch.add({ 2, "m", "v1", 1, 0, 2, {}, false, {} });
  batch.add({ 3, "m", "v1", 0, 0, 2, {}, false, {} });
  const auto started = batch.admit(at(0));
  LONGS_EQUAL(2, started.size());
  LONGS_EQUAL(3, started[0]);
  LONGS_EQUAL(1, started[1]);
  CHECK(batch.stepDuration() == milliseconds(6));
  CHECK(!batch.step(at(6))[0].last);
  CHECK(batch.step(at(12))[0].last);
  LONGS_EQUAL(1, batch.admit(at(12)).size());
  CHECK(batch.stepDuration() == milliseconds(5));
}

// A resumed request must not repeat tokens; a stalled one must produce none.
TEST(Engine, ResumeContinuesAndStallProducesNothing)
{
  batch.add({ 1, "m", "v1", 0, 3, 5, {}, false, {} });
  batch.add({ 2, "m", "v1", 0, 0, 5, {}, true, {} });
  batch.admit(at(0));
  const auto tokens = batch.step(at(5));
  LONGS_EQUAL(1, tokens.size());
  LONGS_EQUAL(3, tokens[0].index);
  CHECK(batch.step(at(10))[0].last);
  LONGS_EQUAL(1, batch.running());
}

// The cache must stay within its capacity, delay its events, and skip sequence
// numbers for lost events so that a reader can detect the gaps.
TEST(Engine, CacheEvictsAndItsEventsAreLate)
{
  PrefixCache cache({ 3, milliseconds(200), 0.0, 1 });
  const std::string prompt(4 * PrefixCache::kBlockBytes, 'x');
  LONGS_EQUAL(0, cache.lookUpAndInsert("m", prompt.substr(0, 600), at(0)));
  LONGS_EQUAL(512, cache.lookUpAndInsert("m", prompt.substr(0, 600), at(1)));
  LONGS_EQUAL(0, cache.lookUpAndInsert("other", prompt.substr(0, 600), at(2)));
  LONGS_EQUAL(3, cache.size());
  CHECK(cache.events(0, at(100)).empty());
  const auto events = cache.events(0, at(300));
  LONGS_EQUAL(5, events.size());
  CHECK(!events.back().add);

  PrefixCache lossy({ 100, milliseconds(0), 0.5, 1 });
  lossy.lookUpAndInsert(
    "m", std::string(60 * PrefixCache::kBlockBytes, 'y'), at(0));
  const auto kept = lossy.events(0, at(0));
  CHECK(kept.size() > 10 && kept.size() < 50);
  CHECK(kept.back().sequence > kept.size());
}

// Guards against missed markers and against faults that outlast their count.
TEST(Engine, FaultsAreChosenByMarkerThenByCount)
{
  RequestFaults faults;
  faults.set(Fault::Stall, 1);
  CHECK(faults.choose("text [[crash]]") == Fault::Crash);
  CHECK(faults.choose("text") == Fault::Stall);
  CHECK(faults.choose("text") == Fault::None);
  STRCMP_EQUAL("r7", parseReferenceMarker("a [[ref:r7]] b").c_str());
  STRCMP_EQUAL("", parseReferenceMarker("a [[ref:r7").c_str());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
