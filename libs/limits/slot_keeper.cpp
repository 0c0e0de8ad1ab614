#include "limits/slot_keeper.h"

#include "limits/policy.h"

#include <algorithm>

namespace marigold::limits {
namespace {

/** After a renewal an hour's partition must fit into the validity. */
constexpr base::Duration kRenewPeriod = std::chrono::seconds(240);

/** Period in which a VM without a slot looks for one. */
constexpr base::Duration kSearchPeriod = std::chrono::seconds(5);

constexpr base::Duration kBackoffMin = std::chrono::milliseconds(500);
constexpr base::Duration kBackoffMax = std::chrono::seconds(30);

/** Waits are spread by this part, so that a fleet does not call at once. */
constexpr double kJitter = 0.1;

} // namespace

bool
mayTakeOver(const SlotRecord& aRecord,
            const base::VmName& aSelf,
            const ListedVms& aListed)
{
  // Two processes of a VM cannot both bind its mesh port.
  if (aRecord.vm == aSelf) {
    return true;
  }
  return aListed.revision >= aRecord.listRevision &&
         !aListed.names.contains(aRecord.vm);
}

SlotKeeper::SlotKeeper(base::VmName aSelf, base::Incarnation aIncarnation)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
{
}

base::Duration
SlotKeeper::jittered(base::Duration aPeriod)
{
  const std::uint64_t draw =
    base::hash64(mSelf, mIncarnation + ++mDraws) % 1000;
  const double unit = static_cast<double>(draw) / 500.0 - 1.0;
  return base::fromSeconds(base::inSeconds(aPeriod) * (1.0 + kJitter * unit));
}

SlotCall
SlotKeeper::open(SlotCall aCall, base::TimePoint aNow)
{
  mOpen = aCall;
  mOpenedAt = aNow;
  return aCall;
}

void
SlotKeeper::drop()
{
  mHeld = false;
  mWriteUnknown = false;
  mSeen.reset();
}

std::optional<SlotTerm>
SlotKeeper::term(base::TimePoint aNow) const
{
  if (!mHeld || mReleasing || aNow >= mTerm.validUntil) {
    return std::nullopt;
  }
  return mTerm;
}

void
SlotKeeper::release()
{
  mReleasing = true;
}

std::optional<SlotCall>
SlotKeeper::claim(const ListedVms& aListed, int aSlots)
{
  const SlotEntry* best = nullptr;
  std::set<int> taken;
  for (const SlotEntry& entry : *mSeen) {
    taken.insert(entry.number);
    const bool valid = entry.number >= 1 && entry.number <= aSlots;
    const bool own = entry.record.vm == mSelf;
    if (valid && mayTakeOver(entry.record, mSelf, aListed) &&
        (best == nullptr || own)) {
      best = &entry;
    }
  }
  SlotCall call{ SlotCallKind::Write, 0, {}, 0, mLease };
  call.record = { mSelf, mIncarnation, aListed.revision };
  for (int number = 1; number <= aSlots && call.number == 0; ++number) {
    call.number = taken.contains(number) ? 0 : number;
  }
  if (best != nullptr && (best->record.vm == mSelf || call.number == 0)) {
    call.number = best->number;
    call.expected = best->revision;
  }
  return call.number == 0 ? std::nullopt : std::optional(call);
}

std::optional<SlotCall>
SlotKeeper::next(const ListedVms& aListed, int aSlots, base::TimePoint aNow)
{
  if (mOpen) {
    return std::nullopt;
  }
  if (mReleasing) {
    if (!mHeld) {
      return std::nullopt;
    }
    mHeld = false;
    return open({ SlotCallKind::Remove, mNumber, {}, mRevision, mLease }, aNow);
  }
  if (mHeld && (aNow >= mTerm.validUntil || mNumber > aSlots)) {
    drop();
  }
  // Without itself in the list the VM would look gone to the others.
  if (aNow < mNextAt || !aListed.names.contains(mSelf)) {
    return std::nullopt;
  }
  if (!mHeld && !mSeen) {
    return open({ SlotCallKind::List, 0, {}, 0, "" }, aNow);
  }
  if (mHeld && mWriteUnknown && !mSeen) {
    return open({ SlotCallKind::List, 0, {}, 0, "" }, aNow);
  }
  std::optional<SlotCall> write;
  if (mHeld) {
    write = SlotCall{ SlotCallKind::Write,
                      mNumber,
                      { mSelf, mIncarnation, aListed.revision },
                      mRevision,
                      mLease };
  } else {
    write = claim(aListed, aSlots);
  }
  if (!write) {
    mSeen.reset();
    mNextAt = aNow + jittered(kSearchPeriod);
    return std::nullopt;
  }
  if (!mLeaseFresh) {
    const auto kind =
      mLease.empty() ? SlotCallKind::GrantLease : SlotCallKind::RenewLease;
    return open({ kind, 0, {}, 0, mLease }, aNow);
  }
  return open(*write, aNow);
}

void
SlotKeeper::fail(base::TimePoint aNow)
{
  mBackoff = std::clamp(mBackoff * 2, kBackoffMin, kBackoffMax);
  mNextAt = aNow + jittered(mBackoff);
  mLeaseFresh = false;
  mSeen.reset();
}

void
SlotKeeper::onListed(const std::vector<SlotEntry>& aEntries,
                     base::TimePoint aNow)
{
  mSeen = aEntries;
  if (!mHeld) {
    return;
  }
  // Looks whether the write without an answer took effect.
  const auto own =
    std::find_if(aEntries.begin(), aEntries.end(), [this](const auto& aEntry) {
      return aEntry.number == mNumber && aEntry.record.vm == mSelf &&
             aEntry.record.incarnation == mIncarnation;
    });
  if (own == aEntries.end()) {
    drop();
    mNextAt = aNow;
    return;
  }
  mRevision = own->revision;
  mWriteUnknown = false;
}

void
SlotKeeper::onLease(const SlotAnswer& aAnswer, base::TimePoint aNow)
{
  if (aAnswer.failure == SlotFailure::LeaseLost) {
    // The platform has deleted the record together with the lease.
    mLease.clear();
    drop();
    fail(aNow);
    return;
  }
  if (aAnswer.failure != SlotFailure::None) {
    fail(aNow);
    return;
  }
  if (mOpen->kind == SlotCallKind::GrantLease) {
    mLease = aAnswer.lease;
  }
  mLeaseSentAt = mOpenedAt;
  mLeaseFresh = true;
}

void
SlotKeeper::onWritten(const SlotAnswer& aAnswer, base::TimePoint aNow)
{
  mLeaseFresh = false;
  if (aAnswer.failure == SlotFailure::None) {
    if (!mHeld) {
      mNumber = mOpen->number;
      mTerm.settledAt = aNow + kSettleTime;
    }
    mHeld = true;
    mRevision = aAnswer.revision;
    mTerm.validUntil = mLeaseSentAt + kSlotValidity;
    mWriteUnknown = false;
    mSeen.reset();
    mBackoff = {};
    mNextAt = aNow + jittered(kRenewPeriod);
    return;
  }
  if (mHeld && aAnswer.failure != SlotFailure::Other && !mWriteUnknown) {
    drop(); // the record is not this VM's any more
  }
  if (aAnswer.failure == SlotFailure::LeaseLost) {
    mLease.clear();
  }
  mWriteUnknown = mHeld;
  fail(aNow);
}

void
SlotKeeper::answered(const SlotAnswer& aAnswer, base::TimePoint aNow)
{
  if (!mOpen) {
    return;
  }
  switch (mOpen->kind) {
    case SlotCallKind::List:
      if (aAnswer.failure == SlotFailure::None) {
        onListed(aAnswer.entries, aNow);
      } else {
        fail(aNow);
      }
      break;
    case SlotCallKind::GrantLease:
    case SlotCallKind::RenewLease:
      onLease(aAnswer, aNow);
      break;
    case SlotCallKind::Write:
      onWritten(aAnswer, aNow);
      break;
    case SlotCallKind::Remove:
      break;
  }
  mOpen.reset();
}

} // namespace marigold::limits
