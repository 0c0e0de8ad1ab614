/** @file When a VM reports to its peers. */
#pragma once

#include "base/base.h"

namespace marigold::peers {

/** Something that is due again after a period. */
class PeriodicTimer
{
public:
  explicit PeriodicTimer(base::Duration aPeriod)
    : mPeriod(aPeriod)
  {
  }

  /** @param aPeriod time between two turns */
  void setPeriod(base::Duration aPeriod) { mPeriod = aPeriod; }

  /** @return time between two turns */
  base::Duration period() const { return mPeriod; }

  /** @return true if it is due; notes the turn */
  bool fireIfDue(base::TimePoint aNow);

private:
  base::Duration mPeriod;
  base::TimePoint mLast{};
};

/**
 * Links between regions are paid by volume, so data centres there hear less
 * often than those of the same region. In a large fleet everybody hears less
 * often, so that the messages of a VM do not grow with the fleet.
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

  /** @return true if data centres of other regions are due */
  bool remoteRegionsDue(base::TimePoint aNow) { return mFar.fireIfDue(aNow); }

  /** @return time between two statuses of a VM, and between two summaries to
   * VMs of the same region */
  base::Duration statusPeriod() const { return mStatusPeriod; }

  /** @return least time between two reports of a VM to the owner of orders,
   * which all VMs of the fleet may report to */
  base::Duration ownerPeriod() const { return mOwnerPeriod; }

  /** @return longest time between two reports to a peer */
  base::Duration maxPeriod() const { return mFar.period(); }

private:
  base::Duration mStatusPeriod;
  base::Duration mOwnerPeriod;
  PeriodicTimer mFar;
};

} // namespace marigold::peers
