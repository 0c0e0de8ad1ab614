/** @file Server over loopback that tests control step by step. */
#pragma once

#include "base/address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace marigold::test {

/** @param aBytes receive buffer of a socket, 0 for the default */
inline void
limitReceiveBuffer(int aDescriptor, int aBytes)
{
  if (aBytes > 0) {
    setsockopt(aDescriptor, SOL_SOCKET, SO_RCVBUF, &aBytes, sizeof(aBytes));
  }
}

/** @param aDescriptor socket whose kernel side drops all packets from now on */
inline void
dropInput(int aDescriptor)
{
  sock_filter drop{ BPF_RET | BPF_K, 0, 0, 0 };
  const sock_fprog program{ 1, &drop };
  setsockopt(
    aDescriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/** A server that reads and responds only when the test calls it. */
class ManualListener
{
public:
  /** @param aAddress address to listen on; port 0 for a free one @param
   * aReceiveBuffer bytes that the kernel holds for it, 0 for the default */
  explicit ManualListener(const base::Address& aAddress, int aReceiveBuffer = 0)
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
  {
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    limitReceiveBuffer(mListener, aReceiveBuffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
    mBound = bind(mListener,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0;
    listen(mListener, 8);
  }
  ~ManualListener()
  {
    for (const int descriptor : mDescriptors) {
      close(descriptor);
    }
    close(mListener);
  }
  ManualListener(const ManualListener&) = delete;
  ManualListener& operator=(const ManualListener&) = delete;

  /** @return true if the server could bind the address */
  bool bound() const { return mBound; }

  /** @return address that it listens on */
  base::Address address() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    return { "127.0.0.1", ntohs(address.sin_port) };
  }

  /** @return bytes that arrived on any connection since the last call */
  std::string received()
  {
    for (int next = 0; next >= 0;) {
      next = accept(mListener, nullptr, nullptr);
      if (next >= 0) {
        mDescriptors.push_back(next);
      }
    }
    std::string received;
    for (const int descriptor : mDescriptors) {
      char buffer[4096];
      const ssize_t size =
        recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
      received.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    return received;
  }

  /** Sends bytes on the first connection. */
  void respond(const std::string& aBytes) const
  {
    (void)!write(mDescriptors.front(), aBytes.data(), aBytes.size());
  }

  /** Sends bytes on the latest connection. */
  void respondOnLatest(const std::string& aBytes) const
  {
    (void)!write(mDescriptors.back(), aBytes.data(), aBytes.size());
  }

  /** @return number of connections, as of the last received() */
  std::size_t connections() const { return mDescriptors.size(); }

  /** Drops what arrives on the connections from now on, as if the server or the
   * path to it were gone. */
  void dropInput() const
  {
    for (const int descriptor : mDescriptors) {
      test::dropInput(descriptor);
    }
  }

  /** Closes the first connection. */
  void closeFirst() const { shutdown(mDescriptors.front(), SHUT_RDWR); }

  /** Closes the first connection with a TCP reset. */
  void resetFirst()
  {
    const linger option{ 1, 0 };
    setsockopt(
      mDescriptors.front(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close(mDescriptors.front());
    mDescriptors.erase(mDescriptors.begin());
  }

  /** @return true if a reset of the first connection has arrived, also if
   * unread bytes precede it */
  bool firstWasReset() const
  {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(mDescriptors.front(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == ECONNRESET;
  }

  /** @return true if the first connection was closed in order and all its bytes
   * were read */
  bool firstWasClosed() const
  {
    char byte = 0;
    return recv(mDescriptors.front(), &byte, sizeof(byte), MSG_DONTWAIT) == 0;
  }

private:
  int mListener;
  std::vector<int> mDescriptors;
  bool mBound = false;
};

} // namespace marigold::test
