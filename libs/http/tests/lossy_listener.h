/** @file Test server behind a link that drops all payload until it is restored.
 */
#pragma once

#include "base/address.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace marigold::test {

/** Accepts one connection. Segments with payload are dropped at the receiving
 * socket, so the kernel of the sender sends them again, as on a broken link.
 * Segments without payload pass. */
class LossyListener
{
public:
  LossyListener()
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const name = reinterpret_cast<sockaddr*>(&address);
    if (bind(mListener, name, size) == 0 && listen(mListener, 1) == 0 &&
        getsockname(mListener, name, &size) == 0) {
      mPort = ntohs(address.sin_port);
    }
  }
  ~LossyListener()
  {
    close(mConnection);
    close(mListener);
  }
  LossyListener(const LossyListener&) = delete;
  LossyListener& operator=(const LossyListener&) = delete;

  base::Address address() const { return { "127.0.0.1", mPort }; }

  /** Starts to drop payload. @return true if the filter could be set */
  bool breakLink()
  {
    constexpr std::uint8_t kDataOffsetByte = 12;
    constexpr std::uint8_t kHighNibble = 4;
    constexpr std::uint8_t kBytesPerWordShift = 2;
    // Accepts the segment if its length equals that of its TCP header.
    sock_filter code[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kDataOffsetByte),
      BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, kHighNibble),
      BPF_STMT(BPF_ALU | BPF_LSH | BPF_K, kBytesPerWordShift),
      BPF_STMT(BPF_MISC | BPF_TAX, 0),
      BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_X, 0, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
    };
    const sock_fprog program{ std::size(code), code };
    return setsockopt(mListener,
                      SOL_SOCKET,
                      SO_ATTACH_FILTER,
                      &program,
                      sizeof(program)) == 0;
  }

  /** Waits for the connection, which inherits the state of the link.
   * @return true if it was accepted */
  bool acceptConnection()
  {
    pollfd state{ mListener, POLLIN, 0 };
    constexpr int kLimitMs = 2000;
    if (poll(&state, 1, kLimitMs) > 0) {
      mConnection = accept(mListener, nullptr, nullptr);
    }
    return mConnection >= 0;
  }

  /** Stops dropping payload. */
  void restoreLink()
  {
    const int unused = 0;
    setsockopt(
      mConnection, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
  }

  /** @param aLimit time to wait for bytes
   * @return bytes that arrived before the connection ended or the limit */
  std::string receive(std::chrono::milliseconds aLimit)
  {
    std::string bytes;
    const auto until = std::chrono::steady_clock::now() + aLimit;
    for (;;) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
      pollfd state{ mConnection, POLLIN, 0 };
      if (left.count() <= 0 ||
          poll(&state, 1, static_cast<int>(left.count())) <= 0) {
        return bytes;
      }
      char buffer[4096];
      const ssize_t size = recv(mConnection, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        mWasReset = size < 0 && errno == ECONNRESET;
        return bytes;
      }
      bytes.append(buffer, static_cast<std::size_t>(size));
    }
  }

  /** @param aBytes response @return true if it was written */
  bool reply(const std::string& aBytes)
  {
    return send(mConnection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }

  /** @return true if receive() found that the connection was reset */
  bool wasReset() const { return mWasReset; }

private:
  int mListener;
  int mConnection = -1;
  std::uint16_t mPort = 0;
  bool mWasReset = false;
};

} // namespace marigold::test
