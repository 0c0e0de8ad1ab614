#include "residency/order_ownership.h"

#include <algorithm>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** An owner sends no orders for this long before its ownership ends. It counts
 * towards the pause before the next owner's first order. */
constexpr base::Duration kQuietTime = 1100ms;
/** Longest time from the last byte's departure to its arrival: the network and
 * the resolution of the kernel's timers. */
constexpr base::Duration kTransit = 200ms;
/** Longest time from the decision to send an order to its arrival. Neither the
 * client nor the kernel sends a byte of it after the timeout
 * (docs/decisions/0013-order-flight.md). */
constexpr base::Duration kOrderFlight = kOrderTimeout + kTransit;

} // namespace

bool
maySettle(const OrderOwnership& aOwnership,
          base::Duration aPause,
          base::TimePoint aNow)
{
  return aNow + kQuietTime < aOwnership.leaseEndsAt &&
         aNow > aOwnership.ownedSince + aPause - kQuietTime + kOrderFlight;
}

bool
mayOrder(const OrderOwnership& aOwnership, base::TimePoint aNow)
{
  // The latest order of this VM's former process, which has a lower fencing
  // token, must not arrive after one of this process.
  return aOwnership.settled && aNow + kQuietTime < aOwnership.leaseEndsAt &&
         aNow > aOwnership.startedAt + kOrderFlight;
}

base::Duration
timeWithoutOrders(const EarlierOrders& aOrders,
                  base::Duration aPause,
                  base::TimePoint aNow)
{
  if (aOrders.ofFormerProcess) {
    return std::min(aPause, aNow - aOrders.startedAt);
  }
  // A VM that has seen no owner since it started knows more than the pause.
  return std::max(aPause, aNow - aOrders.freeSince.value_or(aOrders.startedAt));
}

base::TimePoint
releasableFrom(base::TimePoint aLastOrderAt)
{
  return aLastOrderAt + kQuietTime;
}

} // namespace marigold::residency
