#include "wire/upstream.h"

#include <charconv>

namespace marigold::wire {
namespace {

using namespace std::chrono_literals;

/** Start line and headers of an answer in bytes; four times the 16 KiB that
 * callers may send, because upstreams add headers of their own. */
constexpr std::size_t kMaxAnswerHeaderBytes = 64UL * 1024;
/** Provisional answers and answers to earlier requests, in bytes for each call;
 * an earlier answer is skipped whole up to the size at which plain answers are
 * held whole. */
constexpr std::size_t kMostSkippedBytes = 1024UL * 1024;
/** A healthy connection stands within two round trips between regions; past
 * this the upstream counts as unreachable and nothing was sent. */
constexpr base::Duration kConnectTimeout = 400ms;

} // namespace

UpstreamConnection::UpstreamConnection(http::Loop& aLoop,
                                       const base::Address& aPeer)
  : mLoop(aLoop)
  , mTransport(aLoop, aPeer)
  , mParser(Parser::Kind::Answers,
            kMaxAnswerHeaderBytes,
            { [this] {
               mHead.status = mParser.status();
               mHead.headers = mParser.headers();
               mHeadPending = true;
               constexpr int kFinalStatus = 200;
               const std::string_view id =
                 http::findHeader(mHead.headers, mCall.idHeader);
               mForeign =
                 mHead.status < kFinalStatus || (!id.empty() && id != mCall.id);
               return !mCall.skipBody;
             },
              [this](std::string_view aBytes) { mCollected.append(aBytes); },
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
                         {},
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
  mIdleEnded = nullptr;
  mActive = true;
  mSent = false;
  mReusable = false;
  mSkippedBytes = 0;
  mParser.next();
  if (!mConnected) {
    mConnectTimer =
      mLoop.after(kConnectTimeout, [this] { fail(CallFailure::NotConnected); });
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
  if (!bytes) {
    return false;
  }
  mSent = true;
  mTransport.writeNow(*bytes);
  return true;
}

void
UpstreamConnection::idle(std::function<void()> aCallback)
{
  mActive = false;
  mEvents = {};
  mConnectTimer.reset();
  // A call that ended may have stopped it for its slow caller.
  mTransport.pauseReading(false);
  mIdleEnded = std::move(aCallback);
}

bool
UpstreamConnection::reusable() const
{
  return mReusable && mTransport.pendingInput() == 0 &&
         mTransport.pendingOutput() == 0;
}

void
UpstreamConnection::readInput()
{
  if (!mActive) {
    // Bytes without a request belong to no answer.
    const auto ended = mIdleEnded;
    if (ended) {
      ended();
    }
    return;
  }
  if (!mSent) {
    return; // The request is being withheld.
  }
  const auto alive = mAlive;
  while (*alive && mActive && mTransport.pendingInput() > 0) {
    const std::size_t used = mParser.feed(mTransport.input());
    mTransport.consume(used);
    if (mForeign || !mParser.headSeen()) {
      mSkippedBytes += used;
    }
    if (const auto failure = violation()) {
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
UpstreamConnection::violation() const
{
  if (mParser.oversized() || mSkippedBytes > kMostSkippedBytes) {
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
  if (mForeign) {
    // A late second answer of an earlier request, or a provisional one.
    mHeadPending = false;
    mCollected.clear();
    if (mParser.completed()) {
      mForeign = false;
      mParser.next();
    }
    return true;
  }
  if (mHeadPending) {
    mHeadPending = false;
    noteIdleLimit();
    const auto callback = mEvents.head;
    callback(mHead);
    if (!*alive || !mActive) {
      return false;
    }
  }
  if (!mCollected.empty()) {
    const std::string part = std::exchange(mCollected, {});
    const auto callback = mEvents.body;
    callback(part);
    if (!*alive || !mActive) {
      return false;
    }
  }
  if (!mParser.completed()) {
    return true;
  }
  mReusable = mParser.keepAlive() && !mParser.endsWithConnection();
  mActive = false;
  const auto callback = std::move(mEvents.complete);
  callback();
  return false;
}

void
UpstreamConnection::noteIdleLimit()
{
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view value = http::findHeader(mHead.headers, "Keep-Alive");
  const std::size_t at = value.find(kParameter);
  if (at == std::string_view::npos) {
    return;
  }
  const std::string_view digits = value.substr(at + kParameter.size());
  unsigned seconds = 0;
  const auto read =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec == std::errc{}) {
    mIdleLimit = std::chrono::seconds(seconds);
  }
}

void
UpstreamConnection::ended(TransportEnd aEnd)
{
  if (!mActive) {
    const auto ended = mIdleEnded;
    if (ended) {
      ended();
    }
    return;
  }
  if (!mSent) {
    fail(mConnected ? CallFailure::Cancelled : CallFailure::NotConnected);
    return;
  }
  if (aEnd == TransportEnd::Orderly && mParser.headSeen() && !mForeign) {
    mParser.feedEnd();
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
