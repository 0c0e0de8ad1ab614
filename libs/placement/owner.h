/** @file The placer of a data centre: ownership, ledger and orders. */
#pragma once

#include "placement/account.h"
#include "placement/ledger.h"
#include "placement/scheduler.h"
#include "placement/strategy.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace marigold::placement {

/** Upper bound of an engine's memory, see worstCaseMb. */
using Account =
  std::function<int(const Engine&, const Report&, const std::vector<Record>&)>;

/** What a placer is started with. */
struct OwnerSettings
{
  std::string self; ///< unique for each run of the process
  base::Duration leaseTerm = std::chrono::seconds(15);
  base::Duration renewPeriod = std::chrono::seconds(5);
  /** Time between two looks at the record of another holder. */
  base::Duration standbyPeriod = std::chrono::seconds(2);
  /** Longest time from the sending of an order to its effect. */
  base::Duration longestOrderDelay = std::chrono::seconds(10);
  /** Longest pause of a process between its lease check and the sending. */
  base::Duration longestPause = std::chrono::seconds(30);
  /** An order that no report shows by then is given again. */
  base::Duration retryAfter = std::chrono::seconds(4);
  /** Callers are told of an unload that long before it. */
  base::Duration drain = std::chrono::seconds(1);
  base::Duration planPeriod = std::chrono::seconds(1);
  double storeRate = 1; ///< loads per second, this data centre's part
  int storeConcurrency = 10;
  int adapterConcurrency = 90;
  Account account = &worstCaseMb;
};

/** A call to the platform that the process makes for the owner. */
enum class Call : std::uint8_t
{
  GrantLease,
  RenewLease,
  RevokeLease,
  ReadHolder,
  WriteHolder, ///< create only, bound to the lease
  ReadLedger,
  WriteLedger, ///< compare-and-swap
};

struct PlatformCall
{
  Call call = Call::ReadHolder;
  std::string value; ///< to write
  std::uint64_t expected = 0;
  std::string lease;
};

/** The answer; the lease's id or the value read is in value. */
struct PlatformAnswer
{
  base::Code code = base::Code::Ok;
  std::string value;
  std::uint64_t revision = 0;
};

/** What the process has to do. */
struct Actions
{
  std::optional<PlatformCall> call;
  std::vector<Order> orders;
};

enum class Role : std::uint8_t
{
  Standby,
  Claiming, ///< has a lease, not yet the ledger
  Owner,
  Stopped, ///< has given up its lease after resign()
};

/**
 * Decides for one placer process. It has at most one call to the platform in
 * flight and gives orders only after the ledger that names them was written and
 * while its lease is valid by its own clock.
 */
class Owner
{
public:
  /** @param aSettings settings @param aStrategy decides what is desired */
  Owner(OwnerSettings aSettings, std::unique_ptr<Strategy> aStrategy);

  /** @param aEngines engines of the data centre by the list of VMs */
  void setEngines(const std::vector<Engine>& aEngines);

  /** @param aDeclared items of the manifest in force */
  void setDeclared(Declarations aDeclared) { mDeclared = std::move(aDeclared); }

  /** @param aDemand demand since the last call; requests add up */
  void addDemand(const DemandByItem& aDemand);

  /** @param aNow current time @return what to do now; call it often */
  Actions tick(base::TimePoint aNow);

  /** @param aAnswer answer to the call in flight @param aNow current time
   * @return what to do now */
  Actions onPlatform(const PlatformAnswer& aAnswer, base::TimePoint aNow);

  /** @param aEngine engine @param aReport its report, of any age */
  void onReport(const base::UpstreamName& aEngine, const Report& aReport);

  /** Gives no new orders and gives up the lease once the others are settled. */
  void resign() { mResigning = true; }

  /** @return what this process is now */
  Role role() const { return mRole; }

  /** @return items that callers should leave, because they will be unloaded */
  std::set<Place> draining() const;

  /** @return outstanding orders */
  const std::vector<Record>& records() const { return mRecords; }

  /** @param aEngine engine @return its account in MB, or its whole memory as
   * long as nothing is known of it */
  int accountMb(const base::UpstreamName& aEngine) const;

private:
  struct EngineState
  {
    Engine engine;
    Report report;
    bool reported = false;
    /** The report is newer than this time; none before a marker is seen. */
    std::optional<base::TimePoint> provenAt;
    base::TimePoint markedAt;
  };

  Actions stepDown();
  bool complete(base::TimePoint aNow) const;
  Actions start(PlatformCall aCall, base::TimePoint aNow);
  Actions onHolder(const PlatformAnswer& aAnswer, base::TimePoint aNow);
  Actions onLedgerRead(const PlatformAnswer& aAnswer, base::TimePoint aNow);
  Actions onLedgerWritten(const PlatformAnswer& aAnswer, base::TimePoint aNow);
  Actions takeOver(const Ledger& aLedger, base::TimePoint aNow);
  Actions adopt(const Ledger& aLedger, base::TimePoint aNow);
  Actions sendRecorded(base::TimePoint aNow);
  Actions useWakeUp(base::TimePoint aNow);
  Actions writeChanges(base::TimePoint aNow);
  Actions write(std::vector<Record> aNext, base::TimePoint aNow);
  bool holdsLease(base::TimePoint aNow) const;
  bool retirable(const Record& aRecord, base::TimePoint aNow) const;
  void noteLost(base::TimePoint aNow);
  void plan(base::TimePoint aNow);
  void addMarkers(std::vector<Record>& aNext, base::TimePoint aNow);
  void addOrders(std::vector<Record>& aNext, base::TimePoint aNow);
  void addWakeUps(std::vector<Record>& aNext, base::TimePoint aNow);
  void add(std::vector<Record>& aNext, Order aOrder, base::TimePoint aNow);
  void addReserved(EngineView& aView,
                   const Engine& aEngine,
                   const Report& aReport,
                   const std::vector<Record>& aRecords) const;
  EngineViews views(const std::vector<Record>& aRecords) const;
  LoadBudget budget(base::TimePoint aNow) const;
  bool settled() const;

  OwnerSettings mSettings;
  std::unique_ptr<Strategy> mStrategy;
  Declarations mDeclared;
  DemandByItem mDemand;
  Desired mDesired;
  std::map<base::UpstreamName, EngineState> mEngines;
  Role mRole = Role::Standby;
  bool mResigning = false;
  std::optional<Call> mInFlight;
  base::TimePoint mCallStarted;
  base::TimePoint mNextCall;
  bool mPlatformOk = true;
  std::string mLease;
  base::TimePoint mLeaseEnd;
  base::TimePoint mRenewAt;
  std::uint64_t mRevision = 0;
  Ledger mLedger;          ///< as the platform holds it
  Ledger mPending;         ///< as it is being written
  bool mUncertain = false; ///< a write may or may not have taken effect
  /** A write may still be on its way; the next successful one ends that. */
  bool mLateWrite = false;
  base::TimePoint mTakenOver;
  std::vector<Record> mRecords;
  std::vector<Record> mNext; ///< records once mPending is written
  std::map<Place, base::TimePoint> mDraining;
  base::TimePoint mNextPlan;
  base::TimePoint mNextLoad;
  base::TimePoint mNextWakeUps;
};

} // namespace marigold::placement
