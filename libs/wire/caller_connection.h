/** @file Connections of callers. */
#pragma once

#include "base/error.h"
#include "wire/parser.h"
#include "wire/transport.h"

#include <memory>
#include <set>

struct evconnlistener;

namespace marigold::wire {

/** What a caller may send, and how long it may take. */
struct CallerLimits
{
  std::size_t headerBytes = 16UL * 1024;
  std::size_t bodyBytes = 4UL * 1024 * 1024;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
};

class CallerServer;

/**
 * One connection of a caller. It serves one request at a time: after the
 * handler was called, exactly one of answer() or startStream() ... endStream()
 * or abort() ends the request. Later calls have no effect.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& aServer, int aDescriptor);

  /** @return the request that waits for its answer */
  Request& request() { return mRequest; }

  /** @return when the first byte of the request was read */
  base::TimePoint receivedAt() const { return mReceived; }

  /** Sends a complete answer. */
  void reply(int aStatus,
             const http::Headers& aHeaders,
             std::string_view aBody);

  /** Starts an answer of unknown length. */
  void startStream(int aStatus, const http::Headers& aHeaders);

  /** @param aBytes next part of a started answer */
  void sendChunk(std::string_view aBytes);

  /** Ends a started answer as complete. */
  void endStream();

  /** Ends the connection so that the answer is visibly incomplete. */
  void abort();

  /** @param aCallback runs once if the caller leaves before the end */
  void onDisconnect(std::function<void()> aCallback)
  {
    mGone = std::move(aCallback);
  }

  /** @return true once the request ended or the caller left */
  bool finished() const { return !mBusy; }

  /** Asks the socket itself, because the loop may be behind.
   * @return true if nobody waits for the answer any more */
  bool abandoned() const { return !mBusy || mTransport.peerEnded(); }

  /** @return true once a status line was sent for the request */
  bool responseStarted() const { return mAnswerStarted; }

  /** @return bytes that wait to be sent */
  std::size_t pendingOutput() const { return mTransport.pendingOutput(); }

private:
  friend class CallerServer;
  void start();
  void readInput();
  bool rejectInvalid();
  void refuse(int aStatus);
  bool acceptHead();
  void dispatch();
  void writeHead(int aStatus, const http::Headers& aHeaders, bool aFramed);
  void finishRequest();
  void beginClose();
  void remove();
  void ended();
  void armTimer(base::Duration aDelay);
  void timerExpired();
  bool outputIsRead();

  CallerServer& mServer;
  Transport mTransport;
  Parser mParser;
  Request mRequest;
  base::TimePoint mReceived{};
  std::function<void()> mGone;
  http::EventHandle mTimer;
  std::size_t mOutputSeen = 0; ///< bytes that waited at the last look
  base::TimePoint mOutputReadAt{};
  bool mBusy = false;
  bool mAnswerStarted = false;
  bool mChunked = false;
  bool mCloseAfter = false;
  bool mClosing = false;
  bool mBodyTooLarge = false;
};

/** Accepts connections of callers. */
class CallerServer
{
public:
  using Handler = std::function<void(const std::shared_ptr<CallerConnection>&)>;

  /** @param aLoop loop @param aHandler called with each whole request */
  CallerServer(http::Loop& aLoop, Handler aHandler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const base::Address& aAddress);

  /** @param aLimits limits for requests that start from now on */
  void setLimits(const CallerLimits& aLimits) { mLimits = aLimits; }

  /** Every answer ends its connection from now on. */
  void closeAfterResponses() { mCloseAfterAnswers = true; }

  /** Stops accepting and closes the connections without a request. */
  void stop();

  /** @return requests that wait for their answer */
  std::size_t openRequests() const { return mOpenRequests; }

  /** @return open connections */
  std::size_t connections() const { return mCallers.size(); }

private:
  friend class CallerConnection;
  void accept(int aDescriptor);

  http::Loop& mLoop;
  Handler mHandler;
  CallerLimits mLimits;
  evconnlistener* mListener = nullptr;
  std::set<std::shared_ptr<CallerConnection>> mCallers;
  std::size_t mOpenRequests = 0;
  bool mCloseAfterAnswers = false;
  bool mStopped = false;
};

} // namespace marigold::wire
