/** @file A fleet of VMs under a policy of team limits, in virtual time. */
#pragma once

#include "limits/limits.h"
#include "model/oracle.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marigold::measure {

enum class Policy : std::uint8_t
{
  Loans,   ///< ours
  Static,  ///< equal shares that never move
  Central, ///< a counter at the platform
};

/** Size and links of a fleet. */
struct FleetSize
{
  std::string name;
  int dataCentres = 3;
  int vmsPerDataCentre = 2;
  int teams = 5;
  double linkSeconds = 0.001; ///< one way, between data centres
};

/** One request of a caller. */
struct Arrival
{
  double at = 0; ///< seconds
  int team = 0;
  int vm = 0;
  double cost = 0;     ///< charged tokens
  double unused = 0;   ///< tokens that come back at the end
  double duration = 0; ///< seconds
};

/** What is counted for a team. */
struct Tally
{
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t wrongful = 0; ///< refused, but the exact bucket admitted it
  double admittedTokens = 0;  ///< charged, before refunds
};

/** Runs arrivals through a policy and beside it through exact buckets. */
class LimitsFleet
{
public:
  /** @param aSize fleet @param aPolicy policy @param aRate rate of each team
   * @param aBurst burst of each team */
  LimitsFleet(FleetSize aSize, Policy aPolicy, double aRate, double aBurst);
  ~LimitsFleet();

  /** Runs a function at a time, e.g. to cut a data centre off. */
  void at(double aTime, std::function<void()> aRun);

  /** @param aArrival request @param aCounted false for requests that are
   * outside of what is measured */
  void request(const Arrival& aArrival, bool aCounted);

  /** @param aUntil end of the run in seconds */
  void run(double aUntil);

  /** @param aDataCentre data centre that is cut off, or -1 */
  void cut(int aDataCentre) { mCut = aDataCentre; }

  /** The VM dies; its slot stays taken. @param aVm index */
  void lose(int aVm);

  /** A new VM takes the place of a lost one. @param aVm index
   * @param aSlotAfter seconds until it takes the slot; negative: never */
  void replace(int aVm, double aSlotAfter);

  const Tally& tally(int aTeam) const { return mTallies[aTeam]; }
  const Tally& vmTally(int aVm) const { return mVmTallies[aVm]; }
  int vms() const { return mSize.dataCentres * mSize.vmsPerDataCentre; }

  /** @return the most tokens by which a team was ahead of an exact bucket */
  double overAdmitted() const;

  std::uint64_t messages() const { return mMessages; }
  std::uint64_t messageBytes() const { return mMessageBytes; }
  std::uint64_t mostMessagesOfAVm() const;
  std::uint64_t calls() const { return mCalls; }

private:
  struct Vm;
  struct Open;

  int dataCentreOf(int aVm) const { return aVm / mSize.vmsPerDataCentre; }
  void start(Vm& aVm);
  void tick(int aVm);
  void perform(int aVm, const limits::Actions& aActions);
  void transmit(int aFrom, const limits::Outgoing& aOutgoing);
  void arrive(const Arrival& aArrival, bool aCounted);
  bool exactAdmits(const Arrival& aArrival);
  void decided(const Open& aOpen,
               bool aAdmitted,
               const limits::Charge& aCharge);
  void refund(int aVm,
              std::uint64_t aRun,
              const Arrival& aArrival,
              const limits::Charge& aCharge,
              std::size_t aAdmission);
  void admitByLoans(const Open& aOpen);
  bool centralAdmits(const Arrival& aArrival);
  base::TimePoint now() const;

  FleetSize mSize;
  Policy mPolicy;
  double mRate;
  double mBurst;
  double mNow = 0;
  std::multimap<double, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<Vm>> mVms;
  std::vector<limits::Bucket> mExact; ///< by team
  std::vector<limits::Bucket> mCentral;
  std::vector<limits::model::Oracle> mOracles;
  std::vector<Tally> mTallies;
  std::vector<Tally> mVmTallies;
  std::uint64_t mMessages = 0;
  std::uint64_t mMessageBytes = 0;
  std::vector<std::uint64_t> mMessagesOf;
  std::uint64_t mCalls = 0;
  limits::Bucket mPlatform; ///< calls that the platform still takes
  int mCut = -1;
};

} // namespace marigold::measure
