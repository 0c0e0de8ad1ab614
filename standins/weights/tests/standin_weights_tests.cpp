/** @file Tests of the weights store stand-in's limits. */
#include "standins/weights/store.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::standin;
using std::chrono::milliseconds;

namespace {

base::TimePoint
at(int aMilliseconds)
{
  return base::TimePoint{} + std::chrono::seconds(100) +
         milliseconds(aMilliseconds);
}

} // namespace

TEST_GROUP(Weights)
{
  WeightsStore store{ { 2, 2, milliseconds(3000), 90 } };
};

// Guards against a store that serves faster or more at once than it may.
TEST(Weights, RateAndConcurrencyAreKept)
{
  for (std::uint64_t serial = 1; serial <= 4; ++serial) {
    store.ask({ serial, "" }, at(0));
  }
  CHECK(store.advance(at(2900)).empty());
  LONGS_EQUAL(2, store.stats().highestRunning);
  LONGS_EQUAL(4, store.stats().highestRequested);
  LONGS_EQUAL(4, store.stats().highestAskedInSecond);
  LONGS_EQUAL(1, store.advance(at(3000)).front());
}

// Guards against two starts that are closer than the rate allows.
TEST(Weights, StartsAreSpacedByTheRate)
{
  store.ask({ 1, "" }, at(0));
  store.ask({ 2, "" }, at(0));
  CHECK(*store.due() == at(500));
  store.advance(at(500));
  store.advance(at(3000));
  LONGS_EQUAL(2, store.advance(at(3500)).front());
}

// Guards against a fetch that keeps its place after its engine has gone.
TEST(Weights, CancelFreesThePlace)
{
  store.ask({ 1, "" }, at(0));
  store.ask({ 2, "" }, at(0));
  store.cancel(1, at(600));
  store.cancel(2, at(600));
  CHECK(!store.due().has_value());
}

// Guards against adapters that wait for models, or a wrong record of them.
TEST(Weights, AdaptersDoNotQueue)
{
  store.ask({ 1, "" }, at(0));
  store.ask({ 2, "a" }, at(0));
  store.ask({ 3, "b" }, at(0));
  LONGS_EQUAL(2, store.advance(at(20)).size());
  LONGS_EQUAL(2, store.stats().highestAdapters);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
