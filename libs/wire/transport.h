/** @file A TCP connection on a bufferevent with flush before close. */
#pragma once

#include "base/address.h"
#include "base/time.h"
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

/** How a connection ended. */
enum class TransportEnd : std::uint8_t
{
  Orderly, ///< the peer sent all it had and closed
  Failed,  ///< reset, timeout or refused
};

struct TransportEvents
{
  std::function<void()> connected;
  std::function<void()> readable;
  std::function<void()> drained; ///< the output buffer became empty
  std::function<void(TransportEnd)> ended;
};

/** One TCP connection; destroying it closes it at once. */
class Transport
{
public:
  /**
   * Takes over an accepted socket.
   * @param aLoop loop @param aDescriptor socket
   */
  Transport(http::Loop& aLoop, int aDescriptor);

  /**
   * Starts to connect; the result arrives as connected or ended.
   * @param aLoop loop @param aPeer address
   */
  Transport(http::Loop& aLoop, const base::Address& aPeer);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** @param aEvents callbacks; one of them may destroy the transport */
  void setEvents(TransportEvents aEvents) { mEvents = std::move(aEvents); }

  /** @param aBytes bytes to send in the next round of the loop */
  void write(std::string_view aBytes);

  /** Hands bytes to the socket at once, because the loop may be behind; what
   * does not fit follows. @param aBytes bytes to send */
  void writeNow(std::string_view aBytes);

  /** @return all bytes that were received and not consumed */
  std::string_view input();

  /** @param aSize number of received bytes that were used */
  void consume(std::size_t aSize);

  /** @return bytes that wait to be sent */
  std::size_t pendingOutput() const;

  /** @return bytes that were received and not consumed */
  std::size_t pendingInput() const;

  /** @return true if bytes of the peer wait, here or in the socket */
  bool hasInput() const;

  /** @param aPaused true to stop reading, so that the peer must wait */
  void pauseReading(bool aPaused);

  /** Sends no more; the peer sees the end after the bytes before it. */
  void shutdownOutput();

  /** @return true if the peer has closed, or the connection failed, also where
   * the loop has not read it yet; bytes that wait unread mean nothing */
  bool peerEnded() const;

  /** @return true if bytes or the end of the peer wait, here or in the socket
   */
  bool hasNews() const;

  /** Makes the close a reset, so that the peer sees a failure. */
  void resetOnClose();

private:
  void configure();
  /** @param aEvents events of poll() @return true if the socket shows one of
   * them, or a failure, now */
  bool socketShows(short aEvents) const;
  static void onRead(bufferevent* aEvent, void* aSelf);
  static void onWrite(bufferevent* aEvent, void* aSelf);
  static void onEvent(bufferevent* aEvent, short aWhat, void* aSelf);

  std::unique_ptr<bufferevent, BuffereventDeleter> mNative;
  TransportEvents mEvents;
};

} // namespace marigold::wire
