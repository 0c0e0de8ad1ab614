#include "apps/gateway/fleet.h"

#include "apps/gateway/fleet_records.h"
#include "observe/log.h"
#include "peers/peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* kPrefix = "marigold/";
constexpr const char* kOwnerKey = "marigold/order-owner";

/** Terms of the leases. The registration of a failed VM may last a while,
 * because peers notice by its silence that it failed. The ownership must be
 * free soon; a slow store takes a few hundred milliseconds to respond, so a
 * term below this would expire while the owner is healthy. */
constexpr base::Duration kRegistrationTerm = 6s;
constexpr base::Duration kOwnershipTerm = 2s;
/** Allow three renewals in a term, so that one may be lost. */
constexpr base::Duration kRegistrationRenewal = 1500ms;
constexpr base::Duration kOwnershipRenewal = 450ms;
constexpr base::Duration kTickInterval = 150ms;
/** Longest pause between two writes of a key while these fail. */
constexpr base::Duration kMaxWritePause = 1200ms;
/** Minimum delay between a change and the next watch call. */
constexpr base::Duration kWatchPause = 150ms;
/** Longest wait for changes. Longer than those for data that limits hold for,
 * because the statuses of peers and the leases tell sooner. */
constexpr base::Duration kWatchWait = 8s;
/** Delay between the claims of two VMs for a free ownership, so that usually
 * only one of them writes to the store. */
constexpr base::Duration kClaimStagger = 150ms;
constexpr std::size_t kMaxStaggers = 8;
/** Bits of a fencing token below the era. Engines and logs handle tokens as
 * JSON numbers, which are exact up to 53 bits. */
constexpr unsigned kRevisionBits = 40;

} // namespace

Fleet::Fleet(http::Loop& aLoop,
             platform::Client& aClient,
             const Settings& aSettings,
             base::Incarnation aIncarnation)
  : mLoop(aLoop)
  , mClient(aClient)
  , mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mWatch(aLoop,
           aClient,
           kPrefix,
           kWatchPause,
           kWatchWait,
           { [this](const platform::Snapshot& aAll) { applySnapshot(aAll); },
             [this](const platform::Entry& aEntry) {
               apply(aEntry);
               mChanged.emit();
             },
             [] { observe::logInfo("fleet registry reached"); },
             [](const base::Error& aError) {
               observe::logWarn("fleet registry lost",
                                { { "error", aError.message } });
             } })
  , mRegistrationPause(kTickInterval,
                       kMaxWritePause,
                       base::hash64(aSettings.vm, aIncarnation + 2))
  , mOwnershipPause(kTickInterval,
                    kMaxWritePause,
                    base::hash64(aSettings.vm, aIncarnation + 3))
  , mLease(aClient,
           "registration",
           kRegistrationTerm,
           base::hash64(aSettings.vm, aIncarnation))
  , mOwnerLease(aClient,
                "ownership",
                kOwnershipTerm,
                base::hash64(aSettings.vm, aIncarnation + 1))
{
  mLease.granted().connect([this] {
    mRegistrationRevision = 0;
    writeRegistration();
  });
  mLease.lost().connect([this] { mRegistrationRevision = 0; });
  mOwnerLease.granted().connect([this] { claimOwnership(); });
  aClient.restored().connect([this] { onStoreRestored(); });
}

void
Fleet::start()
{
  mWatch.start();
  mLease.request();
  mTickTimer = mLoop.every(kTickInterval, [this] { tick(); });
}

/** Leases may have ended with the copy, and their ids may now be those of other
 * VMs. So this VM starts with new ones, and owns nothing until then. */
void
Fleet::onStoreRestored()
{
  mClaimsFrom = base::monotonicNow() + kOwnershipTerm;
  noteFreeOwnership();
  mUnreadableRevision = 0;
  mAbsentRevision = 0;
  mOwnershipLease.clear();
  mOwner.reset();
  mRegistrationPause.reset();
  mOwnershipPause.reset();
  mOwnerLease.drop("the store was restored");
  mLease.drop("the store was restored");
}

void
Fleet::releaseOwnership(base::TimePoint aLastOrderAt)
{
  mClaimsEnabled = false;
  giveUpOwnership(aLastOrderAt);
}

void
Fleet::setReachesEngines(bool aReaches, base::TimePoint aLastOrderAt)
{
  if (mLeaving || !mClaimsEnabled || (aReaches && mReachesEngines)) {
    return;
  }
  const bool owns = ownsOrders();
  mRemovalSent = mRemovalSent && owns;
  // Once the removal is under way, the next owner counts on no orders.
  if (aReaches && !mRemovalSent) {
    mReleaseTimer.reset();
    mReachesEngines = true;
    return;
  }
  mReachesEngines = false;
  if (owns && !mReleaseTimer && !mRemovalPending) {
    observe::logWarn("order ownership given up, no path to the engines");
    giveUpOwnership(aLastOrderAt);
  }
}

void
Fleet::giveUpOwnership(base::TimePoint aLastOrderAt)
{
  const base::Duration wait =
    residency::releasableFrom(aLastOrderAt) - base::monotonicNow();
  if (wait <= base::Duration::zero()) {
    removeOwnership();
    return;
  }
  mReleaseTimer = mLoop.after(wait, [this] {
    mReleaseTimer.reset();
    removeOwnership();
  });
}

void
Fleet::removeOwnership()
{
  if (!mOwner || !isSelf(*mOwner)) {
    return;
  }
  const std::uint64_t fencingToken = mOwner->fencingToken;
  mRemovalSent = true;
  mRemovalPending = true;
  mClient.remove(
    kOwnerKey, mOwner->revision, [this, fencingToken](const auto& aResult) {
      mRemovalPending = false;
      if (const base::Error* error = base::errorOf(aResult)) {
        // The store removes the key when the lease ends.
        observe::logWarn("order ownership not released",
                         { { "fence", std::to_string(fencingToken) },
                           { "error", error->message } });
      }
    });
}

void
Fleet::noteFreeOwnership()
{
  const base::TimePoint now = base::monotonicNow();
  mFreeSince = now;
  mOwnershipFreeAt = std::max(now, mClaimsFrom);
}

void
Fleet::leave()
{
  mLeaving = true;
  if (!mReleaseTimer) {
    mOwnerLease.revoke();
  }
  mLease.revoke();
}

void
Fleet::applySnapshot(const platform::Snapshot& aSnapshot)
{
  mOthers.clear();
  mRegistered.clear();
  mOwnKeyRevision = 0;
  const auto previous = mOwner;
  mOwner.reset();
  bool crashesRecorded = false;
  bool softwareRecorded = false;
  for (const platform::Entry& entry : aSnapshot.entries) {
    apply(entry);
    crashesRecorded = crashesRecorded || entry.key == kCrashRecordKey;
    softwareRecorded = softwareRecorded || entry.key == kSoftwareRecordKey;
  }
  if (!crashesRecorded) {
    mCrashRecord.emit({ kCrashRecordKey, {}, aSnapshot.revision });
  }
  if (!softwareRecorded) {
    mSoftwareRecord.emit({ kSoftwareRecordKey, {}, aSnapshot.revision });
  }
  if (!mSynced) {
    // The store may have been restored just before this process read it.
    mClaimsFrom = base::monotonicNow() + kOwnershipTerm;
  }
  if (!mOwner && (previous || !mSynced)) {
    noteFreeOwnership();
  }
  mSynced = true;
  mChanged.emit();
}

void
Fleet::apply(const platform::Entry& aEntry)
{
  if (aEntry.key == kOwnerKey) {
    applyOwner(aEntry);
    return;
  }
  if (aEntry.key == kCrashRecordKey) {
    mCrashRecord.emit(aEntry);
    return;
  }
  if (aEntry.key == kSoftwareRecordKey) {
    mSoftwareRecord.emit(aEntry);
    return;
  }
  if (!aEntry.key.starts_with(kMemberPrefix)) {
    return;
  }
  const base::VmName vm = aEntry.key.substr(std::string(kMemberPrefix).size());
  if (vm == mSettings.vm) {
    mOwnKeyRevision = aEntry.value ? aEntry.revision : 0;
    if (!aEntry.value && aEntry.revision > mRegistrationRevision) {
      mRegistrationRevision = 0;
    }
    return;
  }
  if (!aEntry.value) {
    mOthers.erase(vm);
    mRegistered.erase(vm);
    observe::logInfo("vm left the fleet", { { "peer", vm } });
    return;
  }
  mRegistered.insert(vm);
  const auto decoded =
    base::capture([&] { return decodeRegistration(vm, *aEntry.value); });
  if (const base::Error* error = base::errorOf(decoded)) {
    observe::logWarn("invalid VM registration",
                     { { "peer", vm }, { "error", error->message } });
    return;
  }
  mOthers[vm] = std::get<Member>(decoded);
}

void
Fleet::applyOwner(const platform::Entry& aEntry)
{
  if (mOwner && aEntry.revision < mOwner->revision) {
    return; // The answer to a write has arrived before the watch.
  }
  if (!aEntry.value) {
    observe::logInfo("order ownership is free",
                     { { "revision", std::to_string(aEntry.revision) } });
    mOwner.reset();
    noteFreeOwnership();
    return;
  }
  const auto decoded = base::capture(
    [&] { return decodeOwnership(*aEntry.value, aEntry.revision); });
  Ownership owner;
  if (const base::Error* error = base::errorOf(decoded)) {
    // Whoever wrote it may order until the pause between two owners is over.
    observe::logWarn("invalid order ownership",
                     { { "error", error->message },
                       { "revision", std::to_string(aEntry.revision) } });
    owner.era = mClient.era();
    owner.revision = aEntry.revision;
    owner.readable = false;
    if (aEntry.revision != mUnreadableRevision) {
      mUnreadableRevision = aEntry.revision;
      mOwnershipFreeAt = base::monotonicNow() + mSettings.orderPause;
      mFreeSince = mOwnershipFreeAt;
    }
  } else {
    owner = std::get<Ownership>(decoded);
  }
  owner.fencingToken = fenceAt(aEntry.revision);
  const auto previous = std::exchange(mOwner, owner);
  if (isOwnedByOther(owner)) {
    mOwnershipPause.reset(); // The next claim has nothing to do with the last.
    if (!mClaimCallPending) {
      mOwnerLease.drop("another VM owns the orders");
    }
  }
  if (previous && previous->fencingToken == owner.fencingToken) {
    return;
  }
  if (isOwnRecord(owner) && !(previous && isOwnRecord(*previous))) {
    mOwnedSince = base::monotonicNow();
    mSucceededItself = owner.settled;
  }
  observe::logInfo("order owner",
                   { { "owner", owner.vm },
                     { "fence", std::to_string(owner.fencingToken) },
                     { "settled", owner.settled ? "yes" : "no" } });
}

bool
Fleet::isSelf(const Ownership& aOwner) const
{
  return aOwner.vm == mSettings.vm && aOwner.incarnation == mIncarnation;
}

bool
Fleet::isFormerProcess(const Ownership& aOwner) const
{
  return aOwner.vm == mSettings.vm &&
         aOwner.address == mSettings.operatorAddress.text() &&
         aOwner.incarnation != mIncarnation;
}

/** @return true if the ownership was written before the store was restored, so
 * that others may have owned the orders since */
bool
Fleet::isFromEarlierEra(const Ownership& aOwner) const
{
  return aOwner.era < mClient.era();
}

bool
Fleet::isOwnRecord(const Ownership& aOwner) const
{
  return isSelf(aOwner) && !isFromEarlierEra(aOwner);
}

bool
Fleet::isOwnedByOther(const Ownership& aOwner) const
{
  return !isSelf(aOwner) && !isFormerProcess(aOwner) &&
         !isFromEarlierEra(aOwner);
}

/** @return a number that rises with the revisions and, because these go back
 * when the store is restored, with its eras */
std::uint64_t
Fleet::fenceAt(platform::Revision aRevision) const
{
  return (mClient.era() << kRevisionBits) + aRevision;
}

/** @return true if no VM gives the ownership up, so that its record may be
 * replaced after the pause */
bool
Fleet::isVoid(const Ownership& aOwner) const
{
  return !aOwner.readable || aOwner.revision == mAbsentRevision;
}

/** A record that was written without a lease stays when its VM has left. A VM
 * that has only lost its registration is back within the term of one. */
void
Fleet::noteAbsentOwner(base::TimePoint aNow)
{
  const bool isAbsent = mOwner && mOwner->readable && isOwnedByOther(*mOwner) &&
                        !mRegistered.contains(mOwner->vm);
  const platform::Revision revision = isAbsent ? mOwner->revision : 0;
  if (std::exchange(mAbsentRevision, revision) == revision || !isAbsent) {
    return;
  }
  const base::TimePoint freeSince = aNow + kRegistrationTerm;
  mFreeSince = freeSince;
  mOwnershipFreeAt = freeSince + mSettings.orderPause;
  observe::logWarn("order owner is not registered",
                   { { "owner", mOwner->vm } });
}

/** @return true if the ownership is free, or its record may be replaced */
bool
Fleet::mayClaim(base::TimePoint aNow) const
{
  if (!mOwner || isFromEarlierEra(*mOwner)) {
    return aNow >= mClaimsFrom;
  }
  return isVoid(*mOwner) ? aNow >= std::max(mClaimsFrom, mOwnershipFreeAt)
                         : isFormerProcess(*mOwner);
}

residency::OrderOwnership
Fleet::orderOwnership() const
{
  return { mStartedAt,
           mOwnedSince,
           mOwnerLease.endsAt(),
           mOwner && isSelf(*mOwner) && mOwner->settled };
}

/** An ownership ends with the lease under which it was written, even if this VM
 * has a newer lease and has not seen the removal of the key yet. */
bool
Fleet::ownsOrders() const
{
  return mOwner && isOwnRecord(*mOwner) && mOwnerLease.held() &&
         mOwnershipLease == mOwnerLease.id();
}

bool
Fleet::canSendOrders(base::TimePoint aNow) const
{
  return ownsOrders() && wantsOwnership() &&
         residency::mayOrder(orderOwnership(), aNow);
}

base::Duration
Fleet::timeWithoutOrders(base::TimePoint aNow) const
{
  return residency::timeWithoutOrders(
    { mSucceededItself, mStartedAt, mFreeSince }, mSettings.orderPause, aNow);
}

std::uint64_t
Fleet::fencingToken() const
{
  return ownsOrders() ? mOwner->fencingToken : 0;
}

void
Fleet::tick()
{
  const base::TimePoint now = base::monotonicNow();
  if (mLeaving) {
    return;
  }
  if (!mLease.held()) {
    mLease.request();
    return;
  }
  mLease.renewIfDue(mReadsStore ? kOwnershipRenewal : kRegistrationRenewal);
  mOwnerLease.renewIfDue(kOwnershipRenewal);
  if (mRegistrationRevision == 0) {
    writeRegistration();
  }
  noteAbsentOwner(now);
  const bool isFree = !mOwner || isFromEarlierEra(*mOwner) || isVoid(*mOwner);
  const bool mustWait =
    isFree && now < mOwnershipFreeAt + kClaimStagger * claimRank();
  if (!mustWait) {
    claimOwnership();
  }
  if (ownsOrders() && wantsOwnership() && !mOwner->settled &&
      residency::maySettle(orderOwnership(), mSettings.orderPause, now)) {
    settleOwnership();
  }
}

std::size_t
Fleet::claimRank() const
{
  const peers::RelayCandidate self{ mSettings.vm, mSettings.capacity };
  std::size_t rank = 0;
  for (const auto& [vm, member] : mOthers) {
    rank += peers::hasElectionPriority({ vm, member.capacity }, self) ? 1U : 0U;
  }
  return std::min(rank, kMaxStaggers);
}

void
Fleet::writeRegistration()
{
  if (mRegistrationCallPending || !mSynced || !mLease.held() ||
      !mRegistrationPause.isOver(base::monotonicNow())) {
    return;
  }
  mRegistrationCallPending = true;
  const json content{ { "peer_address", mSettings.peerAddress.text() },
                      { "operator", mSettings.operatorAddress.text() },
                      { "data_centre", mSettings.dataCentre },
                      { "capacity", mSettings.capacity },
                      { "incarnation", mIncarnation } };
  mClient.write(
    kMemberPrefix + mSettings.vm,
    content.dump(),
    mOwnKeyRevision,
    mLease.id(),
    [this,
     lease = mLease.id()](const base::Captured<platform::Revision>& aResult) {
      mRegistrationCallPending = false;
      if (lease != mLease.id()) {
        mWatch.relist("lease changed"); // The key ends with the former one.
        return;
      }
      mRegistrationPause.recordFailure(base::monotonicNow());
      const base::Error* error = base::errorOf(aResult);
      if (error == nullptr) {
        mRegistrationPause.reset();
        mRegistrationRevision = std::get<platform::Revision>(aResult);
        mOwnKeyRevision = mRegistrationRevision;
        observe::logInfo("registered");
      } else if (error->code == base::Code::RevisionConflict ||
                 error->code == base::Code::WriteOutcomeUnknown) {
        // Listing yields the revision for the next attempt.
        mWatch.relist("write failed");
      } else if (error->code == base::Code::NotFound) {
        mLease.drop("not found in the store");
      }
    });
}

void
Fleet::claimOwnership()
{
  const bool outdated = mOwner && isFromEarlierEra(*mOwner);
  if (mClaimCallPending || !wantsOwnership() || !mSynced ||
      !mOwnershipPause.isOver(base::monotonicNow()) ||
      !mayClaim(base::monotonicNow()) || mRegistrationRevision == 0) {
    return;
  }
  if (!mOwnerLease.validFor(base::monotonicNow(), kOwnershipRenewal)) {
    mOwnerLease.drop("too old to claim with");
    mOwnerLease.request(); // Calls again when the lease was granted.
    return;
  }
  mOwnershipLease = mOwnerLease.id();
  writeOwnership(mOwner ? mOwner->revision : 0,
                 mOwner && isFormerProcess(*mOwner) && mOwner->settled &&
                   !outdated);
}

/** Records that the pause is over. The first order is sent afterwards, so a
 * later process of this VM never finds an ownership without it after orders. */
void
Fleet::settleOwnership()
{
  if (!mClaimCallPending && mOwnershipPause.isOver(base::monotonicNow())) {
    writeOwnership(mOwner->revision, true);
  }
}

/** @param aExpected revision of the key that is replaced, 0 if there is none
 * @param aSettled whether the pause after the previous owner's orders is over
 */
void
Fleet::writeOwnership(platform::Revision aExpected, bool aSettled)
{
  mClaimCallPending = true;
  const json content{ { "vm", mSettings.vm },
                      { "address", mSettings.operatorAddress.text() },
                      { "incarnation", mIncarnation },
                      { "store_era", mClient.era() },
                      { "settled", aSettled } };
  mClient.write(
    kOwnerKey,
    content.dump(),
    aExpected,
    mOwnershipLease,
    [this, content](const base::Captured<platform::Revision>& aResult) {
      mClaimCallPending = false;
      const base::Error* error = base::errorOf(aResult);
      if (error == nullptr) {
        mOwnershipPause.reset();
        applyOwner(
          { kOwnerKey, content.dump(), std::get<platform::Revision>(aResult) });
        mChanged.emit();
      } else if (error->code == base::Code::NotFound) {
        mOwnerLease.drop("not found in the store");
      } else if (error->code == base::Code::RevisionConflict) {
        if (mOwner && isOwnedByOther(*mOwner)) {
          mOwnerLease.drop("another VM owns the orders");
        }
      } else {
        mOwnershipPause.recordFailure(base::monotonicNow());
        // The write may have succeeded; then the watch will report the key.
        observe::logWarn("ownership claim failed",
                         { { "error", error->message } });
      }
    });
}

} // namespace marigold::gateway
