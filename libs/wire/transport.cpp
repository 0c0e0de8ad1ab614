#include "wire/transport.h"

#include "http/kept_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigold::wire {
namespace {

/** TCP_USER_TIMEOUT: a connection fails if sent bytes stay unacknowledged for
 * this long. A broken link drops bytes without a reset. The value is well below
 * every deadline of an assistant and above the retransmission delays of a
 * healthy link. It also counts for a peer that acknowledges but keeps its
 * window closed. */
constexpr std::chrono::milliseconds kUserTimeout{ 2500 };
/** TCP keep-alive probes a silent peer. On Linux the first probe after
 * TCP_USER_TIMEOUT ends the connection, elsewhere the number of probes may. */
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

void
setOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof(aValue));
}

void
setSocketOptions(int aDescriptor)
{
  setOption(aDescriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeout.count());
  setOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  setOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  setOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace

void
BuffereventDeleter::operator()(bufferevent* aEvent) const
{
  bufferevent_free(aEvent);
}

Transport::Transport(http::Loop& aLoop, int aDescriptor)
  : mNative(
      bufferevent_socket_new(aLoop.native(),
                             aDescriptor,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
  setSocketOptions(aDescriptor);
  configure();
}

Transport::Transport(http::Loop& aLoop, const base::Address& aPeer)
{
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor >= 0) {
    setSocketOptions(descriptor);
  }
  mNative.reset(
    bufferevent_socket_new(aLoop.native(),
                           descriptor,
                           BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  configure();
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(aPeer.port);
  inet_pton(AF_INET, aPeer.host.c_str(), &peer.sin_addr);
  // onEvent() reports a failure.
  bufferevent_socket_connect(
    mNative.get(), reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
}

Transport::~Transport() = default;

void
Transport::configure()
{
  bufferevent_setcb(mNative.get(),
                    &Transport::onRead,
                    &Transport::onWrite,
                    &Transport::onEvent,
                    this);
  bufferevent_enable(mNative.get(), EV_READ | EV_WRITE);
}

void
Transport::allowPauses(base::Duration aLimit)
{
  const auto limit =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimit);
  setOption(
    bufferevent_getfd(mNative.get()),
    IPPROTO_TCP,
    TCP_USER_TIMEOUT,
    static_cast<int>(std::clamp<std::chrono::milliseconds::rep>(
      limit.count(), kUserTimeout.count(), std::numeric_limits<int>::max())));
}

void
Transport::write(std::string_view aBytes)
{
  bufferevent_write(mNative.get(), aBytes.data(), aBytes.size());
}

void
Transport::writeNow(std::string_view aBytes)
{
  if (pendingOutput() == 0) {
    const ssize_t sent = send(bufferevent_getfd(mNative.get()),
                              aBytes.data(),
                              aBytes.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    // On an error the buffered write fails too and reports the end.
    aBytes.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
  }
  if (!aBytes.empty()) {
    write(aBytes);
  }
}

std::string_view
Transport::input()
{
  evbuffer* buffer = bufferevent_get_input(mNative.get());
  const std::size_t size = evbuffer_get_length(buffer);
  if (size == 0) {
    return {};
  }
  return { reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), size };
}

void
Transport::consume(std::size_t aSize)
{
  evbuffer_drain(bufferevent_get_input(mNative.get()), aSize);
  mConsumed += aSize;
}

std::size_t
Transport::pendingOutput() const
{
  return evbuffer_get_length(bufferevent_get_output(mNative.get()));
}

std::size_t
Transport::unacknowledgedOutput() const
{
  int sent = 0;
  if (ioctl(bufferevent_getfd(mNative.get()), TIOCOUTQ, &sent) != 0) {
    sent = 0;
  }
  return pendingOutput() + static_cast<std::size_t>(sent);
}

std::size_t
Transport::pendingInput() const
{
  return evbuffer_get_length(bufferevent_get_input(mNative.get()));
}

bool
Transport::hasInput() const
{
  char first = 0;
  return pendingInput() > 0 || recv(bufferevent_getfd(mNative.get()),
                                    &first,
                                    sizeof(first),
                                    MSG_PEEK | MSG_DONTWAIT) > 0;
}

base::Duration
Transport::sinceInput() const
{
  return http::sinceLastInput(bufferevent_getfd(mNative.get()));
}

std::size_t
Transport::waitingInput() const
{
  int unread = 0;
  if (ioctl(bufferevent_getfd(mNative.get()), FIONREAD, &unread) != 0) {
    unread = 0;
  }
  return pendingInput() + static_cast<std::size_t>(unread);
}

void
Transport::pauseReading(bool aPaused)
{
  if (aPaused) {
    bufferevent_disable(mNative.get(), EV_READ);
  } else {
    bufferevent_enable(mNative.get(), EV_READ);
  }
}

void
Transport::shutdownOutput()
{
  shutdown(bufferevent_getfd(mNative.get()), SHUT_WR);
}

bool
Transport::peerClosed() const
{
  // recv() with MSG_PEEK would not see a close behind unread bytes.
  return socketHasEvents(POLLRDHUP);
}

bool
Transport::hasInputOrEnd() const
{
  return pendingInput() > 0 || socketHasEvents(POLLIN | POLLRDHUP);
}

bool
Transport::socketHasEvents(short aEvents) const
{
  pollfd state{ bufferevent_getfd(mNative.get()), aEvents, 0 };
  return poll(&state, 1, 0) > 0;
}

void
Transport::resetOnClose(bool aReset)
{
  const linger option{ aReset ? 1 : 0, 0 };
  setsockopt(bufferevent_getfd(mNative.get()),
             SOL_SOCKET,
             SO_LINGER,
             &option,
             sizeof(option));
}

void
Transport::close()
{
  const int descriptor = bufferevent_getfd(mNative.get());
  bufferevent_setfd(mNative.get(), -1);
  ::close(descriptor);
}

/** Runs in the callback of an event, which has set the error of the socket. */
TransportEnd
Transport::endOf(const bufferevent* /*aEvent*/, short aFlags)
{
  // A write may take the error of a reset; the next read then sees an end.
  if ((aFlags & BEV_EVENT_ERROR) == 0) {
    return TransportEnd::Orderly;
  }
  switch (EVUTIL_SOCKET_ERROR()) {
    case ECONNREFUSED:
      return TransportEnd::Refused;
    case ECONNRESET:
    case EPIPE:
      return TransportEnd::Reset;
    case ETIMEDOUT:
      return TransportEnd::TimedOut;
    default:
      return TransportEnd::Failed;
  }
}

} // namespace marigold::wire
