#include "apps/gateway/peer_exchange.h"

#include "observe/log.h"

#include <algorithm>
#include <cmath>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** VMs of a data centre from which on the messages and calls to the store that
 * a relay saves repay the further hop. */
constexpr std::size_t kLeastVmsForRelay = 4;
/** Statuses that a summary may still contain: those of about a second. */
constexpr std::size_t kSentStatuses = 12;
/** Several adapters are often ordered together; one message tells of all. */
constexpr base::Duration kAnnouncementDelay = 20ms;
/** An owner without news still shows that it is there. */
constexpr base::Duration kPlacesPeriod = 400ms;
/** The owner of orders is silent for this long: its view is no longer used. */
constexpr base::Duration kOwnerSilence = 2s;
/** A VM that missed this many statuses is taken as gone by the relay choice. */
constexpr int kMissedStatuses = 5;
/** A VM counts in the summary of its data centre for this long after its last
 * status; a longer pause means that it is cut off or stopped. */
constexpr base::Duration kSummaryFresh = 900ms;
/** Summaries for which a changed total is repeated. */
constexpr int kTotalRepeats = 3;
/** A relay elsewhere that was heard within this gets the next summary. */
constexpr base::Duration kRelayHeard = 1500ms;

} // namespace

PeerExchange::PeerExchange(http::Loop& aLoop,
                           RequestPath& aPath,
                           Fleet& aFleet,
                           OrderBook& aOrders,
                           base::Incarnation aIncarnation)
  : mLoop(aLoop)
  , mPath(aPath)
  , mFleet(aFleet)
  , mOrders(aOrders)
  , mIncarnation(aIncarnation)
  , mLink(aLoop,
          aPath.settings,
          [this](const std::string& aBytes) { receive(aBytes); })
  , mPlacesTurn(kPlacesPeriod)
  , mOwnerReport(aLoop, [this] { sendOwnerReport(); })
{
}

base::Result<void>
PeerExchange::listen()
{
  mTimer = mLoop.every(mSchedule.statusPeriod(), [this] { send(); });
  return mLink.listen();
}

void
PeerExchange::fleetChanged()
{
  std::map<base::DataCentre, std::vector<peers::RelayCandidate>> candidates;
  candidates[mPath.settings.dataCentre].push_back(
    { mPath.settings.vm, mPath.settings.capacity });
  for (const auto& [vm, member] : mFleet.others()) {
    candidates[member.dataCentre].push_back({ vm, member.capacity });
  }
  mRelayOrders.clear();
  for (const auto& [dataCentre, list] : candidates) {
    mRelayOrders[dataCentre] = peers::rankRelays(list);
  }
  const std::size_t own = candidates.at(mPath.settings.dataCentre).size();
  const base::Duration before = mSchedule.statusPeriod();
  mSchedule.setFleetSize(own - 1, candidates.size(), mFleet.size());
  if (mSchedule.statusPeriod() != before) {
    mTimer = mLoop.every(mSchedule.statusPeriod(), [this] { send(); });
  }
  mPath.quota.setReportPeriod(mSchedule.maxPeriod());
  // A new VM learns of the places at once.
  announcePlaces();
}

base::VmName
PeerExchange::relay() const
{
  const auto order = mRelayOrders.find(mPath.settings.dataCentre);
  if (order == mRelayOrders.end()) {
    return mPath.settings.vm;
  }
  // Each waits a little longer than the one before it, so that they do not all
  // take over from a relay at once.
  const auto self =
    std::find(order->second.begin(), order->second.end(), mPath.settings.vm);
  const auto missed = kMissedStatuses + (self - order->second.begin());
  const base::TimePoint since =
    base::monotonicNow() - missed * mSchedule.statusPeriod();
  return peers::electRelay(
    order->second, mPath.settings.vm, [&](const base::VmName& aVm) {
      return mPath.peers.reportedSince(aVm, since);
    });
}

std::size_t
PeerExchange::vmsOfDataCentre() const
{
  const auto order = mRelayOrders.find(mPath.settings.dataCentre);
  return order == mRelayOrders.end() ? 1 : order->second.size();
}

std::vector<base::Address>
PeerExchange::neighbours() const
{
  std::vector<base::Address> addresses;
  for (const auto& [vm, member] : mFleet.others()) {
    if (member.dataCentre == mPath.settings.dataCentre) {
      addresses.push_back(member.peerAddress);
    }
  }
  return addresses;
}

std::vector<base::Address>
PeerExchange::relaysOf(const base::DataCentre& aOther) const
{
  std::optional<base::VmName> last;
  const auto heard = mPath.peers.summaries().find(aOther);
  if (heard != mPath.peers.summaries().end() &&
      base::monotonicNow() - heard->second.receivedAt < kRelayHeard) {
    last = heard->second.summary.relay;
  }
  std::vector<base::Address> addresses;
  for (const auto& vm :
       peers::summaryRecipients(mRelayOrders.at(aOther), last)) {
    addresses.push_back(mFleet.others().at(vm).peerAddress);
  }
  return addresses;
}

bool
PeerExchange::throughRelay() const
{
  return vmsOfDataCentre() >= kLeastVmsForRelay;
}

void
PeerExchange::send()
{
  const bool speaksForOthers = isRelay();
  if (speaksForOthers) {
    mPath.peers.dropOwnSummary();
    sendSummaries();
  }
  if (!speaksForOthers || !throughRelay()) {
    sendStatus();
  }
  const base::TimePoint now = base::monotonicNow();
  if (mOrders.active() && !mAnnouncement && mPlacesTurn.fireIfDue(now)) {
    sendPlaces();
  }
}

void
PeerExchange::sendStatus()
{
  const std::string bytes = peers::encode(nextStatus());
  if (!throughRelay()) {
    mLink.send(bytes, neighbours());
    return;
  }
  const auto member = mFleet.others().find(relay());
  if (member != mFleet.others().end()) {
    mLink.send(bytes, { member->second.peerAddress });
  }
}

std::string
PeerExchange::summary()
{
  return peers::encode(mSummaries.build(nextStatus(),
                                        mPath.peers,
                                        kSummaryFresh,
                                        kTotalRepeats * mSchedule.maxPeriod(),
                                        base::monotonicNow()));
}

void
PeerExchange::sendSummaries()
{
  const bool far = mSchedule.remoteRegionsDue(base::monotonicNow());
  std::vector<base::Address> to;
  if (throughRelay()) {
    to = neighbours();
  }
  for (const auto& [dataCentre, order] : mRelayOrders) {
    if (dataCentre != mPath.settings.dataCentre &&
        (far || sameRegion(mPath.settings, dataCentre))) {
      const auto relays = relaysOf(dataCentre);
      to.insert(to.end(), relays.begin(), relays.end());
    }
  }
  if (!to.empty()) {
    mLink.send(summary(), to);
  }
}

void
PeerExchange::sendPlaces()
{
  peers::PlacementUpdate places = mPlaceNews.nextUpdate(
    mOrders.places(), mFleet.fence(), base::monotonicNow());
  places.owner = mPath.settings.vm;
  places.loadAges = mOrders.loadAges(base::monotonicNow());
  const std::string bytes = peers::encode(places);
  mLink.send(bytes, neighbours());
  for (const auto& [dataCentre, order] : mRelayOrders) {
    if (dataCentre != mPath.settings.dataCentre) {
      mLink.send(bytes, relaysOf(dataCentre));
    }
  }
}

void
PeerExchange::announcePlaces()
{
  if (mAnnouncement || !mOrders.active()) {
    return;
  }
  mAnnouncement = mLoop.after(kAnnouncementDelay, [this] {
    if (mOrders.active()) {
      sendPlaces();
    }
    mAnnouncement.reset();
  });
}

void
PeerExchange::reportToOwner()
{
  if (mOrders.active()) {
    mDemandHeard.emit();
    return;
  }
  mOwnerReport.trigger(mOwnerReportedAt + mSchedule.ownerPeriod() -
                       base::monotonicNow());
}

void
PeerExchange::sendOwnerReport()
{
  mOwnerReportedAt = base::monotonicNow();
  const auto& owner = mFleet.owner();
  const auto member =
    owner ? mFleet.others().find(owner->vm) : mFleet.others().end();
  if (member != mFleet.others().end()) {
    mLink.send(peers::encode(nextStatus()), { member->second.peerAddress });
  }
}

void
PeerExchange::depart()
{
  mDeparting = true;
  const std::string bytes = peers::encode(nextStatus());
  for (const auto& [vm, member] : mFleet.others()) {
    mLink.send(bytes, { member.peerAddress });
  }
}

void
PeerExchange::expire()
{
  const base::TimePoint now = base::monotonicNow();
  mPath.peers.expire(now);
  const auto& owner = mFleet.owner();
  const bool ownerHeard = owner && owner->fence == mPlacesFence &&
                          now - mPlacesHeardAt < kOwnerSilence;
  if (!mOrders.active() && !ownerHeard) {
    mPath.upstreams.clearPlaces();
  }
}

peers::Status
PeerExchange::nextStatus()
{
  peers::Status status;
  status.vm = mPath.settings.vm;
  status.dataCentre = mPath.settings.dataCentre;
  status.incarnation = mIncarnation;
  status.sequence = ++mSequence;
  status.catalogVersion = mPath.catalog.version();
  status.draining = mDeparting;
  status.usage = mPath.quota.usage();
  status.unregistered = mPath.quota.unregistered();
  status.levels = mPath.quota.levels(base::monotonicNow());
  const auto whole = [](double aValue) {
    return static_cast<std::uint32_t>(std::max(0.0, aValue));
  };
  for (const auto& [name, upstream] : mPath.upstreams.all()) {
    if (upstream->running > 0) {
      status.loads[name] = { upstream->running,
                             whole(upstream->queuedMs),
                             whole(upstream->lowPriorityMs),
                             whole(upstream->memoryTokens) };
    }
  }
  for (const auto& [ref, rate] : mPath.demand.rates(base::monotonicNow())) {
    status.demand[ref.text()].workMsPerSecond = whole(std::round(rate));
  }
  for (const auto& [ref, count] : mPath.waiting.counts()) {
    status.demand[ref.text()].waiting = count;
  }
  for (const auto& [ref, count] : mPath.runningByModel) {
    status.demand[ref.text()].running = count;
  }
  status.crashes = mPath.crashes.own();
  status.drainingUpstreams = mPath.upstreams.leaving();
  mSent.push_back(status);
  if (mSent.size() > kSentStatuses) {
    mSent.pop_front();
  }
  return status;
}

void
PeerExchange::receive(const std::string& aBytes)
{
  auto message = base::capture([&] { return peers::decode(aBytes); });
  if (const base::Error* error = base::errorOf(message)) {
    observe::logWarn("message of a peer cannot be read",
                     { { "error", error->message } });
    return;
  }
  std::visit([&](auto& aContent) { take(aContent, aBytes); },
             std::get<peers::Message>(message));
}

void
PeerExchange::passOn(const std::string& aBytes)
{
  if (isRelay()) {
    mLink.send(aBytes, neighbours());
  }
}

void
PeerExchange::learn(const peers::DemandTable& aDemand)
{
  const bool waits =
    std::any_of(aDemand.begin(), aDemand.end(), [](const auto& aItem) {
      return aItem.second.waiting > 0;
    });
  if (waits && mOrders.active()) {
    mDemandHeard.emit();
  }
}

void
PeerExchange::take(peers::Status& aStatus, const std::string&)
{
  const base::TimePoint now = base::monotonicNow();
  const base::VmName vm = aStatus.vm;
  if (vm == mPath.settings.vm || !mPath.peers.update(std::move(aStatus), now)) {
    return;
  }
  const peers::Status& status = mPath.peers.statuses().at(vm).status;
  if (status.draining) {
    mPath.quota.onPeerDraining(vm, now);
  } else {
    mPath.quota.addUnregistered(status.unregistered, now);
    mPath.quota.onPeerUsage(vm, status.incarnation, status.usage, now);
    mPath.quota.adoptLevels(status.levels, now);
  }
  if (status.dataCentre == mPath.settings.dataCentre) {
    mPath.crashes.onPeerCounts(vm, status.crashes, now);
  }
  mPath.upstreams.markLeaving(status.drainingUpstreams);
  if (status.catalogVersion > mPath.catalog.version()) {
    mNewerCatalog.emit(vm);
  }
  learn(status.demand);
}

void
PeerExchange::take(peers::Summary& aSummary, const std::string& aBytes)
{
  const base::TimePoint now = base::monotonicNow();
  const base::DataCentre dataCentre = aSummary.dataCentre;
  if (dataCentre == mPath.settings.dataCentre) {
    if (!takeOwn(std::move(aSummary), now)) {
      return;
    }
  } else {
    if (!mPath.peers.update(std::move(aSummary), now)) {
      return;
    }
    passOn(aBytes);
  }
  const auto& summary = mPath.peers.summaries().at(dataCentre).summary;
  mPath.quota.addUnregistered(summary.unregistered, now);
  mPath.quota.adoptLevels(summary.levels, now);
  for (const auto& [vm, member] : summary.members) {
    if (member.draining) {
      mPath.quota.onPeerDraining(vm, now);
    } else if (vm != mPath.settings.vm) {
      mPath.quota.onPeerUsage(vm, member.incarnation, member.usage, now);
    }
  }
  mPath.crashes.onPeer(dataCentre, summary.crashes, now);
  mPath.upstreams.markLeaving(summary.drainingUpstreams);
  if (summary.catalogVersion > mPath.catalog.version()) {
    mNewerCatalog.emit(summary.relay);
  }
  learn(summary.demand);
}

bool
PeerExchange::takeOwn(peers::Summary aSummary, base::TimePoint aNow)
{
  peers::Status included;
  const auto self = aSummary.members.find(mPath.settings.vm);
  if (self != aSummary.members.end() &&
      self->second.incarnation == mIncarnation) {
    const auto sent = std::find_if(
      mSent.begin(), mSent.end(), [&](const peers::Status& aStatus) {
        return aStatus.sequence == self->second.sequence;
      });
    if (sent == mSent.end()) {
      return false; // Too old to tell this VM's own part in it.
    }
    included = *sent;
  }
  return mPath.peers.updateOwnSummary(std::move(aSummary), included, aNow);
}

void
PeerExchange::take(peers::PlacementUpdate& aPlaces, const std::string& aBytes)
{
  const bool older = aPlaces.fencingToken < mPlacesFence ||
                     (aPlaces.fencingToken == mPlacesFence &&
                      aPlaces.sequence <= mPlacesSequence);
  if (older || aPlaces.owner == mPath.settings.vm) {
    return;
  }
  mPlacesFence = aPlaces.fencingToken;
  mPlacesSequence = aPlaces.sequence;
  passOn(aBytes);
  const base::TimePoint now = base::monotonicNow();
  mOrders.noteLoads(aPlaces.loadAges, now);
  const auto& owner = mFleet.owner();
  if (!owner || owner->fence != aPlaces.fencingToken || mOrders.active()) {
    return;
  }
  mPlacesHeardAt = now;
  mPath.upstreams.usePlaces(aPlaces);
  mPlacesHeard.emit();
}

} // namespace marigold::gateway
