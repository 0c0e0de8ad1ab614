/** @file Makes the summary of a data centre. */
#pragma once

#include "peers/peer_table.h"

namespace marigold::peers {

/** Adds up what the VMs of a data centre say. */
class SummaryBuilder
{
public:
  /**
   * @param aOwn what this VM, the relay, says of itself
   * @param aTable what the others said
   * @param aFresh longest time since a VM was heard that is still counted
   * @param aRepeat time for which a changed total is repeated
   * @param aNow time
   * @return the next summary; a total that has not changed lately is left out
   * of all but every few of them
   */
  Summary build(const Status& aOwn,
                const PeerTable& aTable,
                base::Duration aFresh,
                base::Duration aRepeat,
                base::TimePoint aNow);

private:
  struct Total
  {
    double units = 0;
    base::TimePoint changedAt{};
  };
  void add(const Status& aStatus,
           bool aWhole,
           base::Duration aRepeat,
           base::TimePoint aNow,
           Summary& aSummary);

  std::uint64_t mSequence = 0;
  base::TimePoint mWholeAt{};
  std::map<std::pair<base::VmName, base::TeamName>, Total> mTotals;
};

} // namespace marigold::peers
