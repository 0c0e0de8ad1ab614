/** @file A simulated fleet whose VMs share the limit of one team and tell each
 * other what they have admitted, for tests of quotas. */
#pragma once

#include "quota/quota.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace marigold::quota::test {

/** What the VMs of a fleet are configured with. */
struct FleetSettings
{
  std::size_t vms = 0;
  std::map<base::TeamName, Limit> limits; ///< with one for kTeam
  double slack = 0;                       ///< units
  base::Duration reportPeriod{};
  base::Duration window = std::chrono::seconds(8);
  double overshoot = 0.1; ///< as the users allow
};

inline constexpr const char* kTeam = "t"; ///< whose requests are simulated
/** Side of all VMs without a partition. */
inline constexpr unsigned kMainSide = 0;

/** VMs that hear only VMs on their own side. How often and on which ways they
 * report is up to the classes that derive from it. */
class SimulatedFleet
{
public:
  struct Vm
  {
    FleetQuota quota;
    base::Incarnation incarnation = 0;
    unsigned side = kMainSide;
    double refused = 0; ///< units
  };

  static std::string name(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  /** Partitions the VM from all others. */
  void isolate(std::size_t aVm)
  {
    vms[aVm].side = static_cast<unsigned>(aVm) + 1;
  }

  /** Partitions VMs from all others, one by one.
   * @param aEach every VM of this number, from the first */
  void isolateEach(std::size_t aEach)
  {
    for (std::size_t vm = 0; vm < vms.size(); vm += aEach) {
      isolate(vm);
    }
  }

  /** Ends all partitions. */
  void heal()
  {
    for (Vm& vm : vms) {
      vm.side = kMainSide;
    }
  }

  /** @return maximum number of units admitted in any window of 8 s */
  double maxInWindow() const
  {
    constexpr base::Duration kWindow = std::chrono::seconds(8);
    double max = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, units] : admitted) {
      sum += units;
      while (admitted[first].first < at - kWindow) {
        sum -= admitted[first++].second;
      }
      max = std::max(max, sum);
    }
    return max;
  }

  /** @return all units admitted so far */
  double totalAdmitted() const
  {
    double sum = 0;
    for (const auto& [at, units] : admitted) {
      sum += units;
    }
    return sum;
  }

  FleetSettings settings;
  std::vector<Vm> vms;
  base::TimePoint now{ std::chrono::seconds(1000) };
  std::deque<std::pair<base::TimePoint, double>> admitted;

protected:
  /** What one VM has admitted, as a message tells it. */
  struct Total
  {
    base::Incarnation incarnation = 0;
    Usage usage;
  };
  struct Message
  {
    std::vector<std::size_t> to;
    std::map<std::size_t, Total> members;
    Totals totals = Totals::All;
    bool forwarded = false; ///< by a relay, for other VMs than itself
  };

  SimulatedFleet(FleetSettings aSettings, std::uint32_t aSeed)
    : settings(std::move(aSettings))
    , vms(settings.vms)
    , mRandom(aSeed)
  {
  }

  /** Starts a new process of a VM, without any state. */
  void startProcess(std::size_t aVm)
  {
    Vm& vm = vms[aVm];
    vm.quota = {};
    ++vm.incarnation;
    vm.quota.setReportPeriod(settings.reportPeriod);
    vm.quota.setWindow(settings.window);
    vm.quota.setSlack(settings.slack);
    vm.quota.setOvershoot(settings.overshoot);
    vm.quota.setLimits(settings.limits, now);
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < vms.size(); ++other) {
      if (other != aVm) {
        peers.push_back(name(other));
      }
    }
    vm.quota.setPeers(peers, now);
  }

  /** @return whether the VM has admitted the request */
  bool ask(std::size_t aVm, double aCost)
  {
    if (!vms[aVm].quota.admit(kTeam, aCost, now).admitted) {
      vms[aVm].refused += aCost;
      return false;
    }
    admitted.emplace_back(now, aCost);
    return true;
  }

  Total total(std::size_t aVm)
  {
    return { vms[aVm].incarnation, vms[aVm].quota.reportUsage() };
  }

  base::Duration between(base::Duration aLeast, base::Duration aMost)
  {
    std::uniform_int_distribution<base::Duration::rep> any(aLeast.count(),
                                                           aMost.count());
    return base::Duration(any(mRandom));
  }

  void send(base::Duration aDelay, Message aMessage)
  {
    mInFlight.emplace(now + aDelay, std::move(aMessage));
  }

  /** @return the messages that have arrived, after their recipients have read
   * them */
  std::vector<Message> deliver()
  {
    std::vector<Message> arrived;
    while (!mInFlight.empty() && mInFlight.begin()->first <= now) {
      arrived.push_back(std::move(mInFlight.begin()->second));
      mInFlight.erase(mInFlight.begin());
      const Message& message = arrived.back();
      for (const std::size_t to : message.to) {
        for (const auto& [from, member] : message.members) {
          vms[to].quota.onPeerUsage(
            name(from), member.incarnation, member.usage, message.totals, now);
        }
      }
    }
    return arrived;
  }

  std::mt19937 mRandom;

private:
  std::multimap<base::TimePoint, Message> mInFlight;
};

} // namespace marigold::quota::test
