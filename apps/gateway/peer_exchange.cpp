#include "apps/gateway/peer_exchange.h"
#include "apps/gateway/upstream_notes.h"

#include "observe/log.h"

#include <algorithm>
#include <cmath>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Minimum size of a data centre at which the messages that a relay saves are
 * worth the additional hop. */
constexpr std::size_t kMinVmsForRelay = 4;
/** Number of sent statuses kept because a summary may still include them: about
 * one second's worth. */
constexpr std::size_t kMaxSentStatuses = 12;
/** Several adapters are often ordered together; one message announces all. */
constexpr base::Duration kAnnouncementDelay = 20ms;
/** Interval at which the owner sends placements even if nothing changed, as a
 * heartbeat. */
constexpr base::Duration kPlacementPeriod = 400ms;
/** Placements expire if the owner of orders sends nothing for this long. */
constexpr base::Duration kOwnerTimeout = 2s;
/** A VM that missed this many statuses is not selected as the relay. */
constexpr int kMaxMissedStatuses = 5;
/** A VM is included in the summary of its data centre for this long after its
 * last status. After a longer pause it counts as partitioned or stopped. */
constexpr base::Duration kMaxSummaryStatusAge = 900ms;
/** Number of summaries in which a changed total is repeated, because UDP may
 * lose some. */
constexpr int kTotalRepeats = 3;
/** A VM whose registration has lapsed, because it cannot reach the store, still
 * gets messages if its latest report is younger than this. */
constexpr base::Duration kMaxLapsedReportAge = 1500ms;
/** The relay of another data centre is known if its latest summary is younger
 * than this. */
constexpr base::Duration kMaxRelaySummaryAge = 1500ms;
/** VMs of its data centre that a VM tells of the streams that it begins. */
constexpr std::size_t kStreamCopies = 2;
/** Larger messages would take several packets, all of which have to arrive. */
constexpr std::size_t kMaxStreamsInMessage = 80;
/** Summaries of this data centre that wait for the link, by recipients. Those
 * of another one wait under its name. */
constexpr const char* kSameRegionStream = "own, same region";
constexpr const char* kOtherRegionsStream = "own, other regions";
/** Minimum time between two crash reports. */
constexpr base::Duration kCrashReportInterval = 20ms;

/** Splits a list so that each part fits into one message. */
template<typename Item, typename Send>
void
forEachPart(const std::vector<Item>& aList, Send aSend)
{
  for (std::size_t begin = 0; begin < aList.size();
       begin += kMaxStreamsInMessage) {
    const std::size_t end =
      std::min(begin + kMaxStreamsInMessage, aList.size());
    aSend(std::vector<Item>(aList.begin() + static_cast<std::ptrdiff_t>(begin),
                            aList.begin() + static_cast<std::ptrdiff_t>(end)));
  }
}

} // namespace

PeerExchange::PeerExchange(http::Loop& aLoop,
                           RequestContext& aContext,
                           Fleet& aFleet,
                           OrderController& aOrders,
                           base::Incarnation aIncarnation)
  : mLoop(aLoop)
  , mContext(aContext)
  , mFleet(aFleet)
  , mOrders(aOrders)
  , mIncarnation(aIncarnation)
  , mSocket(aLoop,
            aContext.settings,
            [this](const std::string& aBytes) { receive(aBytes); })
  , mPlacementTimer(kPlacementPeriod)
  , mOwnerReport(aLoop, [this] { sendOwnerReport(); })
  , mCrashReport(aLoop, [this] { sendCrashReport(); })
{
}

base::Result<void>
PeerExchange::listen()
{
  mStatusTimer = mLoop.every(mSchedule.statusPeriod(), [this] { send(); });
  return mSocket.listen();
}

void
PeerExchange::onFleetChanged()
{
  std::map<base::DataCentre, std::vector<peers::RelayCandidate>> candidates;
  candidates[mContext.settings.dataCentre].push_back(
    { mContext.settings.vm, mContext.settings.capacity });
  for (const auto& [vm, member] : mFleet.others()) {
    candidates[member.dataCentre].push_back({ vm, member.capacity });
  }
  noteLapsedMembers();
  mRelayRanking.clear();
  for (const auto& [dataCentre, list] : candidates) {
    mRelayRanking[dataCentre] = peers::rankRelays(list);
  }
  const std::size_t own = candidates.at(mContext.settings.dataCentre).size();
  const base::Duration before = mSchedule.statusPeriod();
  mSchedule.setFleetSize(own - 1, candidates.size(), mFleet.size());
  if (mSchedule.statusPeriod() != before) {
    mStatusTimer = mLoop.every(mSchedule.statusPeriod(), [this] { send(); });
  }
  mContext.quota.setReportPeriod(mSchedule.maxPeriod());
  // A status travels through the relay of its data centre.
  mContext.notices.setFleetSize(mFleet.size());
  mContext.notices.setReportDelay(mSchedule.statusPeriod() +
                                  mSchedule.maxPeriod());
  const auto after = mFleet.others().lower_bound(mContext.settings.vm);
  mContext.brittle.setFleet(
    mFleet.size(),
    static_cast<std::size_t>(std::distance(mFleet.others().begin(), after)));
  mContext.brittle.setReportDelay(mContext.notices.reportDelay());
  // New VMs receive the placements and the usage totals at once.
  announcePlacements();
  mSummaries.requestComplete();
}

/** Without messages of its relay, a VM would act as relay with a summary of
 * itself only. */
void
PeerExchange::noteLapsedMembers()
{
  Addresses registered;
  for (const auto& [vm, member] : mFleet.others()) {
    if (member.dataCentre == mContext.settings.dataCentre) {
      registered[vm] = member.peerAddress;
    }
  }
  mLapsed.merge(mRegistered);
  mRegistered = std::move(registered);
  std::erase_if(mLapsed, [this](const auto& aItem) {
    return mRegistered.contains(aItem.first);
  });
}

bool
PeerExchange::isLapsedMember(const std::string& aHost) const
{
  const base::TimePoint since = base::monotonicNow() - kMaxLapsedReportAge;
  return std::any_of(mLapsed.begin(), mLapsed.end(), [&](const auto& aItem) {
    return aItem.second.host == aHost &&
           mContext.peers.reportedSince(aItem.first, since);
  });
}

base::VmName
PeerExchange::relay() const
{
  const auto order = mRelayRanking.find(mContext.settings.dataCentre);
  if (order == mRelayRanking.end()) {
    return mContext.settings.vm;
  }
  // Each VM waits one status period longer than the VM ranked before it, so
  // that they do not all take over from a failed relay at once.
  const auto self =
    std::find(order->second.begin(), order->second.end(), mContext.settings.vm);
  const auto missed = kMaxMissedStatuses + (self - order->second.begin());
  const base::TimePoint since =
    base::monotonicNow() - missed * mSchedule.statusPeriod();
  return peers::electRelay(
    order->second, mContext.settings.vm, [&](const base::VmName& aVm) {
      return mContext.peers.reportedSince(aVm, since);
    });
}

std::vector<base::VmName>
PeerExchange::storeReaders() const
{
  const auto order = mRelayRanking.find(mContext.settings.dataCentre);
  return order == mRelayRanking.end()
           ? std::vector<base::VmName>{ mContext.settings.vm }
           : peers::storeReaders(order->second, relay());
}

std::size_t
PeerExchange::dataCentreSize() const
{
  const auto order = mRelayRanking.find(mContext.settings.dataCentre);
  return order == mRelayRanking.end() ? 1 : order->second.size();
}

std::vector<base::Address>
PeerExchange::dataCentreAddresses() const
{
  std::vector<base::Address> addresses;
  for (const auto& [vm, address] : mRegistered) {
    addresses.push_back(address);
  }
  const base::TimePoint since = base::monotonicNow() - kMaxLapsedReportAge;
  for (const auto& [vm, address] : mLapsed) {
    if (mContext.peers.reportedSince(vm, since)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

std::vector<base::Address>
PeerExchange::relayAddresses(const base::DataCentre& aOther) const
{
  std::optional<base::VmName> last;
  const auto latestSummary = mContext.peers.summaries().find(aOther);
  if (latestSummary != mContext.peers.summaries().end() &&
      base::monotonicNow() - latestSummary->second.receivedAt <
        kMaxRelaySummaryAge) {
    last = latestSummary->second.summary.relay;
  }
  std::vector<base::Address> addresses;
  for (const auto& vm :
       peers::summaryRecipients(mRelayRanking.at(aOther), last)) {
    addresses.push_back(mFleet.others().at(vm).peerAddress);
  }
  return addresses;
}

bool
PeerExchange::usesRelay() const
{
  return dataCentreSize() >= kMinVmsForRelay;
}

void
PeerExchange::send()
{
  const bool actsAsRelay = isRelay();
  if (actsAsRelay) {
    mContext.peers.dropOwnSummary();
    sendSummaries();
  }
  if (!actsAsRelay || !usesRelay()) {
    sendStatus();
  } else if (mSocket.pacing()) {
    // Summaries are late, and another VM would take this one for failed.
    mSocket.send(peers::encode(nextStatus()), dataCentreAddresses());
  }
  const base::TimePoint now = base::monotonicNow();
  if (mOrders.active() && !mAnnouncementTimer &&
      mPlacementTimer.fireIfDue(now)) {
    sendPlacements();
  }
}

void
PeerExchange::sendStatus()
{
  const std::string bytes = peers::encode(nextStatus());
  if (!usesRelay()) {
    mSocket.send(bytes, dataCentreAddresses());
    return;
  }
  const auto member = mFleet.others().find(relay());
  if (member != mFleet.others().end()) {
    mSocket.send(bytes, { member->second.peerAddress });
  }
}

std::string
PeerExchange::summary()
{
  return peers::encode(mSummaries.build(nextStatus(),
                                        mContext.peers,
                                        kMaxSummaryStatusAge,
                                        kTotalRepeats * mSchedule.maxPeriod(),
                                        base::monotonicNow()));
}

void
PeerExchange::sendSummaries()
{
  const bool includeRemoteRegions =
    mSchedule.remoteRegionsDue(base::monotonicNow());
  std::vector<base::Address> sameRegionPeers;
  std::vector<base::Address> otherRegionPeers;
  if (usesRelay()) {
    sameRegionPeers = dataCentreAddresses();
  }
  for (const auto& [dataCentre, order] : mRelayRanking) {
    if (dataCentre == mContext.settings.dataCentre) {
      continue;
    }
    auto& peers = sameRegion(mContext.settings, dataCentre) ? sameRegionPeers
                                                            : otherRegionPeers;
    const auto relays = relayAddresses(dataCentre);
    peers.insert(peers.end(), relays.begin(), relays.end());
  }
  if (!includeRemoteRegions) {
    otherRegionPeers.clear();
  }
  if (sameRegionPeers.empty() && otherRegionPeers.empty()) {
    return;
  }
  const std::string bytes = summary();
  if (!sameRegionPeers.empty()) {
    mSocket.sendPaced(kSameRegionStream, bytes, sameRegionPeers);
  }
  if (!otherRegionPeers.empty()) {
    mSocket.sendPaced(kOtherRegionsStream, bytes, otherRegionPeers);
  }
}

void
PeerExchange::sendPlacements()
{
  peers::PlacementUpdate update = mPlacementAnnouncer.nextUpdate(
    mOrders.placements(), mFleet.fencingToken(), base::monotonicNow());
  update.owner = mContext.settings.vm;
  update.loadAges = mOrders.loadAges(base::monotonicNow());
  const std::string bytes = peers::encode(update);
  mSocket.send(bytes, dataCentreAddresses());
  for (const auto& [dataCentre, order] : mRelayRanking) {
    if (dataCentre != mContext.settings.dataCentre) {
      mSocket.send(bytes, relayAddresses(dataCentre));
    }
  }
}

void
PeerExchange::announcePlacements()
{
  if (mAnnouncementTimer || !mOrders.active()) {
    return;
  }
  mAnnouncementTimer = mLoop.after(kAnnouncementDelay, [this] {
    if (mOrders.active()) {
      sendPlacements();
    }
    mAnnouncementTimer.reset();
  });
}

void
PeerExchange::reportToOwner()
{
  if (mOrders.active()) {
    mWaitingDemandReceived.emit();
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
    mSocket.send(peers::encode(nextStatus()), { member->second.peerAddress });
  }
}

void
PeerExchange::reportCrashes()
{
  mCrashReport.trigger(mCrashReportedAt + kCrashReportInterval -
                       base::monotonicNow());
}

void
PeerExchange::sendCrashReport()
{
  mCrashReportedAt = base::monotonicNow();
  const peers::CrashReport report{ mContext.crashes.seenCrashes(
    mCrashReportedAt) };
  const auto address = collector();
  if (address && !report.crashes.empty()) {
    mSocket.send(peers::encode(report), { *address });
  }
}

/** @return the owner of orders, or the VM ranked first if no VM owns them */
base::VmName
PeerExchange::collectorName() const
{
  if (const auto& owner = mFleet.owner()) {
    return owner->vm;
  }
  peers::RelayCandidate first{ mContext.settings.vm,
                               mContext.settings.capacity };
  for (const auto& [vm, member] : mFleet.others()) {
    const peers::RelayCandidate candidate{ vm, member.capacity };
    if (peers::hasElectionPriority(candidate, first)) {
      first = candidate;
    }
  }
  return first.vm;
}

bool
PeerExchange::isCollector() const
{
  return collectorName() == mContext.settings.vm;
}

/** @return the address of the collector, nothing if it is this VM or unknown */
std::optional<base::Address>
PeerExchange::collector() const
{
  const auto member = mFleet.others().find(collectorName());
  return member == mFleet.others().end()
           ? std::nullopt
           : std::optional(member->second.peerAddress);
}

/** @return the next VMs of the data centre in the order of names, where the
 * callers of this VM go if its process ends */
std::vector<base::Address>
PeerExchange::successors() const
{
  std::vector<base::Address> addresses;
  const auto& others = mFleet.others();
  const auto first = others.upper_bound(mContext.settings.vm);
  const auto add = [&](auto aFrom, auto aTo) {
    for (auto member = aFrom; member != aTo && addresses.size() < kStreamCopies;
         ++member) {
      if (member->second.dataCentre == mContext.settings.dataCentre) {
        addresses.push_back(member->second.peerAddress);
      }
    }
  };
  add(first, others.end());
  add(others.begin(), first);
  return addresses;
}

/** @return the addresses and that of the collector, each once */
std::vector<base::Address>
PeerExchange::withCollector(std::vector<base::Address> aAddresses) const
{
  const auto address = collector();
  if (address && std::find(aAddresses.begin(), aAddresses.end(), *address) ==
                   aAddresses.end()) {
    aAddresses.push_back(*address);
  }
  return aAddresses;
}

void
PeerExchange::announceStreams(const std::vector<peers::StreamOrigin>& aOrigins)
{
  sendStreams(aOrigins, withCollector(successors()));
}

void
PeerExchange::sendStreams(const std::vector<peers::StreamOrigin>& aOrigins,
                          const std::vector<base::Address>& aTargets)
{
  forEachPart(aOrigins, [&](std::vector<peers::StreamOrigin> aPart) {
    mSocket.send(peers::encode(peers::StreamReport{ std::move(aPart) }),
                 aTargets);
  });
}

void
PeerExchange::askForStreams(const std::vector<peers::StreamId>& aStreams,
                            StreamRegistry::Scope aScope)
{
  std::vector<base::Address> targets;
  if (aScope == StreamRegistry::Scope::Nearby) {
    targets = withCollector(dataCentreAddresses());
  } else {
    for (const auto& [vm, member] : mFleet.others()) {
      targets.push_back(member.peerAddress);
    }
  }
  forEachPart(aStreams, [&](std::vector<peers::StreamId> aPart) {
    mSocket.send(peers::encode(peers::StreamQuery{ mContext.settings.vm,
                                                   std::move(aPart) }),
                 targets);
  });
}

void
PeerExchange::announceDraining()
{
  mDraining = true;
  const std::string bytes = peers::encode(nextStatus());
  for (const auto& [vm, member] : mFleet.others()) {
    mSocket.send(bytes, { member.peerAddress });
  }
}

void
PeerExchange::expire()
{
  const base::TimePoint now = base::monotonicNow();
  mContext.peers.expire(now);
  std::erase_if(mLapsed, [&](const auto& aItem) {
    return !mContext.peers.reportedSince(aItem.first,
                                         now - kMaxLapsedReportAge);
  });
  const auto& owner = mFleet.owner();
  const bool ownerActive = owner &&
                           owner->fencingToken == mPlacementFencingToken &&
                           now - mPlacementsReceivedAt < kOwnerTimeout;
  if (!mOrders.active() && !ownerActive) {
    mContext.upstreams.clearPlacements();
  }
}

peers::Status
PeerExchange::nextStatus()
{
  mContext.brittle.setHeard(mContext.peers.reportingVms());
  peers::Status status;
  status.vm = mContext.settings.vm;
  status.dataCentre = mContext.settings.dataCentre;
  status.incarnation = mIncarnation;
  status.sequence = ++mSequence;
  status.catalogVersion = mContext.catalog.version();
  status.draining = mDraining;
  status.usage = mContext.quota.reportUsage();
  status.unregistered = mContext.quota.unregistered();
  status.levels = mContext.quota.levels(base::monotonicNow());
  const auto toCount = [](double aValue) {
    return static_cast<std::uint32_t>(std::max(0.0, aValue));
  };
  const auto reportedAnswers = answersToReport(mContext);
  for (const auto& [name, upstream] : mContext.upstreams.all()) {
    const peers::LimitUse limitUse =
      mContext.notices.use(upstream->process().tag(), base::monotonicNow());
    const peers::BrittleUse brittleUse = mContext.brittle.use(
      upstream->process().tag(), upstream->running, base::monotonicNow());
    const auto answered = reportedAnswers.find(name);
    const peers::AnswerCounts answers = answered == reportedAnswers.end()
                                          ? peers::AnswerCounts{}
                                          : answered->second;
    if (upstream->running > 0 || limitUse != peers::LimitUse{} ||
        brittleUse != peers::BrittleUse{} || answers != peers::AnswerCounts{}) {
      status.loads[name] = { upstream->running,
                             toCount(upstream->queuedMs),
                             toCount(upstream->lowPriorityMs),
                             toCount(upstream->memoryTokens),
                             limitUse,
                             brittleUse,
                             answers };
    }
  }
  for (const auto& [ref, rate] : mContext.demand.rates(base::monotonicNow())) {
    status.demand[ref.text()].workMsPerSecond = toCount(std::round(rate));
  }
  for (const auto& [model, count] : mContext.waitQueue.counts()) {
    peers::ModelDemand& demand = status.demand[model.ref.text()];
    (model.software ? demand.takeUps[*model.software] : demand.waiting) = count;
  }
  for (const auto& [ref, count] : mContext.runningByModel) {
    status.demand[ref.text()].running = count;
  }
  status.crashes = mContext.crashes.report(base::monotonicNow());
  status.drainingUpstreams = mContext.upstreams.draining();
  status.gossip = { mContext.notices.statements(base::monotonicNow()),
                    mOrders.ownerLoads(base::monotonicNow()),
                    mContext.notices.asks(base::monotonicNow()),
                    mContext.brittle.services(base::monotonicNow()) };
  mSentStatuses.push_back(status);
  if (mSentStatuses.size() > kMaxSentStatuses) {
    mSentStatuses.pop_front();
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
  std::visit([&](auto& aContent) { handle(aContent, aBytes); },
             std::get<peers::Message>(message));
}

void
PeerExchange::forwardToDataCentre(const std::string& aBytes)
{
  if (isRelay()) {
    mSocket.send(aBytes, dataCentreAddresses());
  }
}

void
PeerExchange::signalWaitingDemand(const peers::DemandTable& aDemand)
{
  const bool waits =
    std::any_of(aDemand.begin(), aDemand.end(), [](const auto& aItem) {
      return aItem.second.awaited();
    });
  if (waits && mOrders.active()) {
    mWaitingDemandReceived.emit();
  }
}

void
PeerExchange::handle(peers::Status& aStatus, const std::string&)
{
  const base::TimePoint now = base::monotonicNow();
  const base::VmName vm = aStatus.vm;
  if (vm == mContext.settings.vm ||
      !mContext.peers.update(std::move(aStatus), now)) {
    return;
  }
  const peers::Status& status = mContext.peers.statuses().at(vm).status;
  if (status.draining) {
    mContext.quota.onPeerDraining(vm, status.incarnation, now);
  } else {
    mContext.quota.addUnregistered(status.unregistered, now);
    mContext.quota.onPeerUsage(
      vm, status.incarnation, status.usage, quota::Totals::All, now);
    mContext.quota.adoptLevels(status.levels, now);
  }
  mergeCrashes(status.crashes, now);
  mergeDraining(status.drainingUpstreams);
  merge(status.gossip, now);
  if (status.catalogVersion > mContext.catalog.version()) {
    mNewerCatalog.emit(vm);
  }
  signalWaitingDemand(status.demand);
}

void
PeerExchange::probeCrashed(const peers::CrashTable& aCrashes)
{
  // The owner of orders replaces lost models. In a large fleet hardly any of
  // its own requests would show it the crash.
  for (const auto& [process, evidence] : aCrashes) {
    const auto upstream = mOrders.active() && !mContext.crashes.knows(process)
                            ? mContext.upstreams.findProcess(process)
                            : nullptr;
    if (upstream) {
      mContext.reach.probe(upstream->peer());
    }
  }
}

void
PeerExchange::mergeCrashes(const peers::CrashTable& aCrashes,
                           base::TimePoint aNow)
{
  probeCrashed(aCrashes);
  mContext.crashes.merge(aCrashes, aNow);
}

void
PeerExchange::handle(peers::CrashReport& aReport, const std::string&)
{
  probeCrashed(aReport.crashes);
  mContext.crashes.adopt(aReport.crashes, base::monotonicNow());
}

void
PeerExchange::handle(peers::StreamReport& aReport, const std::string&)
{
  mContext.streams.merge(aReport.origins);
}

void
PeerExchange::handle(peers::StreamQuery& aQuery, const std::string&)
{
  const auto member = mFleet.others().find(aQuery.vm);
  const auto origins = mContext.streams.known(aQuery.streams);
  if (member != mFleet.others().end() && !origins.empty()) {
    sendStreams(origins, { member->second.peerAddress });
  }
}

void
PeerExchange::mergeDraining(
  const std::map<base::UpstreamName, std::uint32_t>& aDraining)
{
  for (const auto& name : mContext.upstreams.markDraining(aDraining)) {
    observe::logInfo("upstream leaves, as a peer reports",
                     { { "upstream", name } });
  }
}

void
PeerExchange::merge(const peers::Gossip& aGossip, base::TimePoint aNow)
{
  for (const peers::ProcessTag process :
       mContext.notices.merge(aGossip.limitStatements, aNow)) {
    const auto upstream = mContext.upstreams.findProcess(process);
    observe::logInfo("limit of an upstream ended, as peers report",
                     { { "upstream", upstream ? upstream->record.name : "" } });
  }
  if (aGossip.storeLoads) {
    mOrders.mergeOwnerLoads(*aGossip.storeLoads, aNow);
  }
  mContext.notices.merge(aGossip.limitAsks, aNow);
  mContext.brittle.merge(aGossip.brittleServices, aNow);
}

void
PeerExchange::handle(peers::Summary& aSummary, const std::string& aBytes)
{
  const base::TimePoint now = base::monotonicNow();
  const base::DataCentre dataCentre = aSummary.dataCentre;
  if (dataCentre == mContext.settings.dataCentre) {
    if (!handleOwnSummary(std::move(aSummary), now)) {
      return;
    }
  } else {
    if (!mContext.peers.update(std::move(aSummary), now)) {
      return;
    }
    if (isRelay()) {
      mSocket.sendPaced(dataCentre, aBytes, dataCentreAddresses());
    }
  }
  const auto& summary = mContext.peers.summaries().at(dataCentre).summary;
  mContext.quota.addUnregistered(summary.unregistered, now);
  mContext.quota.adoptLevels(summary.levels, now);
  const auto totals =
    summary.complete ? quota::Totals::All : quota::Totals::Changed;
  for (const auto& [vm, member] : summary.members) {
    if (member.draining) {
      mContext.quota.onPeerDraining(vm, member.incarnation, now);
    } else if (vm != mContext.settings.vm) {
      mContext.quota.onPeerUsage(
        vm, member.incarnation, member.usage, totals, now);
    }
  }
  mergeCrashes(summary.crashes, now);
  mergeDraining(summary.drainingUpstreams);
  merge(summary.gossip, now);
  if (summary.catalogVersion > mContext.catalog.version()) {
    mNewerCatalog.emit(summary.relay);
  }
  signalWaitingDemand(summary.demand);
}

bool
PeerExchange::handleOwnSummary(peers::Summary aSummary, base::TimePoint aNow)
{
  peers::Status included;
  const auto self = aSummary.members.find(mContext.settings.vm);
  if (self != aSummary.members.end() &&
      self->second.incarnation == mIncarnation) {
    const auto sent =
      std::find_if(mSentStatuses.begin(),
                   mSentStatuses.end(),
                   [&](const peers::Status& aStatus) {
                     return aStatus.sequence == self->second.sequence;
                   });
    if (sent == mSentStatuses.end()) {
      return false; // Too old to subtract this VM's own share of the totals.
    }
    included = *sent;
  }
  return mContext.peers.updateOwnSummary(std::move(aSummary), included, aNow);
}

void
PeerExchange::handle(peers::PlacementUpdate& aUpdate, const std::string& aBytes)
{
  const bool older = aUpdate.fencingToken < mPlacementFencingToken ||
                     (aUpdate.fencingToken == mPlacementFencingToken &&
                      aUpdate.sequence <= mPlacementSequence);
  if (older || aUpdate.owner == mContext.settings.vm) {
    return;
  }
  mPlacementFencingToken = aUpdate.fencingToken;
  mPlacementSequence = aUpdate.sequence;
  forwardToDataCentre(aBytes);
  const base::TimePoint now = base::monotonicNow();
  mOrders.recordOwnerLoads(aUpdate.loadAges, now);
  const auto& owner = mFleet.owner();
  if (!owner || owner->fencingToken != aUpdate.fencingToken ||
      mOrders.active()) {
    return;
  }
  mPlacementsReceivedAt = now;
  mContext.upstreams.applyPlacements(aUpdate);
  mPlacementsReceived.emit();
}

} // namespace marigold::gateway
