#include "http/client.h"

#include "http/input_timer.h"
#include "http/kept_connection.h"
#include "http/method.h"

#include <algorithm>
#include <array>
#include <climits>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace marigold::http {
namespace {

/** Timeout of evhttp itself, long enough that only the timeout of each call
 * matters. */
constexpr int kEvhttpTimeoutSeconds = 7200;
/** Maximum size of the headers of a response; the wire library has the same
 * limit for upstreams. */
constexpr ev_ssize_t kMaxHeaderBytes = 64L * 1024;
/** Maximum number of bytes received before the headers of the final response
 * are complete, interim (1xx) responses included. Twice the limit of one
 * response, because a read may also contain a part of the body. */
constexpr std::size_t kMaxHeadsBytes = 2 * kMaxHeaderBytes;
/** Maximum size of a chunk header or trailer section; evhttp itself has no
 * limit for it. */
constexpr std::size_t kMaxChunkLineBytes = kMaxHeaderBytes;
/** Maximum size of a response on the wire. A chunk header takes 6 bytes, so a
 * body of the maximum size still fits if it arrives in chunks of 6 bytes, as
 * streams of small events do. */
constexpr std::size_t
maxResponseBytes(std::size_t aBodyBytes)
{
  return kMaxHeadsBytes + 2 * aBodyBytes;
}

constexpr int kContinueStatus = 100;

/** The kernel resets the connection when the socket is closed, also at the end
 * of the process, instead of sending unacknowledged bytes again. */
void
setResetOnClose(int aDescriptor, bool aReset)
{
  const linger option{ aReset ? 1 : 0, 0 };
  setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

/** The kernel resets the connection if sent bytes stay unacknowledged for this
 * long, also while the process does not run. It measures TCP_USER_TIMEOUT from
 * the first timeout of retransmission, which follows a loss probe. */
void
setRetransmissionLimit(int aDescriptor, base::Duration aLimit)
{
  constexpr int kTimeoutsBefore = 2;
  tcp_info info{};
  socklen_t size = sizeof(info);
  getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
  const base::Duration before =
    kTimeoutsBefore * std::chrono::microseconds(info.tcpi_rto);
  const auto limit = static_cast<unsigned>(std::clamp<std::int64_t>(
    base::inMilliseconds(aLimit - before), 1, INT_MAX));
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

/** @param aRequest FIONREAD or SIOCOUTQ @return number of bytes in the socket
 */
std::size_t
bytesInSocket(int aDescriptor, unsigned long aRequest)
{
  int bytes = 0;
  return ioctl(aDescriptor, aRequest, &bytes) == 0
           ? static_cast<std::size_t>(bytes)
           : 0;
}

void
readHead(evhttp_request* aRequest, Response& aResponse)
{
  aResponse.status = evhttp_request_get_response_code(aRequest);
  aResponse.headers.clear();
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    aResponse.headers.emplace_back(header->key, header->value);
  }
}

std::string
takeBytes(evhttp_request* aRequest)
{
  evbuffer* buffer = evhttp_request_get_input_buffer(aRequest);
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

} // namespace

/** A connection and the progress of the current call on it. */
struct Client::Connection
{
  Connection(Loop& aLoop, Address aAddress, std::size_t aBodyBytes)
    : address(std::move(aAddress))
    , maxBytes(maxResponseBytes(aBodyBytes))
  {
    bufferevent* transport =
      bufferevent_socket_new(aLoop.native(), -1, BEV_OPT_CLOSE_ON_FREE);
    output = bufferevent_get_output(transport);
    evbuffer_add_cb(output, &Connection::onOutput, this);
    input = bufferevent_get_input(transport);
    evbuffer_add_cb(input, &Connection::onInput, this);
    native = evhttp_connection_base_bufferevent_new(
      aLoop.native(), nullptr, transport, address.host.c_str(), address.port);
    evhttp_connection_set_timeout(native, kEvhttpTimeoutSeconds);
    evhttp_connection_set_max_headers_size(native, kMaxHeaderBytes);
    evhttp_connection_set_max_body_size(native,
                                        static_cast<ev_ssize_t>(aBodyBytes));
    evhttp_connection_set_closecb(native, &Connection::onClose, this);
  }

  ~Connection()
  {
    evbuffer_remove_cb(input, &Connection::onInput, this);
    evbuffer_remove_cb(output, &Connection::onOutput, this);
    evhttp_connection_set_closecb(native, nullptr, nullptr);
    evhttp_connection_free(native);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static void onOutput(evbuffer* /*aBuffer*/,
                       const evbuffer_cb_info* aInfo,
                       void* aSelf)
  {
    auto* self = static_cast<Connection*>(aSelf);
    if (aInfo->n_added > 0 && !self->begun) {
      self->begun = true;
      self->prepareSending();
    }
    if (aInfo->n_deleted > 0 && !self->withheld) {
      self->sent = true;
    }
  }

  int descriptor() const
  {
    return bufferevent_getfd(evhttp_connection_get_bufferevent(native));
  }

  /** Runs when the connection is established, before the first byte of the
   * request is written. After a freeze that may be later than the deadline. */
  void prepareSending()
  {
    const base::Duration left = deadline - base::monotonicNow();
    if (left <= base::Duration::zero()) {
      withheld = true;
      shutdown(descriptor(), SHUT_WR);
      return;
    }
    setResetOnClose(descriptor(), true);
    setRetransmissionLimit(descriptor(), left);
  }

  void startCall(Call::State* aCall, base::Duration aTimeout)
  {
    call = aCall;
    received = 0;
    statusLine.clear();
    sent = false;
    begun = false;
    withheld = false;
    deadline = base::monotonicNow() + aTimeout;
  }

  /** evhttp takes a line from the buffer when all of it has arrived, so the
   * buffer begins with the status line until then. */
  void noteStatusLine()
  {
    if (statusLine.size() < kStatusLineBytes) {
      std::array<char, kStatusLineBytes> bytes{};
      const auto size = evbuffer_copyout(input, bytes.data(), bytes.size());
      statusLine.assign(
        bytes.data(), static_cast<std::size_t>(std::max<ev_ssize_t>(size, 0)));
    }
  }

  static void onInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf);

  static void onClose(evhttp_connection* /*aConnection*/, void* aSelf)
  {
    static_cast<Connection*>(aSelf)->closed = true;
  }

  /** @return true if a byte of the request may still be sent, so that no answer
   * is complete and a later end of the call would let it be sent late */
  bool maySend() const
  {
    return !begun || evbuffer_get_length(output) > 0 ||
           bytesInSocket(descriptor(), SIOCOUTQ) > 0;
  }

  /** Polls the socket, because the event loop may be late.
   * @return true if the server has ended the connection, or if bytes follow the
   * end of the response, which would be read as the start of the next one */
  bool stale() const
  {
    pollfd state{ descriptor(), POLLIN | POLLRDHUP, 0 };
    return closed || evbuffer_get_length(input) > 0 || poll(&state, 1, 0) > 0;
  }

  Address address;
  std::size_t maxBytes; ///< of a response
  evhttp_connection* native = nullptr;
  evbuffer* output = nullptr;
  evbuffer* input = nullptr;
  Call::State* call = nullptr; ///< current call, if any
  std::size_t received = 0;    ///< bytes of the current response
  std::string statusLine;      ///< its beginning
  base::TimePoint deadline{};  ///< no byte of the request is sent later
  bool begun = false;          ///< the request was passed to the socket buffer
  bool withheld = false;       ///< the deadline passed before the first byte
  bool sent = false;
  bool closed = false;
  base::TimePoint idleUntil{}; ///< no other call is sent on it later
  EventHandle idleTimer;
};

struct Call::State
{
  Client* client = nullptr;
  std::weak_ptr<bool> clientAlive;
  Loop* loop = nullptr;
  std::unique_ptr<Client::Connection> connection;
  evhttp_request* request = nullptr;
  CallEvents events;
  Response response;
  InputTimer timer;
  EventHandle pause;
  bool headersComplete = false;
  bool expired = false; ///< the timeout has passed; what arrived is read

  void end(CallEnd aEnd, bool aReusable);
  void timedOut();
  /** @return the response so far, nothing if none can be complete */
  std::optional<InputCount> countInputOnExpiry();
  /** @param aUnread number of received bytes that evhttp has not consumed
   * @return true if the response exceeds a size limit */
  bool oversized(std::size_t aUnread) const;
  static int onHead(evhttp_request* aRequest, void* aState);
  static void onChunk(evhttp_request* aRequest, void* aState);
  static void onDone(evhttp_request* aRequest, void* aState);
};

void
Client::Connection::onInput(evbuffer* aBuffer,
                            const evbuffer_cb_info* aInfo,
                            void* aSelf)
{
  auto* self = static_cast<Connection*>(aSelf);
  if (aInfo->n_added == 0 || self->call == nullptr) {
    return;
  }
  self->received += aInfo->n_added;
  self->noteStatusLine();
  if (!self->call->oversized(evbuffer_get_length(aBuffer))) {
    return;
  }
  // Deferred, because evhttp is reading from the connection.
  Call::State* call = std::exchange(self->call, nullptr);
  call->timer.start(*call->loop, base::Duration::zero(), nullptr, [call] {
    evhttp_cancel_request(call->request);
    call->end(CallEnd::Broken, false);
  });
}

bool
Call::State::oversized(std::size_t aUnread) const
{
  if (request == nullptr) {
    return false;
  }
  if (!headersComplete) {
    return connection->received > kMaxHeadsBytes;
  }
  const bool betweenChunks = request->chunked != 0 && request->ntoread < 0;
  return (betweenChunks && aUnread > kMaxChunkLineBytes) ||
         connection->received > connection->maxBytes;
}

void
Call::State::end(CallEnd aEnd, bool aReusable)
{
  timer.reset();
  pause.reset();
  request = nullptr;
  if (connection) {
    connection->call = nullptr;
    if (aEnd == CallEnd::Complete) {
      setResetOnClose(connection->descriptor(), false);
    }
    if (clientAlive.lock()) {
      client->release(std::move(connection),
                      aReusable,
                      announcedIdleTimeout(response.headers));
    } else {
      connection.reset();
    }
  }
  // The callback may destroy this call; nothing may be accessed after it.
  const auto callback = std::move(events.done);
  events = {};
  const Response result = std::move(response);
  if (callback) {
    callback(aEnd, result);
  }
}

void
Call::State::timedOut()
{
  if (request != nullptr) {
    evhttp_cancel_request(request);
  }
  end(CallEnd::TimedOut, false);
}

std::optional<InputCount>
Call::State::countInputOnExpiry()
{
  expired = true;
  if (!connection || connection->maySend()) {
    return std::nullopt;
  }
  const std::uint64_t handled = connection->received;
  return InputCount{
    handled + bytesInSocket(connection->descriptor(), FIONREAD), handled
  };
}

int
Call::State::onHead(evhttp_request* aRequest, void* aState)
{
  auto* state = static_cast<State*>(aState);
  constexpr int kFail = -1;
  if (!hasThreeDigitStatus(state->connection->statusLine)) {
    return kFail;
  }
  readHead(aRequest, state->response);
  const int status = state->response.status;
  if (status == kContinueStatus && !isFramed(state->response.headers)) {
    state->connection->statusLine.clear();
    state->connection->noteStatusLine();
    return 0; // evhttp goes on to read the final response.
  }
  if (status < kFirstFinalStatus || status > kLastStatus) {
    return kFail;
  }
  state->headersComplete = true;
  if (state->events.head) {
    const auto callback = state->events.head;
    callback(state->response);
  }
  return 0;
}

void
Call::State::onChunk(evhttp_request* aRequest, void* aState)
{
  auto* state = static_cast<State*>(aState);
  const std::string bytes = takeBytes(aRequest);
  if (state->events.chunk) {
    const auto callback = state->events.chunk;
    callback(bytes);
  } else {
    state->response.body += bytes;
  }
}

void
Call::State::onDone(evhttp_request* aRequest, void* aState)
{
  auto* state = static_cast<State*>(aState);
  const bool failed =
    aRequest == nullptr || evhttp_request_get_response_code(aRequest) == 0;
  if (failed) {
    const bool sent = state->connection && state->connection->sent;
    const CallEnd end = state->expired ? CallEnd::TimedOut : CallEnd::Broken;
    state->end(sent ? end : CallEnd::NotSent, false);
    return;
  }
  readHead(aRequest, state->response);
  const std::string_view connection =
    findHeader(state->response.headers, "Connection");
  const bool framed =
    isFramed(state->response.headers) || state->response.status == kNoContent;
  // A close-delimited response cannot be distinguished from a truncated one.
  state->end(framed ? CallEnd::Complete : CallEnd::Broken,
             framed && !equalIgnoringCase(connection, "close"));
}

Call::Call(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Call::~Call()
{
  if (mState->request != nullptr) {
    evhttp_cancel_request(mState->request);
    mState->request = nullptr;
  }
  mState->timer.reset();
  if (!mState->connection) {
    return;
  }
  mState->connection->call = nullptr;
  if (mState->clientAlive.lock()) {
    mState->client->discard(std::move(mState->connection));
  }
}

bool
Call::sent() const
{
  return mState->connection && mState->connection->sent;
}

void
Call::setPaused(bool aPaused)
{
  State* state = mState.get();
  // Deferred, because evhttp re-enables reading after each callback.
  state->pause = state->loop->after(base::Duration::zero(), [state, aPaused] {
    if (!state->connection) {
      return;
    }
    bufferevent* transport =
      evhttp_connection_get_bufferevent(state->connection->native);
    if (aPaused) {
      bufferevent_disable(transport, EV_READ);
    } else {
      bufferevent_enable(transport, EV_READ);
    }
  });
}

Client::Client(Loop& aLoop, const ClientLimits& aLimits)
  : mLoop(aLoop)
  , mLimits(aLimits)
{
}

Client::~Client()
{
  *mAlive = false;
}

std::unique_ptr<Client::Connection>
Client::connect(const Address& aAddress, bool aReuse)
{
  auto& idle = mIdle[aAddress];
  while (aReuse && !idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle.back());
    idle.pop_back();
    connection->idleTimer.reset();
    // The timer of its end may wait behind the call in a late loop.
    if (base::monotonicNow() < connection->idleUntil && !connection->stale()) {
      return connection;
    }
    discard(std::move(connection));
  }
  return std::make_unique<Connection>(mLoop, aAddress, mLimits.bodyBytes);
}

void
Client::release(std::unique_ptr<Connection> aConnection,
                bool aReusable,
                std::optional<base::Duration> aIdleTimeout)
{
  auto& idle = mIdle[aConnection->address];
  const auto reuse =
    reuseTime(aIdleTimeout, sinceLastInput(aConnection->descriptor()));
  if (!aReusable || !reuse || aConnection->stale() ||
      idle.size() >= mLimits.idlePerAddress) {
    discard(std::move(aConnection));
    return;
  }
  Connection* kept = aConnection.get();
  kept->idleUntil = base::monotonicNow() + *reuse;
  kept->idleTimer = mLoop.after(*reuse, [this, kept] { removeIdle(*kept); });
  idle.push_back(std::move(aConnection));
}

void
Client::removeIdle(const Connection& aConnection)
{
  auto& idle = mIdle[aConnection.address];
  const auto found =
    std::find_if(idle.begin(), idle.end(), [&](const auto& aItem) {
      return aItem.get() == &aConnection;
    });
  std::unique_ptr<Connection> removed = std::move(*found);
  idle.erase(found);
  discard(std::move(removed));
}

void
Client::closeIdle()
{
  for (auto& [address, connections] : std::exchange(mIdle, {})) {
    for (std::unique_ptr<Connection>& connection : connections) {
      discard(std::move(connection));
    }
  }
}

void
Client::discard(std::unique_ptr<Connection> aConnection)
{
  aConnection->idleTimer.reset();
  // Deferred, because evhttp may be using the connection further up the call
  // stack.
  const std::shared_ptr<Connection> held(std::move(aConnection));
  mLoop.post([held] {});
}

std::unique_ptr<Call>
Client::start(const Address& aAddress,
              const Request& aRequest,
              base::Duration aTimeout,
              CallEvents aEvents,
              bool aReuse)
{
  auto state = std::make_unique<Call::State>();
  Call::State* raw = state.get();
  raw->client = this;
  raw->clientAlive = mAlive;
  raw->loop = &mLoop;
  raw->events = std::move(aEvents);
  raw->connection = connect(aAddress, aReuse);
  raw->connection->startCall(raw, aTimeout);
  raw->request = evhttp_request_new(&Call::State::onDone, raw);
  evhttp_request_set_header_cb(raw->request, &Call::State::onHead);
  evhttp_request_set_chunked_cb(raw->request, &Call::State::onChunk);

  evkeyvalq* headers = evhttp_request_get_output_headers(raw->request);
  evhttp_add_header(headers, "Host", aAddress.text().c_str());
  for (const auto& [name, value] : aRequest.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!aRequest.body.empty() || aRequest.method != "GET") {
    evhttp_add_header(
      headers, "Content-Length", std::to_string(aRequest.body.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw->request),
               aRequest.body.data(),
               aRequest.body.size());
  std::string target = aRequest.path;
  if (!aRequest.query.empty()) {
    target += "?" + aRequest.query;
  }

  auto call = std::unique_ptr<Call>(new Call(std::move(state)));
  raw->timer.start(
    mLoop,
    aTimeout,
    [raw] { return raw->countInputOnExpiry(); },
    [raw] { raw->timedOut(); });
  if (evhttp_make_request(raw->connection->native,
                          raw->request,
                          methodCode(aRequest.method),
                          target.c_str()) != 0) {
    // evhttp has already freed the request.
    raw->request = nullptr;
    raw->timer.start(mLoop, base::Duration::zero(), nullptr, [raw] {
      raw->end(CallEnd::NotSent, false);
    });
  }
  return call;
}

} // namespace marigold::http
