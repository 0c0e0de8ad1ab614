/** @file Calls to upstreams, straight or by way of a peer. */
#pragma once

#include "apps/gateway/carry_protocol.h"
#include "apps/gateway/upstream_reach.h"
#include "dispatch/dispatch.h"
#include "http/message.h"
#include "wire/connection_pool.h"

#include <map>
#include <memory>
#include <optional>

namespace marigold::gateway {

class UpstreamCalls;

/** A call in progress; the destructor ends it. */
class UpstreamCall
{
public:
  UpstreamCall(UpstreamCalls& aCalls, base::VmName aCarrier);
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  /** @param aPaused true to stop reading the response */
  void pauseReading(bool aPaused) { mCall->pauseReading(aPaused); }

  /** @return the input since the connection was made */
  http::InputCount inputCount() const { return mCall->inputCount(); }

  /** @return true once the request was written to the connection */
  bool sent() const { return mCall->sent(); }

  /** @return true while the call has neither a complete response nor failed */
  bool active() const { return mCall->active(); }

  /** @return how far the request has come */
  wire::SendProgress progress() const { return mCall->progress(); }

  /** @return the peer that passes it on, empty if it goes straight */
  const base::VmName& carrier() const { return mCarrier; }

private:
  friend class UpstreamCalls;
  UpstreamCalls& mCalls;
  base::VmName mCarrier;
  std::unique_ptr<wire::PooledCall> mCall;
};

/** Time after the deadline of a request in which the upstream's own deadline
 * response may still arrive. */
inline constexpr base::Duration kDeadlineGrace = std::chrono::milliseconds(120);

/** @param aService service @param aVms VMs of the fleet
 * @return connections of one VM to an upstream of the service */
std::size_t
connectionShare(const catalog::Service& aService, std::size_t aVms);

/** A VM that may pass requests on, and where it takes them. */
struct CarrierPeer
{
  dispatch::Carrier carrier;
  base::Address address;
};

/**
 * Starts calls to upstreams. The users of a call need not know which way its
 * bytes take: a peer that has not passed a request on fails the call as
 * NotForwarded, and everything else looks as if the upstream had done it.
 */
class UpstreamCalls
{
public:
  /** @param aPool connections @param aReach which upstreams are reached
   * @param aRandom random numbers */
  UpstreamCalls(wire::ConnectionPool& aPool,
                UpstreamReach& aReach,
                base::Random& aRandom);

  /** @param aPeers the other VMs */
  void setPeers(const std::vector<CarrierPeer>& aPeers);

  /**
   * Starts a call.
   * @param aUpstream upstream @param aCall request
   * @param aEvents callbacks, never invoked before this function returns
   * @param aLimit maximum number of connections to the upstream
   * @return the call, or nullptr if the limit is reached or no peer is left
   */
  std::unique_ptr<UpstreamCall> start(const Upstream& aUpstream,
                                      wire::OutgoingCall aCall,
                                      wire::CallEvents aEvents,
                                      std::size_t aLimit);

  /** The same for a request that must not be passed on by a peer. */
  std::unique_ptr<UpstreamCall> startDirect(const wire::UpstreamKey& aUpstream,
                                            wire::OutgoingCall aCall,
                                            wire::CallEvents aEvents,
                                            std::size_t aLimit);

  /** @return false if this VM has lost its path to the upstreams and no peer
   * passes requests on */
  bool anyWay() const;

  /** @param aUpstream upstream @return true if calls to it can be started */
  bool hasWayTo(const Upstream& aUpstream) const;

  /** A peer has answered a call that reads from an upstream.
   * @param aCarrier peer @param aHeaders headers of the answer */
  void onAnswerBy(const base::VmName& aCarrier, const http::Headers& aHeaders);

  /** Where a call that reads from an upstream goes. */
  struct Way
  {
    base::Address address;
    http::Headers headers; ///< to be added
    base::VmName carrier;  ///< empty if it goes straight
  };

  /** @param aUpstream upstream @return the way, or nothing if there is none */
  std::optional<Way> wayTo(const Upstream& aUpstream) const;

  /** @param aUpstream upstream @return the way through a peer, if there is one
   */
  std::optional<Way> carriedWayTo(const Upstream& aUpstream) const;

  /** A peer has not answered or has declined a call for its own reasons.
   * @param aCarrier peer */
  void onCarrierFailed(const base::VmName& aCarrier);

private:
  friend class UpstreamCall;
  std::unique_ptr<UpstreamCall> startCarried(const Upstream& aUpstream,
                                             wire::OutgoingCall aCall,
                                             const wire::CallEvents& aEvents);
  wire::CallFailure onDeclined(const std::string& aReason,
                               const base::VmName& aCarrier,
                               const wire::UpstreamKey& aUpstream);

  wire::ConnectionPool& mPool;
  UpstreamReach& mReach;
  base::Random& mRandom;
  dispatch::CarrierChoice mCarriers;
  std::map<base::VmName, base::Address> mAddresses;
};

} // namespace marigold::gateway
