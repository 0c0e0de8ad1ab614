#include "residency/order_ownership.h"

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** An owner sends no orders for this long before its ownership ends. It counts
 * towards the pause before the next owner's first order. */
constexpr base::Duration kQuietTime = 1100ms;
/** Longest time from sending an order to its arrival. Bytes that the kernel has
 * taken before the timeout are sent again once if they are lost. */
constexpr base::Duration kRetransmission = 200ms;
constexpr base::Duration kOrderFlight = kOrderTimeout + kRetransmission;

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

base::TimePoint
releasableFrom(base::TimePoint aLastOrderAt)
{
  return aLastOrderAt + kQuietTime;
}

} // namespace marigold::residency
