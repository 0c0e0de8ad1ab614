#include "apps/gateway/node.h"

#include "config/config.h"

#include <algorithm>
#include <cmath>
#include <csignal>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** A call to the store that takes longer counts as failed. */
constexpr base::Duration kPlatformTimeout = 1200ms;
/** Least time between two reads of the records, which bounds the calls of a
 * large fleet; a leaving upstream gets no new work well before its limit. */
constexpr base::Duration kUpstreamPause = 250ms;
constexpr base::Duration kCatalogPause = 20ms;
constexpr base::Duration kStatusPeriod = 100ms;
/** Several adapters are often ordered together; one status tells of all. */
constexpr base::Duration kAnnouncementDelay = 20ms;
constexpr base::Duration kTickPeriod = 250ms;
/** The owner of orders is silent for this long: its view is no longer used. */
constexpr base::Duration kOwnerSilence = 2s;
/** A new VM takes requests once its peers can have reported their usage. */
constexpr base::Duration kPeersHeardAfter = 400ms;
/** The balancer takes a VM out after two failed probes, one a second. */
constexpr base::Duration kDrainNotice = 2600ms;
/** Part of the grace period after which open requests are ended, so that their
 * callers still get an answer. */
constexpr double kServeUntil = 0.85;
/** Time for the last bytes before the process ends by itself. */
constexpr base::Duration kFlushPeriod = 400ms;

base::Incarnation
drawIncarnation()
{
  // Wall-clock milliseconds: a later process draws a higher one.
  return static_cast<base::Incarnation>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

std::string
listModels(const catalog::UpstreamRecord& aRecord)
{
  std::string list;
  for (const auto& [model, adapters] : aRecord.models) {
    list += (list.empty() ? "" : " ") + model;
    for (const std::string& adapter : adapters) {
      list += "/" + adapter;
    }
  }
  return list;
}

} // namespace

Node::Node(Settings aSettings, std::string aFile)
  : mSettings(std::move(aSettings))
  , mFile(std::move(aFile))
  , mIncarnation(drawIncarnation())
  , mRandom(base::hash64(mSettings.vm, mIncarnation))
  , mClient(mLoop)
  , mPlatform(mLoop,
              mSettings.platform,
              kPlatformTimeout,
              boundary::storeForm())
  , mPool(mLoop)
  , mRequestLog(mMetrics)
  , mPath{ mLoop,    mSettings, mCatalog, mUpstreams, mPeers,
           mQuota,   mPool,     mHealth,  mWork,      mPrefixes,
           mRetries, mCrashes,  mDemand,  mWaiting,   mRequestLog,
           mRandom,  1,         {},       {},         {} }
  , mFleet(mLoop, mPlatform, mSettings, mIncarnation)
  , mCatalogWatch(mLoop,
                  mPlatform,
                  boundary::kOperatorPrefix,
                  kCatalogPause,
                  { [this](const platform::Snapshot& aAll) {
                     for (const platform::Entry& entry : aAll.entries) {
                       if (entry.key == boundary::kCatalogKey && entry.value) {
                         applyCatalog(*entry.value, "store");
                       }
                     }
                   },
                    [this](const platform::Entry& aEntry) {
                      if (aEntry.key == boundary::kCatalogKey && aEntry.value) {
                        applyCatalog(*aEntry.value, "store");
                      }
                    },
                    [] { observe::logInfo("configuration store reached"); },
                    [](const base::Error& aError) {
                      observe::logWarn("configuration store lost",
                                       { { "error", aError.message } });
                    } })
  , mUpstreamWatch(
      mLoop,
      mPlatform,
      boundary::kUpstreamPrefix,
      kUpstreamPause,
      { [this](const platform::Snapshot& aAll) { applyUpstreams(aAll); },
        [this](const platform::Entry& aEntry) {
          applyUpstream(aEntry);
          mWaiting.wake();
        },
        [this] {
          mStoreRegained = base::monotonicNow();
          // Leases may have ended meanwhile, which a watch can have missed.
          mUpstreamWatch.relist();
          observe::logInfo("upstream records reached");
        },
        [](const base::Error& aError) {
          observe::logWarn("upstream records lost",
                           { { "error", aError.message } });
        } })
  , mOrders(mClient, mSettings, mFleet, mCatalog, mUpstreams, mMetrics)
  , mLink(mLoop,
          mSettings,
          [this](peers::Status aStatus) { onStatus(std::move(aStatus)); })
  , mCallers(mLoop,
             [this](const std::shared_ptr<wire::Caller>& aCaller) {
               std::make_shared<Exchange>(mPath, aCaller)->begin();
             })
  , mReadyServer(mLoop,
                 {},
                 [this](const http::Request& aRequest,
                        const std::shared_ptr<http::Responder>& aResponder) {
                   if (aRequest.path == boundary::kReadyPath) {
                     serveReady(aResponder);
                   } else {
                     aResponder->reply({ 404, {}, "" });
                   }
                 })
  , mOperator(mLoop, mMetrics)
{
  mQuota.setSlack(mSettings.quotaSlack);
  mRetries.setLimits(
    { mSettings.retryRatio, mSettings.retryLeastExtra, mSettings.retryWindow });
  mFleet.changed().connect([this] { fleetChanged(); });
  mOrders.changed().connect([this] {
    usePlaces();
    announcePlaces();
  });
  // An owner elsewhere learns of a missing adapter without waiting for the
  // next regular status.
  mWaiting.onEnter([this] {
    if (mStatusPosted) {
      return;
    }
    mStatusPosted = true;
    mLoop.post([this] {
      mStatusPosted = false;
      sendStatusToOwner();
      if (mOrders.active()) {
        mOrders.run(fleetDemand());
      }
    });
  });
  addDumps();
}

base::Result<void>
Node::run()
{
  observe::logInfo("start",
                   { { "version", MARIGOLD_VERSION },
                     { "data_centre", mSettings.dataCentre },
                     { "incarnation", std::to_string(mIncarnation) } });
  BOOST_LEAF_CHECK(mOperator.listen(mSettings.operatorAddress));
  BOOST_LEAF_CHECK(mReadyServer.listen(mSettings.ready));
  BOOST_LEAF_CHECK(mLink.listen());
  BOOST_LEAF_CHECK(mCallers.listen(mSettings.listen));
  mCatalogWatch.start();
  mUpstreamWatch.start();
  mFleet.start();
  mWatches.push_back(mLoop.onSignal(SIGTERM, [this] { beginDrain(); }));
  mWatches.push_back(mLoop.onSignal(SIGHUP, [this] { reloadSettings(); }));
  mWatches.push_back(mLoop.every(kStatusPeriod, [this] { sendStatus(); }));
  mWatches.push_back(mLoop.every(kTickPeriod, [this] { tick(); }));
  mLoop.run();
  observe::logInfo("stop");
  return {};
}

void
Node::applyCatalog(const std::string& aText, const char* aSource)
{
  auto decoded = base::capture([&] { return boundary::decodeCatalog(aText); });
  if (const base::Error* error = base::errorOf(decoded)) {
    mMetrics
      .counter("marigold_documents_rejected_total",
               "Documents that could not be read",
               { { "document", "configuration" } })
      .Increment();
    observe::logError("configuration rejected",
                      { { "source", aSource }, { "error", error->message } });
    return;
  }
  const auto live = std::make_shared<const LiveCatalog>(
    std::move(std::get<catalog::Catalog>(decoded)), aText);
  if (!mCatalog.offer(live)) {
    return;
  }
  const catalog::Catalog& content = live->content;
  std::map<base::TeamName, quota::Limit> limits;
  for (const catalog::Team& team : content.teams) {
    if (team.rate > 0) {
      limits[team.name] = { team.rate, team.burst };
    }
  }
  mQuota.setLimits(limits, base::monotonicNow());
  mCallers.setLimits({ content.bounds.headerBytes,
                       content.bounds.bodyBytes,
                       content.bounds.headerTimeout,
                       content.bounds.idleTimeout });
  observe::logInfo("configuration in force",
                   { { "version", std::to_string(content.version) },
                     { "source", aSource },
                     { "routes", std::to_string(content.routes.size()) },
                     { "teams", std::to_string(content.teams.size()) } });
}

void
Node::applyUpstream(const platform::Entry& aEntry)
{
  const std::string prefix = boundary::kUpstreamPrefix;
  if (!aEntry.key.starts_with(prefix)) {
    return;
  }
  const base::UpstreamName name = aEntry.key.substr(prefix.size());
  if (!aEntry.value) {
    removeUpstream(name, "its record was removed");
    return;
  }
  auto decoded = base::capture(
    [&] { return boundary::decodeUpstream(name, *aEntry.value); });
  if (const base::Error* error = base::errorOf(decoded)) {
    mMetrics
      .counter("marigold_documents_rejected_total",
               "Documents that could not be read",
               { { "document", "upstream" } })
      .Increment();
    observe::logWarn("upstream record rejected",
                     { { "upstream", name }, { "error", error->message } });
    return;
  }
  mAbsent.erase(name);
  const auto& record = std::get<catalog::UpstreamRecord>(decoded);
  const auto change = mUpstreams.apply(record);
  if (change == UpstreamTable::Change::Restarted) {
    mHealth.forget(name);
    mPrefixes.forget(name);
  }
  if (change == UpstreamTable::Change::None) {
    return;
  }
  static const std::map<UpstreamTable::Change, const char*> kNames{
    { UpstreamTable::Change::ModelsChanged, "models" },
    { UpstreamTable::Change::Added, "added" },
    { UpstreamTable::Change::Restarted, "restarted" },
    { UpstreamTable::Change::Left, "leaving" }
  };
  observe::logInfo("upstream",
                   { { "upstream", name },
                     { "change", kNames.at(change) },
                     { "service", record.service },
                     { "address", record.address.text() },
                     { "data_centre", record.dataCentre },
                     { "models", listModels(record) },
                     { "revision", std::to_string(aEntry.revision) } });
}

void
Node::removeUpstream(const base::UpstreamName& aName, const char* aReason)
{
  mAbsent.erase(aName);
  const auto upstream = mUpstreams.find(aName);
  if (!upstream) {
    return;
  }
  mPool.forget(upstream->peer());
  mHealth.forget(aName);
  mPrefixes.forget(aName);
  mUpstreams.remove(aName);
  observe::logInfo(
    "upstream",
    { { "upstream", aName }, { "change", "gone" }, { "reason", aReason } });
}

void
Node::applyUpstreams(const platform::Snapshot& aSnapshot)
{
  std::set<base::UpstreamName> listed;
  const std::size_t prefix = std::string(boundary::kUpstreamPrefix).size();
  for (const platform::Entry& entry : aSnapshot.entries) {
    applyUpstream(entry);
    listed.insert(entry.key.substr(prefix));
  }
  const base::TimePoint now = base::monotonicNow();
  const bool fresh = now - mStoreRegained < mSettings.returnPeriod;
  for (const auto& [name, upstream] : UpstreamTable::Map(mUpstreams.all())) {
    if (listed.contains(name)) {
      continue;
    }
    if (fresh) {
      mAbsent.emplace(name, mStoreRegained + mSettings.returnPeriod);
    } else {
      removeUpstream(name, "it is not listed");
    }
  }
  mUpstreamsKnown = true;
  mWaiting.wake();
}

void
Node::sweepAbsent()
{
  const base::TimePoint now = base::monotonicNow();
  for (const auto& [name, until] : std::map(mAbsent)) {
    if (now > until) {
      removeUpstream(name, "its record did not come back");
    }
  }
}

void
Node::onStatus(peers::Status aStatus)
{
  const base::TimePoint now = base::monotonicNow();
  if (aStatus.vm == mSettings.vm) {
    return;
  }
  const base::VmName vm = aStatus.vm;
  const bool fromOwner = mFleet.owner() && mFleet.owner()->vm == vm &&
                         aStatus.fence == mFleet.owner()->fence;
  if (!mPeers.update(std::move(aStatus), now)) {
    return;
  }
  const peers::Status& status = mPeers.rows().at(vm).status;
  if (status.departing) {
    mQuota.onDeparted(vm, now);
  } else {
    mQuota.addLapsed(status.lapsed, now);
    mQuota.onPeerUsage(vm, status.incarnation, status.usage, now);
  }
  mCrashes.onPeer(vm, status.crashes, now);
  mUpstreams.markLeaving(status.leaving);
  if (status.catalogVersion > mCatalog.version()) {
    fetchCatalogFrom(vm);
  }
  if (fromOwner && !mOrders.active()) {
    mUpstreams.setPlaces(status.adapters, status.retiring);
    mWaiting.wake();
  }
  if (mOrders.active()) {
    const bool waits =
      std::any_of(status.demand.begin(),
                  status.demand.end(),
                  [](const auto& aItem) { return aItem.second.waiting > 0; });
    if (waits) {
      mOrders.run(fleetDemand());
    }
  }
}

void
Node::fetchCatalogFrom(const base::VmName& aPeer)
{
  const auto member = mFleet.others().find(aPeer);
  if (mCatalogCall || member == mFleet.others().end()) {
    return;
  }
  http::CallEvents events;
  events.done = [this](http::CallEnd aEnd, const http::Answer& aAnswer) {
    const auto ended = std::move(mCatalogCall);
    constexpr int kOk = 200;
    if (aEnd == http::CallEnd::Complete && aAnswer.status == kOk) {
      applyCatalog(aAnswer.body, "peer");
    }
  };
  mCatalogCall = mClient.start(member->second.operatorAddress,
                               { "GET", "/catalog", "", {}, "" },
                               kPlatformTimeout,
                               std::move(events));
}

residency::DemandTable
Node::fleetDemand()
{
  const base::TimePoint now = base::monotonicNow();
  residency::DemandTable table;
  for (const auto& [ref, rate] : mDemand.rates(now)) {
    table[ref].workMsPerSecond += rate;
  }
  for (const auto& [ref, count] : mWaiting.counts()) {
    table[ref].waiting += count;
  }
  for (const auto& [ref, count] : mPath.runningByModel) {
    table[ref].running += count;
  }
  for (const auto& [vm, row] : mPeers.rows()) {
    for (const auto& [name, demand] : row.status.demand) {
      auto& sum = table[catalog::parseModelRef(name)];
      sum.workMsPerSecond += demand.workMsPerSecond;
      sum.waiting += demand.waiting;
      sum.running += demand.running;
    }
  }
  return table;
}

void
Node::usePlaces()
{
  if (mOrders.active()) {
    mUpstreams.setPlaces(mOrders.places(), mOrders.retiring());
    mWaiting.wake();
  }
}

bool
Node::sameRegion(const Member& aMember) const
{
  const auto own = mSettings.regions.find(mSettings.dataCentre);
  const auto other = mSettings.regions.find(aMember.dataCentre);
  return own != mSettings.regions.end() && other != mSettings.regions.end() &&
         own->second == other->second;
}

void
Node::sendStatus()
{
  const base::TimePoint now = base::monotonicNow();
  const bool nearDue = mSchedule.nearDue(now);
  const bool farDue = mSchedule.farDue(now);
  std::vector<base::Address> addresses;
  for (const auto& [vm, member] : mFleet.others()) {
    if (sameRegion(member) ? nearDue : farDue) {
      addresses.push_back(member.peerAddress);
    }
  }
  sendStatusTo(addresses);
}

void
Node::sendStatusToOwner()
{
  const auto& owner = mFleet.owner();
  const auto member =
    owner ? mFleet.others().find(owner->vm) : mFleet.others().end();
  if (member != mFleet.others().end()) {
    sendStatusTo({ member->second.peerAddress });
  }
}

void
Node::announcePlaces()
{
  if (mAnnouncement) {
    return;
  }
  mAnnouncement = mLoop.after(kAnnouncementDelay, [this] {
    std::vector<base::Address> addresses;
    for (const auto& [vm, member] : mFleet.others()) {
      addresses.push_back(member.peerAddress);
    }
    sendStatusTo(addresses);
    mAnnouncement.reset();
  });
}

void
Node::sendStatusTo(const std::vector<base::Address>& aPeers)
{
  if (!aPeers.empty()) {
    mLink.send(currentStatus(), aPeers);
  }
}

peers::Status
Node::currentStatus()
{
  peers::Status status;
  status.vm = mSettings.vm;
  status.incarnation = mIncarnation;
  status.sequence = ++mSequence;
  status.catalogVersion = mCatalog.version();
  status.usage = mQuota.usage();
  for (const auto& [name, upstream] : mUpstreams.all()) {
    if (upstream->running > 0) {
      status.loads[name] = {
        upstream->running,
        static_cast<std::uint32_t>(std::max(0.0, upstream->queuedMs)),
        static_cast<std::uint32_t>(std::max(0.0, upstream->patientMs)),
        static_cast<std::uint32_t>(std::max(0.0, upstream->memoryTokens))
      };
    }
  }
  for (const auto& [ref, rate] : mDemand.rates(base::monotonicNow())) {
    status.demand[ref.text()].workMsPerSecond =
      static_cast<std::uint32_t>(std::lround(rate));
  }
  for (const auto& [ref, count] : mWaiting.counts()) {
    status.demand[ref.text()].waiting = count;
  }
  for (const auto& [ref, count] : mPath.runningByModel) {
    status.demand[ref.text()].running = count;
  }
  status.lapsed = mQuota.lapsed();
  status.departing = mStopped && mCallers.openRequests() == 0;
  status.crashes = mCrashes.own();
  status.leaving = mUpstreams.leaving();
  if (mOrders.active()) {
    status.fence = mFleet.fence();
    status.adapters = mOrders.places();
    status.retiring = mOrders.retiring();
  }
  return status;
}

void
Node::fleetChanged()
{
  const base::TimePoint now = base::monotonicNow();
  if (mPeersKnownAt == base::TimePoint{} && mFleet.known()) {
    mPeersKnownAt = now;
  }
  std::vector<base::VmName> names;
  for (const auto& [vm, member] : mFleet.others()) {
    names.push_back(vm);
  }
  const auto near = static_cast<std::size_t>(std::count_if(
    mFleet.others().begin(), mFleet.others().end(), [this](const auto& aItem) {
      return sameRegion(aItem.second);
    }));
  mSchedule.setFleet(near, names.size() - near);
  mQuota.setReportPeriod(mSchedule.longest());
  mQuota.setPeers(names, now);
  mRetries.setFleetSize(mFleet.size());
  mPath.fleetSize = mFleet.size();
  announcePlaces();
}

void
Node::tick()
{
  const base::TimePoint now = base::monotonicNow();
  mPeers.expire(now);
  mCrashes.expire(now);
  sweepAbsent();
  mOrders.run(fleetDemand());
  mWaiting.wake();
  mRequestLog.flush(now);
  const auto& owner = mFleet.owner();
  const auto heard =
    owner ? mPeers.rows().find(owner->vm) : mPeers.rows().end();
  const bool ownerHeard = heard != mPeers.rows().end() &&
                          heard->second.status.fence == owner->fence &&
                          now - heard->second.heardAt < kOwnerSilence;
  if (!mOrders.active() && !ownerHeard) {
    mUpstreams.clearPlaces();
  }
  if (mDraining) {
    continueDrain();
  }
}

bool
Node::ready() const
{
  return !mDraining && mCatalog.current() && mUpstreamsKnown &&
         mPeersKnownAt != base::TimePoint{} &&
         base::monotonicNow() - mPeersKnownAt > kPeersHeardAfter;
}

void
Node::serveReady(const std::shared_ptr<http::Responder>& aResponder)
{
  aResponder->reply({ ready() ? 200 : 503, {}, "" });
}

void
Node::beginDrain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainBegan = base::monotonicNow();
  mPath.stopsAt =
    mDrainBegan +
    base::fromSeconds(base::inSeconds(mSettings.gracePeriod) * kServeUntil);
  mOrders.stop();
  mCallers.closeAfterAnswers();
  observe::logInfo(
    "drain", { { "open_requests", std::to_string(mCallers.openRequests()) } });
}

void
Node::continueDrain()
{
  const base::Duration passed = base::monotonicNow() - mDrainBegan;
  if (passed > kDrainNotice && !mStopped) {
    mStopped = true;
    mCallers.stop();
    mFleet.leave();
  }
  if (base::monotonicNow() > *mPath.stopsAt) {
    for (const auto& request : std::set(mPath.open)) {
      request->shutdown();
    }
  }
  const bool done =
    mStopped && mCallers.openRequests() == 0 && mCallers.connections() == 0;
  if (done || base::monotonicNow() > *mPath.stopsAt + kFlushPeriod) {
    mLoop.stop();
  }
}

void
Node::reloadSettings()
{
  auto parsed = base::capture([this]() -> base::Result<Settings> {
    BOOST_LEAF_AUTO(text, config::readFile(mFile));
    return parseSettings(text, mFile);
  });
  if (const base::Error* error = base::errorOf(parsed)) {
    observe::logError("settings rejected; the ones in force stay",
                      { { "error", error->message } });
    return;
  }
  const auto& next = std::get<Settings>(parsed);
  mRetries.setLimits(
    { next.retryRatio, next.retryLeastExtra, next.retryWindow });
  observe::logInfo("settings reloaded", { { "file", mFile } });
}

void
Node::addDumps()
{
  mOperator.onReady([this] { return ready(); });
  mOperator.onStatus([this] {
    return json{
      { "vm", mSettings.vm },     { "ready", ready() },
      { "draining", mDraining },  { "configuration", mCatalog.version() },
      { "fleet", mFleet.size() }, { "owns_orders", mOrders.active() }
    };
  });
  mOperator.addDump("upstreams", [this] {
    json rows = json::object();
    for (const auto& [name, upstream] : mUpstreams.all()) {
      rows[name] = { { "service", upstream->record.service },
                     { "leaving", upstream->record.leaving },
                     { "running", upstream->running },
                     { "queued_ms", upstream->queuedMs },
                     { "failure_rate", mHealth.failureRate(name) },
                     { "models", upstream->record.models } };
    }
    return rows;
  });
  mOperator.addDump("peers", [this] {
    json rows = json::object();
    const base::TimePoint now = base::monotonicNow();
    for (const auto& [vm, row] : mPeers.rows()) {
      rows[vm] = { { "age_ms", base::inMilliseconds(now - row.heardAt) },
                   { "configuration", row.status.catalogVersion } };
    }
    return rows;
  });
  mOperator.add(
    "GET",
    "/catalog",
    [this](const http::Request&,
           const std::shared_ptr<http::Responder>& aResponder) {
      const auto& live = mCatalog.current();
      aResponder->reply({ live ? 200 : 404, {}, live ? live->text : "" });
    });
}

} // namespace marigold::gateway
