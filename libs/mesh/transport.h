/** @file nng sockets on the event loop. */
#pragma once

#include "http/http.h"
#include "mesh/envelope.h"

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <sigc++/sigc++.h>
#include <string>

namespace marigold::mesh {

/** Counts of a transport, for metrics and the capacity page. */
struct TransportCounts
{
  std::uint64_t sent = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t received = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t dropped = 0;  ///< not sent: no connection or a full queue
  std::uint64_t rejected = 0; ///< received but forged, replayed or malformed
};

/**
 * Sends and receives messages. Delivery is at most once and without guarantee;
 * every protocol on top of it tolerates loss, delay and repetition.
 */
class Transport
{
public:
  /**
   * @param aLoop loop that delivers the messages
   * @param aSelf name of this process on the mesh
   * @param aIncarnation run of this process
   * @param aKey mesh key from the settings
   */
  Transport(http::Loop& aLoop,
            NodeName aSelf,
            base::Incarnation aIncarnation,
            std::string aKey);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** @param aAddress where to listen @return SettingsInvalid if taken; a bound
   * address proves that no earlier process of this VM is running */
  base::Result<void> listen(const http::Address& aAddress);

  /**
   * Connects to a peer, or replaces its address.
   * @param aNode peer
   * @param aAddress IP:port
   */
  void connect(const NodeName& aNode, const std::string& aAddress);

  /** Greets whoever listens at an address, so that both learn the other's
   * incarnation. @param aAddress IP:port @param aBody content */
  void greet(const std::string& aAddress, const nlohmann::json& aBody);

  /**
   * @param aNode peer
   * @param aType message type
   * @param aBody content
   * @return false if the message was dropped; true promises nothing
   */
  bool send(const NodeName& aNode,
            const std::string& aType,
            const nlohmann::json& aBody);

  /** @return true if the peer's incarnation and address are known */
  bool knows(const NodeName& aNode) const;

  /** Emitted for each accepted message. */
  sigc::signal<void(const Envelope&)>& received() { return mReceived; }

  /** Stops delivery to a peer and drops what it sends, as a broken link would.
   * For failure tests. @param aNodes peers */
  void cut(std::set<NodeName> aNodes) { mCut = std::move(aNodes); }

  /** @return counts so far */
  const TransportCounts& counts() const { return mCounts; }

private:
  struct Socket;
  bool deliver(Socket& aSocket, const Envelope& aEnvelope);
  void drain();
  void accept(std::string_view aBytes);

  http::Loop& mLoop;
  NodeName mSelf;
  base::Incarnation mIncarnation;
  std::string mKey;
  ReplayFilter mFilter;
  std::unique_ptr<Socket> mListener;
  http::EventHandle mReadable;
  std::map<std::string, std::unique_ptr<Socket>> mDialers; ///< by address
  std::map<NodeName, std::string> mAddresses;
  std::set<NodeName> mCut;
  std::uint64_t mSequence = 0;
  TransportCounts mCounts;
  sigc::signal<void(const Envelope&)> mReceived;
};

} // namespace marigold::mesh
