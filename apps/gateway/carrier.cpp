#include "apps/gateway/carrier.h"

#include "apps/gateway/upstream_notes.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** The headers of peers' requests are those of callers and a few more. */
constexpr std::size_t kExtraHeaderBytes = 4UL * 1024;
constexpr base::Duration kDoubtCheckPeriod = 50ms;
/** Shares of an upstream's connections that a VM may use which carries for
 * others: they don't use theirs. */
constexpr std::size_t kConnectionShares = 2;

} // namespace

CarriedRequest::CarriedRequest(RequestContext& aContext,
                               std::shared_ptr<wire::CallerConnection> aPeer)
  : mContext(aContext)
  , mPeer(std::move(aPeer))
  , mRequest(mPeer->takeRequest())
  , mRequestCharge(aContext.memory)
  , mBackPressure(aContext.loop, aContext.memory, mPeer, [this](bool aPaused) {
    if (mCall) {
      mCall->pauseReading(aPaused);
    }
  })
{
  mRequestCharge.set(mRequest.body.size());
}

void
CarriedRequest::start()
{
  mContext.openRequests.insert(shared_from_this());
  mUpstream = findUpstream();
  const auto metadata = boundary::decodeRequest(mRequest.headers);
  mId = metadata.id;
  if (const auto reason = reasonToDecline()) {
    decline(*reason);
    return;
  }
  mRequest.headers = wire::endToEndHeaders(mRequest.headers);
  wire::removeHeader(mRequest.headers, kCarryToHeader);
  wire::removeHeader(mRequest.headers, kCarryProcessHeader);
  if (metadata.deadline) {
    mDeadlineAt = mPeer->receivedAt() + *metadata.deadline;
    mPeer->expectEndBy(*mDeadlineAt + kDeadlineGrace);
  }
  mPeer->onDisconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->finish();
    }
  });
  call();
}

std::shared_ptr<Upstream>
CarriedRequest::findUpstream() const
{
  const auto startedAt = base::parseNumber<std::uint64_t>(
    http::findHeader(mRequest.headers, kCarryProcessHeader));
  const auto upstream = mContext.upstreams.find(
    std::string(http::findHeader(mRequest.headers, kCarryToHeader)));
  const bool same =
    upstream && startedAt && upstream->record.startedAt == *startedAt;
  return same ? upstream : nullptr;
}

std::optional<CarryDecline>
CarriedRequest::reasonToDecline() const
{
  if (!mPeer->fromKnownHost() ||
      http::findHeader(mRequest.headers, kCarryToHeader).empty()) {
    return CarryDecline::NotAsked;
  }
  if (mContext.endRequestsAt) {
    return CarryDecline::Stopping;
  }
  if (!mContext.catalog.current() || mPeer->bodyRefused() ||
      !mContext.memory.admitsCopy(mRequest.body.size())) {
    return CarryDecline::Busy;
  }
  if (!mUpstream || mUpstream->removed || mUpstream->record.draining) {
    return CarryDecline::Unknown;
  }
  if (!mContext.reach.isDirect(mUpstream->peer())) {
    return CarryDecline::NoPath;
  }
  const base::TimePoint acceptsFrom =
    mContext.notices.acceptsFrom(mUpstream->process().tag());
  if (acceptsFrom > base::monotonicNow()) {
    return CarryDecline::Unwanted;
  }
  return std::nullopt;
}

void
CarriedRequest::call()
{
  const auto weak = weak_from_this();
  wire::OutgoingCall outgoing;
  outgoing.makeBytes = [weak]() -> std::optional<std::string> {
    const auto self = weak.lock();
    return self ? self->serialize() : std::nullopt;
  };
  outgoing.idHeader = boundary::kRequestIdHeader;
  outgoing.id = mId;
  outgoing.skipBody = mRequest.method == "HEAD";
  outgoing.bodyBytes = mRequest.body.size();
  const auto guarded = [weak](auto aAction) {
    return [weak, aAction](const auto&... aArguments) {
      if (const auto self = weak.lock()) {
        aAction(*self, aArguments...);
      }
    };
  };
  wire::CallEvents events;
  events.head =
    guarded([](CarriedRequest& aSelf, const wire::ResponseHead& aHead) {
      aSelf.onHead(aHead);
    });
  events.body = guarded([](CarriedRequest& aSelf, std::string_view aBytes) {
    aSelf.onBody(aBytes);
  });
  events.complete = guarded([](CarriedRequest& aSelf) { aSelf.onComplete(); });
  events.failed =
    guarded([](CarriedRequest& aSelf, wire::CallFailure aFailure) {
      aSelf.onFailed(aFailure);
    });
  const auto& services = *mContext.catalog.current()->content.services;
  const auto service = services.find(mUpstream->record.service);
  // A service that is not declared any more still answers.
  const std::size_t limit =
    kConnectionShares * connectionShare(service == services.end()
                                          ? catalog::Service{}
                                          : service->second,
                                        mContext.fleetSize);
  mCall = mContext.calls.startDirect(
    mUpstream->peer(), std::move(outgoing), std::move(events), limit);
  if (!mCall) {
    decline(CarryDecline::Full);
  }
}

/** @return the request with the time that is left, or nothing if it must not be
 * sent any more */
std::optional<std::string>
CarriedRequest::serialize()
{
  if (mEnded || mPeer->abandoned() || mUpstream->record.draining ||
      mContext.notices.acceptsFrom(mUpstream->process().tag()) >
        base::monotonicNow()) {
    return std::nullopt;
  }
  if (mDeadlineAt) {
    const base::Duration left = *mDeadlineAt - base::monotonicNow();
    if (left <= base::Duration::zero()) {
      return std::nullopt;
    }
    boundary::setRemainingTime(mRequest.headers, left);
  }
  return wire::serialize(mRequest, mRequest.body);
}

void
CarriedRequest::onHead(const wire::ResponseHead& aHead)
{
  const auto answer =
    boundary::decodeAnswer(aHead.status, aHead.headers, mUpstream->record.name);
  if (!answer.wrongUpstream) {
    recordNotice(mContext, *mUpstream, mId, answer);
  }
  http::Headers headers = wire::endToEndHeaders(aHead.headers);
  wire::removeHeader(headers, kCarryDeclinedHeader);
  wire::removeHeader(headers, kCarriedHeader);
  headers.emplace_back(kCarriedHeader, "1");
  if (mRequest.method == "HEAD" || !wire::mayHaveBody(aHead.status)) {
    mPeer->reply(aHead.status, headers, {});
  } else {
    mPeer->startStream(aHead.status, headers);
  }
}

void
CarriedRequest::onBody(std::string_view aBytes)
{
  mPeer->sendChunk(aBytes);
  mBackPressure.apply();
}

void
CarriedRequest::onComplete()
{
  mPeer->endStream();
  finish();
}

void
CarriedRequest::onFailed(wire::CallFailure aFailure)
{
  if (mPeer->responseStarted()) {
    mPeer->abort();
    finish();
    return;
  }
  if (aFailure == wire::CallFailure::Cancelled) {
    decline(CarryDecline::Unwanted);
    return;
  }
  if (aFailure == wire::CallFailure::Malformed) {
    decline(CarryDecline::Malformed);
    return;
  }
  if (aFailure != wire::CallFailure::NotConnected) {
    mContext.reach.probe(mUpstream->peer());
    decline(CarryDecline::Broken);
    return;
  }
  mCall.reset();
  mContext.reach.onConnectFailed(mUpstream->peer());
  declineAsUnreachable();
}

/** Waits while it is open whether the upstream has ended or this VM has lost
 * its own path. */
void
CarriedRequest::declineAsUnreachable()
{
  if (mEnded) {
    return;
  }
  if (mContext.reach.pathInDoubt()) {
    mDoubtTimer =
      mContext.loop.after(kDoubtCheckPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->declineAsUnreachable();
        }
      });
    return;
  }
  decline(mContext.reach.pathLost() ? CarryDecline::NoPath
                                    : CarryDecline::Unreachable);
}

void
CarriedRequest::shutdown()
{
  if (mEnded) {
    return;
  }
  if (mPeer->responseStarted()) {
    mPeer->abort();
    finish();
    return;
  }
  decline(mCall && mCall->sent() ? CarryDecline::Broken
                                 : CarryDecline::Stopping);
}

void
CarriedRequest::decline(CarryDecline aReason)
{
  mContext.log.logStep(mId,
                       "not passed on for a peer",
                       mUpstream ? mUpstream->record.name : "",
                       carryDeclineName(aReason),
                       base::monotonicNow());
  if (!mPeer->fromKnownHost()) {
    mPeer->closeAfterResponse();
  }
  mPeer->reply(http::kServiceUnavailable,
               { { kCarryDeclinedHeader, carryDeclineName(aReason) } },
               {});
  finish();
}

void
CarriedRequest::finish()
{
  const auto self = shared_from_this();
  mEnded = true;
  mContext.openRequests.erase(self);
  mPeer->onDisconnect(nullptr);
  mBackPressure.reset();
  mDoubtTimer.reset();
  mCall.reset();
  base::freeText(mRequest.body);
  mRequestCharge.set(0);
}

Carrier::Carrier(RequestContext& aContext, PeerFilter aIsPeer)
  : mPeers(aContext.loop,
           [&aContext](const std::shared_ptr<wire::CallerConnection>& aPeer) {
             std::make_shared<CarriedRequest>(aContext, aPeer)->start();
           })
{
  mPeers.setMemoryBudget(aContext.memory);
  mPeers.setFallback([](const wire::Request& /*aRequest*/) {
    return wire::FallbackResponse{
      http::kServiceUnavailable,
      { { kCarryDeclinedHeader, carryDeclineName(CarryDecline::Unanswered) } }
    };
  });
  mPeers.setKnownHosts(std::move(aIsPeer));
  mPeers.onClosed([&aContext](const wire::ClosedCaller& aClosed) {
    aContext.log.logClose(RequestSender::Peer, aClosed, base::monotonicNow());
  });
  mPeers.onUnanswered(
    [&aContext](wire::CallerEnd aReason, const wire::Request& aRequest) {
      aContext.log.logUnanswered(
        RequestSender::Peer, aReason, aRequest, base::monotonicNow());
    });
}

base::Result<void>
Carrier::listen(const base::Address& aAddress)
{
  return mPeers.listen(aAddress);
}

void
Carrier::setLimits(const catalog::CallerLimits& aLimits)
{
  wire::CallerLimits limits;
  limits.headerBytes = aLimits.headerBytes + kExtraHeaderBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  mPeers.setLimits(limits);
}

} // namespace marigold::gateway
