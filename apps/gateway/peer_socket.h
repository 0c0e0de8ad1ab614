/** @file UDP socket for messages between VMs. */
#pragma once

#include "apps/gateway/settings.h"
#include "http/loop.h"
#include "peers/paced_queue.h"

#include <functional>
#include <string>
#include <vector>

namespace marigold::gateway {

/**
 * Sends and receives datagrams. UDP is used instead of nng's streams because
 * each message replaces the previous one, and because a stream would need
 * detection and replacement of stalled connections.
 */
class PeerSocket
{
public:
  using Handler = std::function<void(const std::string&)>;

  PeerSocket(http::Loop& aLoop, const Settings& aSettings, Handler aHandler);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** Binds the socket. @return SettingsInvalid if the address cannot be bound
   */
  base::Result<void> listen();

  /** Sends a message without waiting or retrying.
   * @param aBytes message @param aPeers addresses of other VMs */
  void send(const std::string& aBytes,
            const std::vector<base::Address>& aPeers);

  /** Sends a periodic message as the link of this VM allows.
   * @param aStream kind of message; its next message replaces this one
   * @param aBytes message
   * @param aPeers addresses of all VMs that get messages of this kind */
  void sendPaced(const std::string& aStream,
                 const std::string& aBytes,
                 const std::vector<base::Address>& aPeers);

  /** @return true while paced messages wait for the link */
  bool pacing() const { return !mPaced.empty(); }

private:
  void receive();
  void sendWaiting();
  void sendTo(const std::string& aBytes, const base::Address& aPeer) const;

  http::Loop& mLoop;
  const Settings& mSettings;
  Handler mHandler;
  int mSocket = -1;
  http::EventHandle mReadable;
  peers::PacedQueue mPaced;
  http::EventHandle mPacedTimer;
};

} // namespace marigold::gateway
