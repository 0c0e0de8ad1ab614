/** @file Keeps the configuration in step with the platform. */
#pragma once

#include "apps/entry/configuration.h"
#include "apps/entry/peer_link.h"
#include "platform/platform.h"

namespace marigold::entry {

/**
 * Watches the platform if this VM is a relay of its data centre or if no relay
 * reaches the platform; otherwise it only checks now and then, because the
 * platform counts every call.
 */
class PlatformSync
{
public:
  PlatformSync(http::Loop& aLoop,
               platform::Client& aPlatform,
               membership::Membership& aMembership,
               PeerLink& aPeers,
               Configuration& aConfiguration);

  /** Reads the configuration once and starts the watch. */
  void start();

  /** @return time since the platform answered last, or since the start */
  base::Duration age() const;

private:
  void tick();
  void watch();
  void readList();
  bool mayWatch() const;
  void apply(const platform::Snapshot& aSnapshot);
  void noteAnswer(bool aReachable);

  http::Loop& mLoop;
  platform::Client& mPlatform;
  membership::Membership& mMembership;
  PeerLink& mPeers;
  Configuration& mConfiguration;
  http::EventHandle mTick;
  platform::Revision mRevision = 0;
  base::TimePoint mLastAnswer;
  base::TimePoint mLastRead;
  base::TimePoint mLastList;
  bool mWatching = false;
  bool mListing = false;
  std::uint64_t mListDigest = 0; ///< of the last answer
};

} // namespace marigold::entry
