/** @file HTTP client based on evhttp, with streamed responses. */
#pragma once

#include "base/error.h"
#include "base/time.h"
#include "http/address.h"
#include "http/loop.h"
#include "http/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

struct evhttp_connection;
struct evhttp_request;
struct evbuffer_cb_info;
struct evbuffer;

namespace marigold::http {

/** How a call ended. */
enum class CallEnd : std::uint8_t
{
  Complete,  ///< the complete response arrived
  NotSent,   ///< failed before any byte of the request was written
  Broken,    ///< failed later, or the response is incomplete or too large
  TimedOut,  ///< no complete response in time; may have been sent
  Cancelled, ///< cancelled by the user of the client
};

/** Callbacks of one call; only done is required. */
struct CallEvents
{
  /** Status and headers of the final response arrived. */
  std::function<void(const Response&)> head;
  /** A part of the body arrived. If set, done gets a response without body. */
  std::function<void(std::string_view)> chunk;
  /** The call ended. Runs exactly once unless the call is destroyed before. */
  std::function<void(CallEnd, const Response&)> done;
};

class Client;

/** A call in progress; the destructor cancels it. */
class Call
{
public:
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /** @return true once a byte of the request was written to the socket */
  bool sent() const;

  /**
   * Pauses or resumes reading the response. Pausing bounds the memory used for
   * a slow consumer. Takes effect after the current callback.
   * @param aPaused true to pause
   */
  void setPaused(bool aPaused);

private:
  friend class Client;
  struct State;
  explicit Call(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

/** Size limits of a client. */
struct ClientLimits
{
  std::size_t idlePerAddress = 32; ///< number of idle connections per address
  /** Bytes of the body of a response: eight pages of the platform's store at
   * about 1 MB each. */
  std::size_t bodyBytes = 8UL * 1024 * 1024;
};

/**
 * HTTP client with connection reuse. A connection is reused only after a
 * complete response and reset otherwise, because bytes of the old response
 * could be read as the next one and the kernel could send the request again. An
 * idle one is closed before its server may close it, which would lose a call.
 * No byte of a request is sent over a new connection that was established after
 * the call's timeout, and the kernel sends none again after it.
 */
class Client
{
public:
  /** @param aLoop event loop @param aLimits limits; a call whose response
   * exceeds them ends as Broken */
  explicit Client(Loop& aLoop, const ClientLimits& aLimits = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * Starts a call.
   * @param aAddress server address
   * @param aRequest request; Content-Length and Host are added
   * @param aTimeout time after which the call ends as TimedOut, unless the rest
   * of the response had arrived by then
   * @param aEvents callbacks, never invoked before this function returns
   * @param aReuse false to open a new connection
   * @return the call
   */
  [[nodiscard]] std::unique_ptr<Call> start(const Address& aAddress,
                                            const Request& aRequest,
                                            base::Duration aTimeout,
                                            CallEvents aEvents,
                                            bool aReuse = true);

  /** Closes all idle connections, so that the next calls open new ones. */
  void closeIdle();

private:
  friend class Call;
  struct Connection;
  std::unique_ptr<Connection> connect(const Address& aAddress, bool aReuse);
  /** @param aIdleTimeout of the server, if it is known */
  void release(std::unique_ptr<Connection> aConnection,
               bool aReusable,
               std::optional<base::Duration> aIdleTimeout);
  void removeIdle(const Connection& aConnection);
  void discard(std::unique_ptr<Connection> aConnection);

  Loop& mLoop;
  ClientLimits mLimits;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> mIdle;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace marigold::http
