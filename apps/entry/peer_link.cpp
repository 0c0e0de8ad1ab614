#include "apps/entry/peer_link.h"

#include "observe/observe.h"

#include <algorithm>

namespace marigold::entry {
namespace {

using nlohmann::json;

constexpr base::Duration kHeartbeatPeriod = std::chrono::milliseconds(500);

constexpr const char* kHeartbeat = "heartbeat";
constexpr const char* kDocumentRequest = "document-request";
constexpr const char* kDocument = "document";
constexpr const char* kWithdrawals = "withdrawals";

membership::Heartbeat
readHeartbeat(const mesh::Envelope& aEnvelope)
{
  const json& body = aEnvelope.body;
  membership::Heartbeat heartbeat;
  heartbeat.vm = aEnvelope.from;
  heartbeat.incarnation = aEnvelope.fromIncarnation;
  heartbeat.dataCentre = body.at("data_centre");
  heartbeat.versions = body.at("versions");
  heartbeat.withdrawalsDigest = body.at("withdrawals");
  heartbeat.platformReachable = body.at("platform");
  heartbeat.meshAddress = body.at("mesh");
  heartbeat.operatorAddress = body.at("operator");
  if (const auto age = body.value("contact_age_ms", std::int64_t{ -1 });
      age >= 0) {
    heartbeat.contactAge = std::chrono::milliseconds(age);
  }
  return heartbeat;
}

} // namespace

PeerLink::PeerLink(http::Loop& aLoop,
                   const Settings& aSettings,
                   base::Incarnation aIncarnation,
                   membership::Membership& aMembership,
                   Configuration& aConfiguration)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mMembership(aMembership)
  , mConfiguration(aConfiguration)
  , mTransport(aLoop, aSettings.vm, aIncarnation, aSettings.meshKey)
{
  mTransport.received().connect(
    [this](const mesh::Envelope& aEnvelope) { receive(aEnvelope); });
  on(std::string(mesh::kGreeting),
     [this](const mesh::Envelope& aEnvelope) { onHeartbeat(aEnvelope); });
  on(kHeartbeat,
     [this](const mesh::Envelope& aEnvelope) { onHeartbeat(aEnvelope); });
  on(kDocumentRequest,
     [this](const mesh::Envelope& aEnvelope) { onDocumentRequest(aEnvelope); });
  on(kDocument,
     [this](const mesh::Envelope& aEnvelope) { onDocument(aEnvelope); });
  on(kWithdrawals, [this](const mesh::Envelope& aEnvelope) {
    mConfiguration.withdraw(aEnvelope.body.get<std::set<std::string>>());
  });
}

base::Result<void>
PeerLink::start()
{
  BOOST_LEAF_CHECK(mTransport.listen(mSettings.meshAddress));
  mHeartbeat = mLoop.every(kHeartbeatPeriod, [this] { beat(); });
  // A change travels with the next heartbeat; it is sent at once, so that a
  // withdrawal does not wait for the period.
  mConfiguration.changed().connect([this] {
    mMembership.onList(mConfiguration.vms());
    mLoop.post([this] { beat(); });
  });
  mLoop.post([this] { beat(); });
  return {};
}

void
PeerLink::on(const std::string& aType, Handler aHandler)
{
  mHandlers[aType] = std::move(aHandler);
}

bool
PeerLink::send(const base::VmName& aVm,
               const std::string& aType,
               const json& aBody)
{
  return mTransport.send(aVm, aType, aBody);
}

void
PeerLink::broadcast(const std::string& aType, const json& aBody)
{
  for (const base::VmName& vm : mMembership.alivePeers(base::monotonicNow())) {
    send(vm, aType, aBody);
  }
}

json
PeerLink::heartbeat() const
{
  const base::Duration age = mMembership.contactAge(base::monotonicNow());
  const bool known = age < base::Duration::max();
  return { { "contact_age_ms",
             known ? base::inMilliseconds(age) : std::int64_t{ -1 } },
           { "data_centre", mSettings.dataCentre },
           { "versions", mConfiguration.store().versions() },
           { "withdrawals", mConfiguration.withdrawals().digest() },
           { "platform", mPlatformReachable },
           { "mesh", mSettings.meshAddress.text() },
           { "operator", mSettings.operatorAddress.text() } };
}

void
PeerLink::connectListed()
{
  for (const auto& [name, peer] : mMembership.peers()) {
    mTransport.connect(name, peer.last.meshAddress);
  }
}

void
PeerLink::beat()
{
  const base::TimePoint now = base::monotonicNow();
  const json body = heartbeat();
  connectListed();
  std::set<std::string> greeted;
  for (const auto& [name, peer] : mMembership.peers()) {
    const bool alive =
      mMembership.state(name, now) == membership::PeerState::Alive;
    if (alive) {
      const auto relays = mMembership.relays(peer.last.dataCentre, now);
      const bool isRelay =
        std::find(relays.begin(), relays.end(), name) != relays.end();
      if (peer.last.dataCentre == mSettings.dataCentre || isRelay) {
        send(name, kHeartbeat, body);
      }
    } else if (!peer.last.meshAddress.empty()) {
      // A silent peer may have restarted, so that neither side knows the
      // other's incarnation.
      mTransport.greet(peer.last.meshAddress, body);
      greeted.insert(peer.last.meshAddress);
    }
  }
  if (mMembership.alivePeers(now).empty()) {
    for (const http::Address& peer : mSettings.peers) {
      if (peer != mSettings.meshAddress && !greeted.contains(peer.text())) {
        mTransport.greet(peer.text(), body);
      }
    }
  }
}

void
PeerLink::receive(const mesh::Envelope& aEnvelope)
{
  const auto handler = mHandlers.find(aEnvelope.type);
  if (handler == mHandlers.end()) {
    return;
  }
  try {
    handler->second(aEnvelope);
  } catch (const json::exception& wrong) {
    observe::logWarn("malformed message of a peer ignored",
                     { { "from", aEnvelope.from },
                       { "type", aEnvelope.type },
                       { "problem", wrong.what() } });
  }
}

void
PeerLink::onHeartbeat(const mesh::Envelope& aEnvelope)
{
  const membership::Heartbeat heartbeat = readHeartbeat(aEnvelope);
  const base::TimePoint now = base::monotonicNow();
  const bool wasAlive =
    mMembership.state(heartbeat.vm, now) == membership::PeerState::Alive;
  mMembership.onHeartbeat(heartbeat, now);
  mTransport.connect(heartbeat.vm, heartbeat.meshAddress);
  if (!wasAlive) {
    send(heartbeat.vm, kHeartbeat, this->heartbeat());
  }
  requestNewer(heartbeat.vm, heartbeat);
}

void
PeerLink::requestNewer(const base::VmName& aVm,
                       const membership::Heartbeat& aHeartbeat)
{
  for (const auto& [name, version] : aHeartbeat.versions) {
    if (version > mConfiguration.store().version(name)) {
      send(aVm, kDocumentRequest, name);
    }
  }
  if (aHeartbeat.withdrawalsDigest != mConfiguration.withdrawals().digest()) {
    send(aVm, kWithdrawals, mConfiguration.withdrawals().ids());
  }
}

void
PeerLink::onDocumentRequest(const mesh::Envelope& aEnvelope)
{
  const documents::Document* held =
    mConfiguration.store().find(aEnvelope.body.get<std::string>());
  if (held != nullptr) {
    send(aEnvelope.from, kDocument, documents::encode(*held));
  }
}

void
PeerLink::onDocument(const mesh::Envelope& aEnvelope)
{
  const auto outcome = base::capture([&]() -> base::Result<documents::Offer> {
    BOOST_LEAF_AUTO(document,
                    documents::decode(aEnvelope.body.get<std::string>()));
    return mConfiguration.offer(document);
  });
  if (const base::Error* error = base::errorOf(outcome)) {
    observe::logWarn(
      "document of a peer refused",
      { { "from", aEnvelope.from }, { "problem", error->message } });
  }
}

} // namespace marigold::entry
