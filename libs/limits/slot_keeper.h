/** @file Which slot a VM holds: claim, renewal, takeover and release. */
#pragma once

#include "limits/share.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::limits {

/** Value of the platform record slots/DC/N. */
struct SlotRecord
{
  base::VmName vm;
  base::Incarnation incarnation = 0;
  /** Revision of a list of VMs that shows the holder. */
  std::uint64_t listRevision = 0;
};

/** A slot record with its revision at the platform. */
struct SlotEntry
{
  int number = 0;
  SlotRecord record;
  std::uint64_t revision = 0;
};

/** The names in the platform's list of VMs. */
struct ListedVms
{
  std::uint64_t revision = 0;
  std::set<base::VmName> names;
};

enum class SlotCallKind : std::uint8_t
{
  List,
  GrantLease,
  RenewLease,
  Write, ///< compare-and-swap of the record, bound to the lease
  Remove,
};

/** A platform call that the keeper wants made. */
struct SlotCall
{
  SlotCallKind kind = SlotCallKind::List;
  int number = 0;
  SlotRecord record;
  std::uint64_t expected = 0; ///< revision; 0: the record must not exist
  std::string lease;
};

enum class SlotFailure : std::uint8_t
{
  None,
  Conflict,  ///< the record has another revision
  LeaseLost, ///< the platform does not know the lease
  Other,     ///< the effect of the call is not known
};

/** The end of a call. */
struct SlotAnswer
{
  SlotFailure failure = SlotFailure::None;
  std::vector<SlotEntry> entries; ///< of List
  std::string lease;              ///< of GrantLease
  std::uint64_t revision = 0;     ///< of Write
};

/**
 * @param aRecord holder of a slot
 * @param aSelf this VM, whose mesh port this process has bound
 * @param aListed newest list of VMs
 * @return true if the holder cannot be running any more
 */
bool
mayTakeOver(const SlotRecord& aRecord,
            const base::VmName& aSelf,
            const ListedVms& aListed);

/**
 * Holds at most one slot for a VM. One call is open at a time: next() names it
 * and answered() ends it.
 */
class SlotKeeper
{
public:
  /** @param aSelf this VM @param aIncarnation number of this run */
  SlotKeeper(base::VmName aSelf, base::Incarnation aIncarnation);

  /** @param aListed newest list @param aSlots slots of the data centre
   * @param aNow current time @return the call to make now, if any */
  std::optional<SlotCall> next(const ListedVms& aListed,
                               int aSlots,
                               base::TimePoint aNow);

  /** @param aAnswer end of the open call @param aNow current time */
  void answered(const SlotAnswer& aAnswer, base::TimePoint aNow);

  /** Gives the slot up; next() then names the call that releases it. */
  void release();

  /** @param aNow current time @return the slot held, if any */
  std::optional<SlotTerm> term(base::TimePoint aNow) const;

  /** @return number of the slot held; meaningless without a term */
  int number() const { return mNumber; }

  /** @return true once a release is over or nothing is to be released */
  bool released() const { return mReleasing && !mOpen && !mHeld; }

private:
  std::optional<SlotCall> claim(const ListedVms& aListed, int aSlots);
  void onListed(const std::vector<SlotEntry>& aEntries, base::TimePoint aNow);
  void onLease(const SlotAnswer& aAnswer, base::TimePoint aNow);
  void onWritten(const SlotAnswer& aAnswer, base::TimePoint aNow);
  void fail(base::TimePoint aNow);
  void drop();
  base::Duration jittered(base::Duration aPeriod);
  SlotCall open(SlotCall aCall, base::TimePoint aNow);

  base::VmName mSelf;
  base::Incarnation mIncarnation;
  bool mHeld = false;
  int mNumber = 0;
  std::uint64_t mRevision = 0;
  SlotTerm mTerm;
  std::string mLease;
  base::TimePoint mLeaseSentAt;
  bool mLeaseFresh = false;   ///< renewed for the write that follows
  bool mWriteUnknown = false; ///< an earlier write may have taken effect
  std::optional<SlotCall> mOpen;
  base::TimePoint mOpenedAt;
  std::optional<std::vector<SlotEntry>> mSeen;
  base::TimePoint mNextAt;
  base::Duration mBackoff{};
  std::uint64_t mDraws = 0;
  bool mReleasing = false;
};

} // namespace marigold::limits
