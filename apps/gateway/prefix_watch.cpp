#include "apps/gateway/prefix_watch.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Maximum duration of one wait for changes. A connection can stall without an
 * error, and a withdrawn key must not stay valid for long after that. */
constexpr base::Duration kWait = 4s;
/** The same after a failure: a call that is lost in an outage must not delay
 * the detection of the store's recovery. */
constexpr base::Duration kProbeWait = 100ms;
/** The same at a relay. Shorter, because it costs no call to the store. */
constexpr base::Duration kRelayWait = 1s;
constexpr base::Duration kRelayReadPause = 50ms;
/** After a failed call, a relay is not used for this long. */
constexpr base::Duration kRelayPause = 2s;
/** Delay after a failed call; it doubles with each failure up to the maximum.
 */
constexpr base::Duration kFirstBackoff = 100ms;
constexpr base::Duration kLongestBackoff = 800ms;

} // namespace

PrefixWatch::PrefixWatch(http::Loop& aLoop,
                         platform::Client& aClient,
                         std::string aPrefix,
                         base::Duration aPause,
                         PrefixEvents aEvents)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPrefix(std::move(aPrefix))
  , mPause(aPause)
  , mEvents(std::move(aEvents))
{
}

void
PrefixWatch::start()
{
  list();
}

void
PrefixWatch::relist()
{
  mListAgain = true;
}

void
PrefixWatch::later(base::Duration aDelay, void (PrefixWatch::*aNext)())
{
  mTimer = mLoop.after(aDelay, [this, aNext] { (this->*aNext)(); });
}

void
PrefixWatch::noteAnswer()
{
  mFailures = 0;
  if (!mConnected) {
    mConnected = true;
    mEvents.regained();
  }
}

void
PrefixWatch::noteFailure(const base::Error& aError)
{
  ++mFailures;
  if (mConnected) {
    mConnected = false;
    mEvents.lost(aError);
  }
}

void
PrefixWatch::list()
{
  mListAgain = false;
  mClient.list(mPrefix, [this](const base::Captured<platform::Snapshot>& aOut) {
    if (const base::Error* error = base::errorOf(aOut)) {
      noteFailure(*error);
      later(std::min(kLongestBackoff,
                     kFirstBackoff * (1U << std::min(mFailures, 4U))),
            &PrefixWatch::list);
      return;
    }
    const auto& snapshot = std::get<platform::Snapshot>(aOut);
    mRevision = snapshot.revision;
    mAtStore = true;
    noteAnswer();
    mMirror.replace(snapshot);
    mMirrored.emit();
    mEvents.snapshot(snapshot);
    wait();
  });
}

platform::Client*
PrefixWatch::relay() const
{
  const bool failed = mRelayFailedAt != base::TimePoint{} &&
                      base::monotonicNow() - mRelayFailedAt < kRelayPause;
  return mRelay && !failed ? mRelay() : nullptr;
}

base::Duration
PrefixWatch::longestWait(bool aFromRelay) const
{
  if (aFromRelay) {
    return kRelayWait;
  }
  return mFailures > 0 ? kProbeWait : kWait;
}

void
PrefixWatch::wait()
{
  if (mListAgain) {
    list();
    return;
  }
  platform::Client* other = relay();
  const bool fromRelay = other != nullptr;
  (fromRelay ? *other : mClient)
    .watch(mPrefix,
           mRevision,
           longestWait(fromRelay),
           [this, fromRelay](const base::Captured<platform::Snapshot>& aOut) {
             if (const base::Error* error = base::errorOf(aOut)) {
               onFailure(*error, fromRelay);
             } else {
               onChanges(std::get<platform::Snapshot>(aOut), fromRelay);
             }
           });
}

void
PrefixWatch::onFailure(const base::Error& aError, bool aFromRelay)
{
  if (aFromRelay) {
    // The store has everything that a relay has, so ask it instead.
    mRelayFailedAt = base::monotonicNow();
    later(0ms, &PrefixWatch::wait);
    return;
  }
  if (aError.code == base::Code::HistoryCompacted) {
    observe::logInfo(
      "store history compacted",
      { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    list();
    return;
  }
  noteFailure(aError);
  later(
    std::min(kLongestBackoff, kFirstBackoff * (1U << std::min(mFailures, 4U))),
    &PrefixWatch::wait);
}

void
PrefixWatch::onChanges(const platform::Snapshot& aChanges, bool aFromRelay)
{
  mRevision = std::max(mRevision, aChanges.revision);
  mAtStore = !aFromRelay;
  noteAnswer();
  mMirror.apply(aChanges);
  mMirrored.emit();
  for (const platform::Entry& entry : aChanges.entries) {
    mEvents.changed(entry);
  }
  const base::Duration pause = aFromRelay ? kRelayReadPause : mPause;
  later(aChanges.entries.empty() ? 0ms : pause, &PrefixWatch::wait);
}

} // namespace marigold::gateway
