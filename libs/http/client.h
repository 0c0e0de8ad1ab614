/** @file HTTP client with streamed answers on evhttp. */
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
#include <vector>

struct evhttp_connection;
struct evhttp_request;
struct evbuffer_cb_info;
struct evbuffer;

namespace marigold::http {

/** How a call ended. */
enum class CallEnd : std::uint8_t
{
  Complete,  ///< the whole answer arrived
  NotSent,   ///< failed before the first byte left this process
  Broken,    ///< failed after the first byte left; the answer is not whole
  TimedOut,  ///< no complete answer in time; bytes may have left
  Cancelled, ///< the caller of this client cancelled it
};

/** The callbacks of one call; all are optional but done. */
struct CallEvents
{
  /** Status and headers arrived; for a streamed call only. */
  std::function<void(const Response&)> head;
  /** A part of the body arrived; if set, the final answer has no body. */
  std::function<void(std::string_view)> chunk;
  /** The call ended; runs exactly once unless cancelled. */
  std::function<void(CallEnd, const Response&)> done;
};

class Client;

/** One call in progress; destroying it cancels the call. */
class Call
{
public:
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /** @return true once a byte of the request has left this process */
  bool sent() const;

  /**
   * Stops or continues to read the answer, so that a slow reader of it bounds
   * the memory that it takes. It takes effect after the current callback.
   * @param aPaused true to stop
   */
  void setPaused(bool aPaused);

private:
  friend class Client;
  struct State;
  explicit Call(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

/**
 * Calls HTTP servers. A connection is kept for the next call only after a
 * complete answer; in every other case it is closed, because bytes of an old
 * answer could otherwise be taken for a new one.
 */
class Client
{
public:
  /**
   * @param aLoop loop that runs the calls
   * @param aIdlePerAddress kept connections for each address
   */
  explicit Client(Loop& aLoop, std::size_t aIdlePerAddress = 32);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * @param aAddress server
   * @param aRequest request; Content-Length and Host are added
   * @param aTimeout time until the call ends as TimedOut
   * @param aEvents callbacks; they never run inside this function
   * @param aReuse false forces a fresh connection
   * @return handle of the call
   */
  [[nodiscard]] std::unique_ptr<Call> start(const Address& aAddress,
                                            const Request& aRequest,
                                            base::Duration aTimeout,
                                            CallEvents aEvents,
                                            bool aReuse = true);

private:
  friend class Call;
  struct Connection;
  std::unique_ptr<Connection> connect(const Address& aAddress, bool aReuse);
  void release(std::unique_ptr<Connection> aConnection, bool aReusable);
  void discard(std::unique_ptr<Connection> aConnection);

  Loop& mLoop;
  std::size_t mIdlePerAddress;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> mIdle;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace marigold::http
