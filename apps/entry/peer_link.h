/** @file Heartbeats and messages between this VM and its peers. */
#pragma once

#include "apps/entry/configuration.h"
#include "apps/entry/settings.h"
#include "membership/membership.h"
#include "mesh/mesh.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::entry {

/**
 * Sends heartbeats, keeps connections to the peers that exist, spreads the
 * configuration and hands other messages to their handlers.
 */
class PeerLink
{
public:
  using Handler = std::function<void(const mesh::Envelope&)>;

  PeerLink(http::Loop& aLoop,
           const Settings& aSettings,
           base::Incarnation aIncarnation,
           membership::Membership& aMembership,
           Configuration& aConfiguration);

  /** Binds the mesh address and starts the heartbeats.
   * @return SettingsInvalid if the address is taken */
  base::Result<void> start();

  /** @param aType message type @param aHandler gets its messages */
  void on(const std::string& aType, Handler aHandler);

  /** @param aVm peer @param aType type @param aBody content
   * @return false if the message was dropped */
  bool send(const base::VmName& aVm,
            const std::string& aType,
            const nlohmann::json& aBody);

  /** @param aType type @param aBody content; sent to every alive peer */
  void broadcast(const std::string& aType, const nlohmann::json& aBody);

  /** @param aReachable whether the platform answered last */
  void setPlatformReachable(bool aReachable)
  {
    mPlatformReachable = aReachable;
  }

  /** @return the transport, for counts */
  mesh::Transport& transport() { return mTransport; }

private:
  nlohmann::json heartbeat(bool aFull) const;
  void beat();
  std::set<base::VmName> heartbeatTargets(base::TimePoint aNow) const;
  void greetUnknown(const base::VmName& aVm);
  void receive(const mesh::Envelope& aEnvelope);
  void onHeartbeat(const mesh::Envelope& aEnvelope);
  void requestNewer(const base::VmName& aVm,
                    const membership::Heartbeat& aHeartbeat);
  void onDocumentRequest(const mesh::Envelope& aEnvelope);
  void onDocument(const mesh::Envelope& aEnvelope);
  void connectListed();

  http::Loop& mLoop;
  const Settings& mSettings;
  membership::Membership& mMembership;
  Configuration& mConfiguration;
  mesh::Transport mTransport;
  std::map<std::string, Handler> mHandlers;
  bool mPlatformReachable = false;
  std::uint64_t mBeats = 0;
  std::map<base::VmName, base::TimePoint> mGreetedAt;
  http::EventHandle mHeartbeat;
};

} // namespace marigold::entry
