#include "apps/gateway/peer_socket.h"

#include "observe/log.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigold::gateway {
namespace {

/** Maximum UDP payload over IPv4, in bytes. */
constexpr std::size_t kMaxDatagramBytes = 65507;
/** Share of the link for messages to peers. The rest is left to requests and
 * answers, which wait behind the messages. */
constexpr double kLinkShare = 2.0 / 3;
/** Time between two looks at waiting messages; saves wake-ups. */
constexpr base::Duration kMinPacedWait = std::chrono::milliseconds(10);

sockaddr_in
socketAddress(const base::Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

/** @return bytes per second for messages to peers, nothing if the rate of the
 * link is not known */
std::optional<double>
peerRate(const Settings& aSettings)
{
  constexpr double kBitsPerMegabit = 1e6;
  constexpr double kBitsPerByte = 8;
  if (!aSettings.linkMbps) {
    return std::nullopt;
  }
  return *aSettings.linkMbps * kBitsPerMegabit / kBitsPerByte * kLinkShare;
}

bool
fitsDatagram(const std::string& aBytes)
{
  if (aBytes.size() > kMaxDatagramBytes) {
    observe::logError("peer message exceeds the maximum datagram size",
                      { { "bytes", std::to_string(aBytes.size()) } });
    return false;
  }
  return true;
}

} // namespace

PeerSocket::PeerSocket(http::Loop& aLoop,
                       const Settings& aSettings,
                       Handler aHandler)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mHandler(std::move(aHandler))
  , mPaced(peerRate(aSettings))
{
}

PeerSocket::~PeerSocket()
{
  mReadable.reset();
  if (mSocket >= 0) {
    close(mSocket);
  }
}

base::Result<void>
PeerSocket::listen()
{
  mSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = socketAddress(mSettings.peerAddress);
  if (mSocket < 0 || bind(mSocket,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) != 0) {
    return base::fail(base::Code::SettingsInvalid,
                      "cannot bind the UDP socket to " +
                        mSettings.peerAddress.text());
  }
  mReadable = mLoop.onReadable(mSocket, [this] { receive(); });
  return {};
}

void
PeerSocket::sendTo(const std::string& aBytes, const base::Address& aPeer) const
{
  const sockaddr_in address = socketAddress(aPeer);
  // Errors are ignored: the next message replaces a lost one.
  (void)sendto(mSocket,
               aBytes.data(),
               aBytes.size(),
               MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
}

void
PeerSocket::send(const std::string& aBytes,
                 const std::vector<base::Address>& aPeers)
{
  if (!fitsDatagram(aBytes)) {
    return;
  }
  for (const base::Address& peer : aPeers) {
    sendTo(aBytes, peer);
  }
  mPaced.charge(aBytes.size() * aPeers.size(), base::monotonicNow());
}

void
PeerSocket::sendPaced(const std::string& aStream,
                      const std::string& aBytes,
                      const std::vector<base::Address>& aPeers)
{
  if (!fitsDatagram(aBytes)) {
    return;
  }
  mPaced.push(aStream, aBytes, aPeers);
  if (!mPacedTimer) {
    sendWaiting();
  }
}

void
PeerSocket::sendWaiting()
{
  const base::TimePoint now = base::monotonicNow();
  while (const auto datagram = mPaced.next(now)) {
    sendTo(datagram->bytes, datagram->to);
  }
  mPacedTimer.reset();
  if (!mPaced.empty()) {
    mPacedTimer = mLoop.after(std::max(mPaced.wait(now), kMinPacedWait),
                              [this] { sendWaiting(); });
  }
}

void
PeerSocket::receive()
{
  std::array<char, kMaxDatagramBytes> buffer{};
  for (;;) {
    const ssize_t size =
      recv(mSocket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0) {
      return;
    }
    mHandler({ buffer.data(), static_cast<std::size_t>(size) });
  }
}

} // namespace marigold::gateway
