/** @file Tests of the time between the orders of two owners. */
#include "residency/order_ownership.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using residency::OrderOwnership;

/** An order may take until its timeout to arrive, the next owner's first one no
 * time at all. */
TEST_GROUP(OrderOwnership)
{
  static constexpr base::Duration kPause = 3s;
  static constexpr base::Duration kTerm = 2s;
  static constexpr base::Duration kStep = 1ms;
  /** Time in the network of bytes that left at the timeout. */
  static constexpr base::Duration kTransit = 200ms;
  static constexpr base::Duration kFlight = residency::kOrderTimeout + kTransit;
  const TimePoint start{ 100s };

  /** @return the latest order that the owner may send if its lease ends */
  TimePoint lastOrder(TimePoint aLeaseEnd) const
  {
    TimePoint last{};
    const OrderOwnership owner{ start, start, aLeaseEnd, true };
    for (TimePoint now = start; now < aLeaseEnd; now += kStep) {
      last = residency::mayOrder(owner, now) ? now : last;
    }
    return last;
  }

  /** @return the first order that a VM may send after its claim */
  TimePoint firstOrder(TimePoint aClaim) const
  {
    OrderOwnership owner{ start, aClaim, aClaim + 1h, false };
    TimePoint now = aClaim;
    while (!residency::mayOrder(owner, now)) {
      owner.settled = residency::maySettle(owner, kPause, now);
      now += kStep;
    }
    return now;
  }
};

// The owner fails or is cut off; its lease ends and another VM claims at once.
// Guards against an order of each within the pause.
TEST(OrderOwnership, PausePassesAfterALeaseThatEnds)
{
  const TimePoint end = start + 60s;
  CHECK(firstOrder(end) - (lastOrder(end) + kFlight) >= kPause);
}

// Guards against the same after an owner that stops and gives up its ownership.
TEST(OrderOwnership, PausePassesAfterAPlannedStop)
{
  const TimePoint order = start + 60s;
  const TimePoint claim = residency::releasableFrom(order);
  CHECK(firstOrder(claim) - (order + kFlight) >= kPause);
}

// Guards against an owner that never orders, because its lease counts as ending
// all the time although it is renewed every half second.
TEST(OrderOwnership, OwnerOrdersWhileItsLeaseIsRenewed)
{
  const TimePoint renewed = start + 60s;
  const OrderOwnership owner{ start, start, renewed + kTerm, true };
  CHECK(residency::mayOrder(owner, renewed + 600ms));
}

// A VM's process is killed right after an order and started again at once.
// Guards against a lower fencing token after a higher one, and against waiting
// for a pause between two owners that are the same VM.
TEST(OrderOwnership, NextProcessOfTheOwnerWaitsForOrdersInFlightOnly)
{
  const TimePoint lastOrderBefore = start + 60s;
  const TimePoint restart = lastOrderBefore;
  const OrderOwnership owner{ restart, restart + 50ms, restart + 1h, true };
  TimePoint now = restart;
  while (!residency::mayOrder(owner, now)) {
    now += kStep;
  }
  CHECK(now > lastOrderBefore + kFlight);
  CHECK(now < restart + 1500ms);
}

// The VM was killed while it waited for the pause.
TEST(OrderOwnership, NextProcessWaitsForThePauseIfTheFormerOneHadNot)
{
  const TimePoint claim = start + 60s;
  CHECK(firstOrder(claim) - claim > 2s);
}

// An owner stops as planned, and the next one is killed while it waits for the
// pause. Guards against a process of the latter that takes the weights store's
// rate for unused, because it has seen no end of an ownership itself.
TEST(OrderOwnership, NextProcessDoesNotCountThePauseFromBeforeItsStart)
{
  const TimePoint claim = start + 400ms;
  const base::Duration without =
    residency::timeWithoutOrders({ false, start, {} }, kPause, claim + kPause);
  CHECK(without == kPause + 400ms);
}

// Guards against loads that wait although nobody can have ordered any.
TEST(OrderOwnership, OwnerCountsThePauseFromTheEndOfTheFormerOwnership)
{
  const TimePoint free = start + 60s;
  const TimePoint now = free + 10s;
  CHECK(residency::timeWithoutOrders({ false, start, free }, kPause, now) ==
        10s);
  CHECK(residency::timeWithoutOrders({ false, start, now }, kPause, now) ==
        kPause);
  CHECK(residency::timeWithoutOrders({ true, now - 1s, {} }, kPause, now) ==
        1s);
}
