/**
 * @file
 * Public header of the quota library: one token bucket per team for the whole
 * fleet. Every VM keeps a replica of each bucket, updated by its own admissions
 * and by the usage reports of its peers.
 */
#pragma once

#include "base/base.h"
#include "quota/usage_window.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigold::quota {

/** Limit of a team over all VMs. */
struct Limit
{
  double rate = 0;  ///< units per second; 0: unlimited
  double burst = 0; ///< capacity of the bucket in units

  bool operator==(const Limit&) const = default;
};

/** Result of an admission check. */
struct Decision
{
  bool admitted = true;
  base::Duration retryAfter{}; ///< time until the bucket holds enough units
  double missing = 0;          ///< units that it lacks, also for peers' usage
                               ///< that they have not reported yet
  /** Units are missing from this VM's part of the window, not the bucket. */
  bool beyondPart = false;
};

/** Whether a request has asked for its units before. */
enum class Ask : std::uint8_t
{
  First,
  Again ///< it waits, and its cost is a part of the mean already
};

/** What a request asks units for. */
enum class Claim : std::uint8_t
{
  New,
  TakeUp ///< the rest of a stream, whose team was charged for it before
};

/** What determines the level of a bucket on a VM, for the log. */
struct Account
{
  double level = 0;    ///< units; a negative level is a debt
  double capacity = 0; ///< units that this replica may hold
  double share = 1;    ///< part of the rate that refills this replica
  /** Units set aside for unreachable peers; negative if they hold a debt. */
  double reserved = 0;
  std::vector<base::VmName> unreachable; ///< peers that hold the other shares
};

/** @param aAccount account @return one phrase for the log line of a refusal */
std::string
describe(const Account& aAccount);

/** Units by team that a VM has consumed since it started, including the
 * overflow that it wrote off in order to borrow. Monotonically increasing. */
using Usage = std::map<base::TeamName, double>;

/** Which totals a usage report contains. */
enum class Totals
{
  Changed, ///< the recently changed ones
  All      ///< those of all teams that the peer has admitted since its start
};

/**
 * A distributed token bucket per team. Every VM keeps a replica of each bucket
 * and subtracts its own admissions at once and those of its peers when their
 * usage reports arrive.
 *
 * Until then all VMs may take the same units, which leaves a debt. Once the
 * units of one window could exceed the limit that way, each VM takes only its
 * part of what the window has left.
 *
 * When a peer becomes unreachable, the bucket is split: the peer's reserve gets
 * an equal share of the level (also of a negative one) as of the peer's last
 * report. From then on the peer's share of the rate no longer refills this
 * replica, and admissions on this side since then are charged to this side
 * alone. Each side of a partition therefore admits at most the shares of its
 * members. The reserve is merged back when a report tells how much of it the
 * peer consumed. Peers of one side share their units, so a peer that consumed
 * more than its reserve is charged against the reserves of the others first.
 */
class FleetQuota
{
public:
  /** @param aLimits limits by team; known teams keep their level
   * @param aNow time */
  void setLimits(const std::map<base::TeamName, Limit>& aLimits,
                 base::TimePoint aNow);

  /** @param aName this VM, which peers may report as unregistered while it
   * starts */
  void setOwnName(base::VmName aName) { mOwnName = std::move(aName); }

  /** @param aPeriod longest time between two reports of a peer */
  void setReportPeriod(base::Duration aPeriod);

  /** @param aSlack tolerated overdraft of the fleet in units: unreported usage
   * of peers up to it is not withheld, and large requests may overdraw their
   * bucket by it */
  void setSlack(double aSlack) { mSlack = aSlack; }

  /** @param aPart by how much the fleet may exceed a limit over one window, as
   * a part of it, beside the slack */
  void setOvershoot(double aPart) { mOvershoot = aPart; }

  /** @param aWindow time window over which the limits are enforced. An isolated
   * VM borrows at most its share of the rate over one window, so that no window
   * exceeds the limit. */
  void setWindow(base::Duration aWindow) { mWindow = aWindow; }

  /**
   * A VM whose registration has ended may be partitioned and still serve
   * requests, so its share stays reserved for more than an hour.
   * @param aPeers names of the other registered VMs
   * @param aNow time
   */
  void setPeers(const std::vector<base::VmName>& aPeers, base::TimePoint aNow);

  /** @param aPeers VMs that a peer knows to be unregistered
   * @param aNow time */
  void addUnregistered(const std::vector<base::VmName>& aPeers,
                       base::TimePoint aNow);

  /** Releases the share of a VM that has stopped admitting requests. What
   * arrives later of that process counts nothing.
   * @param aPeer VM @param aIncarnation its process @param aNow time */
  void onPeerDraining(const base::VmName& aPeer,
                      base::Incarnation aIncarnation,
                      base::TimePoint aNow);

  /** @return unregistered VMs whose share is still reserved */
  std::vector<base::VmName> unregistered() const;

  /**
   * An isolated VM's capped bucket may hold less than one request costs. It
   * then borrows: it admits the request on a negative level, up to the overflow
   * of its bucket since its last admission.
   * @param aTeam team @param aCost units @param aNow time
   * @param aAsk whether the request has asked before
   * @param aClaim what it asks for; take-ups come before new requests
   * @return whether the units were taken. retryAfter assumes the rate of the
   * whole fleet, because a retry usually reaches another VM.
   */
  Decision admit(const base::TeamName& aTeam,
                 double aCost,
                 base::TimePoint aNow,
                 Ask aAsk = Ask::First,
                 Claim aClaim = Claim::New);

  /** Returns the units of an admitted request that did not run. If a report has
   * contained them, peers get them back with the next admissions of this VM,
   * which are not reported then.
   * @param aTeam team @param aCost units */
  void refund(const base::TeamName& aTeam, double aCost);

  /**
   * @param aPeer VM @param aIncarnation its process
   * @param aUsage cumulative usage; reports may arrive out of order
   * @param aTotals which teams it contains
   * @param aNow time
   */
  void onPeerUsage(const base::VmName& aPeer,
                   base::Incarnation aIncarnation,
                   const Usage& aUsage,
                   Totals aTotals,
                   base::TimePoint aNow);

  /** @return cumulative usage of this VM since it started, for a report */
  const Usage& reportUsage()
  {
    mReported = mUsage;
    return mReported;
  }

  /** @param aTeam team @return current level of its bucket in units */
  double level(const base::TeamName& aTeam) const;

  /** @param aTeam team
   * @return what its level consists of, as of the last admission check */
  Account account(const base::TeamName& aTeam) const;

  /** @param aNow time
   * @return levels of all buckets as peers know them, for VMs that have just
   * started; empty while a registered peer is unreachable or this VM is itself
   * warming up */
  Usage levels(base::TimePoint aNow) const;

  /**
   * Initializes the buckets of a VM that has just started, which otherwise
   * begin empty, from the replica of another VM, which is as accurate as its
   * own.
   * @param aLevels levels() of another VM, at most one report period old
   * @param aNow time
   */
  void adoptLevels(const Usage& aLevels, base::TimePoint aNow);

private:
  /** Changes of one bucket in one interval of the history. */
  struct Delta
  {
    double level = 0;     ///< units at the start of the interval
    double ownUsage = 0;  ///< units this VM consumed, less refunds
    double peerUsage = 0; ///< units peers consumed, less merged reserves
  };
  /** An interval of the history, common to all buckets. */
  struct Interval
  {
    base::TimePoint start{};
    double reachableShare = 0; ///< fraction of the VMs reachable at its end
    double refillSeconds = 0;  ///< uncapped refill, in seconds of the full rate
  };
  struct Bucket
  {
    Limit limit;
    double level = 0;
    std::deque<Delta> deltas; ///< one per interval
    /** Overflow that an isolated VM may borrow: units that did not fit into its
     * capped bucket since its last admission. */
    double borrowable = 0;
    /** Overflow since this VM was isolated or last wrote it off as usage. */
    double overflow = 0;
    double peerUsage = 0; ///< units peers consumed in the current rate period
    double peerRate = 0;  ///< smoothed consumption of the peers, units/s
    UsageWindow used;     ///< units consumed in the last window
    double meanCost = 0;  ///< smoothed cost of all requests, in units
    /** Refunded units that peers have heard of: their level is lower by them,
     * until they are admitted again or their buckets are full. */
    double unreportedRefund = 0;
    /** Refill of merged reserves that their own VMs had no room for. VMs of the
     * same side may have consumed it. */
    double surplus = 0;
    base::TimePoint surplusUntil{};
  };
  /** The part of a bucket set aside for an unreachable peer until a report
   * tells how much of it the peer consumed. */
  struct Reserve
  {
    double level = 0;   ///< units at the peer's last report; may be negative
    double charged = 0; ///< part already charged for peers of the same side
    base::TimePoint since{};
    std::optional<base::TimePoint> until; ///< when the peer reported again
  };
  struct Peer
  {
    bool hasReported = false;
    bool unreachable = true; ///< its share does not refill this replica
    base::TimePoint lastReportAt{};
    std::optional<base::TimePoint> unregisteredAt;
    /** Cumulative usage by process; late reports of the previous process may
     * still arrive. */
    std::map<base::Incarnation, Usage> totals;
    /** Processes that began before this VM heard the peer first, until a report
     * with all of their totals arrives. What they consumed before is not this
     * VM's concern. */
    std::set<base::Incarnation> baselinePending;
    std::map<base::TeamName, Reserve> reserves;
  };

  /** The last process of a VM that has stopped admitting requests. */
  struct Drained
  {
    base::Incarnation incarnation = 0;
    base::TimePoint at{};
  };

  void refill(base::TimePoint aNow);
  static bool beganBeforeKnown(const Peer& aPeer,
                               base::Incarnation aIncarnation);
  void applyUsage(Peer& aPeer, const base::TeamName& aTeam, double aConsumed);
  void addRefillSinceStart(base::TimePoint aNow);
  static void recordCost(Bucket& aBucket, double aCost);
  double neededLevel(const Bucket& aBucket, double aCost, Claim aClaim) const;
  double allowedUnits(const Limit& aLimit) const;
  double unitsForSilentPeers(const Bucket& aBucket) const;
  double partOfDemand(const Bucket& aBucket) const;
  double unitsBeyondPart(const Bucket& aBucket) const;
  void updatePeerRates(base::TimePoint aNow);
  bool isIsolated() const;
  bool borrow(const base::TeamName& aTeam, Bucket& aBucket, double aCost);
  void detectUnreachablePeers(base::TimePoint aNow);
  void updateSilence(base::TimePoint aNow);
  void startInterval(base::TimePoint aNow);
  void separatePeers(std::vector<Peer*> aPeers, bool aPartitioned);
  void separatePeer(Peer& aPeer,
                    base::TimePoint aAt,
                    std::size_t aInterval,
                    bool aPartitioned);
  std::size_t intervalAt(base::TimePoint aAt) const;
  void replay(std::size_t aFirst, std::size_t aEnd);
  double sharedLevel(const Bucket& aBucket, std::size_t aInterval) const;
  double reservedUnits(const Reserve& aReserve, const Limit& aLimit) const;
  double mergeReserve(Peer& aPeer,
                      const base::TeamName& aTeam,
                      Bucket& aBucket,
                      double aConsumed);
  double chargeSurplus(Bucket& aBucket, double aDebt) const;
  double chargeReserves(const base::TeamName& aTeam,
                        const Limit& aLimit,
                        const Reserve& aMerged,
                        double aDebt);
  void dropReserves(Peer& aPeer, base::TimePoint aNow);
  double shareOfOneVm() const;
  double reachableShare() const;

  base::VmName mOwnName;
  std::map<base::TeamName, Bucket> mBuckets;
  std::map<base::VmName, Peer> mPeers;
  /** VMs of which nothing is known behind their planned stop. */
  std::map<base::VmName, Drained> mDrained;
  Usage mUsage;
  Usage mReported;    ///< usage that the latest report contained
  bool mWarm = false; ///< the levels were adopted from another VM
  base::TimePoint mStartedAt{};
  double mSlack = 0;
  double mOvershoot = 0;
  /** When silent peers were heard last. */
  std::vector<base::TimePoint> mSilentSince;
  base::TimePoint mHeardAt{}; ///< latest report of any peer
  base::Duration mWindow{};
  base::Duration mPeerTimeout = std::chrono::seconds(1);
  /** Time until most peers know of an admission. */
  base::Duration mReportDelay = std::chrono::milliseconds(250);
  /** Covers the longest time until an unreachable peer is detected. */
  std::deque<Interval> mIntervals;
  base::TimePoint mRefilledAt{};
  base::TimePoint mRatesUpdatedAt{};
};

} // namespace marigold::quota
