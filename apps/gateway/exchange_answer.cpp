#include "apps/gateway/exchange.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** A caller that reads slowly bounds the memory of its answer by this. */
constexpr std::size_t kMostPendingOutput = 256UL * 1024;
constexpr base::Duration kThrottlePeriod = 30ms;
/** Answers that are not streams are held back until they are whole, up to this
 * size, so that a broken one can be replaced. */
constexpr std::size_t kMostHeldBytes = 1024UL * 1024;
/** A model that an upstream refused is not asked for there for this long; its
 * record catches up meanwhile. */
constexpr base::Duration kMissingPeriod = 1500ms;
/** Silence of an upstream, as a multiple of the target of the route. */
constexpr double kFirstByteSilence = 0.75;
constexpr double kPauseSilence = 3;
constexpr base::Duration kLeastSilence = 60ms;
/** Least time between two looks for a replacement; the load that peers report
 * is renewed about that often. */
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
      return "malformed answer";
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
  // A caller that reads slowly holds up its upstream itself.
  if (mCaller->pendingOutput() == 0 && moveElsewhere()) {
    return;
  }
  if (!mSilenceNoted) {
    mSilenceNoted = true;
    mPath.log.step(mFacts.id,
                   "silent upstream",
                   mLastUpstream,
                   "stays there",
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

/** The replacement could not be sent, so the silent call goes on. */
void
Exchange::onReplacementFailed(wire::CallFailure aFailure)
{
  if (!mNext) {
    onFailed(aFailure); // It has taken over.
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
Exchange::onHead(const wire::ResponseHead& aHead)
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
  // An error in place of the rest of a stream is not a part of it.
  if (!partPassedOn()) {
    if (mBody.size() <= kMostHeldBytes || rejectAnswer()) {
      return;
    }
    mSilence.reset(); // No other upstream can go on with this answer.
    mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
  }
  mCaller->sendChunk(mBody);
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
      continue; // A resumed stream may begin with what was delivered.
    }
    bytes += event.bytes;
    mLastEventId = event.id ? event.id : mLastEventId;
    ++mEventCount;
  }
  if (!mCaller->responseStarted()) {
    mCaller->startStream(mHead.status, wire::endToEndHeaders(mHead.headers));
  }
  mCaller->sendChunk(bytes);
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

/** Turns to another upstream, or ends the request, if the answer may not be
 * passed on. @return true if so */
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
    onSpoiled("resumed stream was answered with another status");
    return true;
  }
  if (!facts.genuine && isSuccess(mHead.status)) {
    onSpoiled("answer without signature");
    return true;
  }
  // An error that the upstream signed is its answer to the request, which
  // another upstream would give as well.
  if (mHead.status >= kFirstServerError && !facts.genuine) {
    onSpoiled("error without signature");
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
    if (!mEvents.partialEvent().empty() || mEventCount == 0) {
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
  if (mCaller->responseStarted()) {
    mCaller->endStream();
  } else {
    mCaller->reply(mHead.status, wire::endToEndHeaders(mHead.headers), mBody);
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
                                              : "upstream is full");
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
  if (aFailure == wire::CallFailure::Cancelled) {
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
      retryElsewhere("upstreams cannot be reached");
    }
    return;
  }
  mPath.crashes.onBroken(mFingerprint, mLastUpstream, base::monotonicNow());
  onSpoiled(failureText(aFailure));
}

} // namespace marigold::gateway
