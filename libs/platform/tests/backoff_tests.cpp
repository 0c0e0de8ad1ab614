/** @file Tests of the delays between failed calls. */
#include "platform/backoff.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace marigold;
using namespace std::chrono_literals;

TEST_GROUP(Backoff){};

// In a long outage the calls of a VM become rare.
TEST(Backoff, DoublesUpToTheMaximum)
{
  platform::Backoff backoff(100ms, 1600ms, 1);
  base::Duration limit = 100ms;
  for (int failure = 0; failure < 12; ++failure) {
    const base::Duration delay = backoff.next();
    CHECK(delay >= limit / 2);
    CHECK(delay <= limit);
    limit = std::min<base::Duration>(limit * 2, 1600ms);
  }
}

// After a success the next failure is retried soon again.
TEST(Backoff, StartsOverAfterASuccess)
{
  platform::Backoff backoff(100ms, 1600ms, 2);
  for (int failure = 0; failure < 6; ++failure) {
    backoff.next();
  }
  LONGS_EQUAL(6, backoff.failures());
  backoff.reset();
  LONGS_EQUAL(0, backoff.failures());
  CHECK(backoff.next() <= 100ms);
}

// VMs that lost the store together must not call it together.
TEST(Backoff, DelaysOfManyVmsAreSpread)
{
  std::set<base::Duration> tenths;
  for (std::uint64_t vm = 0; vm < 100; ++vm) {
    platform::Backoff backoff(1s, 1s, vm);
    tenths.insert(backoff.next() / 50ms * 50ms);
  }
  CHECK(tenths.size() >= 9);
}
