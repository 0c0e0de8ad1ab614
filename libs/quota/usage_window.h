/** @file What the fleet has consumed of one bucket lately, as one VM knows it.
 */
#pragma once

#include "base/base.h"

#include <deque>

namespace marigold::quota {

/** Units consumed over a sliding window, in slots. What peers consumed counts
 * from when they reported it. */
class UsageWindow
{
public:
  /** Forgets what was consumed before the window.
   * @param aLength of the window @param aNow time */
  void slide(base::Duration aLength, base::TimePoint aNow);

  /** @param aOwn units that this VM consumed; negative for a refund
   * @param aPeers units that peers consumed @param aNow time */
  void add(double aOwn, double aPeers, base::TimePoint aNow);

  /** Adds what a peer consumed while it was unreachable to all slots since then
   * alike.
   * @param aUnits units @param aSince time @param aNow time */
  void addEarlier(double aUnits, base::TimePoint aSince, base::TimePoint aNow);

  void clear();

  /** @return units that this VM consumed in the window */
  double own() const { return mOwn; }

  /** @return units that all VMs consumed in the window */
  double total() const { return mOwn + mPeers; }

  /** @param aHeardAt time @param aDelay until a peer knows what this VM
   * consumed @return units of the window that a peer that was heard then last
   * surely knew of */
  double knownToPeer(base::TimePoint aHeardAt, base::Duration aDelay) const;

  /** @param aSince time @return units that this VM consumed since then */
  double ownSince(base::TimePoint aSince) const;

  /** @param aSpan part of the window
   * @return the most units that all VMs consumed in a span of that length */
  double mostWithin(base::Duration aSpan) const;

private:
  struct Slot
  {
    base::TimePoint start{};
    double own = 0;   ///< units
    double peers = 0; ///< units
  };

  base::Duration mSlotLength{};
  std::deque<Slot> mSlots; ///< those in which units were consumed
  double mOwn = 0;
  double mPeers = 0;
};

} // namespace marigold::quota
