/** @file Test server that sends a response without end. */
#pragma once

#include "base/address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marigold::test {

/** Accepts one connection, sends the head and then repeats a block of bytes
 * until the client closes, or until kMaxBytes or kMaxDuration is reached. */
class EndlessServer
{
public:
  static constexpr std::size_t kMaxBytes = 32UL * 1024 * 1024;
  static constexpr auto kMaxDuration = std::chrono::seconds(8);

  /** @param aAddress address to listen on @param aHead bytes to send first
   * @param aRepeated bytes to repeat after the head */
  EndlessServer(const base::Address& aAddress,
                std::string aHead,
                const std::string& aRepeated)
    : mListener(socket(AF_INET, SOCK_STREAM, 0))
    , mHead(std::move(aHead))
  {
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
    mBound = bind(mListener,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0;
    listen(mListener, 8);
    constexpr std::size_t kBlockBytes = 16UL * 1024;
    while (mRepeatedBlock.size() < kBlockBytes) {
      mRepeatedBlock += aRepeated;
    }
    mThread = std::thread([this] { serve(); });
  }
  ~EndlessServer() { join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  /** @return true if the server could bind the address */
  bool bound() const { return mBound; }

  /** Waits until the connection ends. @return true if the client closed it */
  bool closedByPeer()
  {
    join();
    return mClosedByPeer;
  }

private:
  void join()
  {
    if (mThread.joinable()) {
      mThread.join();
      close(mListener);
    }
  }

  void serve()
  {
    const int descriptor = accept(mListener, nullptr, nullptr);
    const timeval limit{ 2, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    char buffer[4096];
    const auto until = std::chrono::steady_clock::now() + kMaxDuration;
    if (read(descriptor, buffer, sizeof(buffer)) > 0) {
      std::size_t sent = 0;
      const std::string* part = &mHead;
      while (sent < kMaxBytes && std::chrono::steady_clock::now() < until) {
        const ssize_t size =
          send(descriptor, part->data(), part->size(), MSG_NOSIGNAL);
        if (size < 0) {
          mClosedByPeer = errno == EPIPE || errno == ECONNRESET;
          break;
        }
        sent += static_cast<std::size_t>(size);
        part = &mRepeatedBlock;
      }
    }
    close(descriptor);
  }

  int mListener;
  std::string mHead;
  std::string mRepeatedBlock;
  bool mBound = false;
  bool mClosedByPeer = false;
  std::thread mThread;
};

} // namespace marigold::test
