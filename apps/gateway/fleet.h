/** @file This VM's place in the fleet: lease, registration, other VMs. */
#pragma once

#include "apps/gateway/prefix_watch.h"
#include "apps/gateway/settings.h"

#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Another VM as it registered itself. */
struct Member
{
  base::VmName vm;
  base::DataCentre dataCentre;
  base::Address peerAddress;
  base::Address operatorAddress;
  double capacity = 0; ///< cores that it may use
};

/** Who may give orders. */
struct Ownership
{
  base::VmName vm;
  base::Incarnation incarnation = 0;
  platform::Revision fence = 0; ///< revision at which it became the owner
};

/**
 * Keeps a lease at the platform and registers this VM under it, follows the
 * registrations of the others, and holds the ownership of orders if nobody else
 * does. All keys of a VM end with its lease.
 */
class Fleet
{
public:
  Fleet(http::Loop& aLoop,
        platform::Client& aClient,
        const Settings& aSettings,
        base::Incarnation aIncarnation);

  /** Starts to register and to follow the others. */
  void start();

  /** Gives the ownership of orders up, because this VM will leave. */
  void releaseOwnership();

  /** Gives the lease back; this VM leaves the fleet. */
  void leave();

  /** @return the other VMs by name */
  const std::map<base::VmName, Member>& others() const { return mOthers; }

  /** @return the VMs of the fleet, this one included */
  std::size_t size() const { return mOthers.size() + 1; }

  /** @return true once the registrations were read */
  bool known() const { return mKnown; }

  /** @return true once this VM is registered */
  bool registered() const { return mRegistration != 0; }

  /** @return when the latest renewal that the store answered was sent */
  base::TimePoint renewedAt() const { return mLeaseSent; }

  /** @return the registrations as the store's watch sees them */
  PrefixWatch& watch() { return mWatch; }

  /** @return who owns the orders, as far as known */
  const std::optional<Ownership>& owner() const { return mOwner; }

  /** @param aNow time @return true if this VM owns the orders and its lease
   * lasts long enough to send one */
  bool mayOrder(base::TimePoint aNow) const;

  /** @return the fencing token of this VM's ownership, 0 without */
  platform::Revision fence() const;

  /** Emitted when the other VMs or the owner changed. */
  sigc::signal<void()>& changed() { return mChanged; }

private:
  void apply(const platform::Entry& aEntry);
  void applySnapshot(const platform::Snapshot& aSnapshot);
  void applyOwner(const platform::Entry& aEntry);
  void tick();
  void grant();
  void renew();
  void writeRegistration();
  void claimOwnership();
  bool isSelf(const Ownership& aOwner) const;
  std::size_t claimRank() const;
  bool leaseValid(base::TimePoint aNow, base::Duration aMargin) const;
  void loseLease(const char* aReason);

  http::Loop& mLoop;
  platform::Client& mClient;
  const Settings& mSettings;
  base::Incarnation mIncarnation;
  PrefixWatch mWatch;
  std::map<base::VmName, Member> mOthers;
  std::optional<Ownership> mOwner;
  platform::Revision mOwnKeyRevision = 0; ///< of this VM's key in the store
  platform::Revision mRegistration = 0;
  std::string mLease;
  std::string mOwnerLease; ///< lease under which the ownership was claimed
  base::TimePoint mLeaseSent{};
  base::TimePoint mOwnedSince{};
  base::TimePoint mOwnerGoneAt{};
  bool mKnown = false;
  bool mLeaseCall = false;
  bool mWriteCall = false;
  bool mClaimCall = false;
  bool mLeaving = false;
  bool mClaims = true; ///< takes a free ownership
  http::EventHandle mTick;
  sigc::signal<void()> mChanged;
};

} // namespace marigold::gateway
