#include "apps/gateway/order_book.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** An order is answered within a round trip; later the answer counts as lost.
 */
constexpr base::Duration kOrderTimeout = 700ms;
/** Pause after a conflict or a lost answer, in which a report catches up with
 * the engine. */
constexpr base::Duration kReportDelay = 400ms;
/** Pause between reports of an engine that carries out an unknown order. */
constexpr base::Duration kBusyDelay = 1s;
/** A new adapter stays at least for this long: the requests that waited for it
 * arrive after the next status of the owner. */
constexpr base::Duration kAdapterFresh = 1500ms;
/** A model that is not in the record this long after the load should have
 * ended was not loaded. */
constexpr base::Duration kLoadMargin = 6s;
/** Unloads wait for the running requests of the model. */
constexpr base::Duration kUnloadLimit = 20s;

} // namespace

OrderBook::OrderBook(http::Client& aClient,
                     const Settings& aSettings,
                     Fleet& aFleet,
                     const CatalogHolder& aCatalog,
                     UpstreamTable& aUpstreams,
                     observe::Metrics& aMetrics)
  : mClient(aClient)
  , mSettings(aSettings)
  , mFleet(aFleet)
  , mCatalog(aCatalog)
  , mUpstreams(aUpstreams)
  , mMetrics(aMetrics)
  , mPlanReport(aMetrics)
{
}

void
OrderBook::takeOver()
{
  mActive = true;
  mFence = mFleet.fence();
  mEngines.clear();
  mStoreLoads.takeOver(mSettings.orderPause, base::monotonicNow());
  observe::logInfo("orders taken over",
                   { { "fence", std::to_string(mFence) } });
}

void
OrderBook::release()
{
  mActive = false;
  mEngines.clear();
  observe::logInfo("orders released", { { "fence", std::to_string(mFence) } });
}

bool
OrderBook::followOwnership()
{
  const base::TimePoint now = base::monotonicNow();
  const bool may = !mStopped && mFleet.mayOrder(now);
  if (may && (!mActive || mFence != mFleet.fence())) {
    takeOver();
  } else if (!may && mActive && mFleet.fence() != mFence) {
    release();
  }
  return may && mCatalog.current();
}

void
OrderBook::run(const residency::DemandTable& aDemand)
{
  const base::TimePoint now = base::monotonicNow();
  const auto& live = mCatalog.current();
  for (const auto& [name, service] : live->content.services) {
    if (!service.engine) {
      continue;
    }
    const base::TimePoint began = base::monotonicNow();
    syncEngines(service, now);
    residency::Situation current = situation(service, aDemand, now);
    std::set<base::UpstreamName> used;
    auto steps = residency::planAdapters(current);
    for (const auto plan :
         { &residency::planModels, &residency::planSpareAdapters }) {
      const auto further = plan(current);
      steps.insert(steps.end(), further.begin(), further.end());
    }
    mPlanReport.planned(
      current, steps.size(), base::monotonicNow() - began, now);
    for (const residency::Step& step : steps) {
      if (used.insert(step.engine).second) {
        give(step);
      }
    }
  }
}

void
OrderBook::syncEngines(const catalog::Service& aService, base::TimePoint aNow)
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
    settleModels(engine, record, aNow);
    if ((!engine.reported || engine.unclear) && !engine.calling &&
        aNow >= engine.retryAt && upstream->usable()) {
      fetchReport(name, engine);
    }
  }
}

void
OrderBook::settleModels(Engine& aEngine,
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
  const auto& live = mCatalog.current();
  if (aEngine.loading) {
    base::Duration limit = kLoadMargin;
    for (const auto& [name, service] : live->content.services) {
      if (service.engine && service.engine->models.contains(*aEngine.loading)) {
        limit += 2 * service.engine->models.at(*aEngine.loading).storeLoad;
      }
    }
    if (aNow - aEngine.loadStarted > limit) {
      aEngine.loading.reset();
      aEngine.unclear = true;
    }
  }
  if (aEngine.unloading && aNow - aEngine.unloadStarted > kUnloadLimit) {
    aEngine.unloading.reset();
    aEngine.unclear = true;
  }
}

void
OrderBook::fetchReport(const base::UpstreamName& aName, Engine& aEngine)
{
  aEngine.calling = true;
  const http::Request request{ "GET", boundary::kReportPath, "", {}, "" };
  http::CallEvents events;
  events.done = [this, aName, startedAt = aEngine.startedAt](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto found = mEngines.find(aName);
    if (found == mEngines.end() || found->second.startedAt != startedAt) {
      return;
    }
    found->second.calling = false;
    found->second.retryAt = base::monotonicNow() + kReportDelay;
    constexpr int kOk = 200;
    if (aEnd == http::CallEnd::Complete && aAnswer.status == kOk) {
      onReport(aName, aAnswer.body);
    }
  };
  aEngine.call =
    mClient.start(aEngine.address, request, kOrderTimeout, std::move(events));
}

void
OrderBook::onReport(const base::UpstreamName& aName, const std::string& aBody)
{
  auto decoded = base::capture([&] { return boundary::decodeReport(aBody); });
  if (const base::Error* error = base::errorOf(decoded)) {
    observe::logWarn("engine report cannot be read",
                     { { "upstream", aName }, { "error", error->message } });
    return;
  }
  const auto& report = std::get<boundary::EngineReport>(decoded);
  Engine& engine = mEngines.at(aName);
  if (report.orderRunning && !engine.loading && !engine.unloading) {
    // What it loads is unknown, so its free memory is unknown too.
    engine.retryAt = base::monotonicNow() + kBusyDelay;
    return;
  }
  engine.reported = true;
  engine.unclear = false;
  engine.reportedModels.clear();
  if (engine.loading && !report.orderRunning &&
      engine.orderCount == report.orderCount) {
    // It did not arrive; should it still come, the next order rules it out.
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

residency::Situation
OrderBook::situation(const catalog::Service& aService,
                     const residency::DemandTable& aDemand,
                     base::TimePoint aNow)
{
  residency::Situation current;
  current.spec = &*aService.engine;
  current.demand = aDemand;
  mStoreLoads.setLimit({ aService.engine->storeLoadsPerSecond,
                         mSettings.loadWindow,
                         mSettings.loadOvershoot,
                         mSettings.loadExtra });
  current.storeLoadsLeft = mStoreLoads.left(aNow);
  for (const auto& [name, upstream] : mUpstreams.all()) {
    const catalog::UpstreamRecord& record = upstream->record;
    if (record.service != aService.name) {
      continue;
    }
    const Engine& known = mEngines.at(name);
    residency::Engine engine;
    engine.name = name;
    engine.dataCentre = record.dataCentre;
    engine.leaving = !upstream->usable();
    engine.orderable = known.reported && !known.unclear && !known.calling &&
                       !known.loading && !known.unloading &&
                       aNow >= known.retryAt;
    for (const auto& [model, adapters] : record.models) {
      const auto held = known.adapters.find(model);
      engine.models[model] =
        held == known.adapters.end() ? std::set<std::string>{} : held->second;
    }
    if (known.loading) {
      engine.arriving.insert(*known.loading);
    }
    for (const base::ModelName& model : known.reportedModels) {
      if (!engine.models.contains(model)) {
        engine.arriving.insert(model);
      }
    }
    for (const auto& [ref, loadedAt] : known.adapterLoadedAt) {
      if (aNow - loadedAt < kAdapterFresh) {
        engine.fresh.insert(ref);
      }
    }
    if (known.unloading) {
      engine.retiring.insert(*known.unloading);
    }
    engine.cachedInMemory = record.cachedInMemory;
    engine.cachedOnDisk = record.cachedOnDisk;
    current.engines.push_back(std::move(engine));
  }
  mAbsences.fill(current, aNow);
  return current;
}

void
OrderBook::give(const residency::Step& aStep)
{
  const base::TimePoint now = base::monotonicNow();
  if (!mFleet.mayOrder(now)) {
    return;
  }
  Engine& engine = mEngines.at(aStep.engine);
  engine.calling = true;
  if (aStep.fromStore) {
    mStoreLoads.note(now);
  }
  if (!aStep.load && aStep.what.adapter.empty()) {
    engine.unloading = aStep.what.model;
    engine.unloadStarted = now;
    mChanged.emit();
  }
  if (aStep.load && aStep.what.adapter.empty()) {
    engine.loading = aStep.what.model;
    engine.loadStarted = now;
  }
  const boundary::Order order{
    aStep.load, aStep.what, mSettings.vm, mFence, engine.orderCount
  };
  http::CallEvents events;
  events.done = [this, aStep, startedAt = engine.startedAt](
                  http::CallEnd aEnd, const http::Response& aAnswer) {
    const auto found = mEngines.find(aStep.engine);
    if (found != mEngines.end() && found->second.startedAt == startedAt) {
      onReply(aStep, aEnd, aAnswer.status);
    }
  };
  mMetrics
    .counter("marigold_orders_total",
             "Orders sent to engines",
             { { "operation", aStep.load ? "load" : "unload" },
               { "kind", aStep.what.adapter.empty() ? "model" : "adapter" } })
    .Increment();
  // A fresh connection, so that the order cannot meet one that just closes.
  engine.call = mClient.start(engine.address,
                              boundary::encodeOrder(order, aStep.engine),
                              kOrderTimeout,
                              std::move(events),
                              false);
}

void
OrderBook::onReply(const residency::Step& aStep,
                   http::CallEnd aEnd,
                   int aStatus)
{
  Engine& engine = mEngines.at(aStep.engine);
  engine.calling = false;
  const bool answered = aEnd == http::CallEnd::Complete;
  const auto reply = answered ? boundary::decodeOrderReply(aStatus)
                              : boundary::OrderReply::Unclear;
  observe::logInfo(
    "order",
    { { "upstream", aStep.engine },
      { "operation", aStep.load ? "load" : "unload" },
      { "what", aStep.what.text() },
      { "reason", aStep.reason },
      { "fence", std::to_string(mFence) },
      { "order_count", std::to_string(engine.orderCount) },
      { "status", answered ? std::to_string(aStatus) : "no answer" } });
  switch (reply) {
    case boundary::OrderReply::Started:
      ++engine.orderCount;
      applyDone(engine, aStep);
      if (!aStep.load && !aStep.what.adapter.empty()) {
        // The adapter leaves once its requests ended; a report tells when.
        engine.unclear = true;
        engine.retryAt = base::monotonicNow() + kReportDelay;
      }
      break;
    case boundary::OrderReply::AlreadyHolds:
      applyDone(engine, aStep);
      if (!aStep.load) {
        ++engine.orderCount;
      }
      break;
    default:
      // A report shows whether it took effect; until then the engine counts
      // as holding what the order may have loaded.
      engine.unclear = true;
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
OrderBook::applyDone(Engine& aEngine, const residency::Step& aStep)
{
  if (aStep.what.adapter.empty()) {
    return; // The record of the engine shows the end.
  }
  auto& adapters = aEngine.adapters[aStep.what.model];
  if (aStep.load) {
    adapters.insert(aStep.what.adapter);
    aEngine.adapterLoadedAt[aStep.what] = base::monotonicNow();
  } else {
    adapters.erase(aStep.what.adapter);
  }
}

void
OrderBook::noteLoads(const std::vector<base::Duration>& aAges,
                     base::TimePoint aNow)
{
  if (!mActive) {
    mStoreLoads.replace(aAges, aNow);
  }
}

peers::PlaceTable
OrderBook::places() const
{
  peers::PlaceTable places;
  for (const auto& [name, engine] : mEngines) {
    for (const auto& [model, adapters] : engine.adapters) {
      if (!adapters.empty()) {
        places[name].adapters[model] = { adapters.begin(), adapters.end() };
      }
    }
    if (engine.unloading) {
      places[name].retiring.push_back(*engine.unloading);
    }
  }
  return places;
}

} // namespace marigold::gateway
