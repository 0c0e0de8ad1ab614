/** @file Tests of what a VM knows of the fleet's consumption over a window. */
#include "quota/usage_window.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kLength = 8s;
constexpr base::TimePoint kStart{ 100s };

} // namespace

TEST_GROUP(UsageWindow){};

TEST(UsageWindow, CountsUnitsUntilTheyAreOlderThanTheWindow)
{
  UsageWindow window;
  window.slide(kLength, kStart);
  window.add(10, 5, kStart);
  window.add(0, 20, kStart + 4s);
  window.slide(kLength, kStart + 8s);
  DOUBLES_EQUAL(35, window.total(), 0);
  DOUBLES_EQUAL(10, window.own(), 0);
  window.slide(kLength, kStart + 8s + 200ms);
  DOUBLES_EQUAL(20, window.total(), 0);
  DOUBLES_EQUAL(0, window.own(), 0);
}

TEST(UsageWindow, GivesRefundedUnitsBack)
{
  UsageWindow window;
  window.slide(kLength, kStart);
  window.add(10, 0, kStart);
  window.add(-4, 0, kStart + 1s);
  DOUBLES_EQUAL(6, window.total(), 0);
}

TEST(UsageWindow, TellsWhatThisVmConsumedSinceATime)
{
  UsageWindow window;
  window.slide(kLength, kStart);
  window.add(10, 100, kStart);
  window.add(3, 100, kStart + 2s);
  window.add(4, 100, kStart + 2s + 300ms);
  DOUBLES_EQUAL(7, window.ownSince(kStart + 2s), 0);
  DOUBLES_EQUAL(4, window.ownSince(kStart + 2s + 200ms), 0);
}

TEST(UsageWindow, FindsTheLargestConsumptionOfASpan)
{
  UsageWindow window;
  window.slide(kLength, kStart);
  window.add(10, 10, kStart);
  window.add(10, 20, kStart + 1s);
  window.add(0, 30, kStart + 1s + 400ms);
  window.add(10, 0, kStart + 3s);
  DOUBLES_EQUAL(60, window.mostWithin(500ms), 0);
  DOUBLES_EQUAL(30, window.mostWithin(300ms), 0);
}

TEST(UsageWindow, TellsWhatASilentPeerKnew)
{
  UsageWindow window;
  window.slide(kLength, kStart);
  window.add(10, 100, kStart);
  window.add(5, 200, kStart + 2s);
  window.add(3, 400, kStart + 3s);
  DOUBLES_EQUAL(110, window.knownToPeer(kStart + 1s, 500ms), 0);
  DOUBLES_EQUAL(310, window.knownToPeer(kStart + 2s, 500ms), 0);
  DOUBLES_EQUAL(315, window.knownToPeer(kStart + 2s + 700ms, 500ms), 0);
}
