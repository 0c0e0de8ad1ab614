#include "apps/gateway/prefix_watch.h"

#include "observe/log.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Longest wait for changes at the store after a failure: a call that is lost
 * in an outage must not delay the detection of the store's recovery. */
constexpr base::Duration kProbeWait = 100ms;
/** The same at a relay. Shorter, because it costs no call to the store. */
constexpr base::Duration kRelayWait = 1s;
constexpr base::Duration kRelayWatchPause = 50ms;
/** Delay after a failed call; it doubles with each failure up to the maximum.
 */
constexpr base::Duration kInitialBackoff = 100ms;
constexpr base::Duration kMaxBackoff = 800ms;
/** Failures of the store that are older say nothing about the next call. A
 * relay may have answered since. */
constexpr base::Duration kFailureMemory = 10s;
/** Until the first list: longest time between two calls, also if the former one
 * is still unanswered. This process can't serve before, and a call that is lost
 * in an outage must not delay it after the store's return. */
constexpr base::Duration kFirstListInterval = 400ms;
/** Interval at which a watch that may not call the store yet tries the relays.
 */
constexpr base::Duration kRelayPollInterval = 100ms;
/** Time for a relay to get the changes that this VM has seen before it. */
constexpr base::Duration kRelayCatchUp = 400ms;
/** Time over which the watches of a VM ask again when connections to the store
 * went silent, so that the calls of a fleet don't arrive at the same moment. */
constexpr base::Duration kSilenceJitter = 100ms;
/** Bounds the calls of a VM while many callers wait for them. */
constexpr base::Duration kSynchronizationInterval = 100ms;

/** VMs may give the same id to their processes. */
std::uint64_t
makeSeed(const std::string& aPrefix)
{
  const auto sinceBoot = base::monotonicNow().time_since_epoch().count();
  return base::hash64(aPrefix,
                      static_cast<std::uint64_t>(::getpid()) +
                        static_cast<std::uint64_t>(sinceBoot));
}

} // namespace

PrefixWatch::PrefixWatch(http::Loop& aLoop,
                         platform::Client& aClient,
                         std::string aPrefix,
                         base::Duration aPause,
                         base::Duration aMaxWait,
                         PrefixWatchCallbacks aCallbacks)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPrefix(std::move(aPrefix))
  , mPause(aPause)
  , mMaxWait(aMaxWait)
  , mCallbacks(std::move(aCallbacks))
  , mBackoff(kInitialBackoff, kMaxBackoff, makeSeed(mPrefix))
{
}

void
PrefixWatch::start()
{
  mClient.restored().connect([this] { onRestored(); });
  mClient.silenceFound().connect(
    [this](base::TimePoint aSince) { onSilence(aSince); });
  list("start");
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
  mStoreWaitSince.reset();
  list("store restored");
}

/** A wait on a connection from before the silence may get no answer any more.
 * @param aSince connections opened since then work */
void
PrefixWatch::onSilence(base::TimePoint aSince)
{
  if (!mStoreWaitSince || *mStoreWaitSince > aSince) {
    return;
  }
  observe::logWarn("connection to the store may be silent, asking on a new one",
                   { { "prefix", mPrefix },
                     { "view_age_ms",
                       std::to_string(base::inMilliseconds(
                         base::monotonicNow() - mConfirmedAt)) } });
  ++mGeneration;
  mStoreWaitSince.reset();
  schedule(mBackoff.jittered(kSilenceJitter), &PrefixWatch::wait);
}

void
PrefixWatch::spreadWaits(base::Duration aMaxWait)
{
  mMaxWait = aMaxWait;
  mSpreadsWaits = true;
}

void
PrefixWatch::relist(const char* aCause)
{
  mRelistCause = aCause;
}

void
PrefixWatch::schedule(base::Duration aDelay, void (PrefixWatch::*aNext)())
{
  mTimer = mLoop.after(std::max(aDelay, base::Duration::zero()),
                       [this, aNext] { (this->*aNext)(); });
}

/** The answer of a relay doesn't end the backoff from a store that may still
 * turn this VM away. */
void
PrefixWatch::recordSuccess(bool aFromRelay)
{
  if (!aFromRelay) {
    mBackoff.reset();
    mStoreCallAt = {};
  }
  mLastFromStore = !aFromRelay;
  mRelayBehindSince.reset();
  mRelayFailed = false;
  mStoreCallsPostponed = false;
  mConfirmedAt = std::min(base::monotonicNow(), mAnswerDueAt);
  if (!mConnected) {
    mConnected = true;
    mCallbacks.reached();
  }
}

void
PrefixWatch::recordFailure(const base::Error& aError)
{
  const base::TimePoint now = base::monotonicNow();
  if (now - mStoreCallAt > kFailureMemory) {
    mBackoff.reset();
  }
  mBackoff.setMax(mListed ? maxStoreDelay() : kFirstListInterval);
  mStoreCallAt = now + mBackoff.next();
  if (mConnected) {
    mConnected = false;
    mCallbacks.lost(aError);
  }
}

void
PrefixWatch::list(const char* aCause)
{
  mRelistCause = nullptr;
  mTimer.reset();
  mAnswerDueAt = base::monotonicNow();
  const unsigned call = ++mListCalls;
  mClient.list(
    mPrefix,
    [this, aCause, call, generation = mGeneration, revision = mRevision](
      const base::Captured<platform::Snapshot>& aResult) {
      if (generation != mGeneration) {
        return;
      }
      if (const base::Error* error = base::errorOf(aResult)) {
        if (call != mListCalls) {
          return; // A later call is under way.
        }
        recordFailure(*error);
        retryList();
        return;
      }
      const auto& snapshot = std::get<platform::Snapshot>(aResult);
      if (mRevision > revision && isBehind(snapshot)) {
        list(aCause); // It was overtaken by a synchronization.
        return;
      }
      onList(snapshot, false);
    },
    aCause);
  if (!mListed) {
    schedule(kFirstListInterval, &PrefixWatch::listAgain);
  }
}

/** @return true if the content of a relay is older than this VM's, which it
 * would take back */
bool
PrefixWatch::isBehind(const platform::Snapshot& aSnapshot) const
{
  return aSnapshot.era < mClient.era() ||
         (aSnapshot.era == mMirror.era() && aSnapshot.revision < mRevision);
}

/** The store tells VMs of a change at slightly different moments.
 * @return true if the relay that is behind may still get what it lacks soon */
bool
PrefixWatch::mayCatchUp()
{
  const base::TimePoint now = base::monotonicNow();
  mRelayBehindSince = mRelayBehindSince.value_or(now);
  return now - *mRelayBehindSince < kRelayCatchUp;
}

/** Lists at a relay, if there is one, because the store may turn away this VM
 * only; else at the store after a delay. */
void
PrefixWatch::retryList()
{
  if (platform::Client* relay = mRelays.relay ? mRelays.relay() : nullptr) {
    listAt(*relay);
    return;
  }
  mRelayBehindSince.reset();
  const base::Duration delay = untilStoreCall();
  if (delay > base::Duration::zero()) {
    schedule(std::min(kRelayPollInterval, delay), &PrefixWatch::retryList);
    return;
  }
  listAgain();
}

void
PrefixWatch::listAgain()
{
  list("after a failure");
}

void
PrefixWatch::listAt(platform::Client& aRelay)
{
  mAnswerDueAt = base::monotonicNow();
  if (!mListed) {
    schedule(untilStoreCall(), &PrefixWatch::listAgain);
  }
  aRelay.list(
    mPrefix,
    [this, &aRelay, generation = mGeneration](
      const base::Captured<platform::Snapshot>& aResult) {
      if (generation != mGeneration) {
        return;
      }
      const auto* snapshot = std::get_if<platform::Snapshot>(&aResult);
      const bool behind = snapshot != nullptr && isBehind(*snapshot);
      if (behind && mayCatchUp()) {
        schedule(kRelayPollInterval, &PrefixWatch::retryList);
        return;
      }
      mRelayBehindSince.reset();
      if (snapshot == nullptr || behind) {
        mRelayFailed = mListed; // Without a view there is no time to lose.
        mRelays.failed(aRelay);
        retryList();
        return;
      }
      mClient.learnEra(snapshot->era);
      if (generation != mGeneration) {
        return; // All watches list again, because the store was restored.
      }
      observe::logInfo("store's keys listed at a relay",
                       { { "prefix", mPrefix },
                         { "era", std::to_string(snapshot->era) },
                         { "revision", std::to_string(snapshot->revision) } });
      onList(*snapshot, true);
    });
}

void
PrefixWatch::onList(const platform::Snapshot& aSnapshot, bool aFromRelay)
{
  if (!mListed) {
    mListed = true;
    ++mGeneration; // Other calls for the first list may be under way.
    mTimer.reset();
  }
  mRevision = aSnapshot.revision;
  recordSuccess(aFromRelay);
  mMirror.replace(aSnapshot);
  mMirrorChanged.emit();
  mCallbacks.snapshot(aSnapshot);
  mSpreadPending = mSpreadsWaits;
  wait();
}

PrefixWatch::WaitLimit
PrefixWatch::waitLimit(bool aFromRelay)
{
  if (aFromRelay) {
    return { std::min(kRelayWait, mMaxWait), "relay" };
  }
  if (mBackoff.failures() > 0) {
    return { kProbeWait, "after a failure" };
  }
  if (std::exchange(mSpreadPending, false)) {
    return { std::max(kProbeWait, mBackoff.jittered(mMaxWait)), "spread" };
  }
  return { mMaxWait, "wait" };
}

void
PrefixWatch::wait()
{
  if (mRelistCause != nullptr && base::monotonicNow() >= mStoreCallAt) {
    list(mRelistCause);
    return;
  }
  if (!mConnected && mListsWhenReached) {
    retryList();
    return;
  }
  if (platform::Client* relay = mRelays.relay ? mRelays.relay() : nullptr) {
    waitAt(*relay, true);
    return;
  }
  if (untilStoreCall() > base::Duration::zero()) {
    schedule(kRelayPollInterval, &PrefixWatch::wait);
    return;
  }
  waitAt(mClient, false);
}

/** @return time until this VM may call the store, not positive if it may now */
base::Duration
PrefixWatch::untilStoreCall()
{
  if (mRelayFailed && !mStoreCallsPostponed) {
    postponeStoreCalls();
  }
  const base::TimePoint now = base::monotonicNow();
  // This VM may have become the one that reads the store.
  mStoreCallAt = std::min(mStoreCallAt, now + maxStoreDelay());
  return mStoreCallAt - now;
}

/** @return longest time between two calls to a store that fails */
base::Duration
PrefixWatch::maxStoreDelay() const
{
  const base::Duration delay = mRelays.storeDelay ? mRelays.storeDelay() : 0ms;
  return std::max(kMaxBackoff, delay);
}

/** When a relay fails, all of its readers notice at once. They read the store
 * at random moments, so that most find the next relay working before. */
void
PrefixWatch::postponeStoreCalls()
{
  mStoreCallsPostponed = true;
  mStoreCallAt =
    std::max(mStoreCallAt,
             base::monotonicNow() + mBackoff.jittered(mRelays.storeDelay()));
}

void
PrefixWatch::waitAt(platform::Client& aClient, bool aFromRelay)
{
  if (!aFromRelay) {
    mStoreWaitSince = base::monotonicNow();
  }
  const WaitLimit limit = waitLimit(aFromRelay);
  mAnswerDueAt = base::monotonicNow() + limit.time;
  aClient.watch(
    mPrefix,
    { mRevision, mMirror.era() },
    limit.time,
    [this, &aClient, aFromRelay, generation = mGeneration](
      const base::Captured<platform::Snapshot>& aResult) {
      if (generation != mGeneration) {
        return;
      }
      mStoreWaitSince.reset();
      if (const base::Error* error = base::errorOf(aResult)) {
        onFailure(*error, aClient);
      } else {
        onChanges(std::get<platform::Snapshot>(aResult), aFromRelay);
      }
    },
    limit.cause);
}

void
PrefixWatch::onFailure(const base::Error& aError,
                       const platform::Client& aClient)
{
  if (aError.code == base::Code::HistoryCompacted) {
    observe::logInfo(
      "store history compacted",
      { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    if (&aClient != &mClient) {
      retryList();
      return;
    }
    list("history compacted");
    return;
  }
  if (&aClient != &mClient) {
    // The store has everything that a relay has.
    mRelayFailed = true;
    mRelays.failed(aClient);
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
  const auto unseen = readChanges(aChanges);
  if (!unseen) {
    observe::logWarn(
      "change of an unknown value, listing all keys",
      { { "prefix", mPrefix }, { "revision", std::to_string(mRevision) } });
    retryList();
    return;
  }
  recordSuccess(aFromRelay);
  applyChanges(*unseen);
  mSpreadPending = mSpreadsWaits && !aChanges.entries.empty();
  const base::Duration pause = aFromRelay ? kRelayWatchPause : mPause;
  schedule(aChanges.entries.empty() ? 0ms : pause, &PrefixWatch::wait);
}

/** Two calls may bring the same changes. Applied once more, older ones would
 * undo what came between.
 * @return changes that this VM hasn't seen, with their values, or nothing if
 * they belong to a value that it doesn't have */
std::optional<platform::Snapshot>
PrefixWatch::readChanges(const platform::Snapshot& aChanges) const
{
  platform::Snapshot unseen = aChanges;
  std::erase_if(unseen.entries, [this](const platform::Entry& aEntry) {
    return aEntry.revision <= mRevision;
  });
  for (platform::Entry& entry : unseen.entries) {
    if (!mMirror.resolve(entry)) {
      return std::nullopt;
    }
  }
  return unseen;
}

void
PrefixWatch::applyChanges(const platform::Snapshot& aUnseen)
{
  mRevision = std::max(mRevision, aUnseen.revision);
  mMirror.apply(aUnseen);
  mMirrorChanged.emit();
  for (const platform::Entry& entry : aUnseen.entries) {
    mCallbacks.changed(entry);
  }
}

void
PrefixWatch::synchronize(std::function<void(bool)> aDone)
{
  mSynchronizeNext.push_back(std::move(aDone));
  scheduleSynchronization();
}

/** A call that is pending already may have been answered before a change. */
void
PrefixWatch::scheduleSynchronization()
{
  if (!mSynchronizing.empty() || mSynchronizeNext.empty()) {
    return;
  }
  const base::Duration delay =
    mSynchronizedAt + kSynchronizationInterval - base::monotonicNow();
  mSynchronizeTimer = mLoop.after(std::max(delay, base::Duration::zero()),
                                  [this] { startSynchronization(); });
}

void
PrefixWatch::startSynchronization()
{
  mSynchronizing = std::exchange(mSynchronizeNext, {});
  mSynchronizedAt = base::monotonicNow();
  mClient.changes(
    mPrefix,
    { mRevision, mMirror.era() },
    [this, era = mMirror.era(), generation = mGeneration](
      const base::Captured<platform::Snapshot>& aResult) {
      const auto* changes = std::get_if<platform::Snapshot>(&aResult);
      const bool usable = changes != nullptr && generation == mGeneration &&
                          era == mMirror.era() && isOfCurrentEra();
      if (usable && !mConnected) {
        listToSynchronize();
        return;
      }
      const auto unseen = usable ? readChanges(*changes) : std::nullopt;
      if (unseen) {
        applyChanges(*unseen);
      }
      endSynchronization(unseen.has_value());
    },
    "synchronize");
}

/** The store answers again after failed calls. Applied before its return is
 * known, the removal of a key that ended meanwhile would count as one of now.
 */
void
PrefixWatch::listToSynchronize()
{
  mClient.list(
    mPrefix,
    [this, sentAt = base::monotonicNow(), generation = mGeneration](
      const base::Captured<platform::Snapshot>& aResult) {
      const auto* snapshot = std::get_if<platform::Snapshot>(&aResult);
      const bool usable = snapshot != nullptr && generation == mGeneration;
      // Behind the mirror, it brings nothing.
      if (usable && !isBehind(*snapshot)) {
        ++mGeneration; // Other calls of the watch may be under way.
        mStoreWaitSince.reset();
        mTimer.reset();
        mAnswerDueAt = sentAt;
        onList(*snapshot, false);
      }
      endSynchronization(usable && isOfCurrentEra());
    },
    "synchronize");
}

void
PrefixWatch::endSynchronization(bool aSucceeded)
{
  const Waiting done = std::exchange(mSynchronizing, {});
  for (const auto& callback : done) {
    callback(aSucceeded);
  }
  scheduleSynchronization();
}

} // namespace marigold::gateway
