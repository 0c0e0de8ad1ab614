/** @file A simulated fleet of the largest supported size, for tests of quotas
 * under network partitions. */
#pragma once

#include "simulated_fleet.h"

namespace marigold::quota {

using namespace std::chrono_literals;
using base::TimePoint;
using test::kMainSide;

inline constexpr double kRate = 1e6;
inline constexpr double kBurst = 1e6;
inline constexpr std::size_t kVms = 81;
inline constexpr double kShare = 1.0 / kVms;
inline constexpr base::Duration kStep = 20ms;
inline constexpr base::Duration kReportPeriod = 200ms;
/** Time for which a changed total is repeated in reports. */
inline constexpr base::Duration kChangeRepeat = 1s;
/** Period of the reports that contain all totals. */
inline constexpr base::Duration kFullReportPeriod = 4s;

/** A simulated fleet whose VMs receive reports only from VMs on their own side.
 * Reports contain recently changed totals, and all totals every 4 s. */
class PartitionedFleet : public test::SimulatedFleet
{
public:
  explicit PartitionedFleet(std::uint32_t aSeed)
    : SimulatedFleet(
        { kVms,
          { { "t", { kRate, kBurst } }, { "idle", { kRate, kBurst } } },
          0,
          kReportPeriod },
        aSeed)
    , mCallers(kVms)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      start(vm);
    }
  }

  /** Starts a new process of a VM, without any state. */
  void start(std::size_t aVm)
  {
    startProcess(aVm);
    mCallers[aVm].changedAt.clear();
  }

  /** Advances the simulated time.
   * @param aTime time to advance
   * @param aDemand units per second requested from each VM */
  void run(base::Duration aTime, const std::vector<double>& aDemand)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kStep;
      deliver();
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        submitRequests(vm, aDemand[vm]);
      }
      if ((now - TimePoint{}) % kReportPeriod == base::Duration::zero()) {
        report();
      }
    }
  }

  base::Duration minDelay{};
  base::Duration maxDelay{};
  double cost = 1000;

private:
  struct Callers
  {
    double requested = 0; ///< units requested and not yet processed
    std::map<std::string, TimePoint> changedAt; ///< by team
  };

  void submitRequests(std::size_t aVm, double aDemand)
  {
    Callers& callers = mCallers[aVm];
    callers.requested += aDemand * base::inSeconds(kStep);
    for (; callers.requested >= cost; callers.requested -= cost) {
      if (ask(aVm, cost)) {
        callers.changedAt[test::kTeam] = now;
      }
    }
    vms[aVm].quota.admit(test::kTeam, 0, now);
  }

  void report()
  {
    const bool full =
      (now - TimePoint{}) % kFullReportPeriod == base::Duration::zero();
    for (std::size_t from = 0; from < kVms; ++from) {
      Message message;
      message.totals = full ? Totals::All : Totals::Changed;
      Total& member = message.members[from];
      member.incarnation = vms[from].incarnation;
      for (const auto& [team, units] : vms[from].quota.reportUsage()) {
        if (full || now - mCallers[from].changedAt[team] < kChangeRepeat) {
          member.usage[team] = units;
        }
      }
      for (std::size_t to = 0; to < kVms; ++to) {
        if (to != from && vms[to].side == vms[from].side) {
          message.to.push_back(to);
        }
      }
      send(between(minDelay, maxDelay), std::move(message));
    }
  }

  std::vector<Callers> mCallers;
};

inline const std::vector<double> kNoDemand(kVms, 0);

} // namespace marigold::quota
