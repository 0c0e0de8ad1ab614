#include "apps/gateway/node.h"

#include "config/config.h"

#include <algorithm>
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
constexpr base::Duration kTickPeriod = 250ms;
/** Orders and records often change together; what follows from them is done
 * once for all that come within this. */
constexpr base::Duration kChangesTogether = 10ms;
/** A new VM takes requests once its peers can have reported their usage. */
constexpr base::Duration kPeersHeardAfter = 400ms;
/** The balancer takes a VM out after two failed probes, one a second. */
constexpr base::Duration kDrainNotice = 2600ms;
/** Part of the grace period after which open requests are ended, so that their
 * callers still get an answer. */
constexpr double kServeUntil = 0.85;
/** Part of the grace period after which the process ends by itself, even if
 * callers have not read all of their answers. */
constexpr double kRunUntil = 0.95;

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
  , mLoopMeter(mLoop, mMetrics)
  , mRandom(base::hash64(mSettings.vm, mIncarnation))
  , mClient(mLoop)
  , mPlatform(mLoop,
              mSettings.platform,
              kPlatformTimeout,
              boundary::storeForm())
  , mPeers(mSettings.dataCentre)
  , mPool(mLoop)
  , mRequestLog(mMetrics)
  , mPath{ mLoop,   mSettings, mCatalog,    mUpstreams, mPeers,   mQuota,
           mPool,   mHealth,   mWork,       mPrefixes,  mRetries, mCrashes,
           mDemand, mWaiting,  mRequestLog, mRandom,    1,        {},
           {},      {},        {} }
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
          wakeSoon();
        },
        [this] {
          if (mUpstreamsKnown) {
            mStoreRegained = base::monotonicNow();
          }
          // Leases may have ended meanwhile, which a watch can have missed.
          mUpstreamWatch.relist();
          observe::logInfo("upstream records reached");
        },
        [](const base::Error& aError) {
          observe::logWarn("upstream records lost",
                           { { "error", aError.message } });
        } })
  , mOrders(mClient, mSettings, mFleet, mCatalog, mUpstreams, mMetrics)
  , mExchange(mLoop, mPath, mFleet, mOrders, mIncarnation)
  , mCallers(mLoop,
             [this](const std::shared_ptr<wire::CallerConnection>& aCaller) {
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
  , mRelay(mLoop, mSettings, mFleet, mExchange, mOperator)
  , mPlan(mLoop, [this] { plan(); })
  , mUsePlaces(mLoop, [this] { usePlaces(); })
  , mWake(mLoop, [this] {
    const base::TimePoint now = base::monotonicNow();
    mWaiting.wakeIf([&](const catalog::ModelRef& aRef) {
      return mUpstreams.served(aRef, now);
    });
  })
{
  mQuota.setSlack(mSettings.quotaSlack);
  mQuota.setWindow(mSettings.quotaWindow);
  mRetries.setLimits(
    { mSettings.retryRatio, mSettings.retryLeastExtra, mSettings.retryWindow });
  mFleet.changed().connect([this] { fleetChanged(); });
  mOrders.changed().connect([this] {
    mUsePlaces.trigger(kChangesTogether);
    mExchange.announcePlaces();
  });
  // An owner elsewhere learns of a missing adapter without waiting for the
  // next regular status.
  mWaiting.onEnter([this] { mExchange.reportToOwner(); });
  mExchange.demandHeard().connect([this] { planSoon(); });
  mExchange.placesHeard().connect([this] { wakeSoon(); });
  mExchange.newerCatalog().connect(
    [this](const base::VmName& aPeer) { fetchCatalogFrom(aPeer); });
  for (PrefixWatch* watch :
       { &mCatalogWatch, &mUpstreamWatch, &mFleet.watch() }) {
    mRelay.share(*watch);
  }
  addDumps();
}

base::Result<void>
Node::run()
{
  observe::logInfo("start",
                   { { "version", MARIGOLD_VERSION },
                     { "data_centre", mSettings.dataCentre },
                     { "incarnation", std::to_string(mIncarnation) } });
  // Their default action would end the process beside what it has begun.
  mWatches.push_back(mLoop.onSignal(SIGTERM, [this] { beginDrain(); }));
  mWatches.push_back(mLoop.onSignal(SIGHUP, [this] { reloadSettings(); }));
  BOOST_LEAF_CHECK(mOperator.listen(mSettings.operatorAddress));
  BOOST_LEAF_CHECK(mReadyServer.listen(mSettings.ready));
  BOOST_LEAF_CHECK(mExchange.listen());
  BOOST_LEAF_CHECK(mCallers.listen(mSettings.listen));
  mLoopMeter.start();
  mCatalogWatch.start();
  mUpstreamWatch.start();
  mFleet.start();
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
    const base::TimePoint returned = mStoreRegained + mSettings.returnPeriod;
    if (base::monotonicNow() < returned) {
      // It may have lapsed while the store was away; a living upstream writes
      // its record again.
      mAbsent.emplace(name, returned);
    } else {
      removeUpstream(name, "its record was removed");
    }
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
    mCrashes.onUpstreamGone(name, base::monotonicNow());
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
  mPool.closeIdle(upstream->peer());
  mHealth.forget(aName);
  mPrefixes.forget(aName);
  mCrashes.onUpstreamGone(aName, base::monotonicNow());
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
  wakeSoon();
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
Node::fetchCatalogFrom(const base::VmName& aPeer)
{
  const auto member = mFleet.others().find(aPeer);
  if (mCatalogCall || member == mFleet.others().end()) {
    return;
  }
  http::CallEvents events;
  events.done = [this](http::CallEnd aEnd, const http::Response& aAnswer) {
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
  for (const auto& [name, demand] : mPeers.demand()) {
    auto& sum = table[catalog::parseModelRef(name)];
    sum.workMsPerSecond += demand.workMsPerSecond;
    sum.waiting += demand.waiting;
    sum.running += demand.running;
  }
  return table;
}

void
Node::planSoon()
{
  mPlan.trigger(mPlans.delay(base::monotonicNow()));
}

void
Node::plan()
{
  if (!mOrders.followOwnership()) {
    return;
  }
  const base::TimePoint began = base::monotonicNow();
  mOrders.run(fleetDemand());
  mPlans.planned(began, base::monotonicNow());
}

void
Node::wakeSoon()
{
  mWake.trigger(kChangesTogether);
}

void
Node::usePlaces()
{
  if (mOrders.active()) {
    peers::Places places;
    places.fence = mFleet.fence();
    places.whole = true;
    places.engines = mOrders.places();
    mUpstreams.usePlaces(places);
    wakeSoon();
  }
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
  mExchange.fleetChanged();
  mQuota.setPeers(names, now);
  mRetries.setFleetSize(mFleet.size());
  mPath.fleetSize = mFleet.size();
}

void
Node::tick()
{
  const base::TimePoint now = base::monotonicNow();
  mExchange.expire();
  mRelay.tick();
  mCrashes.expire(now);
  sweepAbsent();
  mOrders.followOwnership();
  planSoon();
  mWaiting.wake();
  mRequestLog.flush(now);
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
  const base::TimePoint began = base::monotonicNow();
  const double grace = base::inSeconds(mSettings.gracePeriod);
  const auto serve = base::fromSeconds(grace * kServeUntil);
  mPath.stopsAt = began + serve;
  const auto notice = std::min(kDrainNotice, serve);
  mPath.refusesFrom = began + notice;
  // Timers of their own, because the tick may be a whole period late.
  mWatches.push_back(mLoop.after(notice, [this] { stopListening(); }));
  mWatches.push_back(mLoop.after(serve, [this] { endOpenRequests(); }));
  mWatches.push_back(mLoop.after(base::fromSeconds(grace * kRunUntil),
                                 [this] { mLoop.stop(); }));
  mOrders.stop();
  mFleet.releaseOwnership();
  mCallers.closeAfterResponses();
  observe::logInfo(
    "drain", { { "open_requests", std::to_string(mCallers.openRequests()) } });
}

void
Node::continueDrain()
{
  // Requests run on without their callers where they must not be broken off.
  if (!mStopped || mCallers.openRequests() > 0 || !mPath.open.empty()) {
    return;
  }
  mExchange.depart();
  if (mCallers.connections() == 0) {
    mLoop.stop();
  }
}

void
Node::stopListening()
{
  mStopped = true;
  mCallers.stop();
  mFleet.leave();
}

void
Node::endOpenRequests()
{
  for (const auto& request : std::set(mPath.open)) {
    request->shutdown();
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
    rows["relay"] = mExchange.relay();
    for (const auto& [dataCentre, row] : mPeers.summaries()) {
      rows[dataCentre] = { { "age_ms",
                             base::inMilliseconds(now - row.heardAt) },
                           { "relay", row.summary.relay },
                           { "vms", row.summary.members.size() } };
    }
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
