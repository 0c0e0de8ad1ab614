#include "apps/gateway/peer_exchange.h"

#include "observe/log.h"

#include <algorithm>
#include <cmath>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Minimum size of a data centre at which the messages and store calls that a
 * relay saves are worth the additional hop. */
constexpr std::size_t kLeastVmsForRelay = 4;
/** Number of sent statuses kept because a summary may still include them: about
 * one second's worth. */
constexpr std::size_t kSentStatuses = 12;
/** Several adapters are often ordered together; one message announces all. */
constexpr base::Duration kAnnouncementDelay = 20ms;
/** Interval at which the owner sends placements even if nothing changed, as a
 * heartbeat. */
constexpr base::Duration kPlacesPeriod = 400ms;
/** Placements expire if the owner of orders sends nothing for this long. */
constexpr base::Duration kOwnerSilence = 2s;
/** A VM that missed this many statuses is not selected as the relay. */
constexpr int kMissedStatuses = 5;
/** A VM is included in the summary of its data centre for this long after its
 * last status. After a longer pause it counts as partitioned or stopped. */
constexpr base::Duration kSummaryFresh = 900ms;
/** Number of summaries in which a changed total is repeated, because UDP may
 * lose some. */
constexpr int kTotalRepeats = 3;
/** The relay of another data centre is known if its latest summary is younger
 * than this. */
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
    mRelayOrders[dataCentre] = peers::relayOrder(list);
  }
  const std::size_t own = candidates.at(mPath.settings.dataCentre).size();
  const base::Duration before = mSchedule.statusPeriod();
  mSchedule.setFleet(own - 1, candidates.size(), mFleet.size());
  if (mSchedule.statusPeriod() != before) {
    mTimer = mLoop.every(mSchedule.statusPeriod(), [this] { send(); });
  }
  mPath.quota.setReportPeriod(mSchedule.longest());
  // New VMs receive the placements at once.
  announcePlaces();
}

base::VmName
PeerExchange::relay() const
{
  const auto order = mRelayOrders.find(mPath.settings.dataCentre);
  if (order == mRelayOrders.end()) {
    return mPath.settings.vm;
  }
  // Each VM waits one status period longer than the VM ranked before it, so
  // that they do not all take over from a failed relay at once.
  const auto self =
    std::find(order->second.begin(), order->second.end(), mPath.settings.vm);
  const auto missed = kMissedStatuses + (self - order->second.begin());
  const base::TimePoint since =
    base::monotonicNow() - missed * mSchedule.statusPeriod();
  return peers::relayOf(
    order->second, mPath.settings.vm, [&](const base::VmName& aVm) {
      return mPath.peers.heardSince(aVm, since);
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
      base::monotonicNow() - heard->second.heardAt < kRelayHeard) {
    last = heard->second.summary.relay;
  }
  std::vector<base::Address> addresses;
  for (const auto& vm : peers::relayTargets(mRelayOrders.at(aOther), last)) {
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
    mPath.peers.forgetOwn();
    sendSummaries();
  }
  if (!speaksForOthers || !throughRelay()) {
    sendStatus();
  }
  const base::TimePoint now = base::monotonicNow();
  if (mOrders.active() && !mAnnouncement && mPlacesTurn.due(now)) {
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
  return peers::encode(mSummaries.make(nextStatus(),
                                       mPath.peers,
                                       kSummaryFresh,
                                       kTotalRepeats * mSchedule.longest(),
                                       base::monotonicNow()));
}

void
PeerExchange::sendSummaries()
{
  const bool far = mSchedule.farDue(base::monotonicNow());
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
  peers::Places places =
    mPlaceNews.next(mOrders.places(), mFleet.fence(), base::monotonicNow());
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
  status.departing = mDeparting;
  status.usage = mPath.quota.usage();
  status.lapsed = mPath.quota.lapsed();
  status.levels = mPath.quota.levels(base::monotonicNow());
  const auto whole = [](double aValue) {
    return static_cast<std::uint32_t>(std::max(0.0, aValue));
  };
  for (const auto& [name, upstream] : mPath.upstreams.all()) {
    if (upstream->running > 0) {
      status.loads[name] = { upstream->running,
                             whole(upstream->queuedMs),
                             whole(upstream->patientMs),
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
  status.leaving = mPath.upstreams.leaving();
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
    observe::logWarn("invalid peer message", { { "error", error->message } });
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
  const peers::Status& status = mPath.peers.rows().at(vm).status;
  if (status.departing) {
    mPath.quota.onDeparted(vm, now);
  } else {
    mPath.quota.addLapsed(status.lapsed, now);
    mPath.quota.onPeerUsage(vm, status.incarnation, status.usage, now);
    mPath.quota.adopt(status.levels, now);
  }
  if (status.dataCentre == mPath.settings.dataCentre) {
    mPath.crashes.onPeer(vm, status.crashes, now);
  }
  mPath.upstreams.markLeaving(status.leaving);
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
  mPath.quota.addLapsed(summary.lapsed, now);
  mPath.quota.adopt(summary.levels, now);
  for (const auto& [vm, member] : summary.members) {
    if (member.departing) {
      mPath.quota.onDeparted(vm, now);
    } else if (vm != mPath.settings.vm) {
      mPath.quota.onPeerUsage(vm, member.incarnation, member.usage, now);
    }
  }
  mPath.crashes.onPeer(dataCentre, summary.crashes, now);
  mPath.upstreams.markLeaving(summary.leaving);
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
      return false; // Too old to subtract this VM's own share of the totals.
    }
    included = *sent;
  }
  return mPath.peers.updateOwn(std::move(aSummary), included, aNow);
}

void
PeerExchange::take(peers::Places& aPlaces, const std::string& aBytes)
{
  const bool older =
    aPlaces.fence < mPlacesFence ||
    (aPlaces.fence == mPlacesFence && aPlaces.sequence <= mPlacesSequence);
  if (older || aPlaces.owner == mPath.settings.vm) {
    return;
  }
  mPlacesFence = aPlaces.fence;
  mPlacesSequence = aPlaces.sequence;
  passOn(aBytes);
  const base::TimePoint now = base::monotonicNow();
  mOrders.noteLoads(aPlaces.loadAges, now);
  const auto& owner = mFleet.owner();
  if (!owner || owner->fence != aPlaces.fence || mOrders.active()) {
    return;
  }
  mPlacesHeardAt = now;
  mPath.upstreams.usePlaces(aPlaces);
  mPlacesHeard.emit();
}

} // namespace marigold::gateway
