/** @file When the owner of orders may send them and give up the ownership. */
#pragma once

#include "base/base.h"

#include <optional>

namespace marigold::residency {

/** Engines respond within a round trip; a later answer to an order counts as
 * lost, and no byte of the order leaves this VM later. */
constexpr base::Duration kOrderTimeout = std::chrono::milliseconds(700);

/** What decides whether an owner may send orders. */
struct OrderOwnership
{
  base::TimePoint startedAt{};   ///< start of this VM's process
  base::TimePoint ownedSince{};  ///< when this VM learnt that it is the owner
  base::TimePoint leaseEndsAt{}; ///< earliest end of its lease
  /** The pause after the orders of another VM is over. The store knows it, so
   * that the VM's next process need not wait for it again. */
  bool settled = false;
};

/**
 * @param aOwnership ownership of this VM
 * @param aPause time between the orders of two VMs that the platform demands
 * @param aNow time
 * @return true if the pause after the orders of another VM is over
 */
bool
maySettle(const OrderOwnership& aOwnership,
          base::Duration aPause,
          base::TimePoint aNow);

/** @param aOwnership ownership of this VM @param aNow time
 * @return true if orders may be sent */
bool
mayOrder(const OrderOwnership& aOwnership, base::TimePoint aNow);

/** What is known of the orders before this VM's ownership. */
struct EarlierOrders
{
  /** This VM's former process may have sent some. */
  bool ofFormerProcess = false;
  base::TimePoint startedAt{}; ///< start of this VM's process
  /** When no other VM owned the orders any more. Unset if this process has
   * found an ownership of its former one, which had ended by its start. */
  std::optional<base::TimePoint> freeSince;
};

/**
 * @param aOrders orders before the ownership of this VM
 * @param aPause time between the orders of two VMs that the platform demands
 * @param aNow time, once orders may be sent
 * @return time for which neither another VM nor this VM's former process can
 * have sent an order
 */
base::Duration
timeWithoutOrders(const EarlierOrders& aOrders,
                  base::Duration aPause,
                  base::TimePoint aNow);

/** @param aLastOrderAt when the latest order was sent
 * @return when the ownership may be given up before its lease ends */
base::TimePoint
releasableFrom(base::TimePoint aLastOrderAt);

} // namespace marigold::residency
