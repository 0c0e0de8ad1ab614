/** @file Reads of the store that one VM makes for its data centre. */
#pragma once

#include "apps/gateway/fleet.h"
#include "apps/gateway/peer_exchange.h"
#include "apps/gateway/prefix_watch.h"
#include "observe/observe.h"

#include <list>

namespace marigold::gateway {

/**
 * In a large data centre only the relay waits for changes at the store; the
 * others wait at the relay, because calls to the store are limited and priced.
 * A relay that may be behind refuses, and its readers go to the store.
 */
class RecordRelay
{
public:
  RecordRelay(http::Loop& aLoop,
              const Settings& aSettings,
              Fleet& aFleet,
              PeerExchange& aExchange,
              observe::OperatorServer& aServer);

  /** Serves what a watch sees, and lets the watch wait at the relay. */
  void share(PrefixWatch& aWatch);

  /** Refuses waiting readers if this VM may be behind. */
  void tick();

private:
  struct Reader
  {
    const PrefixWatch* watch = nullptr;
    platform::Revision after = 0;
    std::shared_ptr<http::Responder> responder;
    http::EventHandle timer;
  };
  platform::Client* source();
  bool current(const PrefixWatch& aWatch) const;
  void serve(const http::Request& aRequest,
             const std::shared_ptr<http::Responder>& aResponder);
  bool answer(Reader& aReader, bool aTimedOut);
  void changed(const PrefixWatch& aWatch);

  http::Loop& mLoop;
  const Settings& mSettings;
  Fleet& mFleet;
  PeerExchange& mExchange;
  std::map<std::string, PrefixWatch*> mWatches; ///< by prefix
  std::list<Reader> mReaders;
  /** Clients of the VMs that were the relay; open calls keep using theirs. */
  std::map<base::VmName, std::unique_ptr<platform::Client>> mClients;
};

} // namespace marigold::gateway
