/** @file A small simulated fleet that plays random faults against the limit of
 * one team, for the fuzzer of quotas. */
#pragma once

#include "quota/quota.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace marigold::quota::test {

/** What happens to the fleet in one step. */
enum class Op : std::uint8_t
{
  Flood,   ///< callers ask VMs for far more than the limit
  Trickle, ///< callers ask VMs for half of the limit together
  Idle,
  Cut,     ///< a VM hears no other one
  Split,   ///< the VMs are cut into two sides
  Heal,    ///< ends all cuts
  Restart, ///< a VM starts anew, without any state
  Pause,   ///< the process of a VM is stopped
  Resume,  ///< all of them go on
  Refund,  ///< the latest request of a VM did not run
  Count
};

struct Step
{
  Op op = Op::Idle;
  unsigned target = 0; ///< VM, or the VMs as bits
  int tenths = 0;      ///< duration in tenths of a second
};

struct WorldOptions
{
  std::uint32_t seed = 1;
  std::size_t vms = 2;
  double burst = 1;      ///< in seconds of the rate
  double tolerance = 0;  ///< in seconds of the rate
  double cost = 0.01;    ///< of a request, in seconds of the rate
  bool withUsage = true; ///< false: reports tell of no usage
};

/** The fleet, with a record of all units that ran. */
class World
{
public:
  explicit World(const WorldOptions& aOptions);

  /** @param aSteps what happens, one step after the other */
  void run(const std::vector<Step>& aSteps);

  /** @return the window in which the team got more than the users allow, or
   * empty */
  std::string violation() const;

private:
  struct Report
  {
    std::size_t from = 0;
    std::size_t to = 0;
    base::Incarnation incarnation = 0;
    Usage usage;
  };
  struct Vm
  {
    FleetQuota quota;
    base::Incarnation incarnation = 0;
    unsigned side = 0;
    bool paused = false;
    std::deque<Report> held; ///< arrived while it was paused
  };
  struct Run
  {
    base::TimePoint at;
    double units = 0;
    std::size_t vm = 0;
  };

  void apply(const Step& aStep);
  void start(std::size_t aVm);
  void resume(Vm& aVm);
  void refund(std::size_t aVm);
  void advance(base::Duration aTime, unsigned aAsked, double aDemand);
  void ask(std::size_t aVm, double aUnits);
  void report();
  void deliver();

  WorldOptions mOptions;
  std::mt19937 mRandom;
  base::TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<Vm> mVms;
  std::vector<double> mAsked; ///< units not yet asked for, by VM
  std::multimap<base::TimePoint, Report> mInFlight;
  std::deque<Run> mRuns;
};

/** Plays random sequences and prints the shortest one that breaks the limit.
 * @param aSeed seed @param aRuns sequences @param aWithUsage see WorldOptions
 * @return true if all sequences kept the limit */
bool
checkRandomFaults(std::uint64_t aSeed, int aRuns, bool aWithUsage);

} // namespace marigold::quota::test
