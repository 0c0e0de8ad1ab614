#include "apps/gateway/stream_records.h"

#include "observe/log.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** Outside of the watched keys, because no VM needs to hear of each write. */
constexpr const char* kStreamPrefix = "marigold-streams/";
/** Keys that are written in turn, each with the streams since the write before.
 * Together they cover the lifetime of a stream. */
constexpr std::size_t kSlots = 128;
/** Time between two writes. What began since is not known after a kill of all
 * VMs. */
constexpr base::Duration kWriteInterval = 500ms;
/** Longest pause after a failed call at first, and later. */
constexpr base::Duration kInitialPause = 2 * kWriteInterval;
constexpr base::Duration kMaxPause = 4 * kWriteInterval;
/** Streams in one write; the oldest are left out. */
constexpr std::size_t kMaxStreamsInSlot = 16'384;

/** Runs a reader of a value that may have been left by another writer. */
template<typename Reader>
void
readValue(const platform::Entry& aEntry, Reader aReader)
{
  try {
    aReader(platform::parseUntrusted(*aEntry.value));
  } catch (const json::exception& exception) {
    observe::logWarn("record of streams rejected",
                     { { "key", aEntry.key }, { "error", exception.what() } });
  } catch (const std::invalid_argument& exception) {
    observe::logWarn("record of streams rejected",
                     { { "key", aEntry.key }, { "error", exception.what() } });
  }
}

std::string
encodeStreams(const std::vector<peers::StreamOrigin>& aOrigins)
{
  const auto excess =
    std::max(aOrigins.size(), kMaxStreamsInSlot) - kMaxStreamsInSlot;
  const std::vector<peers::StreamOrigin> newest(
    aOrigins.begin() + static_cast<std::ptrdiff_t>(excess), aOrigins.end());
  return json(peers::toNumbers(newest)).dump();
}

std::vector<peers::StreamOrigin>
decodeStreams(const json& aNumbers)
{
  return peers::fromNumbers(aNumbers.get<std::vector<std::uint64_t>>());
}

} // namespace

StreamRecords::StreamRecords(platform::Client& aClient,
                             Fleet& aFleet,
                             StreamRegistry& aStreams,
                             bool aFirstStart,
                             std::uint64_t aSeed)
  : mClient(aClient)
  , mFleet(aFleet)
  , mStreams(aStreams)
  , mFirstStart(aFirstStart)
  , mPause(kInitialPause, kMaxPause, aSeed)
{
  mFleet.softwareRecord().connect(
    [this](const platform::Entry& aEntry) { applySoftware(aEntry); });
}

void
StreamRecords::applySoftware(const platform::Entry& aEntry)
{
  const bool isFirst = !std::exchange(mSoftwareListed, true);
  mSoftwareRevision = aEntry.value ? aEntry.revision : 0;
  mStored.clear();
  if (aEntry.value) {
    readValue(aEntry, [this](const json& aContent) {
      mStored = aContent.get<dispatch::SoftwareHistory::Table>();
    });
  }
  if (isFirst && mStored.empty() && !mFirstStart) {
    mStreams.onHistoryUnknown(base::monotonicNow());
  }
  mStreams.history().merge(mStored, base::monotonicNow());
}

void
StreamRecords::tick(base::TimePoint aNow)
{
  if (!mSoftwareListed || mCallPending || !mReaders.empty() ||
      !mPause.isOver(aNow)) {
    return;
  }
  const auto recent = mStreams.history().recent(aNow);
  if (recent != mStored && aNow >= mSoftwareNotBefore) {
    mSoftwareNotBefore = aNow + kWriteInterval;
    writeSoftware(recent);
  } else if (mStreams.history().mixed(aNow) &&
             mStreams.origins().added() != mStreamsStored &&
             aNow >= mStreamsNotBefore) {
    mStreamsNotBefore = aNow + kWriteInterval;
    writeStreams();
  }
}

/** After a conflict, the next write needs only what another VM has written. */
void
StreamRecords::noteFailure(const base::Error& aError)
{
  if (aError.code != base::Code::RevisionConflict) {
    mPause.recordFailure(base::monotonicNow());
  }
}

void
StreamRecords::writeSoftware(const dispatch::SoftwareHistory::Table& aTable)
{
  mCallPending = true;
  mClient.write(
    Fleet::kSoftwareRecordKey,
    json(aTable).dump(),
    mSoftwareRevision,
    "",
    [this, aTable](const base::Captured<platform::Revision>& aResult) {
      mCallPending = false;
      const base::Error* error = base::errorOf(aResult);
      if (error == nullptr) {
        mPause.reset();
        mStored = aTable;
        mSoftwareRevision = std::get<platform::Revision>(aResult);
        observe::logInfo("software recorded",
                         { { "content", json(aTable).dump() } });
        return;
      }
      noteFailure(*error);
      observe::logWarn("software not recorded",
                       { { "error", error->message } });
      if (error->code == base::Code::RevisionConflict) {
        // Usually the watch is about to bring what another VM has written.
        mFleet.watch().relist("write failed");
      }
    });
}

void
StreamRecords::writeStreams()
{
  if (!mSlotsListed) {
    read([this] {
      if (mSlotsListed) {
        writeStreams();
      }
    });
    return;
  }
  const std::uint64_t added = mStreams.origins().added();
  const std::string key = kStreamPrefix + std::to_string(mNextSlot);
  mCallPending = true;
  mClient.write(
    key,
    encodeStreams(mStreams.origins().addedSince(
      mStreamsStored, dispatch::StreamOrigins::Whose::All)),
    mSlots[key],
    "",
    [this, key, added](const base::Captured<platform::Revision>& aResult) {
      mCallPending = false;
      if (const base::Error* error = base::errorOf(aResult)) {
        noteFailure(*error);
        observe::logWarn("streams not recorded",
                         { { "error", error->message } });
        // A write that was refused leaves the revisions as they are.
        mSlotsListed = mSlotsListed &&
                       error->code != base::Code::RevisionConflict &&
                       error->code != base::Code::WriteOutcomeUnknown;
        return;
      }
      mPause.reset();
      mSlots[key] = std::get<platform::Revision>(aResult);
      mNextSlot = (mNextSlot + 1) % kSlots;
      mStreamsStored = added;
    });
}

void
StreamRecords::read(std::function<void()> aDone)
{
  const base::TimePoint now = base::monotonicNow();
  if (mReaders.empty() && now < mListNotBefore) {
    aDone(); // What was written since the last list is not due yet.
    return;
  }
  mReaders.push_back(std::move(aDone));
  if (mReaders.size() > 1) {
    return; // A call is pending.
  }
  mListNotBefore = now + kWriteInterval;
  mClient.list(
    kStreamPrefix,
    [this](const base::Captured<platform::Snapshot>& aResult) {
      if (const base::Error* error = base::errorOf(aResult)) {
        noteFailure(*error);
        observe::logWarn("streams not read", { { "error", error->message } });
      } else {
        onListed(std::get<platform::Snapshot>(aResult));
      }
      const auto readers = std::move(mReaders);
      mReaders.clear();
      for (const auto& reader : readers) {
        reader();
      }
    },
    "streams");
}

void
StreamRecords::onListed(const platform::Snapshot& aSnapshot)
{
  mSlotsListed = true;
  mSlots.clear();
  std::size_t streams = 0;
  platform::Revision newest = 0;
  for (const platform::Entry& entry : aSnapshot.entries) {
    if (!entry.value) {
      continue;
    }
    mSlots[entry.key] = entry.revision;
    const auto slot = base::parseNumber<std::size_t>(
      std::string_view(entry.key).substr(std::string(kStreamPrefix).size()));
    if (slot && entry.revision > newest) {
      newest = entry.revision;
      mNextSlot = (*slot + 1) % kSlots; // Overwrites the oldest.
    }
    std::vector<peers::StreamOrigin> origins;
    readValue(entry,
              [&](const json& aRows) { origins = decodeStreams(aRows); });
    streams += origins.size();
    mStreams.merge(origins);
  }
  observe::logInfo("streams read", { { "streams", std::to_string(streams) } });
}

void
StreamRecords::onStoreRestored()
{
  mPause.reset();
  mSlotsListed = false;
  mStreamsStored = 0;
}

} // namespace marigold::gateway
