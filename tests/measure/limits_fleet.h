/** @file Simulates a fleet of VMs under a policy for team limits in virtual
 * time. */
#pragma once

#include "peers/peers.h"
#include "quota/quota.h"
#include "tests/measure/exact_bound.h"
#include "tests/measure/token_bucket.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marigold::measure {

/** How team limits are enforced across VMs. */
enum class Policy : std::uint8_t
{
  Quota,   ///< buckets that VMs replicate by reports of their use
  Static,  ///< fixed equal share per VM
  Central, ///< one bucket per team at the platform
};

/** Size and network delays of a fleet. */
struct FleetSize
{
  std::string name;
  int dataCentres = 3;
  int vmsPerDataCentre = 2;
  int teams = 5;
  double interDataCentreDelaySeconds = 0.001; ///< one way
  bool sameRegion = true;                     ///< of all data centres
};

/** Limits of a run, the same for all teams. */
struct TeamLimits
{
  double rate = 0;  ///< tokens per second
  double burst = 0; ///< tokens
  double slack = 0; ///< overdraft that quotas tolerate, in tokens
};

/** One request as it arrives at a VM. */
struct Arrival
{
  double at = 0; ///< seconds
  int team = 0;
  int vm = 0;
  double cost = 0;         ///< charged tokens
  double refundTokens = 0; ///< returned when it completes
  double durationSeconds = 0;
};

/** Admission results of a team or of a VM. */
struct AdmissionCounters
{
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t wrongfulRefusals = 0; ///< refused, but an exact bucket admits
  double admittedTokens = 0;          ///< before refunds
};

/** Runs requests through a policy and, for comparison, through one exact token
 * bucket per team. */
class LimitsFleet
{
public:
  /** @param aSize fleet @param aPolicy policy @param aLimits limits */
  LimitsFleet(FleetSize aSize, Policy aPolicy, const TeamLimits& aLimits);
  ~LimitsFleet();

  /** Schedules a callback, e.g. to inject a fault.
   * @param aTime virtual time in seconds @param aCallback callback */
  void schedule(double aTime, std::function<void()> aCallback);

  /** Schedules a request at its arrival time.
   * @param aArrival request
   * @param aCounted whether it enters the counters */
  void scheduleRequest(const Arrival& aArrival, bool aCounted);

  /** Processes all events up to a time.
   * @param aUntil virtual time in seconds */
  void runUntil(double aUntil);

  /** Sends the requests of a VM that isn't ready to another one of its data
   * centre, as a load balancer does. By default they are lost if it has failed,
   * and refused if it doesn't know the configuration yet. */
  void avoidUnreadyVms() { mAvoidsUnreadyVms = true; }

  /** Drops messages between one data centre and the others.
   * @param aDataCentre index of the isolated data centre, or -1 for none */
  void isolate(int aDataCentre) { mIsolatedDataCentre = aDataCentre; }

  /** Fails a VM, which stays registered. @param aVm index */
  void failVm(int aVm);

  /** Starts a replacement for a failed VM, under a name of its own.
   * @param aVm index
   * @param aStoreDelaySeconds seconds until it has the configuration from the
   * store and is registered there, which the failed VM then is not; negative:
   * the store is down, and it refuses all requests */
  void replaceVm(int aVm, double aStoreDelaySeconds);

  const AdmissionCounters& teamCounters(int aTeam) const
  {
    return mTeamCounters[aTeam];
  }
  const AdmissionCounters& vmCounters(int aVm) const
  {
    return mVmCounters[aVm];
  }
  int vms() const { return mSize.dataCentres * mSize.vmsPerDataCentre; }

  /** @return the largest excess of a team over an exact bucket, in tokens */
  double maxOverAdmittedTokens() const;

  /** @return the largest excess of a team over what the users allow in a quota
   * window, in tokens */
  double maxAboveWindowBoundTokens() const;

  std::uint64_t messages() const { return mMessages; }
  std::uint64_t messageBytes() const { return mMessageBytes; }
  /** @return messages sent and received by the busiest VM */
  std::uint64_t maxMessagesPerVm() const;
  std::uint64_t platformCalls() const { return mPlatformCalls; }

private:
  struct Vm;
  struct PendingRequest;
  /** Tokens by their time of admission in seconds. */
  using Admissions = std::vector<std::pair<double, double>>;

  int dataCentreOf(int aVm) const { return aVm / mSize.vmsPerDataCentre; }
  base::DataCentre dataCentreName(int aVm) const;
  void startQuota(Vm& aVm);
  void registerVm(Vm& aVm);
  void onFleetChanged(Vm& aVm);
  void tick(int aVm);
  base::VmName relayOf(const Vm& aVm) const;
  std::vector<base::VmName> neighbours(const Vm& aVm) const;
  std::vector<base::VmName> otherRelays(const Vm& aVm) const;
  peers::Status nextStatus(Vm& aVm);
  void sendReports(Vm& aVm);
  void sendSummary(Vm& aVm);
  void send(const Vm& aFrom,
            const peers::Message& aMessage,
            const std::vector<base::VmName>& aTo);
  void receive(Vm& aVm, const peers::Message& aMessage);
  void onStatus(Vm& aVm, const peers::Status& aStatus);
  void onSummary(Vm& aVm, const peers::Summary& aSummary);
  void handleArrival(const Arrival& aArrival, bool aCounted);
  bool isReady(int aVm) const;
  int balancedVm(int aVm) const;
  bool exactBucketAdmits(const Arrival& aArrival);
  bool admits(Vm& aVm, const Arrival& aArrival);
  void recordDecision(const PendingRequest& aPending, bool aAdmitted);
  void refund(const Arrival& aArrival,
              base::TimePoint aChargedAt,
              std::size_t aAdmission);
  bool centralBucketAdmits(const Arrival& aArrival);
  base::TimePoint now() const;

  FleetSize mSize;
  Policy mPolicy;
  TeamLimits mLimits;
  double mNow = 0;
  std::multimap<double, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<Vm>> mVms;
  std::map<base::VmName, int> mRegistered; ///< index of each VM
  std::vector<TokenBucket> mExactBuckets;  ///< by team
  std::vector<TokenBucket> mCentralBuckets;
  std::vector<ExactBound> mExactBounds;
  std::vector<Admissions> mAdmissions; ///< by team
  std::vector<AdmissionCounters> mTeamCounters;
  std::vector<AdmissionCounters> mVmCounters;
  std::uint64_t mMessages = 0;
  std::uint64_t mMessageBytes = 0;
  std::vector<std::uint64_t> mMessagesByVm;
  std::uint64_t mPlatformCalls = 0;
  TokenBucket mPlatformBucket; ///< writes that the platform accepts
  int mIsolatedDataCentre = -1;
  bool mAvoidsUnreadyVms = false;
};

} // namespace marigold::measure
