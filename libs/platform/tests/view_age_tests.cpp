/** @file Tests of the times after which a view of the store is renewed. */
#include "platform/view_age.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;

TEST_GROUP(ViewAge){};

// A change that comes right after its connection went silent must be found with
// a third of its limit left, whatever the limit of the deployment.
TEST(ViewAge, SilenceIsFoundWithinTwoThirdsOfTheLimit)
{
  constexpr base::Duration kCallTimeout = 1200ms;
  for (const base::Duration limit : { 2500ms, 4000ms, 5000ms }) {
    const auto found = platform::maxWatchWait(limit, kCallTimeout) +
                       platform::overdueAfter(kCallTimeout);
    CHECK(found <= limit * 2 / 3);
  }
}

// Readers that tell each other of changes may wait longer, but neither a reader
// without others nor one of a very large fleet longer than the bounds.
TEST(ViewAge, SharedWaitGrowsWithTheReadersUpToABound)
{
  const auto alone = platform::maxWatchWait(2500ms, 1200ms);
  CHECK(platform::sharedWatchWait(2500ms, 1200ms, 0) == alone);
  CHECK(platform::sharedWatchWait(2500ms, 1200ms, 1) == alone);
  CHECK(platform::sharedWatchWait(2500ms, 1200ms, 4) == 2 * alone);
  CHECK(platform::sharedWatchWait(2500ms, 1200ms, 1000000) <= 5s);
}

// Limits that are very short or long must not lead to a busy loop of calls, nor
// to waits that hide a silent connection.
TEST(ViewAge, WaitsAreBounded)
{
  CHECK(platform::maxWatchWait(0ms, 1200ms) >= 100ms);
  CHECK(platform::maxWatchWait(1h, 1200ms) <= 5s);
}

// An answer is overdue before its call times out, else nothing is gained by
// asking again.
TEST(ViewAge, AnswerIsOverdueWellBeforeTheTimeout)
{
  CHECK(2 * platform::overdueAfter(1200ms) < base::Duration(1200ms));
}
