#include "apps/gateway/prefix_watch.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Maximum duration of one wait for changes. A connection can stall without an
 * error, and a withdrawn key must not stay valid for long after that. */
constexpr base::Duration kStoreWait = 4s;
/** The same after a failure: a call that is lost in an outage must not delay
 * the detection of the store's recovery. */
constexpr base::Duration kProbeWait = 100ms;
/** The same at a relay. Shorter, because it costs no call to the store. */
constexpr base::Duration kRelayWait = 1s;
constexpr base::Duration kRelayWatchPause = 50ms;
/** After a failed call, a relay is not used for this long. */
constexpr base::Duration kRelayRetryDelay = 2s;
/** Delay after a failed call; it doubles with each failure up to the maximum.
 */
constexpr base::Duration kInitialBackoff = 100ms;
constexpr base::Duration kMaxBackoff = 800ms;

} // namespace

PrefixWatch::PrefixWatch(http::Loop& aLoop,
                         platform::Client& aClient,
                         std::string aPrefix,
                         base::Duration aPause,
                         PrefixWatchCallbacks aCallbacks)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPrefix(std::move(aPrefix))
  , mPause(aPause)
  , mCallbacks(std::move(aCallbacks))
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
  mRelistPending = true;
}

void
PrefixWatch::schedule(base::Duration aDelay, void (PrefixWatch::*aNext)())
{
  mTimer = mLoop.after(aDelay, [this, aNext] { (this->*aNext)(); });
}

void
PrefixWatch::recordSuccess()
{
  mFailures = 0;
  if (!mConnected) {
    mConnected = true;
    mCallbacks.reached();
  }
}

void
PrefixWatch::recordFailure(const base::Error& aError)
{
  ++mFailures;
  if (mConnected) {
    mConnected = false;
    mCallbacks.lost(aError);
  }
}

void
PrefixWatch::list()
{
  mRelistPending = false;
  mClient.list(
    mPrefix, [this](const base::Captured<platform::Snapshot>& aResult) {
      if (const base::Error* error = base::errorOf(aResult)) {
        recordFailure(*error);
        schedule(std::min(kMaxBackoff,
                          kInitialBackoff * (1U << std::min(mFailures, 4U))),
                 &PrefixWatch::list);
        return;
      }
      const auto& snapshot = std::get<platform::Snapshot>(aResult);
      mRevision = snapshot.revision;
      mLastFromStore = true;
      recordSuccess();
      mMirror.replace(snapshot);
      mMirrorChanged.emit();
      mCallbacks.snapshot(snapshot);
      wait();
    });
}

platform::Client*
PrefixWatch::relay() const
{
  const bool failed = mRelayFailedAt != base::TimePoint{} &&
                      base::monotonicNow() - mRelayFailedAt < kRelayRetryDelay;
  return mRelay && !failed ? mRelay() : nullptr;
}

base::Duration
PrefixWatch::waitTimeout(bool aFromRelay) const
{
  if (aFromRelay) {
    return kRelayWait;
  }
  return mFailures > 0 ? kProbeWait : kStoreWait;
}

void
PrefixWatch::wait()
{
  if (mRelistPending) {
    list();
    return;
  }
  platform::Client* relayClient = relay();
  const bool fromRelay = relayClient != nullptr;
  (fromRelay ? *relayClient : mClient)
    .watch(
      mPrefix,
      mRevision,
      waitTimeout(fromRelay),
      [this, fromRelay](const base::Captured<platform::Snapshot>& aResult) {
        if (const base::Error* error = base::errorOf(aResult)) {
          onFailure(*error, fromRelay);
        } else {
          onChanges(std::get<platform::Snapshot>(aResult), fromRelay);
        }
      });
}

void
PrefixWatch::onFailure(const base::Error& aError, bool aFromRelay)
{
  if (aFromRelay) {
    // The store has everything that a relay has, so ask it instead.
    mRelayFailedAt = base::monotonicNow();
    schedule(0ms, &PrefixWatch::wait);
    return;
  }
  if (aError.code == base::Code::HistoryCompacted) {
    observe::logInfo(
      "store history compacted",
      { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    list();
    return;
  }
  recordFailure(aError);
  schedule(
    std::min(kMaxBackoff, kInitialBackoff * (1U << std::min(mFailures, 4U))),
    &PrefixWatch::wait);
}

void
PrefixWatch::onChanges(const platform::Snapshot& aChanges, bool aFromRelay)
{
  mRevision = std::max(mRevision, aChanges.revision);
  mLastFromStore = !aFromRelay;
  recordSuccess();
  mMirror.apply(aChanges);
  mMirrorChanged.emit();
  for (const platform::Entry& entry : aChanges.entries) {
    mCallbacks.changed(entry);
  }
  const base::Duration pause = aFromRelay ? kRelayWatchPause : mPause;
  schedule(aChanges.entries.empty() ? 0ms : pause, &PrefixWatch::wait);
}

} // namespace marigold::gateway
