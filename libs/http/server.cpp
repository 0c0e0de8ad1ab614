#include "http/server.h"

#include "http/method.h"

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace marigold::http {
namespace {

constexpr int kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD;

std::string
decodePath(const evhttp_uri* aUri)
{
  const char* path = evhttp_uri_get_path(aUri);
  if (path == nullptr || *path == '\0') {
    return "/";
  }
  const std::unique_ptr<char, decltype(&std::free)> decoded(
    evhttp_uridecode(path, 0, nullptr), &std::free);
  return decoded ? decoded.get() : path;
}

Request
readRequest(evhttp_request* aRequest)
{
  Request request;
  request.method = methodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  request.path = decodePath(uri);
  if (const char* query = evhttp_uri_get_query(uri); query != nullptr) {
    request.query = query;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    request.headers.emplace_back(header->key, header->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  const std::size_t length = evbuffer_get_length(body);
  request.body.resize(length);
  evbuffer_copyout(body, request.body.data(), length);
  return request;
}

} // namespace

Responder::Responder(Server& aServer, evhttp_request* aRequest)
  : mServer(aServer)
  , mRequest(aRequest)
  , mServerAlive(aServer.mAlive)
{
  evhttp_connection* connection = evhttp_request_get_connection(mRequest);
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection*, void* aSelf) {
      static_cast<Responder*>(aSelf)->disconnected();
    },
    this);
  // evhttp does not read while a response is pending and would notice a caller
  // that disconnects only at the next write, so the socket is monitored here.
  const int descriptor =
    bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  // Without TCP_NODELAY each event after the first is held back until the
  // peer's delayed acknowledgement, about 40 ms.
  const int noDelay = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
  mPeerClosed =
    mServer.mLoop.onPeerClosed(descriptor, [this] { disconnected(); });
}

Responder::~Responder()
{
  if (!finished()) {
    if (mStarted) {
      abort();
    } else {
      reply({ 500, {}, "" });
    }
  }
}

void
Responder::disconnected()
{
  // The descriptor is about to be closed, or its event has already fired.
  mPeerClosed.reset();
  if (finished() || !mDisconnectCallback) {
    return;
  }
  const auto callback = std::move(mDisconnectCallback);
  mDisconnectCallback = nullptr;
  callback();
}

void
Responder::addHeaders(const Headers& aHeaders)
{
  evkeyvalq* output = evhttp_request_get_output_headers(mRequest);
  for (const auto& [name, value] : aHeaders) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
  if (mServer.mCloseAfterResponses) {
    evhttp_add_header(output, "Connection", "close");
  }
}

void
Responder::finish()
{
  mPeerClosed.reset();
  mServer.trackCompletion(mRequest);
  mRequest = nullptr;
  mDisconnectCallback = nullptr;
}

void
Responder::reply(const Response& aResponse)
{
  if (finished()) {
    return;
  }
  mStarted = true;
  addHeaders(aResponse.headers);
  evhttp_request* request = mRequest;
  finish();
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aResponse.body.data(), aResponse.body.size());
  evhttp_send_reply(request, aResponse.status, nullptr, body);
  evbuffer_free(body);
}

void
Responder::startStream(int aStatus, const Headers& aHeaders)
{
  if (finished()) {
    return;
  }
  mStarted = true;
  addHeaders(aHeaders);
  evhttp_send_reply_start(mRequest, aStatus, nullptr);
}

void
Responder::sendChunk(std::string_view aBytes)
{
  if (finished() || aBytes.empty()) {
    return;
  }
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, aBytes.data(), aBytes.size());
  evhttp_send_reply_chunk(mRequest, chunk);
  evbuffer_free(chunk);
}

void
Responder::endStream()
{
  if (finished()) {
    return;
  }
  evhttp_request* request = mRequest;
  finish();
  evhttp_send_reply_end(request);
}

void
Responder::abort()
{
  if (finished()) {
    return;
  }
  mPeerClosed.reset();
  mDisconnectCallback = nullptr;
  evhttp_request* request = std::exchange(mRequest, nullptr);
  --mServer.mOpenRequests;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection == nullptr) {
    evhttp_send_reply_end(request);
    return;
  }
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  // Frees the request too.
  evhttp_connection_free(connection);
}

void
Responder::onDisconnect(std::function<void()> aCallback)
{
  mDisconnectCallback = std::move(aCallback);
}

std::size_t
Responder::pendingBytes() const
{
  if (finished()) {
    return 0;
  }
  evhttp_connection* connection = evhttp_request_get_connection(mRequest);
  if (connection == nullptr) {
    return 0;
  }
  return evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

Server::Server(Loop& aLoop, ServerLimits aLimits, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mHttp(evhttp_new(aLoop.native()))
{
  evhttp_set_allowed_methods(mHttp, kAllowedMethods);
  evhttp_set_max_headers_size(mHttp,
                              static_cast<ev_ssize_t>(aLimits.headerBytes));
  evhttp_set_max_body_size(mHttp, static_cast<ev_ssize_t>(aLimits.bodyBytes));
  evhttp_set_gencb(mHttp, &Server::handle, this);
}

Server::~Server()
{
  *mAlive = false;
  evhttp_free(mHttp);
}

base::Result<void>
Server::listen(const Address& aAddress)
{
  mSocket =
    evhttp_bind_socket_with_handle(mHttp, aAddress.host.c_str(), aAddress.port);
  if (mSocket == nullptr) {
    return base::fail(base::Code::SettingsInvalid,
                      "cannot listen on " + aAddress.text());
  }
  return {};
}

void
Server::stopListening()
{
  if (mSocket != nullptr) {
    evhttp_del_accept_socket(mHttp, mSocket);
    mSocket = nullptr;
  }
}

void
Server::handle(evhttp_request* aRequest, void* aServer)
{
  auto* server = static_cast<Server*>(aServer);
  ++server->mOpenRequests;
  const auto responder = std::make_shared<Responder>(*server, aRequest);
  server->mHandler(readRequest(aRequest), responder);
}

void
Server::trackCompletion(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  if (connection == nullptr) {
    --mOpenRequests;
    return;
  }
  // Exactly one of the two callbacks runs: when the response was flushed, or
  // when the connection closes before that.
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection*, void* aSelf) {
      --static_cast<Server*>(aSelf)->mOpenRequests;
    },
    this);
  evhttp_request_set_on_complete_cb(
    aRequest,
    [](evhttp_request* aDone, void* aSelf) {
      --static_cast<Server*>(aSelf)->mOpenRequests;
      if (evhttp_connection* open = evhttp_request_get_connection(aDone);
          open != nullptr) {
        evhttp_connection_set_closecb(open, nullptr, nullptr);
      }
    },
    this);
}

} // namespace marigold::http
