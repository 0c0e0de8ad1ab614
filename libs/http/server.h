/** @file HTTP server based on evhttp, with streamed responses. */
#pragma once

#include "base/error.h"
#include "http/address.h"
#include "http/loop.h"
#include "http/message.h"

#include <functional>
#include <memory>

struct evhttp;
struct evhttp_request;
struct evhttp_bound_socket;

namespace marigold::http {

/** Size limits of requests in bytes; they bound the memory used per request. */
struct ServerLimits
{
  std::size_t headerBytes = 32UL * 1024;
  std::size_t bodyBytes = 2UL * 1024 * 1024;
};

class Server;

/**
 * Sends the response to one request: either with reply(), or with
 * startStream(), sendChunk() and endStream(). Calls have no effect after the
 * caller disconnected or the server was destroyed. If no response was sent, the
 * destructor replies with status 500; it aborts an incomplete stream.
 */
class Responder
{
public:
  Responder(Server& aServer, evhttp_request* aRequest);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  /** Sends a complete response. @param aResponse status, headers and body */
  void reply(const Response& aResponse);

  /**
   * Starts a streamed response with chunked encoding.
   * @param aStatus HTTP status
   * @param aHeaders headers
   */
  void startStream(int aStatus, const Headers& aHeaders);

  /** Sends one chunk of the body. @param aBytes content; ignored if empty */
  void sendChunk(std::string_view aBytes);

  /** Completes a streamed response. */
  void endStream();

  /**
   * Closes the connection without the final chunk, so that the caller detects
   * an incomplete response.
   */
  void abort();

  /** @param aCallback runs once if the caller disconnects before the response
   * ends */
  void onDisconnect(std::function<void()> aCallback);

  /** @return number of buffered bytes not yet sent to the caller */
  std::size_t pendingBytes() const;

  /** @return true once the response has started */
  bool started() const { return mStarted; }

  /** @return true once the response has ended or the server was destroyed */
  bool finished() const { return mRequest == nullptr || !*mServerAlive; }

private:
  void finish();
  void addHeaders(const Headers& aHeaders);
  void disconnected();

  Server& mServer;
  evhttp_request* mRequest;
  std::function<void()> mDisconnectCallback;
  EventHandle mPeerClosed;
  /** False once the server was destroyed, which frees its requests. */
  std::shared_ptr<bool> mServerAlive;
  bool mStarted = false;
};

/** Handles a request; the responder may be used after the handler returned. */
using Handler =
  std::function<void(const Request&, const std::shared_ptr<Responder>&)>;

/** Listens on one address and passes each request to a handler. */
class Server
{
public:
  /**
   * @param aLoop event loop
   * @param aLimits size limits of each request
   * @param aHandler called with each complete request
   */
  Server(Loop& aLoop, ServerLimits aLimits, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** @param aAddress address to listen on @return SettingsInvalid on failure */
  base::Result<void> listen(const Address& aAddress);

  /** Stops accepting connections; open connections are still served. */
  void stopListening();

  /** From now on, sends "Connection: close" with each response. */
  void closeAfterResponses() { mCloseAfterResponses = true; }

  /** @return number of requests whose response is not yet flushed */
  std::size_t openRequests() const { return mOpenRequests; }

private:
  friend class Responder;
  static void handle(evhttp_request* aRequest, void* aServer);
  void trackCompletion(evhttp_request* aRequest);

  Loop& mLoop;
  Handler mHandler;
  evhttp* mHttp;
  evhttp_bound_socket* mSocket = nullptr;
  std::size_t mOpenRequests = 0;
  bool mCloseAfterResponses = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace marigold::http
