/** @file A TCP connection on top of a bufferevent. */
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "http/input_timer.h"
#include "http/loop.h"

#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;
struct evbuffer;

namespace marigold::wire {

struct BuffereventDeleter
{
  void operator()(bufferevent* aEvent) const;
};

/** How the peer or the network ended a connection. */
enum class TransportEnd : std::uint8_t
{
  Orderly, ///< the peer closed after sending all its bytes
  Refused, ///< no process listens at the address
  Reset,
  TimedOut, ///< the peer did not acknowledge or read for too long
  Failed,   ///< another error of the socket
};

/** Callbacks of a connection. */
struct TransportEvents
{
  std::function<void()> connected;
  std::function<void()> readable;
  std::function<void()> drained; ///< the output buffer was flushed
  std::function<void(TransportEnd)> ended;
};

/** One TCP connection; the destructor closes it without flushing. */
class Transport
{
public:
  /**
   * Takes ownership of an accepted socket.
   * @param aLoop event loop @param aDescriptor socket
   */
  Transport(http::Loop& aLoop, int aDescriptor);

  /**
   * Starts to connect; the connected or ended callback reports the result.
   * @param aLoop event loop @param aPeer address to connect to
   */
  Transport(http::Loop& aLoop, const base::Address& aPeer);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** @param aEvents callbacks; each may destroy the transport */
  void setEvents(TransportEvents aEvents) { mEvents = std::move(aEvents); }

  /** By default a peer that neither acknowledges nor reads for 2.5 s counts as
   * gone. @param aLimit longer time for which this peer may do so */
  void allowPauses(base::Duration aLimit);

  /** @param aBytes bytes to send in the next iteration of the event loop */
  void write(std::string_view aBytes);

  /** Writes to the socket immediately, because the event loop may be late.
   * Bytes that the socket does not accept are buffered. @param aBytes bytes to
   * send */
  void writeNow(std::string_view aBytes);

  /** @return the bytes that were received and not yet consumed */
  std::string_view input();

  /** @param aSize number of received bytes to discard */
  void consume(std::size_t aSize);

  /** @return number of buffered bytes not yet sent */
  std::size_t pendingOutput() const;

  /** @return number of bytes that the peer has not acknowledged, including
   * those that the kernel holds */
  std::size_t unacknowledgedOutput() const;

  /** @return number of bytes received and not yet consumed */
  std::size_t pendingInput() const;

  /** @return true if unread bytes are in the input buffer or the socket */
  bool hasInput() const;

  /** @return time since the kernel received the latest bytes */
  base::Duration sinceInput() const;

  /** @return number of bytes received and not yet consumed, including those in
   * the socket */
  std::size_t waitingInput() const;

  /** @return the input since the connection was made */
  http::InputCount inputCount() const
  {
    return { mConsumed + waitingInput(), mConsumed };
  }

  /** @param aPaused true to stop reading, which applies backpressure to the
   * peer */
  void pauseReading(bool aPaused);

  /** Closes the sending side after the bytes already handed to the socket. */
  void shutdownOutput();

  /** Polls the socket, because the event loop may be late.
   * @return true if the peer closed its sending side or the connection failed;
   * unread bytes don't count */
  bool peerClosed() const;

  /** Polls the socket, because the event loop may be late.
   * @return true if there are unread bytes or the peer closed */
  bool hasInputOrEnd() const;

  /** Makes the close send a TCP reset, so that the peer sees a failure and the
   * kernel sends no bytes again, also at the end of the process.
   * @param aReset false for an orderly close */
  void resetOnClose(bool aReset = true);

  /** Closes the socket at once; no callback runs and buffered output is
   * dropped. */
  void close();

private:
  void configure();
  /** @param aEvents poll() events @return true if one of them, or an error, is
   * pending on the socket */
  bool socketHasEvents(short aEvents) const;
  /** @param aFlags of an event that ended the connection */
  static TransportEnd endOf(const bufferevent* aEvent, short aFlags);
  static void onRead(bufferevent* aEvent, void* aSelf);
  static void onWrite(bufferevent* aEvent, void* aSelf);
  static void onEvent(bufferevent* aEvent, short aFlags, void* aSelf);

  std::unique_ptr<bufferevent, BuffereventDeleter> mNative;
  TransportEvents mEvents;
  std::uint64_t mConsumed = 0; ///< bytes of input
};

} // namespace marigold::wire
