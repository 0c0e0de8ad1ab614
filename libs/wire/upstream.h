/** @file Client side: connections to upstreams and calls on them. */
#pragma once

#include "base/memory_budget.h"
#include "http/kept_connection.h"
#include "wire/parser.h"
#include "wire/transport.h"

#include <deque>

namespace marigold::wire {

/** Why a call ended without a complete response. */
enum class CallFailure : std::uint8_t
{
  NotConnected, ///< the connect failed; nothing was sent
  Cancelled,    ///< nothing was sent, because makeBytes() returned nothing
  Broken,       ///< reset, closed or timed out after the request was sent
  Malformed,    ///< the bytes are not a valid response
  Oversized,    ///< headers, framing or skipped responses exceed a limit
  /** An intermediary has not passed the request on, because of the upstream. */
  NotForwarded,
  CarrierDeclined, ///< the same, because of the intermediary
};

/** Callbacks of one call; each may destroy the call. */
struct CallEvents
{
  std::function<void(const ResponseHead&)> head;
  std::function<void(std::string_view)> body;
  std::function<void()> complete;
  std::function<void(CallFailure)> failed;
};

/** A request to send. */
struct OutgoingCall
{
  /** Serializes the request right before it is written, so that it can contain
   * the remaining time. Returns nothing if the request is no longer needed. It
   * must not destroy the call. */
  std::function<std::optional<std::string>()> makeBytes;
  std::string idHeader;  ///< header in which the upstream echoes the id
  std::string id;        ///< responses with another id are skipped
  bool skipBody = false; ///< true for HEAD
  /** Size of the body, which counts towards the memory budget from the start of
   * the call on, so that calls which connect at the same time don't exceed it
   * together. */
  std::size_t bodyBytes = 0;
};

/** How far the request of a call has come. */
struct SendProgress
{
  bool connected = false;
  base::Duration sinceOpened{};   ///< time since the connection was opened
  std::size_t unsent = 0;         ///< bytes that wait in the process
  std::size_t unacknowledged = 0; ///< bytes that wait in the socket or network
};

/** A connection to an upstream. It runs one call at a time. Until the response
 * is complete, the connection is reset when it is closed or the process ends:
 * the kernel then sends no bytes of the request again, and the upstream learns
 * of the close at once, also behind bytes that it has not read. */
class UpstreamConnection
{
public:
  /** @param aLoop event loop @param aPeer address to connect to
   * @param aMemory budget for what the upstream has not read yet */
  UpstreamConnection(http::Loop& aLoop,
                     const base::Address& aPeer,
                     base::MemoryBudget& aMemory);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /**
   * Starts a call; the request is sent once the connection is established.
   * @param aCall request
   * @param aEvents callbacks, never invoked before this function returns
   */
  void start(OutgoingCall aCall, CallEvents aEvents);

  /** Ends the call. @param aCallback runs if the upstream closes the connection
   * or sends bytes while it is idle */
  void setIdle(std::function<void()> aCallback);

  /** @return true if another request may be sent: the upstream has the whole
   * request, the response was read completely, and no bytes follow it */
  bool reusable() const;

  /** Polls the socket, because the event loop may be late.
   * @return true if the upstream closed the idle connection or sent bytes on
   * it */
  bool stale() const { return mTransport.hasInputOrEnd(); }

  /** A late second copy of an answer bears the id of its request, so it can
   * only be told from the answer to another request.
   * @param aId id of a request @return true if the connection has carried it */
  bool hasCarried(const std::string& aId) const;

  /** @return time for which the idle connection may carry another request,
   * nothing if it is too short to keep the connection */
  std::optional<base::Duration> reuseTime() const
  {
    return http::reuseTime(mIdleTimeout, mTransport.sinceInput());
  }

  /** @return true once the request was written to the connection */
  bool sent() const { return mSent; }

  /** @return true while the call has neither a complete response nor failed */
  bool active() const { return mActive; }

  /** @return how far the request has come */
  SendProgress progress() const;

  /** @return the input since the connection was made */
  http::InputCount inputCount() const { return mTransport.inputCount(); }

  /** @param aPaused true to stop reading the response */
  void pauseReading(bool aPaused) { mTransport.pauseReading(aPaused); }

private:
  bool send();
  void chargeOutput();
  void readInput();
  void ended(TransportEnd aEnd);
  void fail(CallFailure aFailure);
  /** Passes parsed data to the callbacks. @return false if the call ended or
   * the connection was destroyed */
  bool deliver();
  /** @return the failure if the bytes read so far violate a limit or HTTP */
  std::optional<CallFailure> inputFailure() const;

  http::Loop& mLoop;
  base::MemoryCharge mOutputCharge;
  Transport mTransport;
  base::TimePoint mOpenedAt = base::monotonicNow();
  Parser mParser;
  OutgoingCall mCall;
  CallEvents mEvents;
  std::function<void()> mIdleCallback;
  std::optional<base::Duration> mIdleTimeout; ///< as announced
  ResponseHead mHead;
  std::string mPendingBody;
  std::deque<std::string> mCarriedIds; ///< of the latest requests
  std::size_t mSkippedBytes = 0; ///< of responses that belong to other requests
  http::InputTimer mConnectTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mConnected = false;
  bool mActive = false;
  bool mSent = false;
  bool mHeadPending = false;
  bool mSkipping = false;
  bool mReusable = false;
};

} // namespace marigold::wire
