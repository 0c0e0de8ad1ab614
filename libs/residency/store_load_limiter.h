/** @file Sliding-window rate limit for loads from the weights store. */
#pragma once

#include "base/base.h"

#include <deque>
#include <optional>
#include <vector>

namespace marigold::residency {

/** Limit of the weights store on the loads of the whole fleet. */
struct StoreLoadLimit
{
  double perSecond = 0;    ///< loads per second; 0: unlimited
  base::Duration window{}; ///< length of the sliding window
  double overshoot = 1;    ///< factor on the rate over the window
  double extra = 0;        ///< loads allowed per window in addition to the rate
};

/** Who ordered before this process. */
enum class FormerOwner : std::uint8_t
{
  OtherVm,
  OwnVm, ///< an earlier process of this VM, which ended before this one started
};

/**
 * Counts the loads from the weights store in a sliding window. The VM that owns
 * the orders reports the ages of its loads to the others, so that the next
 * owner does not start with an empty window and exceed the limit. A process
 * that has just started learns the report from its peers.
 */
class StoreLoadLimiter
{
public:
  /** @param aLimit limit of the weights store */
  void setLimit(const StoreLoadLimit& aLimit) { mLimit = aLimit; }

  /** Records that this VM ordered a load. */
  void recordLoad(base::TimePoint aNow) { mLoads.push_back(aNow); }

  /** Replaces the recorded loads with those that the owner reported.
   * @param aAges time since each load @param aNow time of the report */
  void replaceLoads(const std::vector<base::Duration>& aAges,
                    base::TimePoint aNow);

  /** Adds a report of the former owner that a peer has heard, if none is known
   * that is newer or has more loads. @param aAges time since each load
   * @param aReportAge time since the peer heard it
   * @param aNow time */
  void mergeReport(const std::vector<base::Duration>& aAges,
                   base::Duration aReportAge,
                   base::TimePoint aNow);

  /**
   * Prepares for ownership of the orders by this VM. While the last report is
   * too old to include all loads of the previous owner, the window counts as
   * full.
   * @param aOrderPause time for which no other process can have ordered a load
   * @param aFormer who may have ordered before
   * @param aNow time at which the ownership starts
   */
  void startOwnership(base::Duration aOrderPause,
                      FormerOwner aFormer,
                      base::TimePoint aNow);

  /** @param aNow time @return true if a former owner may have used the whole
   * window */
  bool isUnknown(base::TimePoint aNow) const;

  /** @param aNow time @return time since this VM heard from the owner, if that
   * may still matter to the next one. Not what a peer has heard, because each
   * message makes a report look later than it was. */
  std::optional<base::Duration> reportAge(base::TimePoint aNow) const;

  /** @return loads that may start now */
  unsigned available(base::TimePoint aNow);

  /** @return time since each load in the window */
  std::vector<base::Duration> loadAges(base::TimePoint aNow) const;

private:
  void setLoads(const std::vector<base::Duration>& aAges, base::TimePoint aNow);
  double windowCapacity() const;
  base::Duration countedTime() const;
  void dropExpired(base::TimePoint aNow);
  bool isComplete(base::TimePoint aReportedAt) const;

  StoreLoadLimit mLimit;
  std::deque<base::TimePoint> mLoads; ///< oldest first
  base::TimePoint mHeardAt{};         ///< when the owner last reported to us
  base::TimePoint mReportedAt{};      ///< of the owner's last known report
  FormerOwner mFormerOwner = FormerOwner::OtherVm;
  /** Others may have ordered until then, as much as the limit allows. */
  std::optional<base::TimePoint> mUnknownUntil;
};

} // namespace marigold::residency
