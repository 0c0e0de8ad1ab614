#include "apps/gateway/crash_records.h"

#include "dispatch/crash_limits.h"
#include "observe/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** Longest delay between two writes of a VM at first; it doubles. */
constexpr base::Duration kMinWriteInterval = 1s;
constexpr base::Duration kMaxWriteInterval = 30s;
/** Without a write for this long, the interval starts over. */
constexpr base::Duration kCalmPeriod = 2min;
/** Delay of VMs that do not own the orders, and its spread for each VM of the
 * fleet, so that usually one of them writes to the store. Short, because a kill
 * of all VMs loses what is not written. */
constexpr base::Duration kFallbackDelay = 100ms;
constexpr base::Duration kFallbackSpread = 50ms;
/** Writes of a VM without a delay, until a calm period. */
constexpr unsigned kMaxUrgentWrites = 8;
/** Longer records are not parsed. */
constexpr std::size_t kMaxRecordSize = 256UL * 1024;

std::int64_t
wallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Clocks of VMs differ and are set, so the time that has passed is limited to
 * what changes a verdict. */
base::Result<dispatch::CrashRecord>
decode(const std::string& aText)
{
  if (aText.size() > kMaxRecordSize) {
    return base::fail(base::Code::DocumentInvalid, "too long");
  }
  try {
    const json content = platform::parseUntrusted(aText);
    const json& written = content.at("written");
    if (!written.is_number_unsigned()) {
      return base::fail(base::Code::DocumentInvalid, "no time of writing");
    }
    const std::int64_t lifetime =
      base::inMilliseconds(dispatch::kCertainLifetime);
    const auto now =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, wallClockMs()));
    const std::uint64_t writtenAt = written.get<std::uint64_t>();
    const std::uint64_t elapsed = now > writtenAt ? now - writtenAt : 0;
    return dispatch::decodeCrashRecord(
      content,
      std::chrono::milliseconds(
        std::min(elapsed, static_cast<std::uint64_t>(lifetime))));
  } catch (const json::exception& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  } catch (const std::invalid_argument& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  }
}

} // namespace

CrashRecords::CrashRecords(platform::Client& aClient,
                           Fleet& aFleet,
                           dispatch::CrashTracker& aCrashes,
                           std::uint64_t aSeed)
  : mClient(aClient)
  , mFleet(aFleet)
  , mCrashes(aCrashes)
  , mBackoff(kMinWriteInterval, kMaxWriteInterval, aSeed)
{
  mFleet.crashRecord().connect(
    [this](const platform::Entry& aEntry) { apply(aEntry); });
}

void
CrashRecords::apply(const platform::Entry& aEntry)
{
  mListed = true;
  mRevision = aEntry.value ? aEntry.revision : 0;
  mStored = {};
  if (!aEntry.value) {
    // A store restored from an older copy may have lost the record.
    mNotBefore = {};
    mDueAt.reset();
    return;
  }
  const auto decoded = base::capture([&] { return decode(*aEntry.value); });
  if (const base::Error* error = base::errorOf(decoded)) {
    observe::logWarn("record of crashes rejected",
                     { { "revision", std::to_string(aEntry.revision) },
                       { "error", error->message } });
    return;
  }
  mStored = std::get<dispatch::CrashRecord>(decoded);
  mCrashes.merge(mStored, base::monotonicNow());
}

void
CrashRecords::tick(base::TimePoint aNow)
{
  if (!mListed || mCallPending) {
    return;
  }
  if (mCrashes.isRecorded(mStored, aNow)) {
    mDueAt.reset();
    if (aNow - mWrittenAt > kCalmPeriod) {
      mBackoff.reset();
      mUrgentWrites = 0;
    }
    return;
  }
  if (mayWriteAtOnce()) {
    ++mUrgentWrites;
    write(aNow);
    return;
  }
  if (!mDueAt) {
    mDueAt = std::max(aNow + delay(), mNotBefore);
  }
  if (aNow >= *mDueAt) {
    write(aNow);
  }
}

bool
CrashRecords::mayWriteAtOnce() const
{
  return mUrgentWrites < kMaxUrgentWrites && mCrashes.mustRecordAtOnce(mStored);
}

void
CrashRecords::onStoreRestored()
{
  mBackoff.reset();
  mUrgentWrites = 0;
  mNotBefore = {};
  mDueAt.reset();
}

base::Duration
CrashRecords::delay()
{
  if (mFleet.fencingToken() != 0) {
    return base::Duration::zero();
  }
  return kFallbackDelay + mBackoff.jittered(kFallbackSpread * mFleet.size());
}

/** The key ends with a lease of its own, because no clock tells the age of a
 * record whose writers are gone for good. */
void
CrashRecords::write(base::TimePoint aNow)
{
  mDueAt.reset();
  mCallPending = true;
  mWrittenAt = aNow;
  mNotBefore = aNow + mBackoff.next();
  mClient.grantLease(
    dispatch::kCertainLifetime,
    [this](const base::Captured<std::string>& aLease) {
      if (const base::Error* error = base::errorOf(aLease)) {
        mCallPending = false;
        observe::logWarn("no lease for the record of crashes",
                         { { "error", error->message } });
        return;
      }
      const dispatch::CrashRecord record =
        mCrashes.record(mStored, base::monotonicNow());
      json content = dispatch::encodeCrashRecord(record);
      content["written"] = wallClockMs();
      mClient.write(
        Fleet::kCrashRecordKey,
        content.dump(),
        mRevision,
        std::get<std::string>(aLease),
        [this, record](const base::Captured<platform::Revision>& aResult) {
          onWritten(record, aResult);
        });
    },
    "crashes");
}

void
CrashRecords::onWritten(const dispatch::CrashRecord& aRecord,
                        const base::Captured<platform::Revision>& aResult)
{
  mCallPending = false;
  const base::Error* error = base::errorOf(aResult);
  if (error == nullptr) {
    mStored = aRecord;
    mRevision = std::get<platform::Revision>(aResult);
    observe::logInfo("crashes recorded",
                     { { "crashes", std::to_string(aRecord.crashes.size()) },
                       { "revision", std::to_string(mRevision) } });
    return;
  }
  observe::logWarn("crashes not recorded", { { "error", error->message } });
  if (error->code == base::Code::RevisionConflict) {
    // Usually the watch is about to bring what another VM has written.
    mFleet.watch().relist("write failed");
  }
}

} // namespace marigold::gateway
