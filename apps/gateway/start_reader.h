/** @file First reads of the store by a VM that has just started. */
#pragma once

#include "apps/gateway/watch_relay.h"
#include "peers/start_source.h"

namespace marigold::gateway {

/**
 * Starts the watches of a VM where peers::StartSource says. To learn which VMs
 * there are, it reads the registrations as they may have been seconds ago, for
 * which the platform charges little.
 */
class StartReader
{
public:
  StartReader(http::Loop& aLoop,
              platform::Client& aClient,
              const Settings& aSettings,
              WatchRelay& aRelay,
              std::uint64_t aSeed);

  /** @param aRegistrations watch of the registrations; with a peer's answer it
   * starts before the others, which then know the peers that they may wait at
   * @param aOthers other watches; all must outlive this object */
  void start(PrefixWatch& aRegistrations, std::vector<PrefixWatch*> aOthers);

private:
  void readRegistrations();
  void learnPeers(const platform::Snapshot& aRegistrations);
  void proceed();
  void startAtStore();
  void begin(PrefixWatch& aWatch);
  void beginLater(const platform::Snapshot& aRegistrations);
  void takeLater();

  http::Loop& mLoop;
  platform::Client& mClient;
  const Settings& mSettings;
  WatchRelay& mRelay;
  std::uint64_t mSeed;
  std::vector<PrefixWatch*> mWaiting; ///< watches not started yet
  std::vector<PrefixWatch*> mLater;   ///< those that wait for the first one
  std::optional<peers::StartSource> mSource;
  std::map<base::VmName, Member> mMembers; ///< of the data centre
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
