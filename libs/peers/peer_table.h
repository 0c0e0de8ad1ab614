/** @file The latest message of each peer, with sums over all of them. */
#pragma once

#include "peers/messages.h"

namespace marigold::peers {

/**
 * Keeps what the VMs of this data centre say of themselves and what the relays
 * of the others say of theirs. Sums are kept up to date with each message,
 * because every request looks them up.
 */
class PeerTable
{
public:
  /** A status with the time at which it came. */
  struct StatusEntry
  {
    Status status;
    base::TimePoint receivedAt{};
  };

  /** A summary with the time at which it came. */
  struct SummaryEntry
  {
    Summary summary;
    base::TimePoint receivedAt{};
  };

  /** @param aOwn data centre of this VM */
  explicit PeerTable(base::DataCentre aOwn)
    : mOwn(std::move(aOwn))
  {
  }

  /** @param aStatus status @param aNow time
   * @return false if it is older than what is known */
  bool update(Status aStatus, base::TimePoint aNow);

  /** @param aSummary summary of another data centre @param aNow time
   * @return false if it is older than what is known of the same relay */
  bool update(Summary aSummary, base::TimePoint aNow);

  /**
   * @param aSummary summary of this data centre
   * @param aIncluded what it contains of this VM's own work
   * @param aNow time
   * @return false if it is older than what is known of the same relay
   */
  bool updateOwnSummary(Summary aSummary,
                        const Status& aIncluded,
                        base::TimePoint aNow);

  /** This VM is the relay and counts the statuses of its data centre itself. */
  void dropOwnSummary();

  /** Drops peers that have been silent. @param aNow time */
  void expire(base::TimePoint aNow);

  /** @return the latest status of each peer that reported itself */
  const std::map<base::VmName, StatusEntry>& statuses() const { return mRows; }

  /** @return the latest summary of each data centre; for this one, without
   * this VM's own work */
  const std::map<base::DataCentre, SummaryEntry>& summaries() const
  {
    return mSummaries;
  }

  /** @param aVm peer @param aSince time
   * @return true if it sent something of its own since then */
  bool reportedSince(const base::VmName& aVm, base::TimePoint aSince) const;

  /** @param aUpstream upstream @return the work of all peers there */
  UpstreamLoad peerLoad(const base::UpstreamName& aUpstream) const;

  /** @return demand that all peers see */
  DemandTable demand() const;

private:
  struct Stamp
  {
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
  };
  bool noteIfNewer(const Summary& aSummary);
  bool sums(const Status& aStatus) const;
  void add(const LoadTable& aLoads);
  void subtract(const LoadTable& aLoads);
  void addUp();

  base::DataCentre mOwn;
  std::map<base::VmName, StatusEntry> mRows;
  std::map<base::DataCentre, SummaryEntry> mSummaries;
  std::map<base::VmName, Stamp> mRelays; ///< newest summary of each relay
  std::map<base::VmName, base::TimePoint> mHeardAt;
  LoadTable mLoads; ///< of all peers
};

} // namespace marigold::peers
