/** @file Tests of the engine stand-in's state: an oracle must itself be right.
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

// Guards against an oracle of P1 that forgets a short overcommit.
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

// Guards against a load that is accepted although it does not fit.
TEST(Engine, ShortMemoryIsRefused)
{
  Orders orders(OrderSettings{}, accelerator);
  LONGS_EQUAL(202, orders.accept(load("a", 1, 600), at(0)).status);
  LONGS_EQUAL(507, orders.accept(load("b", 1, 600), at(1)).status);
  LONGS_EQUAL(0, accelerator.overcommits());
}

// Guards against orders of an earlier holder that take effect after the fence.
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

// Guards against an engine without fencing that refuses old orders after all.
TEST(Engine, FenceIsIgnoredWhereSettingsSaySo)
{
  OrderSettings settings;
  settings.honoursFencing = false;
  Orders orders(settings, accelerator);
  orders.accept(load("a", 5, 100), at(0));
  LONGS_EQUAL(202, orders.accept(load("b", 1, 100), at(1)).status);
  orders.advance(batch, at(1000));
  LONGS_EQUAL(200, accelerator.usedMb());
}

// Guards against injected faults that do not happen: lost orders never take
// effect, late ones only later, repeated ones again after an unload.
TEST(Engine, OrdersAreLostLateAndDoneTwice)
{
  Orders orders(OrderSettings{}, accelerator);
  orders.setFaults({ 1, 1, 1, milliseconds(2000) });
  CHECK(orders.accept(load("lost", 1, 100), at(0)).silent);
  CHECK(orders.accept(load("late", 1, 100), at(0)).silent);
  CHECK(!orders.accept(load("twice", 1, 100), at(0)).silent);
  orders.advance(batch, at(600));
  LONGS_EQUAL(100, accelerator.usedMb());
  orders.accept(unload("u", 1, "twice"), at(700));
  orders.advance(batch, at(701));
  orders.advance(batch, at(800));
  LONGS_EQUAL(0, accelerator.usedMb());
  orders.advance(batch, at(2000));
  orders.advance(batch, at(2600));
  LONGS_EQUAL(200, accelerator.usedMb());
  CHECK(accelerator.serving("twice", "").has_value());
  CHECK(accelerator.serving("late", "").has_value());
  CHECK(!accelerator.serving("lost", "").has_value());
}

// Guards against an unload that interrupts requests, and against new requests
// on a model that is being unloaded.
TEST(Engine, UnloadWaitsForRequests)
{
  Orders orders(OrderSettings{}, accelerator);
  orders.accept(load("a", 1, 100), at(0));
  orders.advance(batch, at(600));
  batch.add({ 1, "a", "v1", 0, 0, 1, {}, false, {} });
  orders.accept(unload("u", 1, "a"), at(601));
  orders.advance(batch, at(602));
  CHECK(!accelerator.serving("a", "").has_value());
  orders.advance(batch, at(5000));
  LONGS_EQUAL(100, accelerator.usedMb());
  batch.remove(1);
  orders.advance(batch, at(5010));
  orders.advance(batch, at(5100));
  LONGS_EQUAL(0, accelerator.usedMb());
}

// Guards against loads that end before their weights have arrived.
TEST(Engine, LoadsWaitForWeights)
{
  OrderSettings settings;
  settings.usesWeights = true;
  Orders orders(settings, accelerator);
  orders.accept(load("a", 1, 100), at(0));
  LONGS_EQUAL(1, orders.takeFetches().size());
  orders.advance(batch, at(10'000));
  CHECK(stateOf(orders, "a") == OrderState::Pending);
  LONGS_EQUAL(100, accelerator.usedMb());
  orders.fetched("a", true, at(10'000));
  orders.advance(batch, at(10'600));
  CHECK(stateOf(orders, "a") == OrderState::Done);
}

// Guards against adapter loads whose time ignores the loads in flight.
TEST(Engine, AdapterLoadsSlowDownAboveTheLimit)
{
  const base::Duration alone = adapterLoadTime("x", 1, 90);
  CHECK(alone >= milliseconds(4) && alone <= milliseconds(20));
  CHECK(adapterLoadTime("x", 90, 90) == alone);
  CHECK(adapterLoadTime("x", 180, 90) == alone * 2);
}

// Guards against a batch that exceeds its capacity, ignores priorities or does
// not become slower as it grows.
TEST(Engine, BatchAdmitsByPriorityUpToCapacity)
{
  batch.add({ 1, "m", "v1", 1, 0, 2, {}, false, {} });
  batch.add({ 2, "m", "v1", 1, 0, 2, {}, false, {} });
  batch.add({ 3, "m", "v1", 0, 0, 2, {}, false, {} });
  const auto started = batch.admit(at(0));
  LONGS_EQUAL(2, started.size());
  LONGS_EQUAL(3, started[0]);
  LONGS_EQUAL(1, started[1]);
  CHECK(batch.period() == milliseconds(6));
  CHECK(!batch.step(at(6))[0].last);
  CHECK(batch.step(at(12))[0].last);
  LONGS_EQUAL(1, batch.admit(at(12)).size());
  CHECK(batch.period() == milliseconds(5));
}

// Guards against resumed requests that repeat tokens, and stalled ones that
// produce some.
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

// Guards against a cache without a bound, events that come early, and gaps that
// a reader cannot see.
TEST(Engine, CacheEvictsAndItsEventsAreLate)
{
  PrefixCache cache({ 3, milliseconds(200), 0.0, 1 });
  const std::string prompt(4 * PrefixCache::kBlockBytes, 'x');
  LONGS_EQUAL(0, cache.use("m", prompt.substr(0, 600), at(0)));
  LONGS_EQUAL(512, cache.use("m", prompt.substr(0, 600), at(1)));
  LONGS_EQUAL(0, cache.use("other", prompt.substr(0, 600), at(2)));
  LONGS_EQUAL(3, cache.size());
  CHECK(cache.events(0, at(100)).empty());
  const auto events = cache.events(0, at(300));
  LONGS_EQUAL(5, events.size());
  CHECK(!events.back().add);

  PrefixCache lossy({ 100, milliseconds(0), 0.5, 1 });
  lossy.use("m", std::string(60 * PrefixCache::kBlockBytes, 'y'), at(0));
  const auto kept = lossy.events(0, at(0));
  CHECK(kept.size() > 10 && kept.size() < 50);
  CHECK(kept.back().sequence > kept.size());
}

// Guards against markers in a body that are not found.
TEST(Engine, FaultsAreChosenByMarkerThenByCount)
{
  RequestFaults faults;
  faults.set(Fault::Stall, 1);
  CHECK(faults.choose("text [[crash]]") == Fault::Crash);
  CHECK(faults.choose("text") == Fault::Stall);
  CHECK(faults.choose("text") == Fault::None);
  STRCMP_EQUAL("r7", referenceIn("a [[ref:r7]] b").c_str());
  STRCMP_EQUAL("", referenceIn("a [[ref:r7").c_str());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
