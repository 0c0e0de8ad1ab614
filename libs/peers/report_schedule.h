/** @file Reporting periods of a VM, scaled with the size of the fleet. */
#pragma once

#include "base/base.h"

namespace marigold::peers {

/** Tracks when a periodic action is due. */
class PeriodicTimer
{
public:
  explicit PeriodicTimer(base::Duration aPeriod)
    : mPeriod(aPeriod)
  {
  }

  /** @param aPeriod time between two runs */
  void setPeriod(base::Duration aPeriod) { mPeriod = aPeriod; }

  /** @return time between two runs */
  base::Duration period() const { return mPeriod; }

  /** @param aNow time
   * @return true if the action is due; the next period then starts at aNow */
  bool fireIfDue(base::TimePoint aNow);

private:
  base::Duration mPeriod;
  base::TimePoint mLastRunAt{};
};

/**
 * Traffic between regions is billed by volume, so data centres of other regions
 * receive reports less often than those of the same region. In a large fleet
 * all periods grow, so that the message rate of a VM does not grow with the
 * fleet.
 */
class ReportSchedule
{
public:
  ReportSchedule();

  /** @param aPeers other VMs of the data centre
   * @param aDataCentres data centres of the fleet
   * @param aVms VMs of the fleet */
  void setFleetSize(std::size_t aPeers,
                    std::size_t aDataCentres,
                    std::size_t aVms);

  /** @param aNow time
   * @return true if a summary to other regions is due; starts the next period
   */
  bool remoteRegionsDue(base::TimePoint aNow)
  {
    return mRemoteRegions.fireIfDue(aNow);
  }

  /** @return time between two statuses of a VM, and between two summaries to
   * VMs of the same region */
  base::Duration statusPeriod() const { return mStatusPeriod; }

  /** @return minimum time between two reports of a VM to the order owner, which
   * may receive reports from all VMs of the fleet */
  base::Duration ownerPeriod() const { return mOwnerPeriod; }

  /** @return longest time between two reports to a peer */
  base::Duration maxPeriod() const { return mRemoteRegions.period(); }

private:
  base::Duration mStatusPeriod;
  base::Duration mOwnerPeriod;
  PeriodicTimer mRemoteRegions;
};

} // namespace marigold::peers
