/** @file How the answer of an upstream reaches the caller. */
#include "apps/entry/exchange.h"

namespace marigold::entry {
namespace {

using base::Code;

/** Bytes that wait for a slow caller before its upstream is read no further;
 * with the socket buffers this bounds the memory of a stream. */
constexpr std::size_t kMostPendingBytes = 64UL * 1024;
constexpr base::Duration kPauseCheck = std::chrono::milliseconds(20);

} // namespace

void
Exchange::onEvents(const http::Response& aHead,
                   const std::vector<std::string>& aEvents)
{
  for (const std::string& event : aEvents) {
    // The final event is sent once the whole answer has proved complete.
    if (SseParser::isDone(event)) {
      mLastEvents = event;
    } else {
      passOn(event, aHead);
    }
  }
  if (mOut->pendingBytes() > kMostPendingBytes) {
    pause();
  }
}

void
Exchange::passOn(const std::string& aEvent, const http::Response& aHead)
{
  const base::TimePoint now = base::monotonicNow();
  if (!mOut->started()) {
    http::Headers headers = passedHeaders(aHead);
    headers.emplace_back(kIdHeader, mCaller.id);
    headers.emplace_back(kOutcomeHeader, "ran");
    mOut->startStream(200, headers);
    mContext.path.firstEvent.Observe(base::inSeconds(now - mStarted));
  } else {
    mContext.path.betweenEvents.Observe(base::inSeconds(now - mLastEvent));
  }
  mLastEvent = now;
  if (SseParser::isContent(aEvent)) {
    ++mDelivered;
  }
  mOut->sendChunk(aEvent);
}

void
Exchange::pause()
{
  if (mTimer || !mWorking) {
    return;
  }
  mWorking->attempt->setPaused(true);
  mTimer = mContext.loop.every(kPauseCheck, [this] {
    const bool drained = mOut->pendingBytes() <= kMostPendingBytes / 2;
    if (mWorking && !drained) {
      return;
    }
    if (mWorking) {
      mWorking->attempt->setPaused(false);
    }
    // Destroys this callback, so nothing follows.
    mTimer.reset();
  });
}

Exchange::Working
Exchange::takeWorking(bool aConnected)
{
  Working working = std::move(*mWorking);
  mWorking.reset();
  mContext.upstreams.onEnded(working.upstream, aConnected);
  return working;
}

void
Exchange::onStreamDone()
{
  const Working done = takeWorking(true);
  mContext.upstreams.onCompleted(
    done.upstream, base::monotonicNow() - done.since, mCaller.cost);
  if (!mOut->started()) {
    passOn(mLastEvents,
           { 200, { { "Content-Type", "text/event-stream" } }, "" });
  } else {
    mOut->sendChunk(mLastEvents);
  }
  mOut->endStream();
  end(Code::Ok);
}

void
Exchange::onWhole(const http::Response& aAnswer)
{
  const Working done = takeWorking(true);
  mContext.upstreams.onCompleted(
    done.upstream, base::monotonicNow() - done.since, mCaller.cost);
  if (mOut->started()) {
    // A resumed stream that the other engine refused.
    stop(Code::AnswerTruncated, messageOf(Code::AnswerTruncated));
    return;
  }
  http::Response answer{ aAnswer.status, passedHeaders(aAnswer), aAnswer.body };
  answer.headers.emplace_back(kIdHeader, mCaller.id);
  answer.headers.emplace_back(kOutcomeHeader, "ran");
  mOut->reply(answer);
  end(Code::Ok);
}

} // namespace marigold::entry
