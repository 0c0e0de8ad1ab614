#include "apps/gateway/exchange.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** Reading from the upstream pauses above this, which bounds the memory that a
 * slow caller takes. */
constexpr std::size_t kMostPendingOutput = 256UL * 1024;
constexpr base::Duration kThrottlePeriod = 30ms;
/** Non-streaming responses up to this size are buffered until they are
 * complete, so that the request can be retried if one breaks. */
constexpr std::size_t kMostHeldBytes = 1024UL * 1024;
/** An upstream that lacked a model gets no requests for it for this long; its
 * record is updated meanwhile. */
constexpr base::Duration kMissingPeriod = 1500ms;
/** Stall timeouts before and after the first byte, as multiples of the
 * route's targets. */
constexpr double kFirstByteSilence = 0.75;
constexpr double kPauseSilence = 3;
constexpr base::Duration kLeastSilence = 60ms;
/** Minimum interval between two attempts to find a replacement. Peers report
 * their load about that often. */
constexpr base::Duration kLeastRecheck = 400ms;
constexpr int kFirstServerError = 500;
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

bool
isEventStream(const http::Headers& aHeaders)
{
  return http::findHeader(aHeaders, "Content-Type")
    .starts_with("text/event-stream");
}

} // namespace

void
Exchange::armSilence()
{
  if (!mRoute->repeatable()) {
    return;
  }
  base::Duration limit = base::fromSeconds(
    base::inSeconds(mRoute->targetLatency) * kFirstByteSilence);
  if (mEventCount > 0 && mHeadSeen) {
    limit =
      base::fromSeconds(base::inSeconds(mRoute->targetPause) * kPauseSilence);
  } else {
    limit += base::fromSeconds((mQueuedAhead + mOwnMs) / 1000);
  }
  watchSilence(std::max(limit, kLeastSilence));
}

void
Exchange::watchSilence(base::Duration aLimit)
{
  mSilence = mPath.loop.after(aLimit, [weak = weak_from_this(), aLimit] {
    if (const auto self = weak.lock()) {
      std::static_pointer_cast<Exchange>(self)->onSilence(aLimit);
    }
  });
}

void
Exchange::onSilence(base::Duration aLimit)
{
  if (mEnded || !mCall || !attemptsLeft()) {
    return;
  }
  if (endIfCallerLeft()) {
    return;
  }
  if (mNext) {
    watchSilence(std::max(aLimit, kLeastRecheck));
    return;
  }
  // With unsent output the caller is slow, not the upstream.
  if (mCaller->pendingOutput() == 0 && moveElsewhere()) {
    return;
  }
  if (!mSilenceNoted) {
    mSilenceNoted = true;
    mPath.log.step(mFacts.id,
                   "silent upstream",
                   mLastUpstream,
                   "no replacement available",
                   base::monotonicNow());
  }
  watchSilence(std::max(aLimit, kLeastRecheck));
}

void
Exchange::noteUnreachable(const base::UpstreamName& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  mPath.health.onUnreachable(aUpstream, now);
  mPath.crashes.onUpstreamGone(aUpstream, now);
  mPath.log.step(mFacts.id, "unreachable upstream", aUpstream, "", now);
}

/** The replacement could not be sent; the stalled call continues. */
void
Exchange::onReplacementFailed(wire::CallFailure aFailure)
{
  if (!mNext) {
    onFailed(aFailure); // The replacement is already the current call.
    return;
  }
  const base::UpstreamName name = mNext->upstream->record.name;
  mNext.reset();
  mTried.insert(name);
  if (aFailure == wire::CallFailure::NotConnected) {
    noteUnreachable(name);
  }
  watchSilence(kLeastRecheck);
}

void
Exchange::endCall()
{
  mSilence.reset();
  mNext.reset();
  if (mHold && isEngineCall() && --mPath.runningByModel[*mFacts.model] == 0) {
    mPath.runningByModel.erase(*mFacts.model);
  }
  mHold.reset();
  mCall.reset();
}

void
Exchange::onHead(const wire::AnswerHead& aHead)
{
  mHead = aHead;
  mHeadSeen = true;
  mPath.crashes.onUpstreamAlive(mLastUpstream, mSentAt);
  const auto facts =
    boundary::decodeAnswer(aHead.status, aHead.headers, mLastUpstream);
  if (facts.load && mHold) {
    mHold->upstream()->told = *facts.load;
    mHold->upstream()->toldAt = base::monotonicNow();
  }
  mStreaming = mRoute->kind == catalog::RequestKind::Stream &&
               isSuccess(aHead.status) && isEventStream(aHead.headers) &&
               facts.genuine;
}

void
Exchange::onBody(std::string_view aBytes)
{
  if (mStreaming) {
    onEvents(aBytes);
    return;
  }
  if (mCallerLeft) {
    return;
  }
  mBody.append(aBytes);
  // After events of a stream, an error response is not forwarded.
  if (!partPassedOn()) {
    if (mBody.size() <= kMostHeldBytes || rejectAnswer()) {
      return;
    }
    mSilence.reset(); // No other upstream can continue this response.
    mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
  }
  mCaller->sendPart(mBody);
  mBody.clear();
  throttle();
}

void
Exchange::onEvents(std::string_view aBytes)
{
  const auto events = mEvents.feed(aBytes);
  if (!events.empty()) {
    deliverEvents(events);
  }
  if (mEvents.oversized()) {
    onSpoiled("event exceeds its limit");
  }
}

void
Exchange::deliverEvents(const std::vector<wire::StreamEvent>& aEvents)
{
  const base::TimePoint now = base::monotonicNow();
  if (mEventCount == 0) {
    mFirstByteAt = now;
    if (isEngineCall() && mSends == 1) {
      mPath.work.onFirstToken(mFacts.model->model,
                              mOwnMs /
                                mPath.work.msPerToken(mFacts.model->model),
                              mQueuedAhead,
                              now - mSentAt);
    }
  }
  if (mHold) {
    mHold->firstToken();
  }
  mPath.health.onSuccess(mLastUpstream, now);
  std::string bytes;
  for (const wire::StreamEvent& event : aEvents) {
    const bool repeated =
      event.id && mLastEventId && *event.id <= *mLastEventId;
    if (repeated) {
      continue; // A resumed stream may repeat events already delivered.
    }
    bytes += event.bytes;
    mLastEventId = event.id ? event.id : mLastEventId;
    ++mEventCount;
  }
  if (!mCaller->answerStarted()) {
    mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
  }
  mCaller->sendPart(bytes);
  throttle();
  armSilence();
}

void
Exchange::throttle()
{
  if (!mCall || mCaller->pendingOutput() < kMostPendingOutput) {
    return;
  }
  mCall->pauseReading(true);
  mThrottle = mPath.loop.every(kThrottlePeriod, [weak = weak_from_this()] {
    const auto waiter = weak.lock();
    if (!waiter) {
      return;
    }
    const auto self = std::static_pointer_cast<Exchange>(waiter);
    if (self->mCaller->pendingOutput() < kMostPendingOutput / 2) {
      if (self->mCall) {
        self->mCall->pauseReading(false);
      }
      self->mThrottle.reset();
    }
  });
}

/** Retries or ends the request if the response must not be forwarded.
 * @return true if the response was rejected */
bool
Exchange::rejectAnswer()
{
  const auto facts =
    boundary::decodeAnswer(mHead.status, mHead.headers, mLastUpstream);
  if (facts.notRun) {
    onRefused(facts);
    return true;
  }
  if (mStreaming) {
    return false;
  }
  if (mEventCount > 0) {
    onSpoiled("response to the resumed stream is not a stream");
    return true;
  }
  if (!facts.genuine && isSuccess(mHead.status)) {
    onSpoiled("response is not signed");
    return true;
  }
  // A signed error is the upstream's result for this request; another upstream
  // would return the same.
  if (mHead.status >= kFirstServerError && !facts.genuine) {
    onSpoiled("error response is not signed");
    return true;
  }
  return false;
}

void
Exchange::onComplete()
{
  if (rejectAnswer()) {
    return;
  }
  if (mStreaming) {
    if (!mEvents.rest().empty() || mEventCount == 0) {
      onSpoiled("stream ended inside an event");
      return;
    }
    mPath.crashes.onSuccess(mFingerprint);
    mCaller->endStream();
    finish(Code::Ok, mHead.status, "");
    return;
  }
  if (mHead.status < kFirstServerError) {
    const base::TimePoint now = base::monotonicNow();
    mPath.health.onSuccess(mLastUpstream, now);
    mPath.work.onAnswer(mService->name, now - mSentAt);
    mPath.crashes.onSuccess(mFingerprint);
  }
  deliverWhole();
}

void
Exchange::deliverWhole()
{
  mFirstByteAt = base::monotonicNow();
  if (mCaller->answerStarted()) {
    mCaller->endStream();
  } else {
    mCaller->answer(mHead.status, wire::endToEndHeaders(mHead.headers), mBody);
  }
  finish(Code::Ok, mHead.status, "");
}

void
Exchange::onRefused(const boundary::AnswerFacts& aFacts)
{
  const base::TimePoint now = base::monotonicNow();
  --mUnresolved;
  mTurnedAway = true;
  constexpr int kMisdirected = 421;
  const auto upstream = mHold ? mHold->upstream() : nullptr;
  endCall();
  if (aFacts.wrongUpstream && upstream) {
    mPath.health.onUnreachable(mLastUpstream, now);
  } else if (mHead.status == kMisdirected && upstream && mFacts.model) {
    upstream->missing[*mFacts.model] = now + kMissingPeriod;
  }
  retryElsewhere(mHead.status == kMisdirected ? "upstream lacks the model"
                                              : "upstream refused the request");
}

void
Exchange::onSpoiled(const char* aReason)
{
  mPath.health.onFailure(mLastUpstream, base::monotonicNow());
  endCall();
  retryElsewhere(aReason);
}

void
Exchange::onFailed(wire::CallFailure aFailure)
{
  if (aFailure == wire::CallFailure::Withheld) {
    onWithheld();
    return;
  }
  if (aFailure == wire::CallFailure::NotConnected) {
    --mSends;
    mTurnedAway = true;
    noteUnreachable(mLastUpstream);
    endCall();
    ++mUnreachable;
    if (mUnreachable < kMostUnreachable) {
      dispatch();
    } else {
      retryElsewhere("too many unreachable upstreams");
    }
    return;
  }
  mPath.crashes.onBroken(mFingerprint, mLastUpstream, base::monotonicNow());
  onSpoiled(failureText(aFailure));
}

} // namespace marigold::gateway
