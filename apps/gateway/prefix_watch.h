/** @file Follows all keys under a prefix of the platform's store. */
#pragma once

#include "http/loop.h"
#include "platform/platform.h"

#include <functional>
#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Callbacks of a watch. */
struct PrefixEvents
{
  /** The whole content; keys that are absent no longer exist. */
  std::function<void(const platform::Snapshot&)> snapshot;
  /** A key was written or, without a value, removed. */
  std::function<void(const platform::Entry&)> changed;
  /** The store answered after it had been away, or for the first time. */
  std::function<void()> regained;
  /** A call failed after the store had answered. */
  std::function<void(const base::Error&)> lost;
};

/** Lists once, then waits for changes, and lists again after a gap. */
class PrefixWatch
{
public:
  /**
   * @param aLoop loop @param aClient store @param aPrefix first part of keys
   * @param aPause least time between two waits, which bounds the calls
   * @param aEvents callbacks
   */
  PrefixWatch(http::Loop& aLoop,
              platform::Client& aClient,
              std::string aPrefix,
              base::Duration aPause,
              PrefixEvents aEvents);

  /** Starts to follow. */
  void start();

  /** Reads everything again, because records may have come back. */
  void relist();

  /** Lets the watch wait elsewhere than at the store.
   * @param aRelay who answers in place of the store, or nullptr */
  void useRelay(std::function<platform::Client*()> aRelay)
  {
    mRelay = std::move(aRelay);
  }

  /** @return first part of the keys */
  const std::string& prefix() const { return mPrefix; }

  /** @return all keys under the prefix, as far as seen */
  const platform::Mirror& mirror() const { return mMirror; }

  /** @return true while the store itself answers this watch */
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
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
