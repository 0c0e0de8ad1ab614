/** @file Fleet membership: lease, registration, other VMs, order ownership. */
#pragma once

#include "apps/gateway/lease.h"
#include "apps/gateway/prefix_watch.h"
#include "apps/gateway/settings.h"
#include "residency/residency.h"

#include <set>
#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Registration of another VM. */
struct Member
{
  base::VmName vm;
  base::DataCentre dataCentre;
  base::Address peerAddress;
  base::Address operatorAddress;
  double capacity = 0; ///< CPU cores that it may use
};

/** The VM that may send orders to engines. */
struct Ownership
{
  base::VmName vm;
  std::string address; ///< operator address, which the VM keeps while it exists
  base::Incarnation incarnation = 0;
  platform::Era era = 0; ///< of the store when the ownership was written
  platform::Revision revision = 0; ///< of the ownership key
  std::uint64_t fencingToken = 0;  ///< rises with each ownership
  bool settled = false; ///< the pause after the previous owner's orders is over
  bool readable = true; ///< false for a record that another writer left
};

/**
 * Registers this VM at the platform under a lease, watches the registrations of
 * the other VMs, and claims the order ownership when it is free. The ownership
 * has a shorter lease of its own, so that another VM soon takes over from an
 * owner that failed, while the fleet need not renew all registrations as often.
 * If the process of the owner is killed, the VM's next one takes the ownership
 * over without waiting for the end of the lease. A record of the ownership that
 * can't be read is replaced after the pause between two owners.
 * The store removes a key when its lease ends.
 */
class Fleet
{
public:
  /** Key of the record of crashes, which is watched with the registrations. */
  static constexpr const char* kCrashRecordKey = "marigold/crashes";
  /** Key of the record of software versions, watched likewise. */
  static constexpr const char* kSoftwareRecordKey = "marigold/software";

  Fleet(http::Loop& aLoop,
        platform::Client& aClient,
        const Settings& aSettings,
        base::Incarnation aIncarnation);

  /** Requests a lease and starts to watch the registrations. */
  void start();

  /** Sends no more orders, releases the order ownership and never claims it
   * again, because this VM is about to leave. The next owner counts on a time
   * without orders before the end of the ownership, as at the end of a lease.
   * @param aLastOrderAt when the latest order was sent */
  void releaseOwnership(base::TimePoint aLastOrderAt);

  /** Gives the order ownership up while this VM can't reach the engines, and
   * claims none meanwhile.
   * @param aReaches whether it reaches them
   * @param aLastOrderAt when the latest order was sent */
  void setReachesEngines(bool aReaches, base::TimePoint aLastOrderAt);

  /** A VM that serves the store's data to others, or reads it there itself,
   * renews its lease more often, which shows that the data are current.
   * @param aReads whether this VM reads the store directly */
  void setReadsStore(bool aReads) { mReadsStore = aReads; }

  /** Revokes the lease, which removes this VM from the fleet. */
  void leave();

  /** @return true after leave() until the store has answered or the calls to it
   * have timed out */
  bool leavePending() const
  {
    return mLease.revocationPending() || mOwnerLease.revocationPending();
  }

  /** @return the other VMs by name */
  const std::map<base::VmName, Member>& others() const { return mOthers; }

  /** @return number of VMs in the fleet, including this one */
  std::size_t size() const { return mOthers.size() + 1; }

  /** @return true after the registrations were read for the first time */
  bool synced() const { return mSynced; }

  /** @return true once this VM is registered */
  bool registered() const { return mRegistrationRevision != 0; }

  /** @return when the latest successful lease renewal was sent */
  base::TimePoint renewedAt() const { return mLease.renewedAt(); }

  /** @return the watch of the registrations */
  PrefixWatch& watch() { return mWatch; }

  /** @return the current owner of orders, if known */
  const std::optional<Ownership>& owner() const { return mOwner; }

  /** @param aNow time @return true if this VM owns the orders and its lease is
   * valid long enough to send one */
  bool canSendOrders(base::TimePoint aNow) const;

  /** @return time for which neither another VM nor this VM's former process can
   * have sent an order; valid once orders can be sent. @param aNow time */
  base::Duration timeWithoutOrders(base::TimePoint aNow) const;

  /** @return who may have sent orders before this process; valid once orders
   * can be sent */
  residency::FormerOwner formerOwner() const
  {
    return mSucceededItself ? residency::FormerOwner::OwnVm
                            : residency::FormerOwner::OtherVm;
  }

  /** @return fencing token of this VM's ownership, 0 if it is not the owner */
  std::uint64_t fencingToken() const;

  /** Emitted when the set of other VMs or the owner has changed. */
  sigc::signal<void()>& changed() { return mChanged; }

  /** Emitted when the record of crashes was read; without a value if there is
   * none. */
  sigc::signal<void(const platform::Entry&)>& crashRecord()
  {
    return mCrashRecord;
  }

  /** Emitted when the record of software versions was read; without a value if
   * there is none. */
  sigc::signal<void(const platform::Entry&)>& softwareRecord()
  {
    return mSoftwareRecord;
  }

private:
  void apply(const platform::Entry& aEntry);
  void applySnapshot(const platform::Snapshot& aSnapshot);
  void applyOwner(const platform::Entry& aEntry);
  void onStoreRestored();
  void tick();
  void writeRegistration();
  void claimOwnership();
  void settleOwnership();
  void writeOwnership(platform::Revision aExpected, bool aSettled);
  bool wantsOwnership() const { return mClaimsEnabled && mReachesEngines; }
  void giveUpOwnership(base::TimePoint aLastOrderAt);
  void removeOwnership();
  void noteFreeOwnership();
  bool isSelf(const Ownership& aOwner) const;
  bool isFormerProcess(const Ownership& aOwner) const;
  bool isFromEarlierEra(const Ownership& aOwner) const;
  bool isOwnRecord(const Ownership& aOwner) const;
  bool isOwnedByOther(const Ownership& aOwner) const;
  bool isVoid(const Ownership& aOwner) const;
  void noteAbsentOwner(base::TimePoint aNow);
  bool mayClaim(base::TimePoint aNow) const;
  std::uint64_t fenceAt(platform::Revision aRevision) const;
  residency::OrderOwnership orderOwnership() const;
  std::size_t claimRank() const;
  bool ownsOrders() const;

  http::Loop& mLoop;
  platform::Client& mClient;
  const Settings& mSettings;
  base::Incarnation mIncarnation;
  PrefixWatch mWatch;
  std::map<base::VmName, Member> mOthers;
  std::set<base::VmName> mRegistered; ///< other VMs, also unreadable ones
  std::optional<Ownership> mOwner;
  platform::Revision mOwnKeyRevision = 0; ///< of this VM's key in the store
  platform::Revision mRegistrationRevision = 0;
  RetryPause mRegistrationPause;
  RetryPause mOwnershipPause;
  Lease mLease;      ///< of the registration
  Lease mOwnerLease; ///< of the order ownership, held while claiming or owning
  std::string mOwnershipLease; ///< lease under which the ownership was claimed
  base::TimePoint mStartedAt = base::monotonicNow();
  base::TimePoint mOwnedSince{};
  bool mSucceededItself = false; ///< took over from this VM's former process
  /** When this VM learnt that no VM owns the orders, before its ownership. */
  std::optional<base::TimePoint> mFreeSince;
  base::TimePoint mOwnershipFreeAt{};         ///< may be claimed
  platform::Revision mUnreadableRevision = 0; ///< of the latest such ownership
  /** Of the latest ownership of a VM that was not registered; 0 once it is. */
  platform::Revision mAbsentRevision = 0;
  /** No claims of a free ownership before, because its owner may not know yet
   * that the store has forgotten it. */
  base::TimePoint mClaimsFrom{};
  bool mSynced = false;
  bool mReadsStore = true;
  bool mRegistrationCallPending = false;
  bool mClaimCallPending = false;
  bool mLeaving = false;
  bool mClaimsEnabled = true; ///< claims a free ownership, until it leaves
  bool mReachesEngines = true;
  bool mRemovalSent = false;    ///< of the ownership, which is still there
  bool mRemovalPending = false; ///< the store has not answered
  http::EventHandle mTickTimer;
  http::EventHandle mReleaseTimer; ///< set while the release is due
  sigc::signal<void()> mChanged;
  sigc::signal<void(const platform::Entry&)> mCrashRecord;
  sigc::signal<void(const platform::Entry&)> mSoftwareRecord;
};

} // namespace marigold::gateway
