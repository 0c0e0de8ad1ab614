/** @file Puts the parts of an entry process together. */
#pragma once

#include "apps/entry/front.h"
#include "apps/entry/peer_link.h"
#include "apps/entry/platform_sync.h"
#include "apps/entry/settings.h"

#include <nlohmann/json_fwd.hpp>

namespace marigold::entry {

/** An entry process. */
class Node
{
public:
  /** @param aSettings checked settings */
  explicit Node(Settings aSettings);

  /** Runs until SIGTERM.
   * @return an error if an address cannot be bound */
  base::Result<void> run();

private:
  void serveOperators();
  void pushDocument(const http::Request& aRequest,
                    const std::shared_ptr<http::Responder>& aOut);
  void injectFault(const http::Request& aRequest,
                   const std::shared_ptr<http::Responder>& aOut);
  void pushWithdrawals(const http::Request& aRequest,
                       const std::shared_ptr<http::Responder>& aOut);
  bool authentic(const http::Request& aRequest) const;
  nlohmann::json status() const;
  nlohmann::json dumpMembership() const;
  nlohmann::json dumpMesh();
  /** Demand for models, which the placer of the data centre reads. */
  nlohmann::json demand();
  nlohmann::json dumpRequestPath();

  Settings mSettings;
  base::Incarnation mIncarnation;
  http::Loop mLoop;
  observe::Metrics mMetrics;
  http::Client mClient;
  Configuration mConfiguration;
  membership::Membership mMembership;
  platform::Client mPlatform;
  PeerLink mPeers;
  PlatformSync mSync;
  UpstreamTable mUpstreams;
  UpstreamChoice mChoice;
  RequestPath mPath;
  ExchangeContext mContext;
  Front mFront;
  observe::OperatorServer mOperator;
};

} // namespace marigold::entry
