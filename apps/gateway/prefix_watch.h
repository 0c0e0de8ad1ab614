/** @file Watches all keys under a prefix of the platform's store. */
#pragma once

#include "http/loop.h"
#include "platform/platform.h"

#include <functional>
#include <optional>
#include <sigc++/sigc++.h>
#include <vector>

namespace marigold::gateway {

/** Callbacks of a PrefixWatch. */
struct PrefixWatchCallbacks
{
  /** All keys under the prefix; other keys no longer exist. */
  std::function<void(const platform::Snapshot&)> snapshot;
  /** A key was written or, without a value, removed. */
  std::function<void(const platform::Entry&)> changed;
  /** The store or a relay responded for the first time or after failed calls.
   */
  std::function<void()> reached;
  /** A call to the store failed after a successful one. */
  std::function<void(const base::Error&)> lost;
};

/** Chooses where a watch waits for changes. */
struct RelaySource
{
  /** @return client of the relay to use, nullptr to use the store */
  std::function<platform::Client*()> relay;
  /** A relay failed or refused; another call chooses the next one. */
  std::function<void(const platform::Client& aRelay)> failed;
  /** @return longest pause before this VM reads the store in place of failed
   * relays, and between its calls while the store fails; zero if this VM is the
   * one to read it */
  std::function<base::Duration()> storeDelay;
};

/** Lists all keys, asking again and again until the store has answered once,
 * then waits for changes by long polling. Lists again if the store's history
 * was compacted, or was replaced by that of an older copy; at a relay if the
 * store turns this VM away. */
class PrefixWatch
{
public:
  /**
   * @param aLoop event loop
   * @param aClient client of the store
   * @param aPrefix prefix of the keys
   * @param aPause delay after a change before the next call, which bounds the
   * rate of calls
   * @param aMaxWait longest wait for changes at the store
   * @param aCallbacks callbacks
   */
  PrefixWatch(http::Loop& aLoop,
              platform::Client& aClient,
              std::string aPrefix,
              base::Duration aPause,
              base::Duration aMaxWait,
              PrefixWatchCallbacks aCallbacks);

  /** Starts the watch. */
  void start();

  /** Lists all keys again before the next wait, or as soon as a store that
   * fails may be called; at a relay if the store refuses.
   * @param aCause why, for the counts of calls */
  void relist(const char* aCause);

  /** Makes the watch list all keys after failed calls, in place of a wait for
   * changes: leases may have ended meanwhile without a change. */
  void listWhenReached() { mListsWhenReached = true; }

  /** Makes the watch wait for changes at a relay where possible.
   * @param aRelays chooses the relay */
  void setRelays(RelaySource aRelays) { mRelays = std::move(aRelays); }

  /** Makes the VMs that watch this prefix ask at different moments, because
   * they tell each other of changes.
   * @param aMaxWait longest wait for changes at the store */
  void spreadWaits(base::Duration aMaxWait);

  /**
   * Asks the store, not a relay, for the changes up to now. Calls that wait at
   * the same moment share one answer.
   * @param aDone called with true when every change that the store had accepted
   * before this call has been applied, with false if the store doesn't answer
   */
  void synchronize(std::function<void(bool)> aDone);

  /** @return prefix of the keys */
  const std::string& prefix() const { return mPrefix; }

  /** @return local copy of all keys under the prefix */
  const platform::Mirror& mirror() const { return mMirror; }

  /** @return true if the latest response came from the store, not a relay */
  bool isReadingStore() const { return mConnected && mLastFromStore; }

  /** @return true if the latest call was answered */
  bool isConnected() const { return mConnected; }

  /** @return true if the mirror is of the store's current era */
  bool isOfCurrentEra() const { return mMirror.era() == mClient.era(); }

  /** @return when the store or a relay has answered last, or should have: the
   * answer may have waited for this process. Changes after that may be missing
   */
  base::TimePoint confirmedAt() const { return mConfirmedAt; }

  /** Emitted when the mirror may have changed. */
  sigc::signal<void()>& mirrorChanged() { return mMirrorChanged; }

private:
  void list(const char* aCause);
  void listAt(platform::Client& aRelay);
  void retryList();
  void listAgain();
  bool isBehind(const platform::Snapshot& aSnapshot) const;
  bool mayCatchUp();
  void onList(const platform::Snapshot& aSnapshot, bool aFromRelay);
  void wait();
  void onRestored();
  void onSilence(base::TimePoint aSince);
  void onChanges(const platform::Snapshot& aChanges, bool aFromRelay);
  std::optional<platform::Snapshot> readChanges(
    const platform::Snapshot& aChanges) const;
  void applyChanges(const platform::Snapshot& aUnseen);
  void scheduleSynchronization();
  void startSynchronization();
  void listToSynchronize();
  void endSynchronization(bool aSucceeded);
  void onFailure(const base::Error& aError, const platform::Client& aClient);
  void waitAt(platform::Client& aClient, bool aFromRelay);
  base::Duration untilStoreCall();
  base::Duration maxStoreDelay() const;
  void postponeStoreCalls();
  /** How long to wait, and why so. */
  struct WaitLimit
  {
    base::Duration time{};
    const char* cause = "";
  };
  WaitLimit waitLimit(bool aFromRelay);
  void recordSuccess(bool aFromRelay);
  void recordFailure(const base::Error& aError);
  void schedule(base::Duration aDelay, void (PrefixWatch::*aNext)());

  http::Loop& mLoop;
  platform::Client& mClient;
  std::string mPrefix;
  base::Duration mPause;
  base::Duration mMaxWait;
  bool mListsWhenReached = false;
  bool mSpreadsWaits = false;
  /** The next wait ends at a random moment: a change has ended those of all VMs
   * at the same one. */
  bool mSpreadPending = false;
  PrefixWatchCallbacks mCallbacks;
  platform::Revision mRevision = 0;
  bool mListed = false;    ///< since the start of this process
  unsigned mListCalls = 0; ///< to the store
  /** Raised when the answers to earlier calls have lost their meaning. */
  unsigned mGeneration = 0;
  /** When the pending wait at the store began, if there is one. */
  std::optional<base::TimePoint> mStoreWaitSince;
  base::TimePoint mConfirmedAt{};
  base::TimePoint mAnswerDueAt{}; ///< of the pending call
  bool mConnected = false;
  const char* mRelistCause = nullptr; ///< set while a list is pending
  bool mLastFromStore = true;
  RelaySource mRelays;
  /** The store is not called before, because the relays or the store failed. */
  base::TimePoint mStoreCallAt{};
  /** When a relay answered with a list that was behind, if the latest one was.
   */
  std::optional<base::TimePoint> mRelayBehindSince;
  bool mRelayFailed = false;         ///< since the latest answer
  bool mStoreCallsPostponed = false; ///< for that
  platform::Mirror mMirror;
  sigc::signal<void()> mMirrorChanged;
  platform::Backoff mBackoff;
  http::EventHandle mTimer;
  using Waiting = std::vector<std::function<void(bool)>>;
  Waiting mSynchronizing; ///< get the answer to the pending call
  Waiting mSynchronizeNext;
  base::TimePoint mSynchronizedAt{}; ///< when the latest call was sent
  http::EventHandle mSynchronizeTimer;
};

} // namespace marigold::gateway
