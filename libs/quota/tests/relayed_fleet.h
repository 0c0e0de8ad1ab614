/** @file A simulated fleet whose data centres report to each other through
 * relays, for tests and measures of quotas under floods. */
#pragma once

#include "simulated_fleet.h"

namespace marigold::quota::test {

/** Size and delays of a fleet. */
struct RelayedFleetShape
{
  std::size_t dataCentres = 0;
  base::Duration statusPeriod{};  ///< within a data centre
  base::Duration summaryPeriod{}; ///< between data centres
};

/** Requests, and what became of them. */
struct RequestTally
{
  double offered = 0;
  double refused = 0;
  double wrongful = 0; ///< refused, but not by one exact bucket
  double admittedUnits = 0;
  double exactUnits = 0; ///< that one exact bucket would have admitted
};

/** Requests of random sizes that reach random VMs. */
struct Demand
{
  double timesRate = 0;
  std::size_t vms = 0; ///< that they reach, from the first
  int together = 1;    ///< requests that reach a VM at once
};

/** VMs tell their data centre what they have admitted. The first VM there that
 * isn't cut off passes it on to the other data centres. */
class RelayedFleet : public SimulatedFleet
{
public:
  /** @param aSettings limits @param aShape data centres and periods
   * @param aSmallest units of the smallest request
   * @param aLargest units of the largest @param aSeed seed */
  RelayedFleet(const FleetSettings& aSettings,
               RelayedFleetShape aShape,
               double aSmallest,
               double aLargest,
               std::uint32_t aSeed)
    : SimulatedFleet(aSettings, aSeed)
    , mShape(aShape)
    , mSmallest(aSmallest)
    , mLargest(aLargest)
    , mReporters(settings.vms)
  {
    mExact.setWindow(settings.window);
    mExact.setSlack(settings.slack);
    mExact.setLimits(settings.limits, now);
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      start(vm);
      Reporter& reporter = mReporters[vm];
      reporter.nextStatus = now + between({}, mShape.statusPeriod);
      reporter.nextSummary = now + between({}, mShape.summaryPeriod);
    }
  }

  /** Replaces the process of a VM. */
  void start(std::size_t aVm)
  {
    startProcess(aVm);
    mReporters[aVm].heard.clear();
  }

  /** @param aTime time to advance @param aDemand requests of the team */
  void run(base::Duration aTime, const Demand& aDemand)
  {
    std::uniform_real_distribution<double> cost(mSmallest, mLargest);
    std::uniform_int_distribution<std::size_t> vm(0, aDemand.vms - 1);
    const double mean = (mSmallest + mLargest) / 2 * aDemand.together;
    std::poisson_distribution<int> requests(aDemand.timesRate *
                                            settings.limits.at(kTeam).rate *
                                            base::inSeconds(kStep) / mean);
    for (const auto end = now + aTime; now < end; now += kStep) {
      exchangeReports();
      for (int request = requests(mRandom); request > 0; --request) {
        const std::size_t receiver = vm(mRandom);
        for (int each = 0; each < aDemand.together; ++each) {
          submit(receiver, cost(mRandom));
        }
      }
    }
  }

  RequestTally tally;

private:
  static constexpr base::Duration kStep = std::chrono::milliseconds(10);
  static constexpr base::Duration kMinDelay = std::chrono::milliseconds(20);
  static constexpr base::Duration kMaxDelay = std::chrono::milliseconds(60);

  struct Reporter
  {
    base::TimePoint nextStatus{};
    base::TimePoint nextSummary{};
    std::map<std::size_t, Total> heard; ///< statuses of its data centre
  };

  void submit(std::size_t aVm, double aCost)
  {
    const bool exact = mExact.admit(kTeam, aCost, now).admitted;
    tally.exactUnits += exact ? aCost : 0;
    ++tally.offered;
    if (ask(aVm, aCost)) {
      tally.admittedUnits += aCost;
    } else {
      ++tally.refused;
      tally.wrongful += exact ? 1 : 0;
    }
  }

  /** @return the first VM of the data centre that isn't cut off */
  bool isRelay(std::size_t aVm) const
  {
    std::size_t first = aVm % mShape.dataCentres;
    while (first < aVm && vms[first].side != kMainSide) {
      first += mShape.dataCentres;
    }
    return first == aVm;
  }

  void sendFrom(std::size_t aFrom, std::size_t aTo, Message aMessage)
  {
    if (aFrom == aTo || vms[aFrom].side != kMainSide ||
        vms[aTo].side != kMainSide) {
      return;
    }
    aMessage.to = { aTo };
    send(aMessage.forwarded ? between(kMinDelay, kMaxDelay) : kStep,
         std::move(aMessage));
  }

  void sendStatus(std::size_t aVm)
  {
    const Total own = total(aVm);
    mReporters[aVm].heard[aVm] = own;
    for (std::size_t to = aVm % mShape.dataCentres; to < vms.size();
         to += mShape.dataCentres) {
      sendFrom(aVm, to, { {}, { { aVm, own } }, Totals::All, false });
    }
  }

  void sendSummary(std::size_t aVm)
  {
    Reporter& reporter = mReporters[aVm];
    reporter.heard[aVm] = total(aVm);
    for (std::size_t to = 0; to < vms.size(); ++to) {
      if (to % mShape.dataCentres != aVm % mShape.dataCentres) {
        sendFrom(aVm, to, { {}, reporter.heard, Totals::All, true });
      }
    }
    reporter.heard.clear();
  }

  void exchangeReports()
  {
    for (const Message& message : deliver()) {
      if (!message.forwarded) {
        mReporters[message.to.front()].heard.insert_or_assign(
          message.members.begin()->first, message.members.begin()->second);
      }
    }
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      Reporter& reporter = mReporters[vm];
      if (reporter.nextStatus <= now) {
        reporter.nextStatus += mShape.statusPeriod;
        sendStatus(vm);
      }
      if (reporter.nextSummary <= now) {
        reporter.nextSummary += mShape.summaryPeriod;
        if (isRelay(vm)) {
          sendSummary(vm);
        }
      }
    }
  }

  RelayedFleetShape mShape;
  FleetQuota mExact; ///< one bucket that all requests ask
  double mSmallest;
  double mLargest;
  std::vector<Reporter> mReporters;
};

} // namespace marigold::quota::test
