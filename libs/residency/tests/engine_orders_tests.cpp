/** @file Tests of what the owner of orders takes an engine to hold. */
#include "residency/residency.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using residency::EngineOrders;
using residency::HeldModels;
using residency::OrderEnd;
using residency::PlannedOrder;

TEST_GROUP(EngineOrders)
{
  const base::TimePoint start{ 100s };
  const catalog::EngineSpec spec{};
  EngineOrders orders;

  static PlannedOrder order(bool aLoad, catalog::ModelRef aTarget)
  {
    return { "e", aLoad, std::move(aTarget), false, "" };
  }

  residency::Engine view(const HeldModels& aRecord, base::TimePoint aNow)
  {
    orders.onRecord(aRecord, spec, aNow);
    residency::Engine engine;
    orders.describe(aRecord, aNow, engine);
    return engine;
  }

  /** Sends an order that ends at once. */
  void execute(const PlannedOrder& aOrder, OrderEnd aEnd)
  {
    orders.orderSent(aOrder, start);
    orders.orderEnded(aOrder, aEnd, start);
  }
};

// An owner takes over while the record still names a model that has left.
// Guards against an order count ahead of that of the engine: an order that is
// carried out late would then be accepted on another state than planned.
TEST(EngineOrders, UnloadOfAnAbsentModelIsNotCounted)
{
  orders.onReport({ false, 4, { { "m1", {} } } }, start);
  execute(order(false, { "m2", "" }), OrderEnd::AlreadyApplied);
  LONGS_EQUAL(4, orders.orderCount());
  CHECK_FALSE(view({ { "m1", {} } }, start + 100ms).orderable);
  CHECK(orders.wantsReport(start + 1s));
}

// Guards against a report after each eviction of an adapter.
TEST(EngineOrders, UnloadOfAnIdleAdapterIsCounted)
{
  orders.onReport({ false, 4, { { "m1", { "a1" } } } }, start);
  execute(order(false, { "m1", "a1" }), OrderEnd::AlreadyApplied);
  LONGS_EQUAL(5, orders.orderCount());
  CHECK(view({ { "m1", {} } }, start).orderable);
  CHECK(orders.adapters().at("m1").empty());
}

// An unload without an answer is carried out behind the report that follows it.
// Guards against a model that counts as being loaded for ever, so that callers
// wait for it in vain.
TEST(EngineOrders, ReportedModelThatHasLeftIsAskedFor)
{
  orders.onReport({ false, 4, { { "m1", {} } } }, start);
  LONGS_EQUAL(1, view({}, start + 1s).loading.size());
  CHECK_FALSE(orders.wantsReport(start + 1s));
  LONGS_EQUAL(1, view({}, start + 5s).loading.size());
  CHECK(orders.wantsReport(start + 5s));
  orders.onReport({ false, 5, {} }, start + 5s);
  CHECK(view({}, start + 10s).loading.empty());
  CHECK_FALSE(orders.wantsReport(start + 10s));
}

// Guards against memory that counts as free although a load may take effect.
TEST(EngineOrders, UnansweredLoadCountsUntilAReport)
{
  orders.onReport({ false, 4, {} }, start);
  execute(order(true, { "m1", "" }), OrderEnd::Unanswered);
  LONGS_EQUAL(1, view({}, start + 1s).loading.size());
  orders.onReport({ false, 4, {} }, start + 2s);
  CHECK(view({}, start + 3s).loading.empty());
}
