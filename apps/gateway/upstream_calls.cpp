#include "apps/gateway/upstream_calls.h"

#include "observe/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::gateway {
namespace {

/** Connections of this VM to one peer that passes requests on. */
constexpr std::size_t kMaxCarrierConnections = 256;
constexpr std::size_t kMinConnections = 4;

using DeclineName = std::pair<CarryDecline, const char*>;
constexpr std::array kDeclineNames{
  DeclineName{ CarryDecline::NotAsked, "not-asked" },
  DeclineName{ CarryDecline::NotRead, "not-read" },
  DeclineName{ CarryDecline::NoPath, "no-path" },
  DeclineName{ CarryDecline::Stopping, "stopping" },
  DeclineName{ CarryDecline::Busy, "busy" },
  DeclineName{ CarryDecline::Full, "full" },
  DeclineName{ CarryDecline::Unknown, "unknown" },
  DeclineName{ CarryDecline::Unwanted, "unwanted" },
  DeclineName{ CarryDecline::Unreachable, "unreachable" },
  DeclineName{ CarryDecline::Broken, "broken" },
  DeclineName{ CarryDecline::Malformed, "malformed" },
  DeclineName{ CarryDecline::Unanswered, "unanswered" },
};

std::optional<CarryDecline>
parseDecline(std::string_view aName)
{
  const auto* const found = std::find_if(
    kDeclineNames.begin(),
    kDeclineNames.end(),
    [aName](const DeclineName& aItem) { return aItem.second == aName; });
  return found == kDeclineNames.end() ? std::nullopt
                                      : std::optional(found->first);
}

/** @return the headers that name an upstream to a peer */
http::Headers
carryHeaders(const Upstream& aUpstream)
{
  return { { kCarryToHeader, aUpstream.record.name },
           { kCarryProcessHeader,
             std::to_string(aUpstream.record.startedAt) } };
}

/** @return why a peer has not passed the request on; empty if these are the
 * headers of the upstream's answer */
std::string
declineIn(const http::Headers& aHeaders)
{
  const std::string_view reason =
    http::findHeader(aHeaders, kCarryDeclinedHeader);
  if (!reason.empty()) {
    return std::string(reason);
  }
  // The peer's HTTP server rejects what it can't read.
  const bool carried = !http::findHeader(aHeaders, kCarriedHeader).empty();
  return carried ? "" : carryDeclineName(CarryDecline::NotRead);
}

/** Adds headers to a serialized request. */
void
insertHeaders(std::string& aBytes, const http::Headers& aHeaders)
{
  std::string lines;
  for (const auto& [name, value] : aHeaders) {
    lines += name + ": " + value + "\r\n";
  }
  constexpr std::string_view kLineEnd = "\r\n";
  aBytes.insert(aBytes.find(kLineEnd) + kLineEnd.size(), lines);
}

} // namespace

const char*
carryDeclineName(CarryDecline aDecline)
{
  const auto* const found = std::find_if(
    kDeclineNames.begin(),
    kDeclineNames.end(),
    [aDecline](const DeclineName& aItem) { return aItem.first == aDecline; });
  return found->second;
}

std::size_t
connectionShare(const catalog::Service& aService, std::size_t aVms)
{
  return std::max(kMinConnections,
                  aService.maxConnections / std::max<std::size_t>(1, aVms));
}

UpstreamCall::UpstreamCall(UpstreamCalls& aCalls, base::VmName aCarrier)
  : mCalls(aCalls)
  , mCarrier(std::move(aCarrier))
{
  if (!mCarrier.empty()) {
    mCalls.mCarriers.onStarted(mCarrier, base::monotonicNow());
  }
}

UpstreamCall::~UpstreamCall()
{
  if (!mCarrier.empty()) {
    mCalls.mCarriers.onEnded(mCarrier);
  }
}

UpstreamCalls::UpstreamCalls(wire::ConnectionPool& aPool,
                             UpstreamReach& aReach,
                             base::Random& aRandom)
  : mPool(aPool)
  , mReach(aReach)
  , mRandom(aRandom)
{
}

void
UpstreamCalls::setPeers(const std::vector<CarrierPeer>& aPeers)
{
  std::vector<dispatch::Carrier> carriers;
  mAddresses.clear();
  for (const CarrierPeer& peer : aPeers) {
    carriers.push_back(peer.carrier);
    mAddresses[peer.carrier.vm] = peer.address;
  }
  mCarriers.setPeers(std::move(carriers));
  mReach.setHasPeers(!aPeers.empty());
}

std::unique_ptr<UpstreamCall>
UpstreamCalls::start(const Upstream& aUpstream,
                     wire::OutgoingCall aCall,
                     wire::CallEvents aEvents,
                     std::size_t aLimit)
{
  const wire::UpstreamKey upstream = aUpstream.peer();
  return mReach.isDirect(upstream)
           ? startDirect(upstream, std::move(aCall), std::move(aEvents), aLimit)
           : startCarried(aUpstream, std::move(aCall), aEvents);
}

std::unique_ptr<UpstreamCall>
UpstreamCalls::startDirect(const wire::UpstreamKey& aUpstream,
                           wire::OutgoingCall aCall,
                           wire::CallEvents aEvents,
                           std::size_t aLimit)
{
  // On an open connection the request is written before start() returns.
  const auto opening = std::make_shared<bool>(false);
  aCall.makeBytes =
    [this, aUpstream, opening, make = std::move(aCall.makeBytes)] {
      if (*opening) {
        mReach.onConnected(aUpstream);
      }
      return make();
    };
  auto call = std::make_unique<UpstreamCall>(*this, base::VmName{});
  call->mCall =
    mPool.start(aUpstream, std::move(aCall), std::move(aEvents), aLimit);
  *opening = true;
  return call->mCall ? std::move(call) : nullptr;
}

std::unique_ptr<UpstreamCall>
UpstreamCalls::startCarried(const Upstream& aUpstream,
                            wire::OutgoingCall aCall,
                            const wire::CallEvents& aEvents)
{
  const auto carrier = mCarriers.choose(mRandom.bits(), base::monotonicNow());
  if (!carrier) {
    return nullptr;
  }
  aCall.makeBytes = [headers = carryHeaders(aUpstream),
                     make = std::move(aCall.makeBytes)] {
    auto bytes = make();
    if (bytes) {
      insertHeaders(*bytes, headers);
    }
    return bytes;
  };
  const auto declined = std::make_shared<std::string>();
  const auto answered = std::make_shared<bool>(false);
  wire::CallEvents events;
  events.head = [this, declined, answered, vm = *carrier, next = aEvents.head](
                  const wire::ResponseHead& aHead) {
    *answered = true;
    *declined = declineIn(aHead.headers);
    if (declined->empty()) {
      mCarriers.onAnswered(vm);
      wire::ResponseHead head = aHead;
      wire::removeHeader(head.headers, kCarriedHeader);
      next(head);
    }
  };
  events.body = [declined, next = aEvents.body](std::string_view aBytes) {
    if (declined->empty()) {
      next(aBytes);
    }
  };
  events.complete = [this,
                     declined,
                     upstream = aUpstream.peer(),
                     vm = *carrier,
                     next = aEvents.complete,
                     fail = aEvents.failed] {
    if (declined->empty()) {
      next();
    } else {
      fail(onDeclined(*declined, vm, upstream));
    }
  };
  events.failed = [this, answered, vm = *carrier, fail = aEvents.failed](
                    wire::CallFailure aFailure) {
    if (!*answered && aFailure != wire::CallFailure::Cancelled) {
      onCarrierFailed(vm);
    }
    fail(aFailure);
  };
  auto call = std::make_unique<UpstreamCall>(*this, *carrier);
  call->mCall = mPool.start({ "carrier " + *carrier, mAddresses.at(*carrier) },
                            std::move(aCall),
                            std::move(events),
                            kMaxCarrierConnections);
  return call->mCall ? std::move(call) : nullptr;
}

wire::CallFailure
UpstreamCalls::onDeclined(const std::string& aReason,
                          const base::VmName& aCarrier,
                          const wire::UpstreamKey& aUpstream)
{
  // A reason that this version doesn't know promises nothing.
  switch (parseDecline(aReason).value_or(CarryDecline::Broken)) {
    case CarryDecline::Broken:
      mCarriers.onAnswered(aCarrier);
      return wire::CallFailure::Broken;
    case CarryDecline::Malformed:
      mCarriers.onAnswered(aCarrier);
      return wire::CallFailure::Malformed;
    case CarryDecline::Unanswered:
      onCarrierFailed(aCarrier);
      return wire::CallFailure::Broken;
    case CarryDecline::Unreachable:
      mCarriers.onAnswered(aCarrier);
      mReach.onGone(aUpstream);
      break;
    case CarryDecline::Unknown:
    case CarryDecline::Unwanted:
    case CarryDecline::Full:
      mCarriers.onAnswered(aCarrier);
      break;
    case CarryDecline::NotAsked:
    case CarryDecline::NotRead:
    case CarryDecline::NoPath:
    case CarryDecline::Stopping:
    case CarryDecline::Busy:
      onCarrierFailed(aCarrier);
      return wire::CallFailure::CarrierDeclined;
  }
  return wire::CallFailure::NotForwarded;
}

void
UpstreamCalls::onAnswerBy(const base::VmName& aCarrier,
                          const http::Headers& aHeaders)
{
  const auto decline = parseDecline(declineIn(aHeaders));
  if (decline == CarryDecline::NoPath || decline == CarryDecline::Stopping ||
      decline == CarryDecline::Busy || decline == CarryDecline::NotAsked ||
      decline == CarryDecline::Unanswered) {
    onCarrierFailed(aCarrier);
  }
}

bool
UpstreamCalls::hasWayTo(const Upstream& aUpstream) const
{
  return mReach.isDirect(aUpstream.peer()) ||
         mCarriers.choose(0, base::monotonicNow()).has_value();
}

bool
UpstreamCalls::anyWay() const
{
  return mReach.anyDirect() ||
         mCarriers.choose(0, base::monotonicNow()).has_value();
}

std::optional<UpstreamCalls::Way>
UpstreamCalls::wayTo(const Upstream& aUpstream) const
{
  return mReach.isDirect(aUpstream.peer())
           ? std::optional(Way{ aUpstream.record.address, {}, {} })
           : carriedWayTo(aUpstream);
}

std::optional<UpstreamCalls::Way>
UpstreamCalls::carriedWayTo(const Upstream& aUpstream) const
{
  const auto carrier = mCarriers.choose(mRandom.bits(), base::monotonicNow());
  if (!carrier) {
    return std::nullopt;
  }
  return Way{ mAddresses.at(*carrier), carryHeaders(aUpstream), *carrier };
}

void
UpstreamCalls::onCarrierFailed(const base::VmName& aCarrier)
{
  mCarriers.onDeclined(aCarrier, base::monotonicNow());
}

} // namespace marigold::gateway
