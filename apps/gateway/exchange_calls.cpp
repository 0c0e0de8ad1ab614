#include "apps/gateway/exchange.h"
#include "apps/gateway/upstream_notes.h"

#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** Minimum interval between two attempts to find another way. */
constexpr base::Duration kMinRerouteInterval = 400ms;

} // namespace

/** @return false if no call to the upstream could be started */
bool
Exchange::replaceBy(const std::shared_ptr<Upstream>& aUpstream,
                    const dispatch::Candidate& aChosen)
{
  const base::UpstreamName& name = aUpstream->record.name;
  mReplacement = Replacement{ aUpstream,        nullptr,
                              aChosen.queuedMs, aChosen.processingMs,
                              mEventCount,      name == mLastUpstream };
  auto call = startCall(
    aUpstream, &Exchange::switchToReplacement, &Exchange::onReplacementFailed);
  if (!call) {
    mReplacement.reset();
    mTriedUpstreams.insert(name);
    return false;
  }
  // On an open connection the request was already written, and
  // switchToReplacement() has cleared mReplacement.
  (mReplacement ? mReplacement->call : mCall) = std::move(call);
  return true;
}

/** The path to the upstreams is lost, and the call got stuck on it: sends the
 * request to the same upstream once more, by way of a peer. */
void
Exchange::reroute()
{
  const base::TimePoint now = base::monotonicNow();
  if (now - mReroutedAt < kMinRerouteInterval) {
    return;
  }
  mReroutedAt = now;
  const auto upstream = mLoadReservation->upstream();
  mTriedUpstreams = { mLastUpstream }; // The others have not failed.
  const bool known =
    mContext.upstreams.find(mLastUpstream) == upstream && upstream->usable();
  if (!known || !mContext.memory.admitsCopy(mRequest.body.size()) ||
      confirmSoftware(upstream)) {
    onStall(kMinRerouteInterval);
    return;
  }
  replaceBy(upstream, makeCandidate(*upstream));
}

/** @return true if the call that is to be replaced has had events, or has
 * unread bytes */
bool
Exchange::wentOnMeanwhile() const
{
  const auto input = inputCount();
  return mEventCount != mReplacement->events ||
         (input && input->arrived > input->handled);
}

/** The connection of the replacement is ready: cancels the stalled call.
 * @return serialized request, or nothing if the stalled call continues */
std::optional<std::string>
Exchange::switchToReplacement(const base::UpstreamName& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  const bool wanted = !mEnded && mReplacement && !wentOnMeanwhile() &&
                      hasTimeForSend() && !mCaller->abandoned() &&
                      mContext.crashes.verdictOn(mTraits) == nullptr &&
                      mayBeSentTo(aUpstream);
  if (!wanted || !mContext.retries.tryConsume(mService->name, now)) {
    return std::nullopt;
  }
  recordService(mContext, mLoadReservation.get(), dispatch::Service::Failed);
  Replacement next = std::move(*mReplacement);
  mReplacement.reset();
  if (!next.sameUpstream) {
    mContext.health.onFailure(mLastUpstream, now);
  }
  mContext.log.logStep(mMetadata.id,
                       "silent upstream",
                       mLastUpstream,
                       "replaced by a call to " + aUpstream,
                       now);
  endCall();
  mQueuedAheadMs = next.queuedAheadMs;
  mProcessingMs = next.processingMs;
  activateCall(next.upstream, std::move(next.call));
  mCallRepeats = next.sameUpstream;
  mRepeatedSends += mCallRepeats ? 1 : 0;
  return serializeRequest(aUpstream);
}

/** @return false if the upstream has said meanwhile that it wants no requests
 */
bool
Exchange::isAccepted(const base::UpstreamName& aUpstream) const
{
  const auto upstream = mContext.upstreams.find(aUpstream);
  return !upstream || mContext.notices.acceptsFrom(upstream->process().tag()) <=
                        base::monotonicNow();
}

/** What different software writes doesn't fit together, and an upstream goes on
 * with any stream. @return true if the upstream may send the next event */
bool
Exchange::mayContinueAt(const Upstream& aUpstream) const
{
  return !mOrigin || (*mOrigin != peers::kUnknownSoftware &&
                      aUpstream.software == *mOrigin);
}

/** Asks the upstream that is to continue a stream which process it is.
 * @return false if that is known */
bool
Exchange::confirmSoftware(const std::shared_ptr<Upstream>& aUpstream)
{
  if (!mOrigin ||
      !mContext.streams.mustConfirm(*aUpstream, base::monotonicNow())) {
    return false;
  }
  mContext.streams.confirm(aUpstream, [weak = weak_from_this(), aUpstream] {
    if (const auto self = std::static_pointer_cast<Exchange>(weak.lock())) {
      self->onConfirmed(*aUpstream);
    }
  });
  return true;
}

void
Exchange::onConfirmed(const Upstream& aUpstream)
{
  const bool dispatches = std::exchange(mDispatchesWhenConfirmed, false);
  const bool replaces = std::exchange(mReplacesWhenConfirmed, false);
  if (mEnded || (mCall ? !replaces || mReplacement : !dispatches)) {
    return;
  }
  if (mContext.streams.mustConfirm(aUpstream, base::monotonicNow())) {
    mTriedUpstreams.insert(aUpstream.record.name);
    mConfirmationFailed = true;
    // A late answer is no evidence of a crash; the probe shows one.
    mContext.reach.probe(aUpstream.peer());
    mContext.log.logStep(mMetadata.id,
                         "unreachable upstream",
                         aUpstream.record.name,
                         "has not said which process it is",
                         base::monotonicNow());
  } else {
    mConfirmedUpstream = aUpstream.record.name;
  }
  if (mCall) {
    startReplacement();
  } else {
    dispatch();
  }
}

/** @return false if what has become known of the upstream since it was chosen
 * speaks against a send */
bool
Exchange::mayBeSentTo(const base::UpstreamName& aUpstream) const
{
  if (!isAccepted(aUpstream)) {
    return false;
  }
  if (!mOrigin) {
    return true;
  }
  const auto upstream = mContext.upstreams.find(aUpstream);
  return upstream && mayContinueAt(*upstream) &&
         !mContext.streams.mustConfirm(*upstream, base::monotonicNow());
}

/** Runs when the request is written, which may be long after the upstream was
 * selected. @return serialized request, or nothing if it must not be sent */
std::optional<std::string>
Exchange::serializeRequest(const base::UpstreamName& aUpstream)
{
  if (mEnded || !hasTimeForSend() || mCaller->abandoned() ||
      mContext.crashes.verdictOn(mTraits) != nullptr ||
      !mayBeSentTo(aUpstream)) {
    return std::nullopt;
  }
  ++mUnresolvedSends;
  boundary::ForwardMetadata metadata;
  metadata.upstream = aUpstream;
  metadata.remainingTime = remainingTime();
  if (mTeam != nullptr) {
    metadata.team = mTeam->name;
  }
  if (isEngineCall()) {
    metadata.priority = enginePriority();
  }
  metadata.lastEventId = mLastEventId;
  wire::Request request;
  request.method = mRequest.method;
  request.target = mRequest.target;
  request.headers = boundary::forwardHeaders(mHeaders, metadata);
  return wire::serialize(request, mRequest.body);
}

void
Exchange::onSendCancelled()
{
  --mSends;
  endCall();
  if (endIfCallerDisconnected() || refuseIfBlocked()) {
    return;
  }
  if (!mayBeSentTo(mLastUpstream)) {
    dispatch();
    return;
  }
  endWithoutSend();
}

std::unique_ptr<UpstreamCall>
Exchange::startCall(const std::shared_ptr<Upstream>& aUpstream,
                    RequestWriter aWriteRequest,
                    FailureHandler aOnFailure)
{
  const base::UpstreamName& name = aUpstream->record.name;
  const auto weak = weak_from_this();
  wire::OutgoingCall call;
  call.makeBytes = [weak, name, aWriteRequest]() -> std::optional<std::string> {
    const auto self = std::static_pointer_cast<Exchange>(weak.lock());
    return self ? ((*self).*aWriteRequest)(name) : std::nullopt;
  };
  call.idHeader = boundary::kRequestIdHeader;
  call.id = mMetadata.id;
  call.skipBody = mRequest.method == "HEAD";
  call.bodyBytes = mRequest.body.size();
  const auto guarded = [weak](auto aAction) {
    return [weak, aAction](const auto&... aArguments) {
      if (const auto self = weak.lock()) {
        aAction(*std::static_pointer_cast<Exchange>(self), aArguments...);
      }
    };
  };
  wire::CallEvents events;
  events.head = guarded([](Exchange& aSelf, const wire::ResponseHead& aHead) {
    aSelf.onHead(aHead);
  });
  events.body = guarded(
    [](Exchange& aSelf, std::string_view aBytes) { aSelf.onBody(aBytes); });
  events.complete = guarded([](Exchange& aSelf) { aSelf.onComplete(); });
  events.failed =
    guarded([aOnFailure](Exchange& aSelf, wire::CallFailure aFailure) {
      (aSelf.*aOnFailure)(aFailure);
    });
  const std::size_t limit = connectionShare(*mService, mContext.fleetSize);
  auto started =
    mContext.calls.start(*aUpstream, std::move(call), std::move(events), limit);
  if (!started) {
    mContext.log.logStep(
      mMetadata.id, "connection limit", name, "", base::monotonicNow());
  } else if (!started->carrier().empty()) {
    mContext.log.logStep(mMetadata.id,
                         "sent by way of a peer",
                         name,
                         started->carrier(),
                         base::monotonicNow());
  }
  return started;
}

void
Exchange::send(const std::shared_ptr<Upstream>& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  if (mContext.crashes.verdictOn(mTraits) != nullptr &&
      mContext.crashes.beginTrial(mTraits, now)) {
    mContext.log.logStep(
      mMetadata.id, "trial of a blocked part", aUpstream->record.name, "", now);
  }
  auto call =
    startCall(aUpstream, &Exchange::serializeRequest, &Exchange::onFailed);
  if (!call) {
    mTriedUpstreams.insert(aUpstream->record.name);
    mNotAccepted = true;
    if (++mUnreachableCount < kMaxUnreachable) {
      dispatch();
    } else if (mayHaveRun()) {
      fail(Code::UpstreamFailed, "connection limits reached");
    } else {
      refuse(
        Code::Overloaded, "connection limits reached", kOverloadRetryDelay);
    }
    return;
  }
  activateCall(aUpstream, std::move(call));
}

void
Exchange::activateCall(const std::shared_ptr<Upstream>& aUpstream,
                       std::unique_ptr<UpstreamCall> aCall)
{
  const base::UpstreamName& name = aUpstream->record.name;
  mCall = std::move(aCall);
  mNotAccepted = false;
  mTriedUpstreams.insert(name);
  mLastUpstream = name;
  mSentAt = base::monotonicNow();
  mContext.errors.onSent(mService->name, name, mSentAt);
  mLastInputAt = mSentAt;
  mCallRepeats = false;
  ++mSends;
  mLoadReservation = std::make_unique<LoadReservation>(
    aUpstream,
    isEngineCall() ? mProcessingMs : 0,
    isEngineCall() && isLowPriority(),
    isEngineCall() ? mMetadata.promptTokens + outputTokens() : 0);
  mHeadReceived = false;
  mAnswerRecorded = false;
  mBody.clear();
  mDiscardBody = false;
  mDiscardedBytes = 0;
  mEvents.clear();
  if (isEngineCall()) {
    ++mContext.runningByModel[*mMetadata.model];
    mContext.prefixes.recordPrompt(
      name, mMetadata.model->text(), mMetadata.prompt);
  }
  armStallTimer();
}
} // namespace marigold::gateway
