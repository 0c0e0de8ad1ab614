#include "apps/gateway/order_controller.h"

#include "observe/log.h"

#include <utility>

namespace marigold::gateway {
namespace {

/** @param aReply meaning of an answer to an order */
residency::OrderEnd
orderEnd(boundary::OrderReply aReply)
{
  switch (aReply) {
    case boundary::OrderReply::Started:
      return residency::OrderEnd::Started;
    case boundary::OrderReply::AlreadyApplied:
      return residency::OrderEnd::AlreadyApplied;
    default:
      return residency::OrderEnd::Refused;
  }
}

/** @param aEnd end of a call that was not answered */
residency::OrderEnd
orderEnd(http::CallEnd aEnd)
{
  return aEnd == http::CallEnd::NotSent ? residency::OrderEnd::NotSent
                                        : residency::OrderEnd::Unanswered;
}

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
OrderController::run(const residency::DemandTable& aDemand,
                     const std::set<base::UpstreamName>& aImpaired)
{
  const base::TimePoint now = base::monotonicNow();
  const auto& snapshot = mCatalog.current();
  for (const auto& [name, service] : *snapshot->content.services) {
    if (!service.engine) {
      continue;
    }
    const base::TimePoint planStart = base::monotonicNow();
    syncEngines(service, now);
    updateImpaired(aImpaired);
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
    engine.orders.onRecord(record.models, *aService.engine, aNow);
    if (engine.orders.wantsReport(aNow) && upstream->usable() &&
        !isQuiet(*upstream, aNow)) {
      fetchReport(name, engine);
    }
  }
}

void
OrderController::updateImpaired(const std::set<base::UpstreamName>& aImpaired)
{
  for (auto& [name, engine] : mEngines) {
    if (std::exchange(engine.impaired, aImpaired.contains(name)) !=
        engine.impaired) {
      observe::logInfo(engine.impaired ? "engine serves few of its callers"
                                       : "engine serves its callers again",
                       { { "upstream", name } });
    }
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
  aEngine.orders.reportRequested();
  const http::Request request{ "GET", boundary::kReportPath, "", {}, "" };
  http::CallEvents events;
  events.done = [this, aName, startedAt = aEngine.startedAt](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto found = mEngines.find(aName);
    if (found == mEngines.end() || found->second.startedAt != startedAt) {
      return;
    }
    found->second.orders.reportCallEnded(base::monotonicNow());
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
  auto& report = std::get<boundary::EngineReport>(decoded);
  mEngines.at(aName).orders.onReport(
    { report.orderRunning, report.orderCount, std::move(report.models) },
    base::monotonicNow());
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
    engine.impaired = known.impaired;
    known.orders.describe(record.models, aNow, engine);
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
  if (aOrder.fromStore) {
    mStoreLoads.recordLoad(now);
  }
  engine.orders.orderSent(aOrder, now);
  if (!aOrder.load && aOrder.target.adapter.empty()) {
    mChanged.emit();
  }
  const boundary::Order order{ aOrder.load,
                               aOrder.target,
                               mSettings.vm,
                               mFencingToken,
                               engine.orders.orderCount() };
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
  const bool answered = aEnd == http::CallEnd::Complete;
  if (answered) {
    recordRefusal(aOrder.engine, engine, aAnswer);
  }
  observe::logInfo(
    "order",
    { { "upstream", aOrder.engine },
      { "operation", aOrder.load ? "load" : "unload" },
      { "what", aOrder.target.text() },
      { "reason", aOrder.reason },
      { "fence", std::to_string(mFencingToken) },
      { "order_count", std::to_string(engine.orders.orderCount()) },
      { "status", answered ? std::to_string(aAnswer.status) : "no answer" } });
  engine.orders.orderEnded(
    aOrder,
    answered ? orderEnd(boundary::decodeOrderReply(aAnswer.status))
             : orderEnd(aEnd),
    base::monotonicNow());
  mChanged.emit();
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
    for (const auto& [model, adapters] : engine.orders.adapters()) {
      if (!adapters.empty()) {
        table[name].adapters[model] = { adapters.begin(), adapters.end() };
      }
    }
    if (const auto& unloading = engine.orders.unloading()) {
      table[name].unloading.push_back(*unloading);
    }
  }
  return table;
}

} // namespace marigold::gateway
