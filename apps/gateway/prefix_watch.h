/** @file Follows all keys under a prefix of the platform's store. */
#pragma once

#include "http/loop.h"
#include "platform/platform.h"

#include <functional>
#include <map>

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

  /** @return when the store last answered; zero before the first answer */
  base::TimePoint answeredAt() const { return mAnsweredAt; }

  /** @return true while the store answers */
  bool connected() const { return mConnected; }

private:
  void list();
  void wait();
  void noteAnswer();
  void noteFailure(const base::Error& aError);
  void later(base::Duration aDelay, void (PrefixWatch::*aNext)());

  http::Loop& mLoop;
  platform::Client& mClient;
  std::string mPrefix;
  base::Duration mPause;
  PrefixEvents mEvents;
  platform::Revision mRevision = 0;
  base::TimePoint mAnsweredAt{};
  bool mConnected = false;
  bool mListAgain = false;
  unsigned mFailures = 0;
  http::Watch mTimer;
};

} // namespace marigold::gateway
