#include "apps/entry/peer_link.h"

#include "observe/observe.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;

constexpr base::Duration kHeartbeatPeriod = std::chrono::milliseconds(500);

constexpr const char* kHeartbeat = "heartbeat";
constexpr const char* kDocumentRequest = "document-request";
constexpr const char* kDocument = "document";
constexpr const char* kWithdrawals = "withdrawals";

/** Documents whose versions a heartbeat carries, in this order. */
constexpr std::array kDocumentNames{ documents::kManifest,
                                     documents::kKeys,
                                     kVmListName };

/** Places of a heartbeat's fields; a short one ends before DataCentre. */
enum HeartbeatField : std::size_t
{
  Versions,
  WithdrawalsDigest,
  PlatformReachable,
  HearsOthers,
  ContactAge, ///< milliseconds, -1 if never
  DataCentre,
  MeshAddress,
  OperatorAddress,
};

/** Every so many heartbeats is a full one, for peers that know too little. */
constexpr std::uint64_t kFullHeartbeatEvery = 10;

membership::Heartbeat
readHeartbeat(const mesh::Envelope& aEnvelope)
{
  const json& body = aEnvelope.body;
  membership::Heartbeat heartbeat;
  heartbeat.vm = aEnvelope.from;
  heartbeat.incarnation = aEnvelope.fromIncarnation;
  for (std::size_t index = 0; index < kDocumentNames.size(); ++index) {
    const std::uint64_t version = body.at(Versions).at(index);
    if (version > 0) {
      heartbeat.versions[std::string(kDocumentNames.at(index))] = version;
    }
  }
  heartbeat.withdrawalsDigest = body.at(WithdrawalsDigest);
  heartbeat.platformReachable = body.at(PlatformReachable);
  heartbeat.hearsOthers = body.at(HearsOthers);
  if (const std::int64_t age = body.at(ContactAge); age >= 0) {
    heartbeat.contactAge = std::chrono::milliseconds(age);
  }
  if (body.size() > DataCentre) {
    heartbeat.dataCentre = body.at(DataCentre);
    heartbeat.meshAddress = body.at(MeshAddress);
    heartbeat.operatorAddress = body.at(OperatorAddress);
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
  if (!mTransport.knows(aVm)) {
    greetUnknown(aVm);
  }
  return mTransport.send(aVm, aType, aBody);
}

void
PeerLink::greetUnknown(const base::VmName& aVm)
{
  const auto peer = mMembership.peers().find(aVm);
  const base::TimePoint now = base::monotonicNow();
  if (peer == mMembership.peers().end() ||
      peer->second.last.meshAddress.empty() ||
      now - mGreetedAt[aVm] < kHeartbeatPeriod) {
    return;
  }
  mGreetedAt[aVm] = now;
  mTransport.greet(peer->second.last.meshAddress, heartbeat(true));
}

void
PeerLink::broadcast(const std::string& aType, const json& aBody)
{
  for (const base::VmName& vm : mMembership.alivePeers(base::monotonicNow())) {
    send(vm, aType, aBody);
  }
}

json
PeerLink::heartbeat(bool aFull) const
{
  const base::TimePoint now = base::monotonicNow();
  const base::Duration age = mMembership.contactAge(now);
  const bool inTouch = age < base::Duration::max();
  json versions = json::array();
  for (const std::string_view name : kDocumentNames) {
    versions.push_back(mConfiguration.store().version(name));
  }
  json body =
    json::array({ versions,
                  mConfiguration.withdrawals().digest(),
                  mPlatformReachable,
                  mMembership.hearsOthers(now),
                  inTouch ? base::inMilliseconds(age) : std::int64_t{ -1 } });
  if (aFull) {
    body.push_back(mSettings.dataCentre);
    body.push_back(mSettings.meshAddress.text());
    body.push_back(mSettings.operatorAddress.text());
  }
  return body;
}

void
PeerLink::connectListed()
{
  for (const auto& [name, peer] : mMembership.peers()) {
    mTransport.connect(name, peer.last.meshAddress);
  }
}

std::set<base::VmName>
PeerLink::heartbeatTargets(base::TimePoint aNow) const
{
  std::set<base::VmName> targets;
  std::set<base::DataCentre> others;
  for (const auto& [name, peer] : mMembership.peers()) {
    if (peer.last.dataCentre == mSettings.dataCentre) {
      targets.insert(name);
    } else {
      others.insert(peer.last.dataCentre);
    }
  }
  // Between data centres only relays talk, or the bytes of each VM would grow
  // with the number of data centres.
  if (mMembership.isRelay(aNow)) {
    for (const base::DataCentre& other : others) {
      const auto contacts = mMembership.contacts(other, aNow);
      targets.insert(contacts.begin(), contacts.end());
    }
  }
  return targets;
}

void
PeerLink::beat()
{
  const base::TimePoint now = base::monotonicNow();
  const json full = heartbeat(true);
  const json body =
    ++mBeats % kFullHeartbeatEvery == 0 ? full : heartbeat(false);
  connectListed();
  std::set<std::string> greeted;
  for (const base::VmName& name : heartbeatTargets(now)) {
    if (mMembership.state(name, now) == membership::PeerState::Alive) {
      send(name, kHeartbeat, body);
      continue;
    }
    // A silent peer may have restarted, so that neither side knows the other's
    // incarnation.
    const std::string& address = mMembership.peers().at(name).last.meshAddress;
    if (!address.empty()) {
      mTransport.greet(address, full);
      greeted.insert(address);
    }
  }
  if (mMembership.alivePeers(now).empty()) {
    for (const http::Address& peer : mSettings.peers) {
      if (peer != mSettings.meshAddress && !greeted.contains(peer.text())) {
        mTransport.greet(peer.text(), full);
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
    send(heartbeat.vm, kHeartbeat, this->heartbeat(true));
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
