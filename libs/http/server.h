/** @file HTTP server with streamed answers on evhttp. */
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

/** Limits of a server, so that a caller cannot exhaust its memory. */
struct ServerLimits
{
  std::size_t headerBytes = 32UL * 1024;
  std::size_t bodyBytes = 2UL * 1024 * 1024;
};

class Server;

/**
 * The answer to one request. Exactly one of reply() or startStream() ...
 * endStream() is used. It outlives a caller that disconnects: later calls then
 * have no effect.
 */
class Responder
{
public:
  Responder(Server& aServer, evhttp_request* aRequest);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  /** Sends a complete answer. @param aAnswer status, headers and body */
  void reply(const Response& aAnswer);

  /**
   * Starts a chunked answer.
   * @param aStatus HTTP status
   * @param aHeaders headers
   */
  void startStream(int aStatus, const Headers& aHeaders);

  /** Sends one chunk. @param aBytes content, not empty */
  void sendChunk(std::string_view aBytes);

  /** Ends a chunked answer regularly. */
  void endStream();

  /**
   * Breaks the connection without the final chunk, so that the caller can tell
   * that the answer is not complete.
   */
  void abort();

  /** @param aCallback runs once if the caller disconnects before the end */
  void onDisconnect(std::function<void()> aCallback);

  /** @return bytes that wait to be sent to the caller */
  std::size_t pendingBytes() const;

  /** @return true once the answer has started */
  bool started() const { return mStarted; }

  /** @return true once the answer has ended or the caller has gone */
  bool finished() const { return mRequest == nullptr || !*mServerAlive; }

private:
  void finish();
  void addHeaders(const Headers& aHeaders);
  void disconnected();

  Server& mServer;
  evhttp_request* mRequest;
  std::function<void()> mDisconnect;
  EventHandle mPeerClosed;
  /** False once the server is gone, which frees its requests. */
  std::shared_ptr<bool> mServerAlive;
  bool mStarted = false;
};

using Handler =
  std::function<void(const Request&, const std::shared_ptr<Responder>&)>;

/** Listens on one address and hands each request to a handler. */
class Server
{
public:
  /**
   * @param aLoop loop that runs the server
   * @param aLimits limits for each request
   * @param aHandler called with each complete request
   */
  Server(Loop& aLoop, ServerLimits aLimits, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** @param aAddress where to listen @return PlatformUnreachable if taken */
  base::Result<void> listen(const Address& aAddress);

  /** Stops accepting connections; open ones are served to their end. */
  void stopListening();

  /** Answers carry "Connection: close" from now on. */
  void closeAfterResponses() { mClosing = true; }

  /** @return requests whose answer has not been handed to the network */
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
  bool mClosing = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace marigold::http
