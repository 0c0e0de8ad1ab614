/**
 * @file
 * Public header of the quota library: one token bucket a team for the whole
 * fleet, kept by every VM from what it admits itself and what its peers report.
 */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::quota {

/** Limit of a team over all VMs. */
struct Limit
{
  double rate = 0; ///< units a second; 0: unlimited
  double burst = 0;

  bool operator==(const Limit&) const = default;
};

/** Answer to a request for units. */
struct Decision
{
  bool admitted = true;
  base::Duration retryAfter{}; ///< when the units will be there
};

/** Units that a VM has admitted since its start, and those that it gave up to
 * admit a request on debt, by team; only increases. */
using Usage = std::map<base::TeamName, double>;

/**
 * Every VM keeps a copy of each bucket. It takes out its own admissions at once
 * and those of its peers when it hears of them. When a peer falls silent, what
 * the bucket held when the peer was last heard is divided by shares, also if it
 * is negative; from then on the peer's share of the rate does not flow into
 * this copy, and what this side took since then counts against its own part
 * alone. A partition of the fleet therefore admits at most the shares of its
 * members. The peer's part returns when a report tells what the peer used.
 */
class FleetQuota
{
public:
  /** @param aLimits limits by team; known teams keep their level */
  void setLimits(const std::map<base::TeamName, Limit>& aLimits,
                 base::TimePoint aNow);

  /** @param aPeriod longest time between two reports of a peer */
  void setReportPeriod(base::Duration aPeriod);

  /** @param aSlack units by which reports of peers may lag behind before the
   * bucket holds back units for what they have not reported */
  void setSlack(double aSlack) { mSlack = aSlack; }

  /** @param aWindow time over which the limits are promised; an isolated VM
   * borrows at most its share of the rate of it, so no window gets more */
  void setWindow(base::Duration aWindow) { mWindow = aWindow; }

  /**
   * A VM that is no longer registered may be cut off and still serve callers,
   * so its share stays reserved for a long time.
   * @param aPeers names of the other registered VMs
   */
  void setPeers(const std::vector<base::VmName>& aPeers, base::TimePoint aNow);

  /** @param aPeers VMs that a peer knows to be unregistered */
  void addUnregistered(const std::vector<base::VmName>& aPeers,
                       base::TimePoint aNow);

  /** A VM has said that it admits nothing more. */
  void onPeerDraining(const base::VmName& aPeer, base::TimePoint aNow);

  /** @return VMs that are unregistered and whose share is reserved */
  std::vector<base::VmName> unregistered() const;

  /**
   * A VM that hears no peer may keep less than one request costs. It then
   * admits the request on debt, up to the units that its capped bucket has lost
   * since it last admitted one.
   * @param aTeam team @param aCost units @param aNow time
   * @return whether the units were taken; the wait is that of the whole fleet,
   * since the caller's next try usually reaches another VM
   */
  Decision admit(const base::TeamName& aTeam,
                 double aCost,
                 base::TimePoint aNow);

  /** Gives units back that were admitted for a request that did not run. */
  void refund(const base::TeamName& aTeam, double aCost);

  /**
   * @param aPeer VM @param aIncarnation its process
   * @param aUsage totals of some or all teams, in any order of reports
   * @param aNow time
   */
  void onPeerUsage(const base::VmName& aPeer,
                   base::Incarnation aIncarnation,
                   const Usage& aUsage,
                   base::TimePoint aNow);

  /** @return units taken by this VM since its start */
  const Usage& usage() const { return mUsage; }

  /** @param aTeam team @return units that its bucket holds now */
  double level(const base::TeamName& aTeam) const;

  /** @return units in all buckets for VMs that have just started; empty while
   * this VM does not hear all others or has itself just started */
  Usage levels(base::TimePoint aNow) const;

  /**
   * A VM that has just started knows nothing of what the fleet has left, and
   * begins with empty buckets. The copy of another VM is as good as its own.
   * @param aLevels levels() of another VM, as old as one report
   */
  void adoptLevels(const Usage& aLevels, base::TimePoint aNow);

private:
  /** What a bucket did in one span of the history. */
  struct Flow
  {
    double level = 0; ///< units at the start of the span
    double own = 0;   ///< units that this VM took, less those given back
    double peers = 0; ///< units that peers took, less those they left
  };
  /** A span of the history, common to all buckets. */
  struct Span
  {
    base::TimePoint from{};
    double reach = 0;  ///< share of the VMs heard, at its end
    double inflow = 0; ///< seconds of the whole rate that flowed in, uncapped
  };
  struct Bucket
  {
    Limit limit;
    double level = 0;
    std::deque<Flow> flows; ///< one for each span
    /** Units that this VM could not keep while it was alone: since it last
     * took some, and since it is alone or last reported them as taken. */
    double spare = 0;
    double lost = 0;
    double peerTaken = 0; ///< units that peers took in the current period
    double peerRate = 0;  ///< units a second that peers take, smoothed
  };
  /** The part of a bucket that a silent peer has for itself, until a report
   * tells what the peer used of it. */
  struct Reserve
  {
    double level = 0; ///< its part when it was last heard; may be negative
    base::TimePoint since{};
    std::optional<base::TimePoint> until; ///< when it was heard again
  };
  struct Peer
  {
    bool heard = false;
    bool silent = true; ///< its share does not flow into this copy
    base::TimePoint heardAt{};
    std::optional<base::TimePoint> lapsedAt; ///< since it is not registered
    /** Totals of its processes; reports of the one before may still come. */
    std::map<base::Incarnation, Usage> totals;
    std::map<base::TeamName, Reserve> reserves;
  };

  void refill(base::TimePoint aNow);
  void updatePeerRates(base::TimePoint aNow);
  bool alone() const;
  bool borrow(const base::TeamName& aTeam, Bucket& aBucket, double aCost);
  void noteSilence(base::TimePoint aNow);
  void beginSpan(base::TimePoint aNow);
  void split(std::vector<Peer*> aPeers, bool aCutOff);
  void splitOff(Peer& aPeer,
                base::TimePoint aAt,
                std::size_t aSpan,
                bool aCutOff);
  std::size_t spanOf(base::TimePoint aAt) const;
  void replay(std::size_t aFirst, std::size_t aEnd);
  double poolOf(const Bucket& aBucket, std::size_t aSpan) const;
  double partOf(const Reserve& aReserve, const Limit& aLimit) const;
  double settle(Peer& aPeer,
                const base::TeamName& aTeam,
                const Bucket& aBucket,
                double aTaken) const;
  void forfeit(Peer& aPeer, base::TimePoint aNow);
  double shareOfOne() const;
  double reach() const;

  std::map<base::TeamName, Bucket> mBuckets;
  std::map<base::VmName, Peer> mPeers;
  Usage mUsage;
  bool mSettled = false; ///< the levels do not come from an empty start
  base::TimePoint mStarted{};
  double mSlack = 0;
  base::Duration mWindow{};
  base::Duration mSilence = std::chrono::seconds(1);
  std::deque<Span> mSpans; ///< reaches back over the longest silence unnoticed
  base::TimePoint mRefilled{};
  base::TimePoint mRatesUpdated{};
};

} // namespace marigold::quota
