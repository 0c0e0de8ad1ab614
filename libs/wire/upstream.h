/** @file One request on a connection to an upstream. */
#pragma once

#include "wire/parser.h"
#include "wire/transport.h"

namespace marigold::wire {

/** Why a call brought no whole answer. */
enum class CallFailure : std::uint8_t
{
  NotConnected, ///< no byte of the request left this process
  Cancelled,    ///< no byte left, because the request was no longer wanted
  Broken,       ///< reset, closed or silent after the request was sent
  Malformed,    ///< the bytes are no answer
  Oversized,    ///< more bytes than may precede or surround an answer
};

/** Callbacks of one call; each may destroy the call. */
struct CallEvents
{
  std::function<void(const ResponseHead&)> head;
  std::function<void(std::string_view)> body;
  std::function<void()> complete;
  std::function<void(CallFailure)> failed;
};

/** A request to be sent. */
struct OutgoingCall
{
  /** Makes the bytes at the moment of the write; empty if the request is not
   * wanted any more. It must not destroy the call. */
  std::function<std::optional<std::string>()> makeBytes;
  std::string idHeader;  ///< header in which an upstream echoes the id
  std::string id;        ///< answers with another id belong to other requests
  bool skipBody = false; ///< true for HEAD
};

/** A connection to an upstream, which serves one call after the other. */
class UpstreamConnection
{
public:
  /** @param aLoop loop @param aPeer address to connect to */
  UpstreamConnection(http::Loop& aLoop, const base::Address& aPeer);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /**
   * Sends a request once the connection stands.
   * @param aCall request
   * @param aEvents callbacks, never called from inside this function
   */
  void start(OutgoingCall aCall, CallEvents aEvents);

  /** @param aCallback runs when the peer closes or sends while idle */
  void idle(std::function<void()> aCallback);

  /** @return true if a further request may be sent: the whole answer was read,
   * the whole request sent, and nothing followed */
  bool reusable() const;

  /** Asks the socket itself, because the loop may be behind.
   * @return true if the peer closed or sent something while idle */
  bool disturbed() const { return mTransport.hasNews(); }

  /** @return how long the upstream keeps the connection while idle; empty if
   * it did not say */
  std::optional<base::Duration> idleLimit() const { return mIdleLimit; }

  /** @return true once bytes of the request were written */
  bool sent() const { return mSent; }

  /** @param aPaused true to stop reading the answer */
  void pauseReading(bool aPaused) { mTransport.pauseReading(aPaused); }

private:
  bool send();
  void readInput();
  void ended(TransportEnd aEnd);
  void fail(CallFailure aFailure);
  /** Hands on what the parser collected. @return false if destroyed */
  bool deliver();
  void noteIdleLimit();
  /** @return why the bytes read so far end the call; empty if they do not */
  std::optional<CallFailure> violation() const;

  http::Loop& mLoop;
  Transport mTransport;
  Parser mParser;
  OutgoingCall mCall;
  CallEvents mEvents;
  std::function<void()> mIdleEnded;
  std::optional<base::Duration> mIdleLimit;
  ResponseHead mHead;
  std::string mCollected;
  std::size_t mSkippedBytes = 0; ///< of answers that are not this call's
  http::EventHandle mConnectTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mConnected = false;
  bool mActive = false;
  bool mSent = false;
  bool mHeadPending = false;
  bool mForeign = false;
  bool mReusable = false;
};

} // namespace marigold::wire
