#include "wire/upstream.h"

#include <algorithm>

namespace marigold::wire {
namespace {

using namespace std::chrono_literals;

/** Maximum size of start line and headers of a response. Four times the 16 KiB
 * allowed to callers, because upstreams add their own headers. */
constexpr std::size_t kMaxResponseHeaderBytes = 64UL * 1024;
/** Maximum size per call of all interim (1xx) responses and responses to
 * earlier requests. An earlier response is skipped whole up to the size limit
 * of buffered responses. */
constexpr std::size_t kMaxSkippedBytes = 1024UL * 1024;
/** A healthy connection is established within two round trips between regions.
 * After this timeout the upstream counts as unreachable; nothing was sent. */
constexpr base::Duration kConnectTimeout = 400ms;
/** Requests whose late answers may still arrive on a connection. */
constexpr std::size_t kMaxCarriedIds = 16;

} // namespace

UpstreamConnection::UpstreamConnection(http::Loop& aLoop,
                                       const base::Address& aPeer,
                                       base::MemoryBudget& aMemory)
  : mLoop(aLoop)
  , mOutputCharge(aMemory)
  , mTransport(aLoop, aPeer)
  , mParser(Parser::Kind::Responses,
            kMaxResponseHeaderBytes,
            { [this] {
               mHead.status = mParser.status();
               mHead.headers = mParser.headers();
               mHeadPending = true;
               const std::string_view id =
                 http::findHeader(mHead.headers, mCall.idHeader);
               mSkipping = mHead.status < http::kFirstFinalStatus ||
                           (!id.empty() && id != mCall.id);
               return !mCall.skipBody;
             },
              [this](std::string_view aBytes) { mPendingBody.append(aBytes); },
              [] {} })
{
  mTransport.setEvents({ [this] {
                          mConnected = true;
                          mConnectTimer.reset();
                          if (mActive && !send()) {
                            fail(CallFailure::Cancelled);
                          }
                        },
                         [this] { readInput(); },
                         [this] { chargeOutput(); },
                         [this](TransportEnd aEnd) { ended(aEnd); } });
}

UpstreamConnection::~UpstreamConnection()
{
  *mAlive = false;
}

void
UpstreamConnection::start(OutgoingCall aCall, CallEvents aEvents)
{
  mCall = std::move(aCall);
  mEvents = std::move(aEvents);
  mCarriedIds.push_back(mCall.id);
  if (mCarriedIds.size() > kMaxCarriedIds) {
    mCarriedIds.pop_front();
  }
  mIdleCallback = nullptr;
  mActive = true;
  mSent = false;
  mOutputCharge.set(mCall.bodyBytes);
  mReusable = false;
  mSkippedBytes = 0;
  mHeadPending = false;
  mSkipping = false;
  mPendingBody.clear();
  mParser.reset();
  if (!mConnected) {
    mConnectTimer.start(
      mLoop,
      kConnectTimeout,
      [this] { return mTransport.inputCount(); },
      [this] { fail(CallFailure::NotConnected); });
    return;
  }
  if (!send()) {
    mLoop.post([this, alive = mAlive] {
      if (*alive && mActive) {
        fail(CallFailure::Cancelled);
      }
    });
  }
}

bool
UpstreamConnection::send()
{
  const auto bytes = mCall.makeBytes();
  if (bytes) {
    mSent = true;
    mTransport.resetOnClose();
    mTransport.writeNow(*bytes);
  }
  chargeOutput();
  return mSent;
}

void
UpstreamConnection::chargeOutput()
{
  mOutputCharge.set(mTransport.pendingOutput());
}

void
UpstreamConnection::setIdle(std::function<void()> aCallback)
{
  mActive = false;
  mEvents = {};
  mConnectTimer.reset();
  // The previous call may have paused reading for a slow caller.
  mTransport.pauseReading(false);
  mIdleCallback = std::move(aCallback);
}

bool
UpstreamConnection::hasCarried(const std::string& aId) const
{
  return !aId.empty() &&
         std::find(mCarriedIds.begin(), mCarriedIds.end(), aId) !=
           mCarriedIds.end();
}

SendProgress
UpstreamConnection::progress() const
{
  const std::size_t unsent = mTransport.pendingOutput();
  return { mConnected,
           base::monotonicNow() - mOpenedAt,
           unsent,
           mTransport.unacknowledgedOutput() - unsent };
}

bool
UpstreamConnection::reusable() const
{
  return mReusable && mTransport.pendingInput() == 0 &&
         mTransport.unacknowledgedOutput() == 0;
}

void
UpstreamConnection::readInput()
{
  if (!mActive) {
    // Bytes on an idle connection belong to no response.
    const auto callback = mIdleCallback;
    if (callback) {
      callback();
    }
    return;
  }
  if (!mSent) {
    return; // The cancelled call fails from the event loop.
  }
  const auto alive = mAlive;
  while (*alive && mActive && mTransport.pendingInput() > 0) {
    const std::size_t used = mParser.feed(mTransport.input());
    mTransport.consume(used);
    if (mSkipping || !mParser.headersComplete()) {
      mSkippedBytes += used;
    }
    if (const auto failure = inputFailure()) {
      if (deliver()) {
        fail(*failure);
      }
      return;
    }
    if (!deliver()) {
      return;
    }
  }
}

std::optional<CallFailure>
UpstreamConnection::inputFailure() const
{
  if (mParser.oversized() || mSkippedBytes > kMaxSkippedBytes) {
    return CallFailure::Oversized;
  }
  if (mParser.failed()) {
    return CallFailure::Malformed;
  }
  return std::nullopt;
}

bool
UpstreamConnection::deliver()
{
  const auto alive = mAlive;
  if (mSkipping) {
    // A late duplicate response to an earlier request, or an interim one.
    mHeadPending = false;
    mPendingBody.clear();
    if (mParser.completed()) {
      mSkipping = false;
      mParser.reset();
    }
    return true;
  }
  if (mHeadPending) {
    mHeadPending = false;
    if (const auto announced = http::announcedIdleTimeout(mHead.headers)) {
      mIdleTimeout = announced;
    }
    const auto callback = mEvents.head;
    callback(mHead);
    if (!*alive || !mActive) {
      return false;
    }
  }
  if (!mPendingBody.empty()) {
    const std::string part = std::exchange(mPendingBody, {});
    const auto callback = mEvents.body;
    callback(part);
    if (!*alive || !mActive) {
      return false;
    }
  }
  if (!mParser.completed()) {
    return true;
  }
  mTransport.resetOnClose(false);
  mReusable = mParser.keepAlive();
  mActive = false;
  const auto callback = std::move(mEvents.complete);
  callback();
  return false;
}

void
UpstreamConnection::ended(TransportEnd aEnd)
{
  if (!mActive) {
    const auto callback = mIdleCallback;
    if (callback) {
      callback();
    }
    return;
  }
  if (!mSent) {
    fail(mConnected ? CallFailure::Cancelled : CallFailure::NotConnected);
    return;
  }
  if (aEnd == TransportEnd::Orderly && mParser.headersComplete() &&
      !mSkipping) {
    mParser.feedEof();
    if (mParser.completed()) {
      deliver();
      return;
    }
  }
  fail(CallFailure::Broken);
}

void
UpstreamConnection::fail(CallFailure aFailure)
{
  mActive = false;
  mReusable = false;
  const auto callback = std::move(mEvents.failed);
  if (callback) {
    callback(aFailure);
  }
}

} // namespace marigold::wire
