#include "apps/gateway/gateway.h"
#include "apps/gateway/upstream_notes.h"

#include "config/config.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** Timeout of calls to the store. */
constexpr base::Duration kPlatformTimeout = 1200ms;
/** Minimum delay between two reads of the upstream records, as a part of the
 * time until a draining upstream gets no new requests. The pause bounds the
 * store calls: records change several times a second in all but tiny fleets. */
constexpr int kUpstreamWatchPauses = 10;
constexpr base::Duration kCatalogWatchPause = 20ms;
/** Pause before a peer is asked for its configuration again when the last
 * answer was of no use; it doubles up to the maximum. */
constexpr base::Duration kInitialCatalogPause = 200ms;
constexpr base::Duration kMaxCatalogPause = 1s;
/** Several round trips between regions; a caller waits for the answer. */
constexpr base::Duration kProcessCheckTimeout = 300ms;
/** The peer takes 400 ms to find that it can't connect, and longer if it doubts
 * its own path. */
constexpr base::Duration kPeerCheckTimeout = 1500ms;
/** Part of the VM's memory for the bytes of requests. The rest is for the
 * process itself and for what its allocator does not give back. */
constexpr std::size_t kMemoryParts = 4;
constexpr std::size_t kMemoryPartsForRequests = 3;
/** Size of an engine's report, with room for the names of some thousand
 * adapters, or of its answer to an order. */
constexpr std::size_t kMaxEngineAnswerBytes = 256UL * 1024;
constexpr base::Duration kTickPeriod = 250ms;
/** Debounce delay: orders and records often change together. */
constexpr base::Duration kChangeDebounce = 10ms;
/** Time between two probes of an upstream that refuses connections. */
constexpr base::Duration kProbeInterval = 1s;
/** A new VM becomes ready only after its peers had time to report their quota
 * usage. */
constexpr base::Duration kPeerReportDelay = 400ms;

base::Incarnation
makeIncarnation()
{
  // Wall-clock milliseconds, so that a later process gets a higher number.
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

Gateway::Gateway(Settings aSettings, std::string aFile)
  : mSettings(std::move(aSettings))
  , mFile(std::move(aFile))
  , mIncarnation(makeIncarnation())
  , mLoopDelayMonitor(mLoop, mMetrics)
  , mRandom(base::hash64(mSettings.vm, mIncarnation))
  , mClient(mLoop)
  , mEngineClient(mLoop, { .bodyBytes = kMaxEngineAnswerBytes })
  , mPlatform(mLoop,
              mSettings.platform,
              kPlatformTimeout,
              boundary::storeProtocol())
  , mStoreCalls(mLoop, mPlatform, mMetrics)
  , mPeers(mSettings.dataCentre)
  , mPool(mLoop)
  , mStreams(mLoop)
  , mReach(mLoop,
           mUpstreams,
           mRandom,
           [this](const wire::UpstreamKey& aUpstream, ProbeResult aResult) {
             onProbe(aUpstream, aResult);
           })
  , mCalls(mPool, mReach, mRandom)
  , mRequestLog(mMetrics)
  , mContext{ mLoop,
              mSettings,
              mCatalog,
              mUpstreams,
              mPeers,
              mQuota,
              mPool,
              mOutliers,
              mLatencyEstimator,
              mPrefixIndex,
              mRetries,
              mCrashes,
              mNotices,
              mStreams,
              mReach,
              mCalls,
              mDemand,
              mWaitQueue,
              mRequestLog,
              mRandom,
              mMemory,
              1,
              {},
              {},
              0,
              {},
              {} }
  , mFleet(mLoop, mPlatform, mSettings, mIncarnation)
  , mCrashRecords(mPlatform,
                  mFleet,
                  mCrashes,
                  base::hash64(mSettings.vm, mIncarnation + 3))
  , mStreamRecords(mPlatform,
                   mFleet,
                   mStreams,
                   mSettings.firstStart,
                   base::hash64(mSettings.vm, mIncarnation + 4))
  , mCatalogLoader(
      mLoop,
      [this](LoadedCatalog aLoaded) { applyCatalog(std::move(aLoaded)); })
  , mCatalogWatch(
      mLoop,
      mPlatform,
      boundary::kOperatorPrefix,
      kCatalogWatchPause,
      platform::maxWatchWait(mSettings.configLimit, kPlatformTimeout),
      { [this](const platform::Snapshot& aAll) {
         for (const platform::Entry& entry : aAll.entries) {
           if (entry.key == boundary::kCatalogKey && entry.value) {
             mCatalogLoader.load(*entry.value, CatalogSource::Store);
           }
         }
       },
        [this](const platform::Entry& aEntry) {
          if (aEntry.key == boundary::kCatalogKey && aEntry.value) {
            mCatalogLoader.load(*aEntry.value, CatalogSource::Store);
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
      mSettings.drainLimit / kUpstreamWatchPauses,
      platform::maxWatchWait(mSettings.drainLimit, kPlatformTimeout),
      { [this](const platform::Snapshot& aAll) { applyUpstreams(aAll); },
        [this](const platform::Entry& aEntry) {
          applyUpstream(aEntry, RecordSource::Written);
          scheduleRetries();
        },
        [this] {
          if (mUpstreamsKnown) {
            mStoreReachedAt = base::monotonicNow();
          }
          observe::logInfo("upstream records reached");
        },
        [](const base::Error& aError) {
          observe::logWarn("upstream records lost",
                           { { "error", aError.message } });
        } })
  , mOrders(mEngineClient,
            mSettings,
            mFleet,
            mCatalog,
            mUpstreams,
            mNotices,
            mMetrics)
  , mPeerExchange(mLoop, mContext, mFleet, mOrders, mIncarnation)
  , mRequests(mContext)
  , mCarrier(mContext,
             [this](const std::string& aHost) { return isPeer(aHost); })
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
  , mRelay(mLoop, mSettings, mFleet, mPeerExchange, mOperator)
  , mPlanCallback(mLoop, [this] { plan(); })
  , mApplyPlacements(mLoop, [this] { applyPlacements(); })
  , mRetryWaiting(mLoop,
                  [this] {
                    const base::TimePoint now = base::monotonicNow();
                    mWaitQueue.retryIf([&](const AwaitedModel& aModel) {
                      return mUpstreams.anyCanServe(
                        aModel.ref, now, aModel.software);
                    });
                  })
  , mEndBlocked(mLoop, [this] { endBlockedRequests(); })
{
  if (mSettings.memoryBytes) {
    mMemory.setLimit(*mSettings.memoryBytes / kMemoryParts *
                     kMemoryPartsForRequests);
  }
  mPool.setMemoryBudget(mMemory);
  mQuota.setOwnName(mSettings.vm);
  mQuota.setSlack(mSettings.quotaSlack);
  mQuota.setOvershoot(mSettings.quotaOvershoot);
  mQuota.setWindow(mSettings.quotaWindow);
  mRetries.setLimits(
    { mSettings.retryRatio, mSettings.retryMinExtra, mSettings.retryWindow });
  mRetries.setStart(base::monotonicNow());
  mContext.startGate.setStart(base::monotonicNow());
  mRequests.onClosed([this](const wire::ClosedCaller& aClosed) {
    mRequestLog.logClose(RequestSender::Caller, aClosed, base::monotonicNow());
  });
  // Deferred, because the verdict may change inside a callback of a request.
  mCrashes.onVerdicts([this] { mEndBlocked.trigger({}); });
  mCrashes.onCrashSeen([this] { mPeerExchange.reportCrashes(); });
  mStreams.onAnnounce([this](const std::vector<peers::StreamOrigin>& aOrigins) {
    mPeerExchange.announceStreams(aOrigins);
  });
  mStreams.onAsk([this](const std::vector<peers::StreamId>& aStreams,
                        StreamRegistry::Scope aScope) {
    mPeerExchange.askForStreams(aStreams, aScope);
  });
  mStreams.onReadStore([this](std::function<void()> aDone) {
    mStreamRecords.read(std::move(aDone));
  });
  mStreams.onSynchronize([this](StreamRegistry::Synchronized aDone) {
    mUpstreamWatch.synchronize(std::move(aDone));
  });
  mStreams.onCheckView([this](base::TimePoint aNow) {
    return mUpstreamWatch.isConnected() &&
           aNow - mUpstreamWatch.confirmedAt() < mSettings.drainLimit;
  });
  mStreams.onCheck(
    [this](const Upstream& aUpstream, StreamRegistry::Started aDone) {
      checkProcess(aUpstream, std::move(aDone));
    });
  mReach.onPathChanged([this] { onPathChanged(); });
  mReach.onPeerCheck(
    [this](const Upstream& aUpstream, UpstreamReach::PeerResult aDone) {
      askPeer(aUpstream, std::move(aDone));
    });
  mPlatform.restored().connect([this] { onStoreRestored(); });
  mFleet.changed().connect([this] { onFleetChanged(); });
  mOrders.changed().connect([this] {
    mApplyPlacements.trigger(kChangeDebounce);
    mPeerExchange.announcePlacements();
  });
  // Reports a missing model to the owner of orders without waiting for the
  // next regular status.
  mWaitQueue.onAdd([this] { mPeerExchange.reportToOwner(); });
  mPeerExchange.waitingDemandReceived().connect([this] { schedulePlan(); });
  mPeerExchange.placementsReceived().connect([this] { scheduleRetries(); });
  mPeerExchange.newerCatalog().connect(
    [this](const base::VmName& aPeer) { fetchCatalogFrom(aPeer); });
  for (PrefixWatch* watch :
       { &mCatalogWatch, &mUpstreamWatch, &mFleet.watch() }) {
    mRelay.addWatch(*watch);
  }
  registerDumps();
}

base::Result<void>
Gateway::run()
{
  observe::logInfo("start",
                   { { "version", MARIGOLD_VERSION },
                     { "data_centre", mSettings.dataCentre },
                     { "incarnation", std::to_string(mIncarnation) } });
  // The default actions would end the process with its requests still open.
  mWatches.push_back(mLoop.onSignal(SIGTERM, [this] { beginDrain(); }));
  mWatches.push_back(mLoop.onSignal(SIGHUP, [this] { reloadSettings(); }));
  BOOST_LEAF_CHECK(mOperator.listen(mSettings.operatorAddress));
  BOOST_LEAF_CHECK(mReadyServer.listen(mSettings.ready));
  BOOST_LEAF_CHECK(mPeerExchange.listen());
  BOOST_LEAF_CHECK(mCarrier.listen(mSettings.peerAddress));
  BOOST_LEAF_CHECK(mRequests.listen(mSettings.listen));
  mLoopDelayMonitor.start();
  mStoreCalls.start();
  mCatalogWatch.start();
  mUpstreamWatch.listWhenReached();
  mUpstreamWatch.start();
  mFleet.start();
  mWatches.push_back(mLoop.every(kTickPeriod, [this] { tick(); }));
  mLoop.run();
  mStoreCalls.log();
  observe::logInfo("stop");
  return {};
}

void
Gateway::applyCatalog(LoadedCatalog aLoaded)
{
  const char* source = sourceName(aLoaded.source);
  if (const base::Error* error = base::errorOf(aLoaded.content)) {
    mMetrics
      .counter("marigold_documents_rejected_total",
               "Documents that could not be read",
               { { "document", "configuration" } })
      .Increment();
    observe::logError("configuration rejected",
                      { { "source", source }, { "error", error->message } });
    if (aLoaded.source == CatalogSource::Peer) {
      pauseCatalogPeer();
    }
    return;
  }
  const base::Duration begun = processCpuTime();
  const auto snapshot = std::make_shared<const CatalogSnapshot>(
    std::move(std::get<catalog::Catalog>(aLoaded.content)),
    aLoaded.text,
    mCatalog.current().get());
  if (!mRequests.applyCatalog(snapshot)) {
    return;
  }
  mCatalogPauses.clear();
  const catalog::Catalog& content = snapshot->content;
  mCarrier.setLimits(content.callerLimits);
  const auto worked = std::chrono::duration_cast<std::chrono::microseconds>(
    aLoaded.worked + processCpuTime() - begun);
  observe::logInfo("configuration in force",
                   { { "version", std::to_string(content.version) },
                     { "source", source },
                     { "bytes", std::to_string(aLoaded.text->size()) },
                     { "worked_us", std::to_string(worked.count()) },
                     { "slices", std::to_string(aLoaded.slices) },
                     { "routes", std::to_string(content.routes->size()) },
                     { "teams", std::to_string(content.teams->size()) } });
}

void
Gateway::applyUpstream(const platform::Entry& aEntry, RecordSource aSource)
{
  const std::string prefix = boundary::kUpstreamPrefix;
  if (!aEntry.key.starts_with(prefix)) {
    return;
  }
  const base::UpstreamName name = aEntry.key.substr(prefix.size());
  if (!aEntry.value) {
    const base::TimePoint returned =
      mStoreReachedAt + mSettings.recordReturnPeriod;
    if (base::monotonicNow() < returned) {
      // The record may have expired while the store was unreachable; a live
      // upstream writes it again.
      mMissingRecords.emplace(name, returned);
    } else {
      removeUpstream(name, "record was removed");
    }
    return;
  }
  auto decoded = base::capture(
    [&] { return boundary::decodeUpstreamRecord(name, *aEntry.value); });
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
  const auto& record = std::get<catalog::UpstreamRecord>(decoded);
  if (aSource == RecordSource::Listed && isFromCopy(record)) {
    return;
  }
  mMissingRecords.erase(name);
  const auto change = mUpstreams.apply(record);
  mStreams.history().observe(
    record.service, dispatch::softwareTag(record), base::monotonicNow());
  if (change == UpstreamTable::Change::Restarted) {
    mOutliers.erase(name);
    mContext.errors.erase(name);
    mPrefixIndex.erase(name);
    mCrashes.onUpstreamGone(name, base::monotonicNow());
  }
  if (change == UpstreamTable::Change::None) {
    return;
  }
  static const std::map<UpstreamTable::Change, const char*> kNames{
    { UpstreamTable::Change::ModelsChanged, "models" },
    { UpstreamTable::Change::Added, "added" },
    { UpstreamTable::Change::Restarted, "restarted" },
    { UpstreamTable::Change::Draining, "leaving" }
  };
  observe::logInfo("upstream",
                   { { "upstream", name },
                     { "change", kNames.at(change) },
                     { "service", record.service },
                     { "address", record.address.text() },
                     { "data_centre", record.dataCentre },
                     { "software", record.softwareVersion.value_or("") },
                     { "models", listModels(record) },
                     { "revision", std::to_string(aEntry.revision) } });
}

/** The records of a restored store are those of its copy, until the upstreams
 * have written theirs again or, if they have ended, the records expire. */
bool
Gateway::isFromCopy(const catalog::UpstreamRecord& aRecord) const
{
  const bool justRestored =
    mStoreRestoredAt &&
    base::monotonicNow() - *mStoreRestoredAt < kRecordLifetime;
  return justRestored && mUpstreams.isOutdated(aRecord);
}

void
Gateway::onStoreRestored()
{
  mStoreRestoredAt = base::monotonicNow();
  mStoreReachedAt = *mStoreRestoredAt;
  mCrashRecords.onStoreRestored();
  mStreamRecords.onStoreRestored();
  mStreams.onStoreRestored(*mStoreRestoredAt + mSettings.recordReturnPeriod);
}

void
Gateway::removeUpstream(const base::UpstreamName& aName, const char* aReason)
{
  mMissingRecords.erase(aName);
  const auto upstream = mUpstreams.find(aName);
  if (!upstream) {
    return;
  }
  mPool.closeIdle(upstream->peer());
  mOutliers.erase(aName);
  mContext.errors.erase(aName);
  mPrefixIndex.erase(aName);
  mCrashes.onUpstreamGone(aName, base::monotonicNow());
  mUpstreams.remove(aName, base::monotonicNow());
  observe::logInfo(
    "upstream",
    { { "upstream", aName }, { "change", "gone" }, { "reason", aReason } });
}

void
Gateway::applyUpstreams(const platform::Snapshot& aSnapshot)
{
  std::set<base::UpstreamName> listed;
  const std::size_t prefix = std::string(boundary::kUpstreamPrefix).size();
  for (const platform::Entry& entry : aSnapshot.entries) {
    applyUpstream(entry, RecordSource::Listed);
    listed.insert(entry.key.substr(prefix));
  }
  const base::TimePoint now = base::monotonicNow();
  const bool justReached = now - mStoreReachedAt < mSettings.recordReturnPeriod;
  for (const auto& [name, upstream] : UpstreamTable::Map(mUpstreams.all())) {
    if (listed.contains(name)) {
      continue;
    }
    if (justReached) {
      mMissingRecords.emplace(name,
                              mStoreReachedAt + mSettings.recordReturnPeriod);
    } else {
      removeUpstream(name, "record is not listed");
    }
  }
  mUpstreamsKnown = true;
  scheduleRetries();
}

void
Gateway::removeMissingUpstreams()
{
  const base::TimePoint now = base::monotonicNow();
  for (const auto& [name, until] : std::map(mMissingRecords)) {
    if (now > until) {
      removeUpstream(name, "record was not written again");
    }
  }
}

/** Asks an upstream for the report on itself, which names its process. */
void
Gateway::checkProcess(const Upstream& aUpstream, StreamRegistry::Started aDone)
{
  const auto way = mCalls.wayTo(aUpstream);
  if (!way) {
    mLoop.post([done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  const auto call = mProcessChecks.emplace(mProcessChecks.end());
  http::CallEvents events;
  events.done = [this,
                 call,
                 carrier = way->carrier,
                 recorded = aUpstream.record.startedAt,
                 done = std::move(aDone)](http::CallEnd aEnd,
                                          const http::Response& aAnswer) {
    const auto ended = std::move(*call);
    mProcessChecks.erase(call);
    if (!carrier.empty() && aEnd == http::CallEnd::Complete) {
      mCalls.onAnswerBy(carrier, aAnswer.headers);
    }
    constexpr int kOk = 200;
    if (aEnd != http::CallEnd::Complete) {
      done(std::nullopt);
      return;
    }
    constexpr int kNotFound = 404;
    constexpr int kMethodNotAllowed = 405;
    if (aAnswer.status == kNotFound || aAnswer.status == kMethodNotAllowed) {
      done(recorded); // It has no report, so its record is all there is.
      return;
    }
    if (aAnswer.status != kOk) {
      done(std::nullopt);
      return;
    }
    const auto report =
      base::capture([&] { return boundary::decodeEngineReport(aAnswer.body); });
    if (const base::Error* error = base::errorOf(report)) {
      observe::logWarn("invalid report of a process",
                       { { "error", error->message } });
      done(std::nullopt);
      return;
    }
    done(std::get<boundary::EngineReport>(report).startedAt);
  };
  *call =
    mEngineClient.start(way->address,
                        { "GET", boundary::kReportPath, "", way->headers, "" },
                        kProcessCheckTimeout,
                        std::move(events));
}

/** The peer that was asked last has no configuration that can be used. Others
 * may have one. */
void
Gateway::pauseCatalogPeer()
{
  mCatalogPauses
    .try_emplace(mCatalogPeer,
                 kInitialCatalogPause,
                 kMaxCatalogPause,
                 base::hash64(mSettings.vm, mIncarnation + 5))
    .first->second.recordFailure(base::monotonicNow());
}

void
Gateway::fetchCatalogFrom(const base::VmName& aPeer)
{
  const auto pause = mCatalogPauses.find(aPeer);
  const auto member = mFleet.others().find(aPeer);
  // What is decoded now is probably the same version.
  if (mCatalogCall || mCatalogLoader.isBusy() ||
      (pause != mCatalogPauses.end() &&
       !pause->second.isOver(base::monotonicNow())) ||
      member == mFleet.others().end()) {
    return;
  }
  http::CallEvents events;
  events.done = [this](http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto ended = std::move(mCatalogCall);
    constexpr int kOk = 200;
    if (aEnd == http::CallEnd::Complete && aAnswer.status == kOk) {
      mCatalogLoader.load(aAnswer.body, CatalogSource::Peer);
    } else {
      pauseCatalogPeer();
    }
  };
  mCatalogPeer = aPeer;
  mCatalogCall = mClient.start(member->second.operatorAddress,
                               { "GET", "/catalog", "", {}, "" },
                               kPlatformTimeout,
                               std::move(events),
                               false); // An idle connection may be silent.
}

residency::DemandTable
Gateway::fleetDemand()
{
  const base::TimePoint now = base::monotonicNow();
  residency::DemandTable table;
  for (const auto& [ref, rate] : mDemand.rates(now)) {
    table[ref].workMsPerSecond += rate;
  }
  for (const auto& [model, count] : mWaitQueue.counts()) {
    residency::Demand& demand = table[model.ref];
    (model.software ? demand.takeUps[*model.software] : demand.waiting) +=
      count;
  }
  for (const auto& [ref, count] : mContext.runningByModel) {
    table[ref].running += count;
  }
  for (const auto& [name, demand] : mPeers.demand()) {
    auto& sum = table[catalog::parseModelRef(name)];
    sum.workMsPerSecond += demand.workMsPerSecond;
    sum.waiting += demand.waiting;
    sum.running += demand.running;
    for (const auto& [software, count] : demand.takeUps) {
      sum.takeUps[software] += count;
    }
  }
  return table;
}

void
Gateway::schedulePlan()
{
  mPlanCallback.trigger(mPlanSchedule.delay(base::monotonicNow()));
}

void
Gateway::plan()
{
  if (!mOrders.updateOwnership()) {
    return;
  }
  const base::TimePoint startedAt = base::monotonicNow();
  mOrders.run(fleetDemand(), impairedUpstreams(mContext));
  mPlanSchedule.recordPlan(startedAt, base::monotonicNow());
}

void
Gateway::scheduleRetries()
{
  mRetryWaiting.trigger(kChangeDebounce);
}

void
Gateway::onProbe(const wire::UpstreamKey& aUpstream, ProbeResult aResult)
{
  if (aResult != ProbeResult::Accepted) {
    const base::TimePoint now = base::monotonicNow();
    mOutliers.onUnreachable(aUpstream.name, now);
    mCrashes.onUpstreamGone(aUpstream.name, now);
  }
  const auto probed = mUpstreams.find(aUpstream.name);
  if (aResult == ProbeResult::Accepted && probed && probed->softwareUncertain) {
    mStreams.confirm(probed, [] {});
  }
  if (const auto changed =
        mUpstreams.applyProbe(aUpstream, aResult, base::monotonicNow())) {
    observe::logInfo(changed->usable() ? "upstream accepts connections again"
                                       : "upstream refuses connections",
                     { { "upstream", aUpstream.name } });
    schedulePlan();
    scheduleRetries();
  }
  const auto upstream = mUpstreams.find(aUpstream.name);
  if (upstream && upstream->peer() == aUpstream &&
      upstream->presence == Presence::Refusing) {
    mReach.probe(aUpstream, kProbeInterval);
  }
}

void
Gateway::onPathChanged()
{
  // Failures of calls were those of the path.
  mOutliers.eraseAll();
  checkProgress();
  scheduleRetries();
}

void
Gateway::checkProgress()
{
  for (const auto& request : std::set(mContext.openRequests)) {
    request->checkProgress();
  }
}

/** Lets a peer ask an upstream for its report, which shows that it is there. */
void
Gateway::askPeer(const Upstream& aUpstream, UpstreamReach::PeerResult aDone)
{
  const auto way = mCalls.carriedWayTo(aUpstream);
  if (!way) {
    aDone(std::nullopt);
    return;
  }
  const auto call = mProcessChecks.emplace(mProcessChecks.end());
  http::CallEvents events;
  events.done = [this, call, carrier = way->carrier, done = std::move(aDone)](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto ended = std::move(*call);
    mProcessChecks.erase(call);
    if (aEnd != http::CallEnd::Complete) {
      mCalls.onCarrierFailed(carrier);
      done(std::nullopt);
      return;
    }
    mCalls.onAnswerBy(carrier, aAnswer.headers);
    const std::string_view declined =
      http::findHeader(aAnswer.headers, kCarryDeclinedHeader);
    if (!http::findHeader(aAnswer.headers, kCarriedHeader).empty()) {
      done(true);
    } else if (declined == carryDeclineName(CarryDecline::Unreachable)) {
      done(false);
    } else {
      done(std::nullopt);
    }
  };
  *call =
    mEngineClient.start(way->address,
                        { "GET", boundary::kReportPath, "", way->headers, "" },
                        kPeerCheckTimeout,
                        std::move(events));
}

std::vector<CarrierPeer>
Gateway::carrierPeers() const
{
  using Distance = dispatch::Carrier::Distance;
  std::vector<CarrierPeer> peers;
  for (const auto& [vm, member] : mFleet.others()) {
    const Distance distance =
      member.dataCentre == mSettings.dataCentre  ? Distance::SameDataCentre
      : sameRegion(mSettings, member.dataCentre) ? Distance::SameRegion
                                                 : Distance::OtherRegion;
    peers.push_back({ { vm, distance, member.capacity }, member.peerAddress });
  }
  return peers;
}

bool
Gateway::isPeer(const std::string& aHost) const
{
  const auto& others = mFleet.others();
  const bool registered =
    std::any_of(others.begin(), others.end(), [&](const auto& aItem) {
      return aItem.second.peerAddress.host == aHost;
    });
  return registered || mPeerExchange.isLapsedMember(aHost);
}

void
Gateway::endBlockedRequests()
{
  for (const dispatch::CrashVerdict& verdict : mCrashes.verdicts()) {
    std::string traits;
    for (const peers::TraitSet& alternative : verdict.alternatives) {
      traits += traits.empty() ? "" : " or";
      for (const peers::RequestTrait trait : alternative) {
        traits += (peers::isWholeRequest(trait) ? " request " : " part ") +
                  std::to_string(trait);
      }
    }
    observe::logWarn("requests crash upstreams",
                     { { "traits", traits },
                       { "crashes", std::to_string(verdict.crashes.size()) },
                       { "certain", verdict.certain() ? "yes" : "no" } });
  }
  mCrashRecords.tick(base::monotonicNow());
  for (const auto& request : std::set(mContext.openRequests)) {
    request->endIfBlocked();
  }
}

void
Gateway::applyPlacements()
{
  if (mOrders.active()) {
    peers::PlacementUpdate update;
    update.fencingToken = mFleet.fencingToken();
    update.complete = true;
    update.engines = mOrders.placements();
    mUpstreams.applyPlacements(update);
    scheduleRetries();
  }
}

void
Gateway::onFleetChanged()
{
  const base::TimePoint now = base::monotonicNow();
  if (mFleetKnownAt == base::TimePoint{} && mFleet.synced()) {
    mFleetKnownAt = now;
  }
  std::vector<base::VmName> names;
  std::set<base::DataCentre> dataCentres{ mSettings.dataCentre };
  for (const auto& [vm, member] : mFleet.others()) {
    names.push_back(vm);
    dataCentres.insert(member.dataCentre);
  }
  // At least one VM of each data centre reads the store, and peers tell each
  // other of a newer configuration.
  mCatalogWatch.spreadWaits(platform::sharedWatchWait(
    mSettings.configLimit, kPlatformTimeout, dataCentres.size()));
  mPeerExchange.onFleetChanged();
  mQuota.setPeers(names, now);
  mRetries.setFleetSize(mFleet.size());
  mContext.fleetSize = mFleet.size();
  mCalls.setPeers(carrierPeers());
}

void
Gateway::tick()
{
  const base::TimePoint now = base::monotonicNow();
  mPeerExchange.expire();
  mRelay.tick();
  mFleet.setReadsStore(mUpstreamWatch.isReadingStore());
  mCrashes.expire(now);
  mCrashes.setTrialsEnabled(mFleet.fencingToken() != 0);
  mCrashRecords.tick(now);
  mNotices.expire(now);
  mContext.brittle.expire(now);
  mContext.answers.expire(now);
  mStreams.update(mUpstreams, now);
  if (mPeerExchange.isCollector()) {
    mStreamRecords.tick(now);
  }
  removeMissingUpstreams();
  mUpstreams.expireRemoved(now);
  mUpstreams.reconsiderReplaced(now);
  mFleet.setReachesEngines(!mReach.pathLost(), mOrders.lastOrderAt());
  mOrders.updateOwnership();
  schedulePlan();
  checkProgress();
  mWaitQueue.retryAll();
  mRequestLog.logDroppedLines(now);
  if (mRequests.draining()) {
    continueDrain();
  }
}

bool
Gateway::ready() const
{
  return !mRequests.draining() && mCatalog.current() && mUpstreamsKnown &&
         mCalls.anyWay() && mFleetKnownAt != base::TimePoint{} &&
         base::monotonicNow() - mFleetKnownAt > kPeerReportDelay;
}

void
Gateway::serveReady(const std::shared_ptr<http::Responder>& aResponder)
{
  aResponder->reply({ ready() ? 200 : 503, {}, "" });
}

void
Gateway::beginDrain()
{
  if (mRequests.draining()) {
    return;
  }
  mRequests.beginDrain([this] {
    mCarrier.stopListening();
    mFleet.leave();
  });
  mCarrier.beginDrain();
  mOrders.stop();
  mFleet.releaseOwnership(mOrders.lastOrderAt());
  observe::logInfo(
    "drain", { { "open_requests", std::to_string(mRequests.openRequests()) } });
}

void
Gateway::continueDrain()
{
  if (!mRequests.drained()) {
    return;
  }
  mPeerExchange.announceDraining();
  // Callers and peers may not have read all of their answers yet.
  const bool delivered =
    mRequests.connections() == 0 && mCarrier.connections() == 0;
  // The end of the process resets calls that are on their way.
  if (delivered && !mFleet.leavePending()) {
    mLoop.stop();
  }
}

void
Gateway::reloadSettings()
{
  auto parsed = base::capture([this]() -> base::Result<Settings> {
    BOOST_LEAF_AUTO(text, config::readFile(mFile));
    return parseSettings(text, mFile);
  });
  if (const base::Error* error = base::errorOf(parsed)) {
    observe::logError("settings rejected, keeping the current settings",
                      { { "error", error->message } });
    return;
  }
  const auto& next = std::get<Settings>(parsed);
  mRetries.setLimits({ next.retryRatio, next.retryMinExtra, next.retryWindow });
  observe::logInfo("settings reloaded", { { "file", mFile } });
}

void
Gateway::registerDumps()
{
  mOperator.setReadinessCheck([this] { return ready(); });
  mOperator.setStatusReport([this] {
    return json{ { "vm", mSettings.vm },
                 { "ready", ready() },
                 { "draining", mRequests.draining() },
                 { "configuration", mCatalog.version() },
                 { "fleet", mFleet.size() },
                 { "owns_orders", mOrders.active() },
                 { "request_bytes", mMemory.used() } };
  });
  mOperator.addDumpSection("upstreams", [this] {
    json rows = json::object();
    const base::TimePoint now = base::monotonicNow();
    for (const auto& [name, upstream] : mUpstreams.all()) {
      const auto& service = upstream->record.service;
      const auto errors =
        mContext.errors.shares(service, name, dispatch::Evidence::Error, now);
      const auto rejections = mContext.errors.shares(
        service, name, dispatch::Evidence::Rejection, now);
      rows[name] = { { "service", upstream->record.service },
                     { "leaving", upstream->record.draining },
                     { "process_ended", upstream->processEnded() },
                     { "running", upstream->running },
                     { "queued_ms", upstream->queuedMs },
                     { "failure_rate", mOutliers.failureRate(name) },
                     { "error_share", errors.own },
                     { "error_share_of_siblings", errors.usual },
                     { "avoided_for_errors", errors.avoided },
                     { "rejection_share", rejections.own },
                     { "rejection_share_of_siblings", rejections.usual },
                     { "avoided_for_rejections", rejections.avoided },
                     { "models", upstream->record.models } };
    }
    return rows;
  });
  mOperator.addDumpSection("peers", [this] {
    json rows = json::object();
    const base::TimePoint now = base::monotonicNow();
    rows["relay"] = mPeerExchange.relay();
    for (const auto& [dataCentre, row] : mPeers.summaries()) {
      rows[dataCentre] = { { "age_ms",
                             base::inMilliseconds(now - row.receivedAt) },
                           { "relay", row.summary.relay },
                           { "vms", row.summary.members.size() } };
    }
    for (const auto& [vm, row] : mPeers.statuses()) {
      rows[vm] = { { "age_ms", base::inMilliseconds(now - row.receivedAt) },
                   { "configuration", row.status.catalogVersion } };
    }
    return rows;
  });
  mOperator.addDumpSection("views", [this] {
    json rows = json::object();
    const base::TimePoint now = base::monotonicNow();
    for (PrefixWatch* watch :
         { &mCatalogWatch, &mUpstreamWatch, &mFleet.watch() }) {
      rows[watch->prefix()] = {
        { "age_ms", base::inMilliseconds(now - watch->confirmedAt()) },
        { "from_store", watch->isReadingStore() }
      };
    }
    return rows;
  });
  mOperator.addHandler(
    "GET",
    "/catalog",
    [this](const http::Request&,
           const std::shared_ptr<http::Responder>& aResponder) {
      const auto& snapshot = mCatalog.current();
      aResponder->reply(
        { snapshot ? 200 : 404, {}, snapshot ? *snapshot->text : "" });
    });
}

} // namespace marigold::gateway
