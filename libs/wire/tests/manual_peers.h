/** @file Callers and servers over loopback that tests control step by step. */
#pragma once

#include "http/tests/manual_listener.h"
#include "wire/wire.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace marigold::test {

/** Port of the tests; concurrent runs set MARIGOLD_TEST_PORT. */
inline std::uint16_t
testPort()
{
  constexpr std::uint16_t kDefaultPort = 17940;
  const char* configured = std::getenv("MARIGOLD_TEST_PORT");
  return configured == nullptr
           ? kDefaultPort
           : static_cast<std::uint16_t>(std::atoi(configured) + 6);
}

inline const base::Address kAddress{ "127.0.0.1", testPort() };

inline sockaddr_in
socketAddress()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kAddress.port);
  inet_pton(AF_INET, kAddress.host.c_str(), &address.sin_addr);
  return address;
}

/** Runs the event loop for 10 ms, so that posted callbacks and deferred
 * destructors run. */
inline void
runPending(http::Loop& aLoop)
{
  const auto end =
    aLoop.after(std::chrono::milliseconds(10), [&] { aLoop.stop(); });
  aLoop.run();
}

/** A server at kAddress that reads and responds only when the test calls it. */
class ManualServer : public ManualListener
{
public:
  /** @param aReceiveBuffer bytes that the kernel holds for it, 0 for the
   * default */
  explicit ManualServer(int aReceiveBuffer = 0)
    : ManualListener(kAddress, aReceiveBuffer)
  {
  }
};

/** A connection of a caller that the test controls directly. */
class ManualCaller
{
public:
  /** @param aReceiveBuffer bytes that the kernel holds for it, 0 for the
   * default */
  explicit ManualCaller(int aReceiveBuffer = 0)
    : mDescriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    limitReceiveBuffer(mDescriptor, aReceiveBuffer);
    const sockaddr_in address = socketAddress();
    mConnected = connect(mDescriptor,
                         reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~ManualCaller() { disconnect(); }
  ManualCaller(const ManualCaller&) = delete;
  ManualCaller& operator=(const ManualCaller&) = delete;

  bool connected() const { return mConnected; }

  /** @return true if the kernel has taken all bytes */
  bool send(const std::string& aBytes) const
  {
    return write(mDescriptor, aBytes.data(), aBytes.size()) ==
           static_cast<ssize_t>(aBytes.size());
  }

  /** Closes the sending side only. */
  void endInput() const { shutdown(mDescriptor, SHUT_WR); }

  /** Drops what arrives from now on, as if the caller or the path to it were
   * gone. */
  void dropInput() const { test::dropInput(mDescriptor); }

  /** Closes the connection with a TCP reset. */
  void reset()
  {
    const linger option{ 1, 0 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    disconnect();
  }

  void disconnect()
  {
    close(mDescriptor);
    mDescriptor = -1;
  }

  /** @return bytes that have arrived; notes how the connection ended */
  std::string receive()
  {
    std::string received;
    char buffer[4096];
    for (;;) {
      const ssize_t size =
        recv(mDescriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (size <= 0) {
        mReset = (size < 0 && errno == ECONNRESET) || wasResetAfterClose();
        mClosed = size == 0;
        return received;
      }
      received.append(buffer, static_cast<std::size_t>(size));
    }
  }

  /** @return true if the last receive() found the connection reset */
  bool wasReset() const { return mReset; }

  /** @return true if the last receive() found the connection closed in order */
  bool wasClosed() const { return mClosed; }

private:
  /** The kernel tells of a reset that follows an orderly close by this error
   * only. */
  bool wasResetAfterClose() const
  {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == EPIPE;
  }

  int mDescriptor;
  bool mConnected = false;
  bool mReset = false;
  bool mClosed = false;
};

} // namespace marigold::test
