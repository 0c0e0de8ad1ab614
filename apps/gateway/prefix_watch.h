/** @file Watches all keys under a prefix of the platform's store. */
#pragma once

#include "http/loop.h"
#include "platform/platform.h"

#include <functional>
#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Callbacks of a PrefixWatch. */
struct PrefixWatchCallbacks
{
  /** All keys under the prefix; other keys no longer exist. */
  std::function<void(const platform::Snapshot&)> snapshot;
  /** A key was written or, without a value, removed. */
  std::function<void(const platform::Entry&)> changed;
  /** The store responded for the first time or after failed calls. */
  std::function<void()> reached;
  /** A call failed after a successful one. */
  std::function<void(const base::Error&)> lost;
};

/** Lists all keys, then waits for changes by long polling. Lists again if the
 * store's history was compacted. */
class PrefixWatch
{
public:
  /**
   * @param aLoop event loop
   * @param aClient client of the store
   * @param aPrefix prefix of the keys
   * @param aPause delay after a change before the next call, which bounds the
   * rate of calls
   * @param aCallbacks callbacks
   */
  PrefixWatch(http::Loop& aLoop,
              platform::Client& aClient,
              std::string aPrefix,
              base::Duration aPause,
              PrefixWatchCallbacks aCallbacks);

  /** Starts the watch. */
  void start();

  /** Lists all keys again before the next wait. */
  void relist();

  /** Makes the watch wait for changes at a relay where possible.
   * @param aRelay returns the client of the relay, or nullptr to use the store
   */
  void setRelay(std::function<platform::Client*()> aRelay)
  {
    mRelay = std::move(aRelay);
  }

  /** @return prefix of the keys */
  const std::string& prefix() const { return mPrefix; }

  /** @return local copy of all keys under the prefix */
  const platform::Mirror& mirror() const { return mMirror; }

  /** @return true if the latest response came from the store, not a relay */
  bool isReadingStore() const { return mConnected && mLastFromStore; }

  /** Emitted when the mirror may have changed. */
  sigc::signal<void()>& mirrorChanged() { return mMirrorChanged; }

private:
  void list();
  void wait();
  void onChanges(const platform::Snapshot& aChanges, bool aFromRelay);
  void onFailure(const base::Error& aError, bool aFromRelay);
  platform::Client* relay() const;
  base::Duration waitTimeout(bool aFromRelay) const;
  void recordSuccess();
  void recordFailure(const base::Error& aError);
  void schedule(base::Duration aDelay, void (PrefixWatch::*aNext)());

  http::Loop& mLoop;
  platform::Client& mClient;
  std::string mPrefix;
  base::Duration mPause;
  PrefixWatchCallbacks mCallbacks;
  platform::Revision mRevision = 0;
  bool mConnected = false;
  bool mRelistPending = false;
  bool mLastFromStore = true;
  std::function<platform::Client*()> mRelay;
  base::TimePoint mRelayFailedAt{};
  platform::Mirror mMirror;
  sigc::signal<void()> mMirrorChanged;
  unsigned mFailures = 0;
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
