/** @file Keeps the origins of streams in the store. */
#pragma once

#include "apps/gateway/fleet.h"
#include "apps/gateway/retry_pause.h"
#include "apps/gateway/stream_registry.h"

namespace marigold::gateway {

/**
 * What a kill of all VMs must not take along. One VM writes which software has
 * served each service recently, whenever that changes. This record
 * is watched with the registrations, so a VM has read it before it is ready.
 * Only while a service has several versions, it also writes the streams
 * that have begun, which the others read if no peer knows a stream.
 */
class StreamRecords
{
public:
  /** @param aClient client of the store @param aFleet fleet
   * @param aStreams streams; all of them must outlive this object
   * @param aFirstStart whether nothing has served before
   * @param aSeed seed of the pauses */
  StreamRecords(platform::Client& aClient,
                Fleet& aFleet,
                StreamRegistry& aStreams,
                bool aFirstStart,
                std::uint64_t aSeed);

  /** Writes what is due. Call several times a second on the VM that writes.
   * @param aNow time */
  void tick(base::TimePoint aNow);

  /** Reads the streams that VMs have written. @param aDone called when they
   * are merged, or can't be read */
  void read(std::function<void()> aDone);

  /** The store came back from a copy, which may lack what was written. */
  void onStoreRestored();

private:
  void applySoftware(const platform::Entry& aEntry);
  void noteFailure(const base::Error& aError);
  void writeSoftware(const dispatch::SoftwareHistory::Table& aTable);
  void writeStreams();
  void onListed(const platform::Snapshot& aSnapshot);

  platform::Client& mClient;
  Fleet& mFleet;
  StreamRegistry& mStreams;
  bool mFirstStart;
  dispatch::SoftwareHistory::Table mStored; ///< as far as known
  platform::Revision mSoftwareRevision = 0; ///< 0: no such key
  bool mSoftwareListed = false;
  bool mCallPending = false;
  RetryPause mPause; ///< of writes, after failed calls
  /** No writes before, to bound their rate. */
  base::TimePoint mSoftwareNotBefore{};
  base::TimePoint mStreamsNotBefore{};
  /** Revisions of the keys that hold streams, by key. */
  std::map<std::string, platform::Revision> mSlots;
  bool mSlotsListed = false;
  base::TimePoint mListNotBefore{};
  std::size_t mNextSlot = 0;
  std::uint64_t mStreamsStored = 0; ///< streams added when last written
  std::vector<std::function<void()>> mReaders;
};

} // namespace marigold::gateway
