/** @file The latest message of each peer, with load totals over all of them. */
#pragma once

#include "peers/messages.h"

namespace marigold::peers {

/**
 * Stores the latest statuses of the VMs of this data centre and the latest
 * summaries of the other data centres. The load totals are updated with each
 * message, because every request reads them.
 */
class PeerTable
{
public:
  /** A status and the time of its arrival. */
  struct StatusEntry
  {
    Status status;
    base::TimePoint receivedAt{};
  };

  /** A summary and the time of its arrival. */
  struct SummaryEntry
  {
    Summary summary;
    base::TimePoint receivedAt{};
  };

  /** @param aOwnDataCentre data centre of this VM */
  explicit PeerTable(base::DataCentre aOwnDataCentre)
    : mOwnDataCentre(std::move(aOwnDataCentre))
  {
  }

  /** @param aStatus status @param aNow time
   * @return false if it is not newer than the stored one */
  bool update(Status aStatus, base::TimePoint aNow);

  /** @param aSummary summary of another data centre @param aNow time
   * @return false if it is not newer than the last one of the same relay */
  bool update(Summary aSummary, base::TimePoint aNow);

  /**
   * @param aSummary summary of this data centre
   * @param aIncluded the status of this VM that the summary contains; it is
   * subtracted
   * @param aNow time
   * @return false if it is not newer than the last one of the same relay
   */
  bool updateOwnSummary(Summary aSummary,
                        const Status& aIncluded,
                        base::TimePoint aNow);

  /** Drops the summary of this data centre when this VM becomes the relay and
   * sums the statuses itself. */
  void dropOwnSummary();

  /** Removes entries of peers that have not reported for some time.
   * @param aNow time */
  void expire(base::TimePoint aNow);

  /** @return the latest status of each peer that sends statuses to this VM */
  const std::map<base::VmName, StatusEntry>& statuses() const
  {
    return mStatuses;
  }

  /** @return the latest summary of each data centre; the one of this data
   * centre does not contain this VM's own status */
  const std::map<base::DataCentre, SummaryEntry>& summaries() const
  {
    return mSummaries;
  }

  /** @param aVm peer @param aSince time
   * @return true if it has sent a status, or a summary of this data centre,
   * since then */
  bool reportedSince(const base::VmName& aVm, base::TimePoint aSince) const;

  /** @param aUpstream upstream @return its load from the requests of all peers
   */
  UpstreamLoad peerLoad(const base::UpstreamName& aUpstream) const;

  /** @return VMs with recent reports, with this one */
  std::size_t reportingVms() const;

  /** @return total demand reported by all peers */
  DemandTable demand() const;

private:
  struct Version
  {
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
  };
  bool recordIfNewer(const Summary& aSummary);
  bool isSummed(const Status& aStatus) const;
  void add(const LoadTable& aLoads);
  void subtract(const LoadTable& aLoads);
  void recomputeLoads();

  base::DataCentre mOwnDataCentre;
  std::map<base::VmName, StatusEntry> mStatuses;
  std::map<base::DataCentre, SummaryEntry> mSummaries;
  std::map<base::VmName, Version> mRelayVersions; ///< latest summaries
  std::map<base::VmName, base::TimePoint> mLastReportAt;
  LoadTable mLoads; ///< totals over all peers
};

} // namespace marigold::peers
