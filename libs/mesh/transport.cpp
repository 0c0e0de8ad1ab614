#include "mesh/transport.h"

#include <nlohmann/json.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace marigold::mesh {
namespace {

/** Messages that may wait for a slow peer before further ones are dropped. */
constexpr int kSendQueue = 256;
constexpr int kReceiveQueue = 1024;

/** Messages handled before other events of the loop get their turn. */
constexpr int kDrainBatch = 256;

constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

} // namespace

struct Transport::Socket
{
  Socket() = default;
  ~Socket() { nng_close(native); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  nng_socket native = NNG_SOCKET_INITIALIZER;
};

Transport::Transport(http::Loop& aLoop,
                     NodeName aSelf,
                     base::Incarnation aIncarnation,
                     std::string aKey)
  : mLoop(aLoop)
  , mSelf(aSelf)
  , mIncarnation(aIncarnation)
  , mKey(std::move(aKey))
  , mFilter(std::move(aSelf), aIncarnation)
{
}

Transport::~Transport() = default;

base::Result<void>
Transport::listen(const http::Address& aAddress)
{
  mListener = std::make_unique<Socket>();
  const std::string url = "tcp://" + aAddress.text();
  if (nng_pull0_open(&mListener->native) != 0) {
    return base::fail(base::Code::Internal, "cannot open the mesh socket");
  }
  nng_socket_set_int(mListener->native, NNG_OPT_RECVBUF, kReceiveQueue);
  nng_socket_set_size(mListener->native, NNG_OPT_RECVMAXSZ, kMaxBytes);
  int descriptor = -1;
  if (nng_listen(mListener->native, url.c_str(), nullptr, 0) != 0 ||
      nng_socket_get_int(mListener->native, NNG_OPT_RECVFD, &descriptor) != 0) {
    return base::fail(base::Code::SettingsInvalid,
                      "cannot listen on " + aAddress.text() + " for the mesh");
  }
  mReadable = mLoop.onReadable(descriptor, [this] { drain(); });
  return {};
}

void
Transport::connect(const NodeName& aNode, const std::string& aAddress)
{
  if (aAddress.empty()) {
    return;
  }
  std::string& known = mAddresses[aNode];
  if (!known.empty() && known != aAddress) {
    mDialers.erase(known);
  }
  known = aAddress;
  if (mDialers.contains(aAddress)) {
    return;
  }
  auto socket = std::make_unique<Socket>();
  if (nng_push0_open(&socket->native) != 0) {
    return;
  }
  nng_socket_set_int(socket->native, NNG_OPT_SENDBUF, kSendQueue);
  nng_socket_set_ms(socket->native, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(socket->native, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  nng_dial(
    socket->native, ("tcp://" + aAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  mDialers.emplace(aAddress, std::move(socket));
}

bool
Transport::deliver(Socket& aSocket, const Envelope& aEnvelope)
{
  std::string bytes = seal(aEnvelope, mKey);
  if (bytes.size() > kMaxBytes ||
      nng_send(aSocket.native, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) !=
        0) {
    ++mCounts.dropped;
    return false;
  }
  ++mCounts.sent;
  mCounts.sentBytes += bytes.size();
  return true;
}

void
Transport::greet(const std::string& aAddress, const nlohmann::json& aBody)
{
  // Until the greeting is answered the peer is known by its address only.
  connect("address:" + aAddress, aAddress);
  const auto dialer = mDialers.find(aAddress);
  if (dialer != mDialers.end()) {
    deliver(*dialer->second,
            { mSelf,
              mIncarnation,
              "",
              0,
              ++mSequence,
              std::string(kGreeting),
              aBody });
  }
}

bool
Transport::knows(const NodeName& aNode) const
{
  return mAddresses.contains(aNode) && mFilter.incarnationOf(aNode) != 0;
}

bool
Transport::send(const NodeName& aNode,
                const std::string& aType,
                const nlohmann::json& aBody)
{
  const auto address = mAddresses.find(aNode);
  const bool reachable = address != mAddresses.end() && knows(aNode) &&
                         mDialers.contains(address->second);
  if (!reachable || mCut.contains(aNode)) {
    ++mCounts.dropped;
    return false;
  }
  return deliver(*mDialers.at(address->second),
                 { mSelf,
                   mIncarnation,
                   aNode,
                   mFilter.incarnationOf(aNode),
                   ++mSequence,
                   aType,
                   aBody });
}

void
Transport::drain()
{
  for (int count = 0; count < kDrainBatch; ++count) {
    void* data = nullptr;
    std::size_t size = 0;
    if (nng_recv(mListener->native,
                 &data,
                 &size,
                 NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK) != 0) {
      return;
    }
    accept({ static_cast<const char*>(data), size });
    nng_free(data, size);
  }
  // The descriptor stays readable while messages wait, so the rest follows.
}

void
Transport::accept(std::string_view aBytes)
{
  ++mCounts.received;
  mCounts.receivedBytes += aBytes.size();
  const auto outcome = base::capture([&]() -> base::Result<Envelope> {
    BOOST_LEAF_AUTO(envelope, open(aBytes, mKey));
    BOOST_LEAF_CHECK(mFilter.check(envelope));
    return envelope;
  });
  if (base::errorOf(outcome) != nullptr) {
    ++mCounts.rejected;
    return;
  }
  const auto& envelope = std::get<Envelope>(outcome);
  if (!mCut.contains(envelope.from)) {
    mReceived.emit(envelope);
  }
}

} // namespace marigold::mesh
