#include "wire/caller_connection.h"

#include <algorithm>
#include <utility>

namespace marigold::wire {
namespace {

using namespace std::chrono_literals;

/** Time between the end of the last response and the close. A close with unread
 * input resets the connection, which can discard a response that the caller has
 * not read yet. */
constexpr base::Duration kLingerTime = 1s;
/** Between the idle time that callers are told and the close. A request that is
 * sent at the last moment arrives within it, also on a slow link. */
constexpr base::Duration kIdleCloseMargin = 1s;
/** A request whose handler has not ended it this long after it should have is
 * closed. */
constexpr base::Duration kOverdueGrace = 1s;
/** Time between two checks whether the caller has received its response. */
constexpr base::Duration kDeliveryCheckPeriod = 1s;
/** Reading pauses above this much pipelined input during a request. */
constexpr std::size_t kMaxPipelinedBytes = 64UL * 1024;
/** Interval at which a connection is asked for its end while reading pauses. */
constexpr base::Duration kPausedCheckPeriod = 200ms;

std::string
chunkHeader(std::size_t aSize)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  do {
    digits.insert(digits.begin(), kDigits[aSize % kDigits.size()]);
    aSize /= kDigits.size();
  } while (aSize != 0);
  return digits + "\r\n";
}

/** @param aIdleTimeout of the connection @return header that tells its caller
 * for how long it may be used again, nothing if that is too short */
std::string
keepAliveHeader(base::Duration aIdleTimeout)
{
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
    aIdleTimeout - kIdleCloseMargin);
  return seconds > 0s
           ? "Keep-Alive: timeout=" + std::to_string(seconds.count()) + "\r\n"
           : std::string();
}

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer,
                                   int aDescriptor,
                                   std::string aHost)
  : mServer(aServer)
  , mTransport(aServer.mLoop, aDescriptor)
  , mParser(Parser::Kind::Requests,
            aServer.mLimits.headerBytes,
            { [this] { return acceptHeaders(); },
              [this](std::string_view aBytes) { addBody(aBytes); },
              [] {} })
  , mBodyCharge(*aServer.mMemory)
  , mOutputCharge(*aServer.mMemory)
  , mOpenedAt(base::monotonicNow())
  , mLastInputAt(mOpenedAt)
  , mIdleSince(mOpenedAt)
  , mHost(std::move(aHost))
{
}

bool
CallerConnection::fromKnownHost() const
{
  return !mServer.mFilter || mServer.mFilter(mHost);
}

void
CallerConnection::start()
{
  mTransport.setEvents(
    { {},
      [this] { readInput(); },
      [this] {
        chargeOutput();
        if (!mCurrent.open) {
          noteDelivery();
        }
        // The callback may be late and report the flush of
        // an earlier part while the last one is pending.
        if (mClosing && !mLingering && mTransport.pendingOutput() == 0) {
          linger();
        }
      },
      [this](TransportEnd aEnd) {
        if (aEnd == TransportEnd::Orderly) {
          inputEnded();
        } else {
          end(mInputEnded ? CallerEnd::ClosedByCaller : callerEndOf(aEnd));
        }
      } });
  allowPauses();
  awaitNextRequest();
}

/** What is left of a pause that began before is what was left of it, or the
 * whole new time if that is less.
 * @param aShortening old idle timeout less the new one */
void
CallerConnection::idleTimeoutChanged(base::Duration aShortening)
{
  if (aShortening > base::Duration::zero()) {
    mLastOutputProgress =
      std::min(mLastOutputProgress + aShortening, base::monotonicNow());
  }
  allowPauses();
}

/** The kernel judges a pause by its own count from the beginning, so its limit
 * is not shortened during one. */
void
CallerConnection::allowPauses()
{
  const base::Duration limit = mServer.mLimits.idleTimeout;
  mAllowedPause =
    undeliveredOutput() > 0 ? std::max(mAllowedPause, limit) : limit;
  mTransport.allowPauses(mAllowedPause);
}

/** @return time for which the connection may stay idle */
base::Duration
CallerConnection::idleLimit() const
{
  return mServer.mStopped ? kLingerTime : mServer.mLimits.idleTimeout;
}

void
CallerConnection::awaitNextRequest()
{
  mIdleSince = base::monotonicNow();
  armIdleTimer();
}

/** A caller counts as idle from when it has its response, which a slow link or
 * a slow reader delays. */
void
CallerConnection::armIdleTimer()
{
  const base::TimePoint now = base::monotonicNow();
  const base::Duration left =
    mLastUndelivered > 0
      ? std::min(mLastOutputProgress + mServer.mLimits.idleTimeout - now,
                 kDeliveryCheckPeriod)
      : mIdleSince + idleLimit() - now;
  armTimer(std::max(left, base::Duration::zero()));
}

void
CallerConnection::armTimer(base::Duration aDelay)
{
  mTimer = mServer.mLoop.after(aDelay, [this] { timerExpired(); });
}

/** Closes a connection of which no byte is unread. */
void
CallerConnection::endIdle()
{
  const base::Duration idle = base::monotonicNow() - mIdleSince;
  if (idle < kLingerTime || undeliveredOutput() > 0) {
    armTimer(kLingerTime);
    return;
  }
  closeIdle(CallerEnd::Completed);
}

/** The response tells a caller whose request crosses the close that it was not
 * read. */
void
CallerConnection::closeIdle(CallerEnd aReason)
{
  if (!mServer.mCrossingRefusal) {
    remove(aReason);
    return;
  }
  mCloseReason = aReason;
  mRefusesCrossing = true;
  mCurrent = {};
  rejectWith(mServer.mStopped ? http::kServiceUnavailable
                              : http::kRequestTimeout,
             *mServer.mCrossingRefusal);
}

void
CallerConnection::expectEndBy(base::TimePoint aTime)
{
  if (mCurrent.open) {
    mCurrent.graceIsLeft = true;
    armTimer(std::max(aTime - base::monotonicNow(), base::Duration::zero()));
  }
}

void
CallerConnection::timerExpired()
{
  if (mClosing) {
    closeTimeoutExpired();
  } else if (mCurrent.open) {
    overdueTimeoutExpired();
  } else if (mParser.started()) {
    requestTimeoutExpired();
  } else {
    idleTimeoutExpired();
  }
}

void
CallerConnection::overdueTimeoutExpired()
{
  // Begins only now, because the handler may be as late as this timer.
  if (std::exchange(mCurrent.graceIsLeft, false)) {
    armTimer(kOverdueGrace);
    return;
  }
  // In a late loop, the grace may end beside a timer of the handler that still
  // has to read what waits.
  if (mCurrent.passesLeft > 0) {
    --mCurrent.passesLeft;
    armTimer(base::Duration::zero());
    return;
  }
  giveUpRequest(CallerEnd::Overdue);
}

/** The loop may be late, so what had arrived when the timer expired is read
 * first. */
void
CallerConnection::requestTimeoutExpired()
{
  if (!mCurrent.bytesBeforeTimeout) {
    mCurrent.bytesBeforeTimeout =
      mCurrent.parsedBytes + mTransport.waitingInput();
  }
  if (mCurrent.parsedBytes < *mCurrent.bytesBeforeTimeout) {
    armTimer(base::Duration::zero());
    return;
  }
  rejectWith(http::kRequestTimeout);
}

void
CallerConnection::idleTimeoutExpired()
{
  const bool isReading = peerIsReading();
  // The idle timeout may have become longer meanwhile.
  const bool isIdle =
    mLastUndelivered == 0 && base::monotonicNow() - mIdleSince < idleLimit();
  if (isReading || isIdle) {
    armIdleTimer();
    return;
  }
  if (mTransport.hasInput()) {
    armTimer(kLingerTime);
    return;
  }
  if (mLastUndelivered > 0) {
    remove(CallerEnd::Idle); // A refusal would wait behind what it can't read.
    return;
  }
  closeIdle(CallerEnd::Idle);
}

void
CallerConnection::closeTimeoutExpired()
{
  // The kernel sends a refusal on, so a caller that is gone holds up no stop.
  if (!(mRefusesCrossing && mLingering) && peerIsReading()) {
    armTimer(kLingerTime);
    return;
  }
  // The report of the flush may wait behind this timer in a late loop.
  if (!mLingering && mTransport.pendingOutput() == 0) {
    linger();
    return;
  }
  if (mLingering && isStillSending()) {
    armTimer(kLingerTime);
    return;
  }
  remove(mCloseReason);
}

/** A caller that was refused inside a long body may read the response only
 * after the rest of it. @return true if its input should still be read */
bool
CallerConnection::isStillSending() const
{
  const base::TimePoint now = base::monotonicNow();
  return now - mLingeringSince < mServer.mLimits.idleTimeout &&
         (now - mLastInputAt < kLingerTime || mTransport.hasInput());
}

/** @return 0 if the caller has all of its responses; bytes that the process
 * still holds count twice, so that handing them to the kernel is progress */
std::size_t
CallerConnection::undeliveredOutput() const
{
  return mTransport.pendingOutput() + mTransport.unacknowledgedOutput();
}

void
CallerConnection::noteDelivery()
{
  const std::size_t undelivered = undeliveredOutput();
  const base::TimePoint now = base::monotonicNow();
  if (undelivered < mLastUndelivered) {
    mLastOutputProgress = now;
  }
  if (undelivered == 0 && mLastUndelivered > 0) {
    mIdleSince = now;
    allowPauses();
  }
  mLastUndelivered = undelivered;
}

bool
CallerConnection::peerIsReading()
{
  noteDelivery();
  return mLastUndelivered > 0 && base::monotonicNow() - mLastOutputProgress <
                                   mServer.mLimits.idleTimeout;
}

void
CallerConnection::beginRequest()
{
  mCurrent = {};
  mCurrent.receivedAt = mLastInputAt;
  armTimer(mServer.mLimits.headerTimeout);
}

void
CallerConnection::openRequest()
{
  mCurrent.open = true;
  ++mServer.mOpenRequests;
  armTimer(mServer.mLimits.responseTimeout);
}

void
CallerConnection::readInput()
{
  if (mReleased) {
    return; // Posted before the end of the connection.
  }
  mLastInputAt = base::monotonicNow();
  if (mClosing) {
    mUnansweredBytes += mTransport.pendingInput();
    mTransport.consume(mTransport.pendingInput());
    return;
  }
  if (mCurrent.open) {
    if (mTransport.pendingInput() > kMaxPipelinedBytes) {
      pauseInput();
    }
    return;
  }
  const std::string_view input = mTransport.input();
  if (input.empty()) {
    return;
  }
  if (!mParser.started()) {
    beginRequest();
  }
  const bool hadHeaders = mParser.headersComplete();
  const std::size_t parsed = mParser.feed(input);
  mUnansweredBytes += parsed;
  mCurrent.parsedBytes += parsed;
  mTransport.consume(parsed);
  if (rejectInvalid()) {
    return;
  }
  if (!hadHeaders && mParser.headersComplete()) {
    mCurrent.bytesBeforeTimeout.reset();
    armTimer(mServer.mLimits.idleTimeout);
    if (http::equalIgnoringCase(http::findHeader(mParser.headers(), "Expect"),
                                "100-continue") &&
        !mParser.completed() && !mCurrent.bodyRefused) {
      mTransport.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  if (mParser.completed() || mCurrent.bodyRefused) {
    dispatch();
  }
}

void
CallerConnection::pauseInput()
{
  mTransport.pauseReading(true);
  mPauseTimer = mServer.mLoop.every(kPausedCheckPeriod, [this] {
    if (mTransport.peerClosed()) {
      giveUpRequest(CallerEnd::ClosedByCaller);
    }
  });
}

/** The caller has closed its connection, or only its sending side; these can't
 * be told apart. What has been answered is still sent. */
void
CallerConnection::inputEnded()
{
  if (std::exchange(mInputEnded, true)) {
    return;
  }
  const auto self = shared_from_this();
  if (mCurrent.open) {
    giveUpRequest(CallerEnd::ClosedByCaller);
  }
  while (!mReleased && !mClosing && mTransport.pendingInput() > 0) {
    readInput();
    if (mCurrent.open) {
      giveUpRequest(CallerEnd::ClosedByCaller);
    }
  }
  if (mReleased) {
    return;
  }
  if (mTransport.pendingOutput() == 0) {
    end(mRefusesCrossing ? mCloseReason : CallerEnd::ClosedByCaller);
  } else if (!mClosing) {
    beginClose();
  }
}

/** Ends a request without waiting for its handler any longer, which is told in
 * time for a response. */
void
CallerConnection::giveUpRequest(CallerEnd aReason)
{
  const auto self = shared_from_this();
  mCurrent.callerHadLeft = aReason == CallerEnd::ClosedByCaller;
  reportUnanswered(aReason);
  const auto callback = std::exchange(mCurrent.disconnectCallback, nullptr);
  if (callback) {
    callback();
  }
  if (mCurrent.open && !sendFallback()) {
    breakOff(aReason);
  }
}

/** Ends a response that has begun so that the caller detects that it is
 * incomplete. What has been sent of it still arrives, unless the handler is
 * overdue or the end of the connection would complete the response. */
void
CallerConnection::breakOff(CallerEnd aReason)
{
  mCurrent.disconnectCallback = nullptr;
  if (aReason == CallerEnd::Overdue || !mCurrent.chunked) {
    mTransport.resetOnClose();
    end(aReason);
    return;
  }
  mCurrent.closeAfterResponse = true;
  finishRequest();
}

/** Tells of a request that is given up although its caller waits. */
void
CallerConnection::reportUnanswered(CallerEnd aReason)
{
  const bool waits =
    aReason != CallerEnd::ClosedByCaller && !mCurrent.responseStarted;
  if (waits && mServer.mUnansweredHandler) {
    mServer.mUnansweredHandler(aReason, mCurrent.request);
  }
}

/** @return false if a part of a response was already sent */
bool
CallerConnection::sendFallback()
{
  if (mCurrent.responseStarted) {
    return false;
  }
  // The handler may still refer to the connection as that of this request.
  mCurrent.closeAfterResponse = true;
  mCurrent.disconnectCallback = nullptr;
  const FallbackResponse response = mServer.mFallback
                                      ? mServer.mFallback(mCurrent.request)
                                      : FallbackResponse();
  reply(response.status, response.headers, {});
  return true;
}

bool
CallerConnection::rejectInvalid()
{
  if (mParser.headerTooLarge()) {
    rejectWith(431);
    return true;
  }
  if (mParser.failed()) {
    rejectWith(400);
    return true;
  }
  if (mCurrent.bodyTooLarge) {
    rejectWith(413);
    return true;
  }
  return false;
}

void
CallerConnection::rejectWith(int aStatus, const http::Headers& aHeaders)
{
  openRequest();
  mCurrent.closeAfterResponse = true;
  mCurrent.request.acceptsChunked = false;
  reply(aStatus, aHeaders, {});
}

bool
CallerConnection::acceptHeaders()
{
  mCurrent.bodyTooLarge = mParser.contentLength() > mServer.mLimits.bodyBytes;
  if (!mCurrent.bodyTooLarge) {
    chargeBody(mParser.contentLength());
    mCurrent.request.body.reserve(mBodyCharge.bytes());
  }
  return true;
}

void
CallerConnection::addBody(std::string_view aBytes)
{
  const std::size_t size = mCurrent.request.body.size() + aBytes.size();
  mCurrent.bodyTooLarge =
    mCurrent.bodyTooLarge || size > mServer.mLimits.bodyBytes;
  if (mCurrent.bodyTooLarge || mCurrent.bodyRefused) {
    return;
  }
  if (size > mBodyCharge.bytes()) {
    chargeBody(size); // The length of a chunked body is not announced.
  }
  if (!mCurrent.bodyRefused) {
    mCurrent.request.body.append(aBytes);
  }
}

/** Counts the body in advance, so that bodies which arrive at the same time
 * don't exceed the budget together. */
void
CallerConnection::chargeBody(std::size_t aBytes)
{
  if (!mServer.mMemory->admitsBody(aBytes, mBodyCharge.bytes())) {
    mCurrent.bodyRefused = true;
    mCurrent.closeAfterResponse = true;
    base::freeText(mCurrent.request.body);
    mBodyCharge.set(0);
    return;
  }
  mBodyCharge.set(aBytes);
}

void
CallerConnection::chargeOutput()
{
  mOutputCharge.set(mTransport.pendingOutput());
}

void
CallerConnection::dispatch()
{
  mCurrent.request.method = mParser.method();
  mCurrent.request.target = mParser.target();
  mCurrent.request.headers = std::move(mParser.headers());
  mCurrent.request.keepAlive = mParser.keepAlive();
  mCurrent.request.acceptsChunked = mParser.isHttp11();
  openRequest();
  const auto self = shared_from_this();
  mServer.mHandler(self);
}

Request
CallerConnection::takeRequest()
{
  mBodyCharge.set(0);
  std::string body = std::exchange(mCurrent.request.body, {});
  Request taken = mCurrent.request;
  taken.body = std::move(body);
  return taken;
}

/** @param aBytes next part of the response to the current request */
void
CallerConnection::send(std::string_view aBytes)
{
  mCurrent.responseBytes += aBytes.size();
  mTransport.write(aBytes);
}

void
CallerConnection::writeHead(int aStatus,
                            const http::Headers& aHeaders,
                            bool aHasLength)
{
  mCurrent.responseStarted = true;
  mCurrent.callerHadLeft = mCurrent.callerHadLeft || mInputEnded;
  // A pipelined request gets its own response, also if nothing follows it.
  const bool isLast = mInputEnded && mTransport.pendingInput() == 0;
  mCurrent.closeAfterResponse = mCurrent.closeAfterResponse ||
                                !mCurrent.request.keepAlive || isLast ||
                                mServer.mCloseAfterResponses;
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head += reasonPhrase(aStatus);
  head += "\r\n";
  for (const auto& [name, value] : aHeaders) {
    head += name + ": " + value + "\r\n";
  }
  if (!aHasLength && mCurrent.request.acceptsChunked) {
    mCurrent.chunked = true;
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!aHasLength) {
    mCurrent.closeAfterResponse = true;
  }
  head += mCurrent.closeAfterResponse
            ? "Connection: close\r\n"
            : keepAliveHeader(mServer.mLimits.idleTimeout);
  send(head);
}

void
CallerConnection::reply(int aStatus,
                        const http::Headers& aHeaders,
                        std::string_view aBody)
{
  if (!mCurrent.open || mCurrent.responseStarted) {
    return;
  }
  writeHead(aStatus, aHeaders, true);
  std::string remainder;
  if (mayHaveBody(aStatus)) {
    remainder = "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  remainder += "\r\n";
  if (mayHaveBody(aStatus) && mCurrent.request.method != "HEAD") {
    remainder += aBody;
  }
  send(remainder);
  finishRequest();
}

void
CallerConnection::startStream(int aStatus, const http::Headers& aHeaders)
{
  if (!mCurrent.open || mCurrent.responseStarted) {
    return;
  }
  writeHead(aStatus, aHeaders, false);
  send("\r\n");
}

void
CallerConnection::sendChunk(std::string_view aBytes)
{
  if (!mCurrent.open || aBytes.empty()) {
    return;
  }
  if (!mCurrent.chunked) {
    send(aBytes);
  } else {
    std::string chunk = chunkHeader(aBytes.size());
    chunk += aBytes;
    chunk += "\r\n";
    send(chunk);
  }
  chargeOutput();
}

void
CallerConnection::endStream()
{
  if (!mCurrent.open) {
    return;
  }
  if (mCurrent.chunked) {
    send("0\r\n\r\n");
  }
  finishRequest();
}

void
CallerConnection::abort()
{
  if (!mCurrent.open) {
    return;
  }
  const CallerEnd reason =
    mTransport.peerClosed() ? CallerEnd::ClosedByCaller : CallerEnd::Aborted;
  mCurrent.callerHadLeft = reason == CallerEnd::ClosedByCaller;
  reportUnanswered(reason);
  if (!sendFallback()) {
    breakOff(reason);
  }
}

void
CallerConnection::finishRequest()
{
  mCurrent.open = false;
  --mServer.mOpenRequests;
  mBodyCharge.set(0);
  chargeOutput();
  mCurrent.disconnectCallback = nullptr;
  mUnansweredBytes = 0;
  base::freeText(mCurrent.request.body); // A handler may have left it here.
  mCurrent.request = {};
  mLastUndelivered = undeliveredOutput();
  mLastOutputProgress = base::monotonicNow();
  if (mCurrent.closeAfterResponse) {
    beginClose();
    return;
  }
  mParser.reset();
  mPauseTimer.reset();
  mTransport.pauseReading(false);
  awaitNextRequest();
  if (mTransport.pendingInput() > 0) {
    // Deferred, because the function that called reply() may not expect the
    // handler to run for the next request.
    mServer.mLoop.post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->readInput();
      }
    });
  }
}

void
CallerConnection::beginClose()
{
  mClosing = true;
  // Unread input would turn the close into a reset.
  mPauseTimer.reset();
  mTransport.pauseReading(false);
  if (mTransport.pendingOutput() == 0) {
    linger();
    return;
  }
  armTimer(kLingerTime);
}

/** All output is flushed: gives the caller time to read it. Once its input has
 * ended, the kernel does. */
void
CallerConnection::linger()
{
  if (mInputEnded) {
    mTransport.shutdownOutput();
    remove(CallerEnd::ClosedByCaller);
    return;
  }
  mLingering = true;
  mLingeringSince = base::monotonicNow();
  mTransport.shutdownOutput();
  armTimer(kLingerTime);
}

void
CallerConnection::end(CallerEnd aEnd)
{
  const auto self = shared_from_this();
  reportClose(aEnd);
  if (mCurrent.open) {
    mCurrent.open = false;
    --mServer.mOpenRequests;
    const auto callback = std::move(mCurrent.disconnectCallback);
    mCurrent.disconnectCallback = nullptr;
    if (callback) {
      callback();
    }
  }
  release();
}

void
CallerConnection::reportClose(CallerEnd aEnd)
{
  if (!mServer.mCloseHandler) {
    return;
  }
  const base::TimePoint now = base::monotonicNow();
  const std::size_t unacknowledged = mTransport.unacknowledgedOutput();
  const std::size_t delivered =
    mCurrent.responseBytes - std::min(mCurrent.responseBytes, unacknowledged);
  mServer.mCloseHandler({ aEnd,
                          mCurrent.open,
                          mUnansweredBytes + mTransport.pendingInput(),
                          mCurrent.open ? delivered : 0,
                          mTransport.pendingOutput(),
                          unacknowledged,
                          now - mLastInputAt,
                          now - mOpenedAt,
                          mCurrent.callerHadLeft,
                          mCurrent.open ? &mCurrent.request.headers : nullptr,
                          mRefusesCrossing });
}

void
CallerConnection::remove(CallerEnd aEnd)
{
  reportClose(aEnd);
  release();
}

void
CallerConnection::release()
{
  // Freed from the event loop, because the object may be in use further up the
  // call stack. The socket would wait there behind all that the loop has to do,
  // and take in requests meanwhile.
  mReleased = true;
  mTransport.setEvents({});
  mTransport.close();
  mTimer.reset();
  mPauseTimer.reset();
  const auto self = shared_from_this();
  mServer.mCallers.erase(self);
  mServer.mLoop.post([self] {});
}

} // namespace marigold::wire
