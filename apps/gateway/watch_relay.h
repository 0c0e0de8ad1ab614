/** @file Store watches shared by the VMs of a data centre. */
#pragma once

#include "apps/gateway/fleet.h"
#include "apps/gateway/peer_exchange.h"
#include "apps/gateway/prefix_watch.h"
#include "observe/observe.h"

#include <list>
#include <optional>

namespace marigold::gateway {

/**
 * In each data centre only the relay watches the store; the other VMs watch the
 * relay, because calls to the store are rate limited and charged for. A relay
 * whose data may be stale refuses. Its deputy then reads the store, and the
 * other readers follow the deputy; only if that fails too do they read the
 * store themselves.
 */
class WatchRelay
{
public:
  WatchRelay(http::Loop& aLoop,
             const Settings& aSettings,
             Fleet& aFleet,
             PeerExchange& aPeerExchange,
             observe::OperatorServer& aServer);

  /** Serves the data of a watch to other VMs, and makes the watch use the relay
   * if there is one. */
  void addWatch(PrefixWatch& aWatch);

  /** Refuses waiting readers if the data of this VM may be stale, and removes
   * disconnected readers. */
  void tick();

private:
  struct Reader
  {
    const PrefixWatch* watch = nullptr;
    platform::Position after;
    bool takesPatches = false;     ///< in place of large values
    base::TimePoint refuseAfter{}; ///< if the data may still be stale then
    std::shared_ptr<http::Responder> responder;
    http::EventHandle timer;
  };
  platform::Client* chooseRelay();
  platform::Client& client(const Member& aRelay);
  void recordFailure(const platform::Client& aRelay);
  base::Duration storeDelay() const;
  bool isCurrent(const PrefixWatch& aWatch) const;
  void serve(const http::Request& aRequest,
             const std::shared_ptr<http::Responder>& aResponder);
  void serveList(const http::Request& aRequest, http::Responder& aResponder);
  /** An answer that readers at the same position share. */
  struct SharedAnswer
  {
    const PrefixWatch* watch = nullptr;
    platform::Position after;
    bool patches = false;
    http::Response response;
  };
  bool tryReply(Reader& aReader, bool aTimedOut);
  bool replyFromShared(Reader& aReader);
  void onChanged(const PrefixWatch& aWatch);

  http::Loop& mLoop;
  const Settings& mSettings;
  Fleet& mFleet;
  PeerExchange& mPeerExchange;
  std::map<std::string, PrefixWatch*> mWatches; ///< by prefix
  std::list<Reader> mReaders;
  std::optional<SharedAnswer> mShared; ///< until its watch changes
  /** Clients of the current and former relays; open calls keep using theirs. */
  std::map<base::VmName, std::unique_ptr<platform::Client>> mClients;
  /** Relays that failed or refused lately, and until when they are not used. */
  std::map<base::VmName, base::TimePoint> mFailedUntil;
};

} // namespace marigold::gateway
