#include "wire/caller_connection.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace marigold::wire {
namespace {

using namespace std::chrono_literals;

/** After the last answer the peer gets this long to read it, because a close
 * with unread input resets the connection and can destroy the answer. */
constexpr base::Duration kLinger = 1s;
/** Pipelined input that is kept while a request is served. */
constexpr std::size_t kMaxPipelinedBytes = 64UL * 1024;
/** Queue of connections that are not accepted yet. */
constexpr int kBacklog = 512;

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

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer, int aDescriptor)
  : mServer(aServer)
  , mTransport(aServer.mLoop, aDescriptor)
  , mParser(Parser::Kind::Requests,
            aServer.mLimits.headerBytes,
            { [this] { return acceptHead(); },
              [this](std::string_view aBytes) {
                mBodyTooLarge =
                  mBodyTooLarge || mRequest.body.size() + aBytes.size() >
                                     mServer.mLimits.bodyBytes;
                if (!mBodyTooLarge) {
                  mRequest.body.append(aBytes);
                }
              },
              [] {} })
{
}

void
CallerConnection::start()
{
  mTransport.setEvents({ {},
                         [this] { readInput(); },
                         [this] {
                           // The callback may be late: an earlier part was
                           // flushed and the last one still waits.
                           if (mClosing && mTransport.pendingOutput() == 0) {
                             mTransport.shutdownOutput();
                             armTimer(kLinger);
                           }
                         },
                         [this](TransportEnd) { ended(); } });
  armTimer(mServer.mLimits.idleTimeout);
}

void
CallerConnection::armTimer(base::Duration aDelay)
{
  mTimer = mServer.mLoop.after(aDelay, [this] { timerExpired(); });
}

void
CallerConnection::timerExpired()
{
  if (mBusy && !mClosing) {
    return;
  }
  if (!mClosing && mParser.started()) {
    refuse(408);
    return;
  }
  const bool unread = !mClosing && mTransport.hasInput();
  if (unread || outputIsRead()) {
    armTimer(kLinger);
    return;
  }
  remove();
}

bool
CallerConnection::outputIsRead()
{
  const std::size_t waiting = mTransport.pendingOutput();
  const base::TimePoint now = base::monotonicNow();
  if (waiting < mOutputSeen) {
    mOutputReadAt = now;
  }
  mOutputSeen = waiting;
  return waiting > 0 && now - mOutputReadAt < mServer.mLimits.idleTimeout;
}

void
CallerConnection::readInput()
{
  if (mClosing) {
    mTransport.consume(mTransport.pendingInput());
    return;
  }
  if (mBusy) {
    mTransport.pauseReading(mTransport.pendingInput() > kMaxPipelinedBytes);
    return;
  }
  const std::string_view input = mTransport.input();
  if (input.empty()) {
    return;
  }
  if (!mParser.started()) {
    mReceived = base::monotonicNow();
    armTimer(mServer.mLimits.headerTimeout);
  }
  const bool hadHead = mParser.headSeen();
  mTransport.consume(mParser.feed(input));
  if (rejectInvalid()) {
    return;
  }
  if (!hadHead && mParser.headSeen()) {
    armTimer(mServer.mLimits.idleTimeout);
    if (http::equalIgnoringCase(http::findHeader(mParser.headers(), "Expect"),
                                "100-continue") &&
        !mParser.completed()) {
      mTransport.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  if (mParser.completed()) {
    dispatch();
  }
}

bool
CallerConnection::rejectInvalid()
{
  if (mParser.headerTooLarge()) {
    refuse(431);
    return true;
  }
  if (mParser.failed()) {
    refuse(400);
    return true;
  }
  if (mBodyTooLarge) {
    refuse(413);
    return true;
  }
  return false;
}

void
CallerConnection::refuse(int aStatus)
{
  mBusy = true;
  ++mServer.mOpenRequests;
  mCloseAfter = true;
  mRequest.allowsChunks = false;
  reply(aStatus, {}, {});
}

bool
CallerConnection::acceptHead()
{
  return true;
}

void
CallerConnection::dispatch()
{
  mRequest.method = mParser.method();
  mRequest.target = mParser.target();
  mRequest.headers = std::move(mParser.headers());
  mRequest.keepAlive = mParser.keepAlive();
  mRequest.allowsChunks = mParser.isHttp11();
  mBusy = true;
  mAnswerStarted = false;
  mChunked = false;
  mTimer.reset();
  ++mServer.mOpenRequests;
  const auto self = shared_from_this();
  mServer.mHandler(self);
}

void
CallerConnection::writeHead(int aStatus,
                            const http::Headers& aHeaders,
                            bool aFramed)
{
  mAnswerStarted = true;
  mCloseAfter =
    mCloseAfter || !mRequest.keepAlive || mServer.mCloseAfterAnswers;
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  head += reasonPhrase(aStatus);
  head += "\r\n";
  for (const auto& [name, value] : aHeaders) {
    head += name + ": " + value + "\r\n";
  }
  if (!aFramed && mRequest.allowsChunks) {
    mChunked = true;
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!aFramed) {
    mCloseAfter = true;
  }
  if (mCloseAfter) {
    head += "Connection: close\r\n";
  }
  mTransport.write(head);
}

void
CallerConnection::reply(int aStatus,
                        const http::Headers& aHeaders,
                        std::string_view aBody)
{
  if (!mBusy || mAnswerStarted) {
    return;
  }
  writeHead(aStatus, aHeaders, true);
  std::string rest =
    "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  if (mRequest.method != "HEAD") {
    rest += aBody;
  }
  mTransport.write(rest);
  finishRequest();
}

void
CallerConnection::startStream(int aStatus, const http::Headers& aHeaders)
{
  if (!mBusy || mAnswerStarted) {
    return;
  }
  writeHead(aStatus, aHeaders, false);
  mTransport.write("\r\n");
}

void
CallerConnection::sendChunk(std::string_view aBytes)
{
  if (!mBusy || aBytes.empty()) {
    return;
  }
  if (!mChunked) {
    mTransport.write(aBytes);
    return;
  }
  std::string chunk = chunkHeader(aBytes.size());
  chunk += aBytes;
  chunk += "\r\n";
  mTransport.write(chunk);
}

void
CallerConnection::endStream()
{
  if (!mBusy) {
    return;
  }
  if (mChunked) {
    mTransport.write("0\r\n\r\n");
  }
  finishRequest();
}

void
CallerConnection::abort()
{
  if (!mBusy) {
    return;
  }
  mCloseAfter = true;
  if (!mChunked) {
    // Without chunks an orderly end would look like a complete answer.
    mTransport.resetOnClose();
    mBusy = false;
    --mServer.mOpenRequests;
    remove();
    return;
  }
  finishRequest();
}

void
CallerConnection::finishRequest()
{
  mBusy = false;
  --mServer.mOpenRequests;
  mGone = nullptr;
  mRequest = Request{};
  mOutputSeen = mTransport.pendingOutput();
  mOutputReadAt = base::monotonicNow();
  if (mCloseAfter) {
    beginClose();
    return;
  }
  mParser.next();
  mTransport.pauseReading(false);
  armTimer(mServer.mLimits.idleTimeout);
  if (mTransport.pendingInput() > 0) {
    // Not from here: the caller of answer() may not expect a new request.
    mServer.mLoop.post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->readInput();
      }
    });
  } else if (mServer.mStopped) {
    beginClose();
  }
}

void
CallerConnection::beginClose()
{
  mClosing = true;
  if (mTransport.pendingOutput() == 0) {
    mTransport.shutdownOutput();
  }
  armTimer(kLinger);
}

void
CallerConnection::ended()
{
  const auto self = shared_from_this();
  if (mBusy) {
    mBusy = false;
    --mServer.mOpenRequests;
    const auto gone = std::move(mGone);
    mGone = nullptr;
    if (gone) {
      gone();
    }
  }
  remove();
}

void
CallerConnection::remove()
{
  // The object may be in use further up the stack, so it is freed later.
  mTransport.setEvents({});
  mTimer.reset();
  const auto self = shared_from_this();
  mServer.mCallers.erase(self);
  mServer.mLoop.post([self] {});
}

CallerServer::CallerServer(http::Loop& aLoop, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
{
}

CallerServer::~CallerServer()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

base::Result<void>
CallerServer::listen(const base::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  mListener = evconnlistener_new_bind(
    mLoop.native(),
    [](evconnlistener*,
       evutil_socket_t aDescriptor,
       sockaddr*,
       int,
       void* aSelf) { static_cast<CallerServer*>(aSelf)->accept(aDescriptor); },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (mListener == nullptr) {
    return base::fail(base::Code::SettingsInvalid,
                      "cannot listen on " + aAddress.text());
  }
  return {};
}

void
CallerServer::accept(int aDescriptor)
{
  const auto caller = std::make_shared<CallerConnection>(*this, aDescriptor);
  mCallers.insert(caller);
  caller->start();
}

void
CallerServer::stop()
{
  mStopped = true;
  mCloseAfterAnswers = true;
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
    mListener = nullptr;
  }
  for (const auto& caller : std::set(mCallers)) {
    if (!caller->mBusy && !caller->mClosing && !caller->mParser.started() &&
        !caller->mTransport.hasInput()) {
      caller->beginClose();
    }
  }
}

} // namespace marigold::wire
