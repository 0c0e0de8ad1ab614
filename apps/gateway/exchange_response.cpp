#include "apps/gateway/exchange.h"
#include "apps/gateway/upstream_notes.h"
#include "observe/log.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** Non-streaming responses up to this size are buffered until they are
 * complete, so that the request can be retried if one breaks. */
constexpr std::size_t kMaxBufferedBytes = 1024UL * 1024;
/** Beyond this in all answers together, only small ones are buffered. A tenth
 * of the memory of the smallest VM. */
constexpr std::size_t kMaxBufferedInTotal = 16UL * 1024 * 1024;
constexpr std::size_t kMaxBufferedIfTight = 16UL * 1024;
/** Size up to which the body of a refusal or an invalid response is read, so
 * that its connection can be used again. */
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;
/** An upstream that lacked a model gets no requests for it for this long; its
 * record is updated meanwhile. */
constexpr base::Duration kModelRefusalPeriod = 1500ms;
/** Stall timeouts before and after the first byte, as multiples of the
 * route's targets. */
constexpr double kFirstByteStallFactor = 0.75;
constexpr double kEventGapStallFactor = 3;
constexpr base::Duration kMinStallTimeout = 60ms;
/** Minimum interval between two attempts to find a replacement. Peers report
 * their load about that often. */
constexpr base::Duration kMinRecheckInterval = 400ms;
/** A request that its upstream has not acknowledged by then may have met a lost
 * path. Several round trips between regions. */
constexpr base::Duration kAcknowledgeTime = 250ms;
/** On a lost path, open connections may live on. They haven't if no upstream
 * has sent anything for this long. */
constexpr base::Duration kMaxSilenceIfLost = 500ms;
/** On an open path, no byte of any upstream for this long raises a doubt. */
constexpr base::Duration kMaxSilenceOfAll = 1s;
/** An upstream that breaks off later than this after the first event was not
 * crashed by the request. */
constexpr base::Duration kBeginOfAnswer = 150ms;
/** Time in which a crash is confirmed, and requests with the same sound parts
 * finish on this VM or a peer reports some. */
constexpr base::Duration kCrashEvidenceDelay = 400ms;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

bool
isSuccess(int aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

const char*
failureText(wire::CallFailure aFailure)
{
  switch (aFailure) {
    case wire::CallFailure::Oversized:
      return "answer exceeds its limits";
    case wire::CallFailure::Malformed:
      return "malformed response";
    default:
      return "connection broke";
  }
}

/** @return the ids of the parts, as in the caller's header, for the log */
std::string
listParts(const std::vector<catalog::PromptPart>& aPrompt)
{
  constexpr std::size_t kMaxDigits = 17;
  std::string list;
  for (const catalog::PromptPart& part : aPrompt) {
    std::array<char, kMaxDigits> id{};
    std::snprintf(id.data(), id.size(), "%" PRIx64, part.id);
    list += (list.empty() ? "" : ",") + std::string(id.data());
  }
  return list;
}

/** @return what an upstream says of its load in a refusal, for the log */
std::string
describeLoad(const std::optional<boundary::ReportedLoad>& aLoad)
{
  return aLoad ? ", runs " + std::to_string(aLoad->running) + " of " +
                   std::to_string(aLoad->slots) + ", " +
                   std::to_string(aLoad->waiting) + " wait"
               : ", load not given";
}

bool
isEventStream(const http::Headers& aHeaders)
{
  return http::findHeader(aHeaders, "Content-Type")
    .starts_with("text/event-stream");
}

} // namespace

void
Exchange::armStallTimer()
{
  mReplacesWhenConfirmed = false;
  if (!mRoute->retryable()) {
    return;
  }
  base::Duration limit = base::fromSeconds(
    base::inSeconds(mRoute->targetLatency) * kFirstByteStallFactor);
  if (mEventCount > 0 && mHeadReceived) {
    limit = base::fromSeconds(base::inSeconds(mRoute->targetEventGap) *
                              kEventGapStallFactor);
  } else {
    limit += base::fromSeconds((mQueuedAheadMs + mProcessingMs) / 1000);
  }
  startStallTimer(std::max(limit, kMinStallTimeout));
}

void
Exchange::startStallTimer(base::Duration aLimit)
{
  mStallTimer.start(
    mContext.loop,
    aLimit,
    [this] { return inputCount(); },
    [weak = weak_from_this(), aLimit] {
      if (const auto self = weak.lock()) {
        std::static_pointer_cast<Exchange>(self)->onStall(aLimit);
      }
    });
}

void
Exchange::onStall(base::Duration aLimit)
{
  if (mEnded || !mCall || !attemptsLeft() || !canContinue()) {
    return;
  }
  if (endIfCallerDisconnected()) {
    return;
  }
  if (mReplacement) {
    startStallTimer(std::max(aLimit, kMinRecheckInterval));
    return;
  }
  if (!mHeadReceived && !mCall->carrier().empty()) {
    mContext.calls.onCarrierFailed(mCall->carrier());
  }
  // With unsent output the caller is slow, not the upstream.
  if (mCaller->pendingOutput() == 0 && startReplacement()) {
    return;
  }
  if (!mStallLogged) {
    mStallLogged = true;
    mContext.log.logStep(mMetadata.id,
                         "silent upstream",
                         mLastUpstream,
                         "no replacement available",
                         base::monotonicNow());
  }
  startStallTimer(std::max(aLimit, kMinRecheckInterval));
}

void
Exchange::recordUnreachable(const base::UpstreamName& aUpstream)
{
  mContext.log.logStep(
    mMetadata.id, "unreachable upstream", aUpstream, "", base::monotonicNow());
  if (const auto upstream = mContext.upstreams.find(aUpstream)) {
    mContext.reach.onConnectFailed(upstream->peer());
  }
}

void
Exchange::checkProgress()
{
  const bool waits = !mEnded && mCall && mCall->carrier().empty() &&
                     mCall->active() && mLoadReservation && !mReplacement;
  if (!waits || !isSilent(base::monotonicNow())) {
    return;
  }
  const wire::UpstreamKey upstream = mLoadReservation->upstream()->peer();
  if (mContext.reach.isDirect(upstream)) {
    mContext.reach.suspect(upstream);
  } else if (!mCall->sent()) {
    --mSends;
    mTriedUpstreams.clear();
    endCall();
    dispatch();
  } else if (mRoute->retryable() && !isPartiallyForwarded() && canContinue()) {
    reroute();
  } else {
    mLoadReservation->releaseQueueTime();
  }
}

/** @return true if the upstream does not acknowledge the request, or if the
 * path is lost and open connections have gone silent, too */
bool
Exchange::isSilent(base::TimePoint aNow) const
{
  const wire::UpstreamKey upstream = mLoadReservation->upstream()->peer();
  if (!mContext.reach.isDirect(upstream) &&
      aNow - mLastInputAt > kMaxSilenceIfLost &&
      aNow - mContext.reach.lastInputAt() > kMaxSilenceIfLost) {
    return true;
  }
  if (aNow - mLastInputAt > kMaxSilenceOfAll &&
      aNow - mContext.reach.lastInputAt() > kMaxSilenceOfAll) {
    return true;
  }
  if (mHeadReceived || aNow - mSentAt < kAcknowledgeTime) {
    return false;
  }
  const wire::SendProgress progress = mCall->progress();
  return !progress.connected || progress.unsent + progress.unacknowledged > 0;
}

/** Takes note of bytes of the upstream. */
void
Exchange::noteInput()
{
  mLastInputAt = base::monotonicNow();
  if (mCall && mCall->carrier().empty()) {
    mContext.reach.noteInput(mLastInputAt);
  }
}

/** @return true if upstreams evidently survive the beginning of the answer */
bool
Exchange::hasBegunToAnswer(base::TimePoint aNow) const
{
  return mFirstByteAt != base::TimePoint{} &&
         aNow - mFirstByteAt > kBeginOfAnswer;
}

void
Exchange::recordBrokenConnection()
{
  const base::TimePoint now = base::monotonicNow();
  mContext.log.logStep(mMetadata.id,
                       "broken connection",
                       mLastUpstream,
                       std::to_string(base::inMilliseconds(now - mSentAt)) +
                         " ms after the send, " + std::to_string(mEventCount) +
                         " events, prompt " + listParts(mMetadata.prompt),
                       now);
  if (!mLoadReservation) {
    return;
  }
  const auto& upstream = mLoadReservation->upstream();
  if (mEventCount > 0) {
    mBrokeOff.push_back(upstream);
  }
  if (!hasBegunToAnswer(now)) {
    mContext.crashes.onConnectionBroken(mTraits, upstream->process(), now);
  }
  if (mRoute->resumableStream()) {
    mContext.streams.onBrokenConnection(upstream, now);
    const auto known = mContext.upstreams.find(upstream->record.name);
    if (known && known != upstream) {
      // The call may have been sent before the record of its process came.
      mContext.streams.onBrokenConnection(known, now);
    }
  }
  mContext.reach.probe(upstream->peer());
}

/** The replacement could not be sent; the stalled call continues. */
void
Exchange::onReplacementFailed(wire::CallFailure aFailure)
{
  if (!mReplacement || (mCall && !mCall->active())) {
    // The replacement is already the current call; there may be a further one.
    onFailed(aFailure);
    return;
  }
  const base::UpstreamName name = mReplacement->upstream->record.name;
  const bool notNeeded =
    aFailure == wire::CallFailure::Cancelled && wentOnMeanwhile();
  const bool carried = !mReplacement->call->carrier().empty();
  mReplacement.reset();
  if (!notNeeded && !carried) {
    mTriedUpstreams.insert(name);
  }
  if (aFailure == wire::CallFailure::NotConnected && !carried) {
    recordUnreachable(name);
  }
  startStallTimer(kMinRecheckInterval);
}

/** Logs what a call that is given up leaves on its way to the upstream. */
void
Exchange::logGivenUp(const UpstreamCall& aCall,
                     const base::UpstreamName& aUpstream)
{
  const wire::SendProgress progress = aCall.progress();
  const bool underWay =
    !progress.connected || progress.unsent + progress.unacknowledged > 0;
  if (!aCall.active() || !underWay) {
    return;
  }
  const base::TimePoint now = base::monotonicNow();
  mContext.log.logStep(
    mMetadata.id,
    "call given up on its way",
    aUpstream,
    std::string(progress.connected ? "connected" : "connecting") + ", opened " +
      std::to_string(base::inMilliseconds(progress.sinceOpened)) +
      " ms ago, sent " + std::to_string(base::inMilliseconds(now - mSentAt)) +
      " ms ago, unsent " + std::to_string(progress.unsent) +
      " bytes, unacknowledged " + std::to_string(progress.unacknowledged) +
      " bytes",
    now);
}

void
Exchange::endCall()
{
  if (mCall) {
    logGivenUp(*mCall, mLastUpstream);
  }
  if (mReplacement && mReplacement->call) {
    logGivenUp(*mReplacement->call, mReplacement->upstream->record.name);
  }
  mStallTimer.reset();
  mReplacement.reset();
  mReplacesWhenConfirmed = false;
  if (mLoadReservation && isEngineCall() &&
      --mContext.runningByModel[*mMetadata.model] == 0) {
    mContext.runningByModel.erase(*mMetadata.model);
  }
  mLoadReservation.reset();
  mCall.reset();
}

void
Exchange::onHead(const wire::ResponseHead& aHead)
{
  mHead = aHead;
  mHeadReceived = true;
  noteInput();
  mContext.crashes.onUpstreamAlive(mLastUpstream, mSentAt);
  const auto metadata =
    boundary::decodeAnswer(aHead.status, aHead.headers, mLastUpstream);
  if (metadata.load && mLoadReservation) {
    mLoadReservation->upstream()->reportedLoad = *metadata.load;
    mLoadReservation->upstream()->reportedAt = base::monotonicNow();
  }
  if (mLoadReservation) {
    mLoadReservation->upstream()->onAnswer(aHead.status == kMisdirected,
                                           metadata.wrongUpstream,
                                           base::monotonicNow());
    if (!metadata.wrongUpstream) {
      recordNotice(
        mContext, *mLoadReservation->upstream(), mMetadata.id, metadata);
    }
  }
  mStreaming = mRoute->kind == catalog::RequestKind::Stream &&
               isSuccess(aHead.status) && wire::mayHaveBody(aHead.status) &&
               isEventStream(aHead.headers) && metadata.signedByUpstream;
  mDiscardBody = metadata.notExecuted || invalidHead(metadata) != nullptr;
}

void
Exchange::onBody(std::string_view aBytes)
{
  noteInput();
  if (mStreaming) {
    onEvents(aBytes);
    return;
  }
  if (mCallerDisconnected) {
    return;
  }
  if (mDiscardBody) {
    mDiscardedBytes += aBytes.size();
    if (mDiscardedBytes > kMaxDiscardedBytes) {
      rejectResponse();
    }
    return;
  }
  if (isPartiallyForwarded()) {
    mCaller->sendChunk(aBytes);
    mBackPressure.apply();
    return;
  }
  mBody.append(aBytes);
  const bool tight = mContext.memory.tight() ||
                     mContext.bufferedAnswerBytes > kMaxBufferedInTotal;
  if (mBody.size() <= (tight ? kMaxBufferedIfTight : kMaxBufferedBytes)) {
    return;
  }
  // No other upstream can continue this response.
  mStallTimer.reset();
  mReplacement.reset();
  mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
  mCaller->sendChunk(mBody.view());
  mBody.clear();
  mBackPressure.apply();
}

/** Takes note of the software that sends the first event of a stream. */
void
Exchange::recordOrigin(base::TimePoint aNow)
{
  if (!mRoute->resumableStream()) {
    return;
  }
  const auto upstream =
    mLoadReservation ? mLoadReservation->upstream() : nullptr;
  if (!mOrigin) {
    const auto known = mContext.upstreams.find(mLastUpstream);
    // Another process that has taken the name since may be the one that sends.
    const bool certain = upstream && (!known || known == upstream);
    const bool asks = certain && mContext.streams.isUncertain(*upstream, aNow);
    mOrigin = certain && !asks ? upstream->software : peers::kUnknownSoftware;
    if (asks) {
      confirmOrigin(upstream);
    }
  }
  if (!firstAttempt().empty()) {
    mContext.streams.record({ streamId(), *mOrigin }, aNow);
  }
}

/** The process that answers on the connection of the call, while it lasts, is
 * the one that answers a question asked meanwhile. */
void
Exchange::confirmOrigin(const std::shared_ptr<Upstream>& aUpstream)
{
  mContext.streams.confirm(
    aUpstream, [weak = weak_from_this(), aUpstream, sends = mSends] {
      const auto self = std::static_pointer_cast<Exchange>(weak.lock());
      const bool sameCall =
        self && !self->mEnded && self->mCall && self->mSends == sends;
      const base::TimePoint now = base::monotonicNow();
      if (sameCall && !self->mContext.streams.isUncertain(*aUpstream, now)) {
        self->mOrigin = aUpstream->software;
        self->recordOrigin(now);
      }
    });
}

void
Exchange::onEvents(std::string_view aBytes)
{
  const auto events = mEvents.feed(aBytes);
  if (!events.empty() && !deliverEvents(events)) {
    return;
  }
  if (mEvents.oversized()) {
    onInvalidResponse("event exceeds its limit");
  }
}

/** @return false if the request has ended */
bool
Exchange::deliverEvents(const std::vector<wire::StreamEvent>& aEvents)
{
  const base::TimePoint now = base::monotonicNow();
  if (mEventCount == 0) {
    mFirstByteAt = now;
    recordOrigin(now);
    if (isEngineCall() && mSends == 1) {
      mContext.latency.onFirstToken(
        mMetadata.model->model,
        mProcessingMs / mContext.latency.msPerToken(mMetadata.model->model),
        mQueuedAheadMs,
        now - mSentAt);
    }
  }
  if (!mAnswerRecorded) {
    mAnswerRecorded = true; // Its end may be far.
    recordAnswer();
  }
  if (mLoadReservation) {
    mLoadReservation->releaseQueueTime();
  }
  if (!mSurvivalReported && hasBegunToAnswer(now)) {
    mSurvivalReported = true;
    mContext.crashes.onSuccess(mTraits, mFirstByteAt, now);
  }
  mContext.health.onSuccess(mLastUpstream, now);
  std::string bytes;
  for (const wire::StreamEvent& event : aEvents) {
    const bool repeated =
      event.id && mLastEventId && *event.id <= *mLastEventId;
    if (repeated) {
      continue; // A resumed stream may repeat events already delivered.
    }
    if (mChatAnswer && !mChatAnswer->add(event.bytes)) {
      fail(Code::UpstreamFailed, "event of a chat cannot be joined");
      return false;
    }
    bytes += event.bytes;
    mLastEventId = event.id ? event.id : mLastEventId;
    ++mEventCount;
  }
  if (!mChatAnswer || !mChatAnswer->joins()) {
    if (!mCaller->responseStarted()) {
      mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
    }
    mCaller->sendChunk(bytes);
    mBackPressure.apply();
  }
  armStallTimer();
  return true;
}

/** Retries or ends the request if the response must not be forwarded.
 * @return true if the response was rejected */
bool
Exchange::rejectResponse()
{
  const auto metadata =
    boundary::decodeAnswer(mHead.status, mHead.headers, mLastUpstream);
  if (metadata.notExecuted) {
    onRefused(metadata);
    return true;
  }
  if (const char* reason = invalidHead(metadata)) {
    onInvalidResponse(reason);
    return true;
  }
  return false;
}

/** @return why the response must not be forwarded, nullptr if it may be */
const char*
Exchange::invalidHead(const boundary::AnswerMetadata& aMetadata) const
{
  if (mStreaming) {
    return nullptr;
  }
  if (mEventCount > 0) {
    return "response to the resumed stream is not a stream";
  }
  if (mRoute->kind == catalog::RequestKind::Stream && isSuccess(mHead.status) &&
      !wire::mayHaveBody(mHead.status)) {
    return "response has no events";
  }
  if (aMetadata.signedByUpstream) {
    // A signed error is the upstream's result for this request; another
    // upstream would return the same.
    return nullptr;
  }
  if (isSuccess(mHead.status)) {
    return "response is not signed";
  }
  return mHead.status >= kFirstServerError ? "error response is not signed"
                                           : nullptr;
}

/** A timeout tells of the deadline of the request, and a refusal of load; both
 * are no errors of the upstream. @return true if the answer is one */
bool
Exchange::isUpstreamsError() const
{
  return mHead.status >= kFirstServerError &&
         mHead.status != http::kServiceUnavailable &&
         mHead.status != kGatewayTimeout;
}

/** Takes note of a signed answer for the comparison with the siblings of the
 * upstream. */
void
Exchange::recordAnswer()
{
  const bool error = isUpstreamsError();
  if (error) {
    mContext.log.countUpstreamError(mLastUpstream, mRoute->name, mHead.status);
  } else if (mHead.status >= kFirstServerError) {
    return;
  }
  recordService(mContext,
                mLoadReservation.get(),
                error ? dispatch::Service::Failed : dispatch::Service::Served);
  if (mLoadReservation) {
    judge(*mLoadReservation->upstream(),
          error ? dispatch::Answer::Error : dispatch::Answer::Served);
  }
}

/** Compares what an upstream has done with its siblings. */
void
Exchange::judge(const Upstream& aUpstream, dispatch::Answer aAnswer)
{
  if (mContext.upstreams.find(mLastUpstream).get() != &aUpstream) {
    return; // Another process has the name now.
  }
  const base::TimePoint now = base::monotonicNow();
  using Change = dispatch::UpstreamErrors::Change;
  const Change change =
    mContext.errors.onAnswer(mService->name, mLastUpstream, aAnswer, now);
  if (change == Change::None) {
    return;
  }
  const auto errors = mContext.errors.shares(
    mService->name, mLastUpstream, dispatch::Evidence::Error, now);
  const auto rejections = mContext.errors.shares(
    mService->name, mLastUpstream, dispatch::Evidence::Rejection, now);
  observe::logInfo(
    change == Change::Avoided ? "upstream avoided for its answers"
                              : "upstream no longer avoided for its answers",
    { { "upstream", mLastUpstream },
      { "service", mService->name },
      { "error_share", std::to_string(errors.own) },
      { "error_share_of_siblings", std::to_string(errors.usual) },
      { "rejection_share", std::to_string(rejections.own) },
      { "rejection_share_of_siblings", std::to_string(rejections.usual) } });
}

void
Exchange::onComplete()
{
  if (rejectResponse()) {
    return;
  }
  if (mStreaming) {
    if (!mEvents.partialEvent().empty() || mEventCount == 0) {
      // An answer without length or chunks ends like this if it breaks off.
      onBroken("stream ended inside an event");
      return;
    }
    if (mChatAnswer && !mChatAnswer->complete()) {
      onBroken("chat ended before its final event");
      return;
    }
    mContext.crashes.onSuccess(mTraits, mFirstByteAt, base::monotonicNow());
    deliverStreamEnd();
    return;
  }
  recordAnswer();
  if (mHead.status < kFirstServerError) {
    const base::TimePoint now = base::monotonicNow();
    mContext.health.onSuccess(mLastUpstream, now);
    mContext.latency.onAnswer(mService->name, now - mSentAt);
    mContext.crashes.onSuccess(mTraits, now, now);
  } else if (tryElsewhere()) {
    return;
  }
  deliverResponse();
}

void
Exchange::deliverResponse()
{
  if (mCallerDisconnected) {
    finish(Code::CallerLeft,
           mLeftStatus,
           "answer " + std::to_string(mHead.status) + " has no caller");
    return;
  }
  mFirstByteAt = base::monotonicNow();
  if (mCaller->responseStarted()) {
    mCaller->endStream();
  } else {
    mCaller->reply(
      mHead.status, wire::endToEndHeaders(mHead.headers), mBody.view());
  }
  finish(isUpstreamsError() ? Code::UpstreamError : Code::Ok, mHead.status, "");
}

void
Exchange::onRefused(const boundary::AnswerMetadata& aMetadata)
{
  const base::TimePoint now = base::monotonicNow();
  --mUnresolvedSends;
  mNotAccepted = true;
  const auto upstream =
    mLoadReservation ? mLoadReservation->upstream() : nullptr;
  const bool byPeer = mCall && !mCall->carrier().empty();
  endCall();
  if (aMetadata.wrongUpstream && upstream) {
    mContext.health.onUnreachable(mLastUpstream, now);
  } else if (mHead.status == kMisdirected && upstream && mMetadata.model) {
    upstream->refusedModels[*mMetadata.model] = now + kModelRefusalPeriod;
  } else if (upstream && (mHead.status == http::kServiceUnavailable ||
                          mHead.status == kTooManyRequests)) {
    if (mHead.status == http::kServiceUnavailable) {
      recordBrittleRejection(*upstream, now);
    }
    recordRejection(*upstream, aMetadata, byPeer);
  }
  retryOnOtherUpstream(mHead.status == kMisdirected
                         ? "upstream lacks the model"
                         : "upstream refused the request with " +
                             std::to_string(mHead.status) +
                             describeLoad(aMetadata.load));
}

/** Takes note of an upstream that has not run a request, unless its load, its
 * notice or the request itself is the reason. */
void
Exchange::recordRejection(const Upstream& aUpstream,
                          const boundary::AnswerMetadata& aMetadata,
                          bool aByPeer)
{
  const dispatch::Candidate candidate = makeCandidate(aUpstream);
  dispatch::RejectionFacts facts;
  facts.hasRoom = dispatch::hasRoom(candidate, requestSize());
  facts.othersWait = aMetadata.load && aMetadata.load->waiting > 0;
  facts.namesTime = aMetadata.notice.turnsAwayFor.has_value();
  facts.brittle = candidate.brittle;
  facts.deadlineNear = !hasTimeForSend();
  facts.byPeer = aByPeer && !aMetadata.signedByUpstream;
  const base::TimePoint now = base::monotonicNow();
  facts.modelLeaves =
    mMetadata.model && isEngineCall() &&
    !mContext.upstreams.canServe(aUpstream, *mMetadata.model, now);
  if (dispatch::speaksAgainstUpstream(facts)) {
    mContext.answers.onAnswer(
      aUpstream.process().tag(), dispatch::Service::Failed, now);
    judge(aUpstream, dispatch::Answer::Rejection);
  }
}

/** Takes note of an upstream that had no room, if it is brittle. */
void
Exchange::recordBrittleRejection(const Upstream& aUpstream,
                                 base::TimePoint aNow)
{
  const peers::ProcessTag process = aUpstream.process().tag();
  const auto most =
    mContext.brittle.maxRejections(aUpstream.record.service, process, aNow);
  if (!most) {
    return;
  }
  mRejectedByBrittle = true;
  mContext.brittle.onRejected(process, aNow);
  mContext.log.logStep(mMetadata.id,
                       "brittle upstream without room",
                       mLastUpstream,
                       "survives " + std::to_string(*most) + " rejections/s",
                       aNow);
}

void
Exchange::onInvalidResponse(const char* aReason)
{
  recordService(mContext, mLoadReservation.get(), dispatch::Service::Failed);
  mContext.health.onFailure(mLastUpstream, base::monotonicNow());
  endCall();
  retryOnOtherUpstream(aReason);
}

void
Exchange::onFailed(wire::CallFailure aFailure)
{
  if (aFailure == wire::CallFailure::Cancelled) {
    onSendCancelled();
    return;
  }
  switch (aFailure) {
    case wire::CallFailure::NotConnected:
      onNotConnected();
      break;
    case wire::CallFailure::NotForwarded:
      onNotForwarded(false);
      break;
    case wire::CallFailure::CarrierDeclined:
      onNotForwarded(true);
      break;
    case wire::CallFailure::Malformed:
      // An upstream that crashes writes no such bytes.
      onInvalidResponse(failureText(aFailure));
      break;
    default:
      onBroken(failureText(aFailure));
  }
}

void
Exchange::onNotConnected()
{
  --mSends;
  mNotAccepted = true;
  if (mCall->carrier().empty()) {
    recordUnreachable(mLastUpstream);
  } else {
    mTriedUpstreams.erase(mLastUpstream); // The peer has not been reached.
  }
  dispatchAfterFailure();
}

/** A peer has not passed the request on, so it has not run there.
 * @param aTryAgain true if the upstream is not the reason */
void
Exchange::onNotForwarded(bool aTryAgain)
{
  --mSends;
  --mUnresolvedSends;
  const bool repeated = std::exchange(mCallRepeats, false);
  mRepeatedSends -= repeated ? 1 : 0;
  mNotAccepted = true;
  if (aTryAgain) {
    mTriedUpstreams.erase(mLastUpstream);
  }
  mContext.log.logStep(mMetadata.id,
                       "not passed on by a peer",
                       mLastUpstream,
                       mCall->carrier(),
                       base::monotonicNow());
  if (repeated && !attemptsLeft()) {
    endCall();
    fail(Code::UpstreamFailed, "no further way to the upstream");
    return;
  }
  dispatchAfterFailure();
}

void
Exchange::dispatchAfterFailure()
{
  endCall();
  ++mUnreachableCount;
  if (mUnreachableCount < kMaxUnreachable) {
    dispatch();
  } else {
    retryOnOtherUpstream("too many unreachable upstreams");
  }
}

void
Exchange::onBroken(const char* aReason)
{
  recordService(mContext, mLoadReservation.get(), dispatch::Service::Failed);
  recordBrokenConnection();
  mContext.health.onFailure(mLastUpstream, base::monotonicNow());
  endCall();
  if (deliverKept(aReason)) {
    return;
  }
  if (mEventCount == 0 && mContext.crashes.hasNewPart(mTraits)) {
    awaitCrashEvidence(aReason);
  } else {
    retryOnOtherUpstream(aReason);
  }
}

/** Waits before a retry, because an immediate one of a request that crashes
 * upstreams costs a second upstream and all requests on it. */
void
Exchange::awaitCrashEvidence(const char* aReason)
{
  mStallTimer.start(
    mContext.loop,
    kCrashEvidenceDelay,
    nullptr,
    [weak = weak_from_this(), aReason] {
      if (const auto self = weak.lock()) {
        std::static_pointer_cast<Exchange>(self)->retryUnlessSuspect(aReason);
      }
    });
}

void
Exchange::retryUnlessSuspect(const char* aReason)
{
  if (mEnded) {
    return;
  }
  if (mContext.crashes.maySpreadCrash(mTraits)) {
    fail(Code::UpstreamFailed, "may have crashed its upstream");
    return;
  }
  retryOnOtherUpstream(aReason);
}

} // namespace marigold::gateway
