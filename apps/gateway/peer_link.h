/** @file Messages between VMs over UDP. */
#pragma once

#include "apps/gateway/settings.h"
#include "http/loop.h"

#include <functional>
#include <string>
#include <vector>

namespace marigold::gateway {

/**
 * Sends and receives datagrams. UDP fits better than nng's streams here: a
 * message replaces the one before, and a connection that falls silent would
 * have to be found and replaced.
 */
class PeerLink
{
public:
  using Handler = std::function<void(const std::string&)>;

  PeerLink(http::Loop& aLoop, const Settings& aSettings, Handler aHandler);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** @return SettingsInvalid if the address is taken */
  base::Result<void> listen();

  /** @param aBytes message @param aPeers addresses of other VMs */
  void send(const std::string& aBytes,
            const std::vector<base::Address>& aPeers);

private:
  void receive();

  http::Loop& mLoop;
  const Settings& mSettings;
  Handler mHandler;
  int mSocket = -1;
  http::EventHandle mReadable;
};

} // namespace marigold::gateway
