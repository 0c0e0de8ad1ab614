/** @file Builds the summary of a data centre. */
#pragma once

#include "peers/peer_table.h"

namespace marigold::peers {

/** Aggregates the statuses of the VMs of a data centre. */
class SummaryBuilder
{
public:
  /**
   * @param aOwn status of this VM, the relay
   * @param aTable statuses of the other VMs
   * @param aMaxAge age from which a status is left out as stale
   * @param aRepeatTime time for which a changed total is repeated
   * @param aNow time
   * @return the next summary. Totals that have not changed recently are only
   * included in the periodic full summaries.
   */
  Summary build(const Status& aOwn,
                const PeerTable& aTable,
                base::Duration aMaxAge,
                base::Duration aRepeatTime,
                base::TimePoint aNow);

  /** Makes the next summary contain all totals, because a new VM knows none. */
  void requestComplete() { mCompleteRequested = true; }

private:
  struct Total
  {
    double units = 0;
    base::TimePoint changedAt{};
  };
  void add(const Status& aStatus,
           bool aFull,
           base::Duration aRepeatTime,
           base::TimePoint aNow,
           Summary& aSummary);

  std::uint64_t mSequence = 0;
  base::TimePoint mLastFullAt{};
  bool mCompleteRequested = false;
  std::map<std::pair<base::VmName, base::TeamName>, Total> mTotals;
};

} // namespace marigold::peers
