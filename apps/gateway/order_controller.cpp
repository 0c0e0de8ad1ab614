#include "apps/gateway/order_controller.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Delay before the state of an engine is read again after a conflict, a lost
 * response or a report. */
constexpr base::Duration kReportDelay = 400ms;
/** Delay before the next report of an engine that runs an unknown order. */
constexpr base::Duration kBusyReportDelay = 1s;
/** A new adapter is not unloaded for this long, because the requests that
 * waited for it arrive only after the owner's next placement update. */
constexpr base::Duration kMinAdapterResidency = 1500ms;
/** Added to the expected duration of a load. If the model is not in the record
 * then, the state of the engine is read again. */
constexpr base::Duration kLoadTimeoutMargin = 6s;
/** Long, because an unload waits for the running requests of the model. */
constexpr base::Duration kUnloadTimeout = 20s;

} // namespace

OrderController::OrderController(http::Client& aClient,
                                 const Settings& aSettings,
                                 Fleet& aFleet,
                                 const CatalogHolder& aCatalog,
                                 UpstreamTable& aUpstreams,
                                 dispatch::UpstreamNotices& aNotices,
                                 observe::Metrics& aMetrics)
  : mClient(aClient)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mCatalog(aCatalog)
  , mUpstreams(aUpstreams)
  , mNotices(aNotices)
  , mMetrics(aMetrics)
  , mPlanStatistics(aMetrics)
{
  // What this VM hears before its first plan expires with the window.
  mStoreLoads.setLimit(
    { 0, mSettings.loadWindow, mSettings.loadOvershoot, mSettings.loadExtra });
}

void
OrderController::takeOver()
{
  mActive = true;
  mFencingToken = mFleet.fencingToken();
  mEngines.clear();
  const base::TimePoint now = base::monotonicNow();
  mStoreLoads.startOwnership(
    mFleet.timeWithoutOrders(now), mFleet.formerOwner(), now);
  observe::logInfo("orders taken over",
                   { { "fence", std::to_string(mFencingToken) } });
}

void
OrderController::release()
{
  mActive = false;
  mEngines.clear();
  observe::logInfo("orders released",
                   { { "fence", std::to_string(mFencingToken) } });
}

bool
OrderController::updateOwnership()
{
  const base::TimePoint now = base::monotonicNow();
  const bool maySend = !mStopped && mFleet.canSendOrders(now);
  if (maySend && (!mActive || mFencingToken != mFleet.fencingToken())) {
    takeOver();
  } else if (!maySend && mActive && mFleet.fencingToken() != mFencingToken) {
    release();
  }
  return maySend && mCatalog.current();
}

void
OrderController::run(const residency::DemandTable& aDemand)
{
  const base::TimePoint now = base::monotonicNow();
  const auto& snapshot = mCatalog.current();
  for (const auto& [name, service] : snapshot->content.services) {
    if (!service.engine) {
      continue;
    }
    const base::TimePoint planStart = base::monotonicNow();
    syncEngines(service, now);
    residency::PlanInput input = planInput(service, aDemand, now);
    std::set<base::UpstreamName> orderedEngines;
    auto steps = residency::planAdapters(input);
    for (const auto plan :
         { &residency::planModels, &residency::planAdapterPrefetch }) {
      const auto further = plan(input);
      steps.insert(steps.end(), further.begin(), further.end());
    }
    mPlanStatistics.recordPlan(
      input, steps.size(), base::monotonicNow() - planStart, now);
    for (const residency::PlannedOrder& step : steps) {
      if (orderedEngines.insert(step.engine).second) {
        sendOrder(step);
      }
    }
  }
}

void
OrderController::syncEngines(const catalog::Service& aService,
                             base::TimePoint aNow)
{
  std::erase_if(mEngines, [this](const auto& aItem) {
    return mUpstreams.find(aItem.first) == nullptr;
  });
  for (const auto& [name, upstream] : mUpstreams.all()) {
    const catalog::UpstreamRecord& record = upstream->record;
    if (record.service != aService.name) {
      continue;
    }
    Engine& engine = mEngines[name];
    if (engine.startedAt != record.startedAt ||
        engine.address != record.address) {
      engine = Engine{};
      engine.startedAt = record.startedAt;
      engine.address = record.address;
    }
    detectFinishedOrders(engine, record, aNow);
    if ((!engine.reportReceived || engine.needsReport) &&
        !engine.callInProgress && aNow >= engine.retryAt &&
        upstream->usable() && !isQuiet(*upstream, aNow)) {
      fetchReport(name, engine);
    }
  }
}

void
OrderController::detectFinishedOrders(Engine& aEngine,
                                      const catalog::UpstreamRecord& aRecord,
                                      base::TimePoint aNow)
{
  if (aEngine.loading && aRecord.models.contains(*aEngine.loading)) {
    aEngine.loading.reset();
  }
  if (aEngine.unloading && !aRecord.models.contains(*aEngine.unloading)) {
    aEngine.adapters.erase(*aEngine.unloading);
    aEngine.reportedModels.erase(*aEngine.unloading);
    aEngine.unloading.reset();
  }
  const auto& snapshot = mCatalog.current();
  if (aEngine.loading) {
    base::Duration limit = kLoadTimeoutMargin;
    for (const auto& [name, service] : snapshot->content.services) {
      if (service.engine && service.engine->models.contains(*aEngine.loading)) {
        limit += 2 * service.engine->models.at(*aEngine.loading).storeLoadTime;
      }
    }
    if (aNow - aEngine.loadStarted > limit) {
      aEngine.loading.reset();
      aEngine.needsReport = true;
    }
  }
  if (aEngine.unloading && aNow - aEngine.unloadStarted > kUnloadTimeout) {
    aEngine.unloading.reset();
    aEngine.needsReport = true;
  }
}

/** @return true if the upstream wants nothing from this VM now */
bool
OrderController::isQuiet(const Upstream& aUpstream, base::TimePoint aNow) const
{
  return mNotices.acceptsFrom(aUpstream.process().tag()) > aNow;
}

/** Records for how long an engine wants nothing that has turned an order or a
 * call for its report away. */
void
OrderController::recordRefusal(const base::UpstreamName& aName,
                               const Engine& aEngine,
                               const http::Response& aAnswer)
{
  const auto answer =
    boundary::decodeAnswer(aAnswer.status, aAnswer.headers, aName);
  if (answer.notice.turnsAwayFor) {
    const dispatch::UpstreamProcess process{ aName, aEngine.startedAt };
    mNotices.onTurnedAway(
      process.tag(), *answer.notice.turnsAwayFor, base::monotonicNow());
  }
}

void
OrderController::fetchReport(const base::UpstreamName& aName, Engine& aEngine)
{
  aEngine.callInProgress = true;
  const http::Request request{ "GET", boundary::kReportPath, "", {}, "" };
  http::CallEvents events;
  events.done = [this, aName, startedAt = aEngine.startedAt](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto found = mEngines.find(aName);
    if (found == mEngines.end() || found->second.startedAt != startedAt) {
      return;
    }
    found->second.callInProgress = false;
    found->second.retryAt = base::monotonicNow() + kReportDelay;
    constexpr int kOk = 200;
    if (aEnd != http::CallEnd::Complete) {
      return;
    }
    if (aAnswer.status == kOk) {
      onReport(aName, aAnswer.body);
    } else {
      recordRefusal(aName, found->second, aAnswer);
    }
  };
  aEngine.call = mClient.start(
    aEngine.address, request, residency::kOrderTimeout, std::move(events));
}

void
OrderController::onReport(const base::UpstreamName& aName,
                          const std::string& aBody)
{
  auto decoded =
    base::capture([&] { return boundary::decodeEngineReport(aBody); });
  if (const base::Error* error = base::errorOf(decoded)) {
    observe::logWarn("invalid engine report",
                     { { "upstream", aName }, { "error", error->message } });
    return;
  }
  const auto& report = std::get<boundary::EngineReport>(decoded);
  Engine& engine = mEngines.at(aName);
  if (report.orderRunning && !engine.loading && !engine.unloading) {
    // The running order is unknown, and so is the memory that will be free.
    engine.retryAt = base::monotonicNow() + kBusyReportDelay;
    return;
  }
  engine.reportReceived = true;
  engine.needsReport = false;
  engine.reportedModels.clear();
  if (engine.loading && !report.orderRunning &&
      engine.orderCount == report.orderCount) {
    // The load order did not arrive. If it still does, the next order has
    // changed the order count and the engine rejects it.
    engine.loading.reset();
  }
  engine.orderCount = report.orderCount;
  engine.adapters.clear();
  for (const auto& [model, adapters] : report.models) {
    engine.adapters[model] = adapters;
    engine.reportedModels.insert(model);
  }
  mChanged.emit();
}

residency::PlanInput
OrderController::planInput(const catalog::Service& aService,
                           const residency::DemandTable& aDemand,
                           base::TimePoint aNow)
{
  residency::PlanInput input;
  input.spec = &*aService.engine;
  input.demand = aDemand;
  mStoreLoads.setLimit({ aService.engine->storeLoadsPerSecond,
                         mSettings.loadWindow,
                         mSettings.loadOvershoot,
                         mSettings.loadExtra });
  input.availableStoreLoads = mStoreLoads.available(aNow);
  for (const auto& [name, upstream] : mUpstreams.all()) {
    const catalog::UpstreamRecord& record = upstream->record;
    if (record.service != aService.name) {
      continue;
    }
    const Engine& known = mEngines.at(name);
    residency::Engine engine;
    engine.name = name;
    engine.dataCentre = record.dataCentre;
    engine.draining = !upstream->usable();
    engine.restarting = upstream->processEnded();
    engine.software = upstream->software;
    engine.quiet = isQuiet(*upstream, aNow);
    engine.orderable = known.reportReceived && !known.needsReport &&
                       !known.callInProgress && !known.loading &&
                       !known.unloading && aNow >= known.retryAt;
    for (const auto& [model, adapters] : record.models) {
      const auto held = known.adapters.find(model);
      engine.models[model] =
        held == known.adapters.end() ? std::set<std::string>{} : held->second;
    }
    if (known.loading) {
      engine.loading.insert(*known.loading);
    }
    for (const base::ModelName& model : known.reportedModels) {
      if (!engine.models.contains(model)) {
        engine.loading.insert(model);
      }
    }
    for (const auto& [ref, loadedAt] : known.adapterLoadedAt) {
      if (aNow - loadedAt < kMinAdapterResidency) {
        engine.recentlyLoaded.insert(ref);
      }
    }
    if (known.unloading) {
      engine.unloading.insert(*known.unloading);
    }
    engine.cachedInMemory = record.cachedInMemory;
    engine.cachedOnDisk = record.cachedOnDisk;
    input.engines.push_back(std::move(engine));
  }
  mUnservedTracker.update(input, aNow);
  return input;
}

void
OrderController::sendOrder(const residency::PlannedOrder& aOrder)
{
  const base::TimePoint now = base::monotonicNow();
  if (!mFleet.canSendOrders(now)) {
    return;
  }
  mLastOrderAt = now;
  Engine& engine = mEngines.at(aOrder.engine);
  engine.callInProgress = true;
  if (aOrder.fromStore) {
    mStoreLoads.recordLoad(now);
  }
  if (!aOrder.load && aOrder.target.adapter.empty()) {
    engine.unloading = aOrder.target.model;
    engine.unloadStarted = now;
    mChanged.emit();
  }
  if (aOrder.load && aOrder.target.adapter.empty()) {
    engine.loading = aOrder.target.model;
    engine.loadStarted = now;
  }
  const boundary::Order order{
    aOrder.load, aOrder.target, mSettings.vm, mFencingToken, engine.orderCount
  };
  http::CallEvents events;
  events.done = [this, aOrder, startedAt = engine.startedAt](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto found = mEngines.find(aOrder.engine);
    if (found != mEngines.end() && found->second.startedAt == startedAt) {
      onReply(aOrder, aEnd, aAnswer);
    }
  };
  mMetrics
    .counter(
      "marigold_orders_total",
      "Orders sent to engines",
      { { "operation", aOrder.load ? "load" : "unload" },
        { "kind", aOrder.target.adapter.empty() ? "model" : "adapter" } })
    .Increment();
  // A new connection, because a pooled one may be closing.
  engine.call = mClient.start(engine.address,
                              boundary::encodeOrder(order, aOrder.engine),
                              residency::kOrderTimeout,
                              std::move(events),
                              false);
}

void
OrderController::onReply(const residency::PlannedOrder& aOrder,
                         http::CallEnd aEnd,
                         const http::Response& aAnswer)
{
  Engine& engine = mEngines.at(aOrder.engine);
  engine.callInProgress = false;
  const bool answered = aEnd == http::CallEnd::Complete;
  if (answered) {
    recordRefusal(aOrder.engine, engine, aAnswer);
  }
  const auto reply = answered ? boundary::decodeOrderReply(aAnswer.status)
                              : boundary::OrderReply::Unknown;
  observe::logInfo(
    "order",
    { { "upstream", aOrder.engine },
      { "operation", aOrder.load ? "load" : "unload" },
      { "what", aOrder.target.text() },
      { "reason", aOrder.reason },
      { "fence", std::to_string(mFencingToken) },
      { "order_count", std::to_string(engine.orderCount) },
      { "status", answered ? std::to_string(aAnswer.status) : "no answer" } });
  switch (reply) {
    case boundary::OrderReply::Started:
      ++engine.orderCount;
      applyCompletedOrder(engine, aOrder);
      if (!aOrder.load && !aOrder.target.adapter.empty()) {
        // The adapter is removed after its requests end; a report shows when.
        engine.needsReport = true;
        engine.retryAt = base::monotonicNow() + kReportDelay;
      }
      break;
    case boundary::OrderReply::AlreadyApplied:
      applyCompletedOrder(engine, aOrder);
      if (!aOrder.load) {
        ++engine.orderCount;
      }
      break;
    default:
      // A report will show whether the order took effect. Until then the
      // engine counts as loading what the order may have loaded.
      engine.needsReport = true;
      engine.retryAt = base::monotonicNow() + kReportDelay;
      if (aEnd == http::CallEnd::NotSent || answered) {
        engine.loading.reset();
      }
      engine.unloading.reset();
      break;
  }
  mChanged.emit();
}

void
OrderController::applyCompletedOrder(Engine& aEngine,
                                     const residency::PlannedOrder& aOrder)
{
  if (aOrder.target.adapter.empty()) {
    return; // The engine's record shows when a model order is complete.
  }
  auto& adapters = aEngine.adapters[aOrder.target.model];
  if (aOrder.load) {
    adapters.insert(aOrder.target.adapter);
    aEngine.adapterLoadedAt[aOrder.target] = base::monotonicNow();
  } else {
    adapters.erase(aOrder.target.adapter);
  }
}

void
OrderController::recordOwnerLoads(const std::vector<base::Duration>& aAges,
                                  base::TimePoint aNow)
{
  if (!mActive) {
    mStoreLoads.replaceLoads(aAges, aNow);
  }
}

void
OrderController::mergeOwnerLoads(const peers::StoreLoadReport& aReport,
                                 base::TimePoint aNow)
{
  if (!mActive || mStoreLoads.isUnknown(aNow)) {
    mStoreLoads.mergeReport(aReport.loadAges, aReport.age, aNow);
  }
}

std::optional<peers::StoreLoadReport>
OrderController::ownerLoads(base::TimePoint aNow) const
{
  const auto age = mStoreLoads.reportAge(aNow);
  if (mActive || !age) {
    return {};
  }
  return peers::StoreLoadReport{ *age, mStoreLoads.loadAges(aNow) };
}

peers::PlacementTable
OrderController::placements() const
{
  peers::PlacementTable table;
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [model, adapters] : engine.adapters) {
      if (!adapters.empty()) {
        table[name].adapters[model] = { adapters.begin(), adapters.end() };
      }
    }
    if (engine.unloading) {
      table[name].unloading.push_back(*engine.unloading);
    }
  }
  return table;
}

} // namespace marigold::gateway
