/** @file Passes requests of peers on to upstreams that they don't reach. */
#pragma once

#include "apps/gateway/back_pressure.h"
#include "apps/gateway/carry_protocol.h"
#include "apps/gateway/request_context.h"
#include "wire/wire.h"

#include <memory>

namespace marigold::gateway {

/**
 * A request of a peer at an upstream. The peer decides all about it; this VM
 * passes bytes on, and takes note of what the answer says of the upstream. It
 * ends with one response, or with an aborted connection if a part of one was
 * sent.
 */
class CarriedRequest
  : public PendingRequest
  , public std::enable_shared_from_this<CarriedRequest>
{
public:
  /** @param aContext state of this VM @param aPeer connection of the peer */
  CarriedRequest(RequestContext& aContext,
                 std::shared_ptr<wire::CallerConnection> aPeer);

  /** Passes the request on, or declines it. */
  void start();

  /** Nothing to do: the peer repeats what was declined. */
  void retry() override {}

  /** Ends the request now. */
  void shutdown() override;

  /** Nothing to do: the peer knows of its requests that crash upstreams. */
  void endIfBlocked() override {}

  /** Nothing to do: a call that hangs ends at the peer. */
  void checkProgress() override {}

private:
  std::shared_ptr<Upstream> findUpstream() const;
  std::optional<CarryDecline> reasonToDecline() const;
  void call();
  std::optional<std::string> serialize();
  void onHead(const wire::ResponseHead& aHead);
  void onBody(std::string_view aBytes);
  void onComplete();
  void onFailed(wire::CallFailure aFailure);
  void declineAsUnreachable();
  void decline(CarryDecline aReason);
  void finish();

  RequestContext& mContext;
  std::shared_ptr<wire::CallerConnection> mPeer;
  wire::Request mRequest;
  base::MemoryCharge mRequestCharge;
  std::string mId;
  std::shared_ptr<Upstream> mUpstream;
  std::optional<base::TimePoint> mDeadlineAt;
  std::unique_ptr<UpstreamCall> mCall;
  BackPressure mBackPressure;
  http::EventHandle mDoubtTimer;
  bool mEnded = false;
};

/** Listens for requests of peers. */
class Carrier
{
public:
  using PeerFilter = std::function<bool(const std::string&)>;

  /** @param aContext state of this VM
   * @param aIsPeer tells by its host whether a connection is of a VM */
  Carrier(RequestContext& aContext, PeerFilter aIsPeer);

  /** @param aAddress address to listen on @return SettingsInvalid on failure */
  base::Result<void> listen(const base::Address& aAddress);

  /** @param aLimits limits of callers, which apply to their requests here, too
   */
  void setLimits(const catalog::CallerLimits& aLimits);

  /** Closes each connection after its response, because the process stops. */
  void beginDrain() { mPeers.closeAfterResponses(); }

  /** Accepts no more connections. */
  void stopListening() { mPeers.stop(); }

  /** @return number of open connections of peers */
  std::size_t connections() const { return mPeers.connections(); }

private:
  wire::CallerServer mPeers;
};

} // namespace marigold::gateway
