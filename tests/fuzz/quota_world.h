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
  Replace, ///< a VM is lost; a new one takes its place, under its own name
  Stop,    ///< planned stop of a VM, then a new process
  Limits,  ///< the configuration changes rate and burst
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
  double burst = 1;           ///< in seconds of the rate
  double tolerance = 0;       ///< in seconds of the rate
  double cost = 0.01;         ///< of a request, in seconds of the rate
  std::vector<double> clocks; ///< speeds of the VMs' clocks; 1 for the others
  int lostPercent = 0;        ///< of the reports
  int doublePercent = 0;      ///< of the reports
  int latePercent = 0;        ///< of the reports, by up to 3 s
  bool withUsage = true;      ///< false: reports tell of no usage
};

/** The fleet, with a record of all units that ran. */
class World
{
public:
  explicit World(const WorldOptions& aOptions);

  /** @param aSteps what happens, one step after the other */
  void run(const std::vector<Step>& aSteps);

  /** @return the window in which the team exceeded what the users allow by
   * most, or empty */
  std::string violation() const;

private:
  struct Report
  {
    base::VmName from;
    std::size_t to = 0;
    base::VmName receiver;
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    Usage usage;
  };
  struct Vm
  {
    FleetQuota quota;
    base::VmName name;
    double clock = 1; ///< speed
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< of its latest report
    /** Process and sequence of the latest report of each peer. */
    std::map<base::VmName, std::pair<base::Incarnation, std::uint64_t>> heard;
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

  /** A limit and the time from which it is in force. */
  struct LimitChange
  {
    base::TimePoint from;
    Limit limit;
  };

  void apply(const Step& aStep);
  base::TimePoint clockOf(const Vm& aVm) const;
  void start(std::size_t aVm);
  void configure(Vm& aVm);
  void configureAll();
  void replace(std::size_t aVm);
  void stop(std::size_t aVm);
  void changeLimits(const Step& aStep);
  void resume(Vm& aVm);
  void refund(std::size_t aVm);
  void advance(base::Duration aTime, unsigned aAsked, double aDemand);
  void ask(std::size_t aVm, double aUnits);
  void report();
  void sendReport(const Report& aReport);
  void deliver();
  void receive(Vm& aVm, const Report& aReport);
  double allowed(base::TimePoint aUntil) const;

  WorldOptions mOptions;
  std::mt19937 mRandom;
  base::TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<Vm> mVms;
  std::vector<double> mAsked; ///< units not yet asked for, by VM
  std::multimap<base::TimePoint, Report> mInFlight;
  std::deque<Run> mRuns;
  std::vector<LimitChange> mLimits;
  int mReplacements = 0;
};

/** Plays random sequences and prints the shortest one that breaks the limit.
 * @param aSeed seed @param aRuns sequences @param aWithUsage see WorldOptions
 * @return true if all sequences kept the limit */
bool
checkRandomFaults(std::uint64_t aSeed, int aRuns, bool aWithUsage);

} // namespace marigold::quota::test
