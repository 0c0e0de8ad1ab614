/** @file Tests of the rate and concurrency limits of the weights store. */
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

// Model fetches must stay within the rate and concurrency limits.
TEST(Weights, RateAndConcurrencyAreKept)
{
  for (std::uint64_t serial = 1; serial <= 4; ++serial) {
    store.requestFetch({ serial, "" }, at(0));
  }
  CHECK(store.advance(at(2900)).empty());
  LONGS_EQUAL(2, store.stats().highestRunning);
  LONGS_EQUAL(4, store.stats().highestRequested);
  LONGS_EQUAL(4, store.stats().highestAskedInSecond);
  LONGS_EQUAL(1, store.advance(at(3000)).front());
}

// Consecutive fetches must start no sooner than the rate limit allows.
TEST(Weights, StartsAreSpacedByTheRate)
{
  store.requestFetch({ 1, "" }, at(0));
  store.requestFetch({ 2, "" }, at(0));
  CHECK(*store.nextDueTime() == at(500));
  store.advance(at(500));
  store.advance(at(3000));
  LONGS_EQUAL(2, store.advance(at(3500)).front());
}

// A cancelled fetch must free its slot and its place in the queue.
TEST(Weights, CancelFreesThePlace)
{
  store.requestFetch({ 1, "" }, at(0));
  store.requestFetch({ 2, "" }, at(0));
  store.cancel(1, at(600));
  store.cancel(2, at(600));
  CHECK(!store.nextDueTime().has_value());
}

// Adapter fetches must not queue behind model fetches, and must be counted.
TEST(Weights, AdaptersDoNotQueue)
{
  store.requestFetch({ 1, "" }, at(0));
  store.requestFetch({ 2, "a" }, at(0));
  store.requestFetch({ 3, "b" }, at(0));
  LONGS_EQUAL(2, store.advance(at(20)).size());
  LONGS_EQUAL(2, store.stats().highestAdapters);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
