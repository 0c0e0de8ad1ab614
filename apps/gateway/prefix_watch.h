/** @file Watches all keys under a prefix of the platform's store. */
#pragma once

#include "http/loop.h"
#include "platform/platform.h"

#include <functional>
#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Callbacks of a PrefixWatch. */
struct PrefixEvents
{
  /** All keys under the prefix; other keys no longer exist. */
  std::function<void(const platform::Snapshot&)> snapshot;
  /** A key was written or, without a value, removed. */
  std::function<void(const platform::Entry&)> changed;
  /** The store responded for the first time or after failed calls. */
  std::function<void()> regained;
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
   * @param aEvents callbacks
   */
  PrefixWatch(http::Loop& aLoop,
              platform::Client& aClient,
              std::string aPrefix,
              base::Duration aPause,
              PrefixEvents aEvents);

  /** Starts the watch. */
  void start();

  /** Lists all keys again before the next wait. */
  void relist();

  /** Makes the watch wait for changes at a relay where possible.
   * @param aRelay returns the client of the relay, or nullptr to use the store
   */
  void useRelay(std::function<platform::Client*()> aRelay)
  {
    mRelay = std::move(aRelay);
  }

  /** @return prefix of the keys */
  const std::string& prefix() const { return mPrefix; }

  /** @return local copy of all keys under the prefix */
  const platform::Mirror& mirror() const { return mMirror; }

  /** @return true if the latest response came from the store, not a relay */
  bool followsStore() const { return mConnected && mAtStore; }

  /** Emitted when the mirror may have changed. */
  sigc::signal<void()>& mirrored() { return mMirrored; }

private:
  void list();
  void wait();
  void onChanges(const platform::Snapshot& aChanges, bool aFromRelay);
  void onFailure(const base::Error& aError, bool aFromRelay);
  platform::Client* relay() const;
  base::Duration longestWait(bool aFromRelay) const;
  void noteAnswer();
  void noteFailure(const base::Error& aError);
  void later(base::Duration aDelay, void (PrefixWatch::*aNext)());

  http::Loop& mLoop;
  platform::Client& mClient;
  std::string mPrefix;
  base::Duration mPause;
  PrefixEvents mEvents;
  platform::Revision mRevision = 0;
  bool mConnected = false;
  bool mListAgain = false;
  bool mAtStore = true;
  std::function<platform::Client*()> mRelay;
  base::TimePoint mRelayFailedAt{};
  platform::Mirror mMirror;
  sigc::signal<void()> mMirrored;
  unsigned mFailures = 0;
  http::Watch mTimer;
};

} // namespace marigold::gateway
