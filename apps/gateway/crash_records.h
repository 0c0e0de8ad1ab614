/** @file Keeps the evidence behind verdicts on requests in the store. */
#pragma once

#include "apps/gateway/fleet.h"
#include "dispatch/dispatch.h"

namespace marigold::gateway {

/**
 * Reads and writes one record of crashes in the platform's store, so that the
 * evidence outlives a kill of all VMs. The record is listed and watched with
 * the registrations of the VMs, so a VM has read it before it is ready. A VM
 * writes it when the verdicts derived from it would differ from its own; the
 * owner of orders does so at once, and so does a VM that has seen a crash
 * behind a new verdict, or was told of it by one that has, because a kill of
 * all VMs loses what is not written.
 * The others write only if these do not. No request waits for the store.
 */
class CrashRecords
{
public:
  /** @param aClient client of the store
   * @param aFleet fleet, which must outlive this object
   * @param aCrashes evidence that is kept
   * @param aSeed seed of the delays */
  CrashRecords(platform::Client& aClient,
               Fleet& aFleet,
               dispatch::CrashTracker& aCrashes,
               std::uint64_t aSeed);

  /** Writes the record if it is due. Call several times a second and after each
   * change of the verdicts. @param aNow time */
  void tick(base::TimePoint aNow);

  /** The store came back from a copy, so the record in it may be an older one
   * or gone: no interval since an earlier write holds any more. */
  void onStoreRestored();

private:
  void apply(const platform::Entry& aEntry);
  base::Duration delay();
  bool mayWriteAtOnce() const;
  void write(base::TimePoint aNow);
  void onWritten(const dispatch::CrashRecord& aRecord,
                 const base::Captured<platform::Revision>& aResult);

  platform::Client& mClient;
  Fleet& mFleet;
  dispatch::CrashTracker& mCrashes;
  platform::Backoff mBackoff;
  dispatch::CrashRecord mStored;    ///< content of the key, as far as known
  platform::Revision mRevision = 0; ///< of the key; 0: it does not exist
  std::optional<base::TimePoint> mDueAt;
  base::TimePoint mNotBefore{}; ///< no write before, to bound their rate
  base::TimePoint mWrittenAt{};
  unsigned mUrgentWrites = 0; ///< since the last calm period
  bool mListed = false;
  bool mCallPending = false;
};

} // namespace marigold::gateway
