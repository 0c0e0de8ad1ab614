/** @file Server side: connections that callers open. */
#pragma once

#include "base/error.h"
#include "base/memory_budget.h"
#include "http/input_timer.h"
#include "wire/closed_caller.h"
#include "wire/parser.h"
#include "wire/transport.h"

#include <memory>
#include <optional>
#include <set>

struct evconnlistener;
struct sockaddr;

namespace marigold::wire {

/** Size and time limits of requests. */
struct CallerLimits
{
  /** Maximum size of start line and headers. */
  std::size_t headerBytes = 16UL * 1024;
  std::size_t bodyBytes = 4UL * 1024 * 1024;
  /** From the first byte of a request to the end of its headers. */
  base::Duration headerTimeout = std::chrono::seconds(3);
  /** For the first byte of the next request, for the body of a request, and
   * for progress of a caller that reads its response. */
  base::Duration idleTimeout = std::chrono::seconds(15);
  /** For the response, from the end of the request, unless the handler calls
   * expectEndBy(). */
  base::Duration responseTimeout = std::chrono::minutes(1);
};

class CallerServer;

/** Response to a request that its handler leaves without one. */
struct FallbackResponse
{
  int status = 504;
  http::Headers headers;
};

/**
 * One connection from a caller. It serves one request at a time: after the
 * handler was called, the request ends with reply(), with startStream()
 * followed by endStream(), or with abort(). Later calls have no effect.
 *
 * A request that was read whole always gets a response: if its handler sends
 * none, the connection sends the fallback response of its server. Only a caller
 * that can't receive one, because its connection has failed, gets nothing.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  /** @param aServer that has accepted it @param aDescriptor socket
   * @param aHost numeric address of the caller, for the filter of the server */
  CallerConnection(CallerServer& aServer, int aDescriptor, std::string aHost);

  /** @return false if CallerServer::setKnownHosts() excludes its host now */
  bool fromKnownHost() const;

  /** @return the request in progress, without its body once that was taken */
  const Request& request() const { return mCurrent.request; }

  /** @return the request with its body, which this object then holds no more */
  Request takeRequest();

  /** @return true if the process has no memory for the body: the request has
   * none, and its connection closes after the response */
  bool bodyRefused() const { return mCurrent.bodyRefused; }

  /** @return time at which the first byte of the request was read */
  base::TimePoint receivedAt() const { return mCurrent.receivedAt; }

  /** Adds a header to the request in progress, for its fallback response and
   * the reports on its end. @param aName name @param aValue value */
  void addRequestHeader(std::string aName, std::string aValue)
  {
    mCurrent.request.headers.emplace_back(std::move(aName), std::move(aValue));
  }

  /** Ends the request if the handler has not done so shortly after this time,
   * in place of CallerLimits::responseTimeout.
   * @param aTime time by which the handler ends the request */
  void expectEndBy(base::TimePoint aTime);

  /** Makes the response to the request in progress the last one: the connection
   * closes after it. Call it before the response starts. */
  void closeAfterResponse() { mCurrent.closeAfterResponse = true; }

  /** Sends a complete response, with Content-Length if its status may have a
   * body. */
  void reply(int aStatus,
             const http::Headers& aHeaders,
             std::string_view aBody);

  /** Starts a streamed response of unknown length. */
  void startStream(int aStatus, const http::Headers& aHeaders);

  /** @param aBytes next part of the body of a streamed response */
  void sendChunk(std::string_view aBytes);

  /** Completes a streamed response. */
  void endStream();

  /** Closes the connection without the end of the body, so that the caller
   * detects an incomplete response. Before the response has started, sends the
   * fallback response. */
  void abort();

  /** @param aCallback runs once if the caller disconnects before the request
   * ends, or if the request is overdue; reply() in it still reaches a caller
   * that waits or has closed its sending side only */
  void onDisconnect(std::function<void()> aCallback)
  {
    mCurrent.disconnectCallback = std::move(aCallback);
  }

  /** @return true once the request ended or the caller disconnected */
  bool finished() const { return !mCurrent.open; }

  /** Polls the socket, because the event loop may be late.
   * @return true if no caller waits for a response: the request ended or the
   * caller closed the connection */
  bool abandoned() const { return !mCurrent.open || mTransport.peerClosed(); }

  /** @return true once the status line of the response was sent */
  bool responseStarted() const { return mCurrent.responseStarted; }

  /** @return number of buffered bytes not yet sent */
  std::size_t pendingOutput() const { return mTransport.pendingOutput(); }

private:
  friend class CallerServer;

  /** State of one request; a new one begins with its first byte. */
  struct Current
  {
    Request request;
    base::TimePoint receivedAt{};
    std::function<void()> disconnectCallback;
    /** Number of bytes of the request to parse before a timeout counts: those
     * that had arrived when it expired. */
    std::optional<std::size_t> bytesBeforeTimeout;
    std::size_t parsedBytes = 0;
    std::size_t responseBytes = 0; ///< handed to the transport
    bool open = false; ///< from the end of the request to that of the response
    bool graceIsLeft = false; ///< after the expected end
    /** Passes of the loop behind the grace, for the timers of the handler. */
    int passesLeft = http::InputTimer::kMaxIdleRounds;
    bool responseStarted = false;
    bool callerHadLeft = false; ///< when its response started or was given up
    bool chunked = false;
    bool closeAfterResponse = false;
    bool bodyTooLarge = false;
    bool bodyRefused = false;
  };

  void start();
  void beginRequest();
  void openRequest();
  void readInput();
  void pauseInput();
  void inputEnded();
  void giveUpRequest(CallerEnd aReason);
  bool sendFallback();
  void breakOff(CallerEnd aReason);
  void reportUnanswered(CallerEnd aReason);
  bool rejectInvalid();
  void rejectWith(int aStatus, const http::Headers& aHeaders = {});
  bool acceptHeaders();
  void addBody(std::string_view aBytes);
  void chargeBody(std::size_t aBytes);
  void chargeOutput();
  void dispatch();
  void send(std::string_view aBytes);
  void writeHead(int aStatus, const http::Headers& aHeaders, bool aHasLength);
  void finishRequest();
  void beginClose();
  void linger();
  void remove(CallerEnd aEnd);
  void reportClose(CallerEnd aEnd);
  void release();
  void end(CallerEnd aEnd);
  void endIdle();
  void closeIdle(CallerEnd aReason);
  base::Duration idleLimit() const;
  void armTimer(base::Duration aDelay);
  void awaitNextRequest();
  void armIdleTimer();
  void idleTimeoutChanged(base::Duration aShortening);
  void allowPauses();
  void timerExpired();
  void overdueTimeoutExpired();
  void requestTimeoutExpired();
  void idleTimeoutExpired();
  void closeTimeoutExpired();
  std::size_t undeliveredOutput() const;
  void noteDelivery();
  bool peerIsReading();
  bool isStillSending() const;

  CallerServer& mServer;
  Transport mTransport;
  Parser mParser;
  Current mCurrent;
  base::MemoryCharge mBodyCharge;
  base::MemoryCharge mOutputCharge;
  /** Armed in every state, so that no connection can be forgotten. */
  http::EventHandle mTimer;
  base::TimePoint mOpenedAt{};
  base::TimePoint mLastInputAt{};
  base::TimePoint mIdleSince{}; ///< if no request has begun
  base::TimePoint mLingeringSince{};
  std::size_t mUnansweredBytes = 0; ///< consumed bytes without a response
  /** undeliveredOutput() at the last check. */
  std::size_t mLastUndelivered = 0;
  base::TimePoint mLastOutputProgress{};
  base::Duration mAllowedPause{}; ///< limit of the kernel
  /** Armed while reading is paused, because an end is not reported then. */
  http::EventHandle mPauseTimer;
  std::string mHost;
  /** Why the connection closes once its last response is sent. */
  CallerEnd mCloseReason = CallerEnd::Completed;
  bool mClosing = false;
  bool mRefusesCrossing = false; ///< its last response is the closing refusal
  bool mLingering = false;       ///< from the flush of the last response on
  bool mInputEnded = false;      ///< the caller sends nothing more
  bool mReleased = false;        ///< no callback runs any more
};

/** Accepts connections from callers and passes their requests to a handler. */
class CallerServer
{
public:
  using Handler = std::function<void(const std::shared_ptr<CallerConnection>&)>;
  using CloseHandler = std::function<void(const ClosedCaller&)>;
  using Fallback = std::function<FallbackResponse(const Request&)>;
  using UnansweredHandler = std::function<void(CallerEnd, const Request&)>;
  using HostFilter = std::function<bool(const std::string&)>;

  /** @param aLoop event loop @param aHandler called with each complete request
   */
  CallerServer(http::Loop& aLoop, Handler aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** @param aAddress address to listen on @return SettingsInvalid on failure */
  base::Result<void> listen(const base::Address& aAddress);

  /** @param aLimits size limits of the headers apply to new connections, the
   * other limits also to open ones */
  void setLimits(const CallerLimits& aLimits);

  /** Counts bodies and unsent responses towards a budget, and takes bodies only
   * while it admits them. Call it before listen().
   * @param aMemory budget, which outlives the server */
  void setMemoryBudget(base::MemoryBudget& aMemory) { mMemory = &aMemory; }

  /** @param aHandler called when a connection has ended */
  void onClosed(CloseHandler aHandler) { mCloseHandler = std::move(aHandler); }

  /** @param aFallback makes the response to a request that the handler leaves
   * without one; it must not promise that the request has not run */
  void setFallback(Fallback aFallback) { mFallback = std::move(aFallback); }

  /** @param aHandler called with the reason and the request, perhaps without
   * its body, when the handler has left a request without a response although
   * its caller waits */
  void onUnanswered(UnansweredHandler aHandler)
  {
    mUnansweredHandler = std::move(aHandler);
  }

  /** @param aFilter gets the numeric address of a caller's host, returns true
   * if it is known now; call this before listen() */
  void setKnownHosts(HostFilter aFilter) { mFilter = std::move(aFilter); }

  /** From now on, closes each connection after its response. */
  void closeAfterResponses() { mCloseAfterResponses = true; }

  /** Closes idle connections behind a last response, with status 408 or, once
   * stopped, 503. A caller whose request crosses the close thus learns that it
   * was not read. Without it, they close without a word.
   * @param aHeaders of that response */
  void refuseCrossingRequests(http::Headers aHeaders)
  {
    mCrossingRefusal = std::move(aHeaders);
  }

  /** @param aRequest headers of a request, if they were read
   * @return headers of its refusal */
  using RefusalHeaders =
    std::function<http::Headers(const http::Headers& aRequest)>;

  /** Refuses requests of which a part has not arrived with status 503 and
   * closes their connections. @param aRefusalHeaders of the responses */
  void refuseIncomplete(const RefusalHeaders& aRefusalHeaders);

  /** Stops accepting and closes idle connections, recently used ones after a
   * short time. What is read until a connection is closed is still served. */
  void stop();

  /** @return number of requests in progress */
  std::size_t openRequests() const { return mOpenRequests; }

  /** @return number of open connections */
  std::size_t connections() const { return mCallers.size(); }

private:
  friend class CallerConnection;
  void accept(int aDescriptor, const sockaddr* aPeer);
  void acceptWaiting();

  http::Loop& mLoop;
  Handler mHandler;
  CloseHandler mCloseHandler;
  Fallback mFallback;
  UnansweredHandler mUnansweredHandler;
  HostFilter mFilter;
  std::optional<http::Headers> mCrossingRefusal;
  CallerLimits mLimits;
  base::MemoryBudget mUnlimited;
  base::MemoryBudget* mMemory = &mUnlimited;
  evconnlistener* mListener = nullptr;
  std::set<std::shared_ptr<CallerConnection>> mCallers;
  std::size_t mOpenRequests = 0;
  bool mCloseAfterResponses = false;
  bool mStopped = false;
};

} // namespace marigold::wire
