#include "apps/gateway/prefix_watch.h"

#include "observe/log.h"

#include <algorithm>
#include <unistd.h>

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
/** Delay after a failed call; it doubles with each failure up to the maximum.
 */
constexpr base::Duration kInitialBackoff = 100ms;
constexpr base::Duration kMaxBackoff = 800ms;
/** Interval at which a watch that may not call the store yet tries the relays.
 */
constexpr base::Duration kRelayPollInterval = 100ms;

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
  , mBackoff(kInitialBackoff, kMaxBackoff, base::hash64(mPrefix, ::getpid()))
{
}

void
PrefixWatch::start()
{
  mClient.restored().connect([this] { onRestored(); });
  list();
}

/** Revisions of the mirror may be given out again, and a watch after one of
 * them would miss changes. */
void
PrefixWatch::onRestored()
{
  observe::logWarn("store restored from an older copy",
                   { { "prefix", mPrefix },
                     { "revision", std::to_string(mRevision) },
                     { "era", std::to_string(mClient.era()) } });
  ++mGeneration;
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
  mTimer = mLoop.after(std::max(aDelay, base::Duration::zero()),
                       [this, aNext] { (this->*aNext)(); });
}

void
PrefixWatch::recordSuccess()
{
  mBackoff.reset();
  mStoreCallAt = {};
  mRelayFailed = false;
  if (!mConnected) {
    mConnected = true;
    mCallbacks.reached();
  }
}

void
PrefixWatch::recordFailure(const base::Error& aError)
{
  const base::Duration delay = mRelays.storeDelay ? mRelays.storeDelay() : 0ms;
  mBackoff.setMax(std::max(kMaxBackoff, delay));
  mStoreCallAt = base::monotonicNow() + mBackoff.next();
  if (mConnected) {
    mConnected = false;
    mCallbacks.lost(aError);
  }
}

void
PrefixWatch::list()
{
  mRelistPending = false;
  mTimer.reset();
  mClient.list(mPrefix,
               [this, generation = mGeneration](
                 const base::Captured<platform::Snapshot>& aResult) {
                 if (generation != mGeneration) {
                   return;
                 }
                 if (const base::Error* error = base::errorOf(aResult)) {
                   recordFailure(*error);
                   schedule(mStoreCallAt - base::monotonicNow(),
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

base::Duration
PrefixWatch::waitTimeout(bool aFromRelay) const
{
  if (aFromRelay) {
    return kRelayWait;
  }
  return mBackoff.failures() > 0 ? kProbeWait : kStoreWait;
}

void
PrefixWatch::wait()
{
  if (mRelistPending) {
    list();
    return;
  }
  if (platform::Client* relay = mRelays.relay ? mRelays.relay() : nullptr) {
    waitAt(*relay, true);
    return;
  }
  if (mRelayFailed && mStoreCallAt == base::TimePoint{}) {
    postponeStoreCalls();
  }
  if (base::monotonicNow() < mStoreCallAt) {
    schedule(kRelayPollInterval, &PrefixWatch::wait);
    return;
  }
  waitAt(mClient, false);
}

/** When a relay fails, all of its readers notice at once. They read the store
 * at random moments, so that most find the next relay working before. */
void
PrefixWatch::postponeStoreCalls()
{
  mBackoff.setMax(std::max(kMaxBackoff, mRelays.storeDelay()));
  mStoreCallAt = base::monotonicNow() + mBackoff.jittered(mRelays.storeDelay());
}

void
PrefixWatch::waitAt(platform::Client& aClient, bool aFromRelay)
{
  aClient.watch(mPrefix,
                { mRevision, mMirror.era() },
                waitTimeout(aFromRelay),
                [this, aFromRelay, generation = mGeneration](
                  const base::Captured<platform::Snapshot>& aResult) {
                  if (generation != mGeneration) {
                    return;
                  }
                  if (const base::Error* error = base::errorOf(aResult)) {
                    onFailure(*error, aFromRelay);
                  } else {
                    onChanges(std::get<platform::Snapshot>(aResult),
                              aFromRelay);
                  }
                });
}

void
PrefixWatch::onFailure(const base::Error& aError, bool aFromRelay)
{
  if (aError.code == base::Code::HistoryCompacted) {
    observe::logInfo(
      "store history compacted",
      { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    list();
    return;
  }
  if (aFromRelay) {
    // The store has everything that a relay has.
    mRelayFailed = true;
    mRelays.failed();
    schedule(0ms, &PrefixWatch::wait);
    return;
  }
  recordFailure(aError);
  schedule(std::min(kRelayPollInterval, mStoreCallAt - base::monotonicNow()),
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
