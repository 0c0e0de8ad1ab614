/** @file Status messages between VMs over UDP. */
#pragma once

#include "apps/gateway/settings.h"
#include "http/loop.h"
#include "peers/peers.h"

#include <functional>

namespace marigold::gateway {

/**
 * Sends and receives datagrams. UDP fits better than nng's streams here: a
 * status replaces the one before, and a connection that falls silent would have
 * to be found and replaced.
 */
class PeerLink
{
public:
  using Handler = std::function<void(peers::Status)>;

  PeerLink(http::Loop& aLoop, const Settings& aSettings, Handler aHandler);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** @return SettingsInvalid if the address is taken */
  base::Result<void> listen();

  /** @param aStatus status @param aPeers addresses of other VMs */
  void send(const peers::Status& aStatus,
            const std::vector<base::Address>& aPeers);

  /** @return datagrams that could not be read */
  std::uint64_t malformed() const { return mMalformed; }

private:
  void receive();

  http::Loop& mLoop;
  const Settings& mSettings;
  Handler mHandler;
  int mSocket = -1;
  http::Watch mReadable;
  std::uint64_t mMalformed = 0;
};

} // namespace marigold::gateway
