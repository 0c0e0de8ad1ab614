#include "residency/engine_orders.h"

#include "residency/residency.h"

#include <algorithm>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** Delay before the state of an engine is read again after a conflict, a lost
 * response or a report. */
constexpr base::Duration kReportDelay = 400ms;
/** Delay before the next report of an engine that runs an unknown order. */
constexpr base::Duration kBusyReportDelay = 1s;
/** Two heartbeats of an engine and the way of a record. A model that the report
 * names and the record doesn't has left since. */
constexpr base::Duration kRecordDelay = 3s;
/** A new adapter is not unloaded for this long, because the requests that
 * waited for it arrive only after the owner's next placement update. */
constexpr base::Duration kMinAdapterResidency = 1500ms;
/** Added to the expected duration of a load. If the model is not in the record
 * then, the state of the engine is read again. */
constexpr base::Duration kLoadTimeoutMargin = 6s;
/** Long, because an unload waits for the running requests of the model. */
constexpr base::Duration kUnloadTimeout = 20s;

base::Duration
loadTimeout(const base::ModelName& aModel, const catalog::EngineSpec& aSpec)
{
  const auto model = aSpec.models.find(aModel);
  return model == aSpec.models.end()
           ? kLoadTimeoutMargin
           : kLoadTimeoutMargin + 2 * model->second.storeLoadTime;
}

} // namespace

bool
EngineOrders::wantsReport(base::TimePoint aNow) const
{
  return (!mReportReceived || mNeedsReport) && !mCallInProgress &&
         aNow >= mRetryAt;
}

void
EngineOrders::reportCallEnded(base::TimePoint aNow)
{
  mCallInProgress = false;
  mRetryAt = aNow + kReportDelay;
}

void
EngineOrders::requireReport(base::TimePoint aNow)
{
  mNeedsReport = true;
  mRetryAt = aNow + kReportDelay;
}

void
EngineOrders::onReport(const EngineReport& aReport, base::TimePoint aNow)
{
  if (aReport.orderRunning && !mLoading && !mUnloading) {
    // The running order is unknown, and so is the memory that will be free.
    mRetryAt = aNow + kBusyReportDelay;
    return;
  }
  mReportReceived = true;
  mNeedsReport = false;
  if (mLoading && !aReport.orderRunning && mOrderCount == aReport.orderCount) {
    // The load order did not arrive. If it still does, the next order has
    // changed the order count and the engine rejects it.
    mLoading.reset();
  }
  mReportedAt = aNow;
  mOrderCount = aReport.orderCount;
  mAdapters = aReport.models;
  mReportedModels.clear();
  for (const auto& [model, adapters] : aReport.models) {
    mReportedModels.insert(model);
  }
}

void
EngineOrders::onRecord(const HeldModels& aModels,
                       const catalog::EngineSpec& aSpec,
                       base::TimePoint aNow)
{
  if (mLoading && aModels.contains(*mLoading)) {
    mLoading.reset();
  }
  if (mUnloading && !aModels.contains(*mUnloading)) {
    mAdapters.erase(*mUnloading);
    mReportedModels.erase(*mUnloading);
    mUnloading.reset();
  }
  const bool isUnconfirmed =
    std::any_of(mReportedModels.begin(),
                mReportedModels.end(),
                [&](const auto& aModel) { return !aModels.contains(aModel); });
  if (isUnconfirmed && aNow - mReportedAt > kRecordDelay) {
    mNeedsReport = true;
  }
  if (mLoading && aNow - mLoadStarted > loadTimeout(*mLoading, aSpec)) {
    mLoading.reset();
    mNeedsReport = true;
  }
  if (mUnloading && aNow - mUnloadStarted > kUnloadTimeout) {
    mUnloading.reset();
    mNeedsReport = true;
  }
}

void
EngineOrders::orderSent(const PlannedOrder& aOrder, base::TimePoint aNow)
{
  mCallInProgress = true;
  if (!aOrder.target.adapter.empty()) {
    return;
  }
  if (aOrder.load) {
    mLoading = aOrder.target.model;
    mLoadStarted = aNow;
  } else {
    mUnloading = aOrder.target.model;
    mUnloadStarted = aNow;
  }
}

void
EngineOrders::orderEnded(const PlannedOrder& aOrder,
                         OrderEnd aEnd,
                         base::TimePoint aNow)
{
  mCallInProgress = false;
  switch (aEnd) {
    case OrderEnd::Started:
      ++mOrderCount;
      applyAdapterOrder(aOrder, aNow);
      if (!aOrder.load && !aOrder.target.adapter.empty()) {
        // The adapter is removed after its requests end; a report shows when.
        requireReport(aNow);
      }
      break;
    case OrderEnd::AlreadyApplied:
      if (aOrder.load) {
        applyAdapterOrder(aOrder, aNow);
      } else if (holdsAdapter(aOrder.target)) {
        ++mOrderCount; // An adapter that no request uses is gone at once.
        applyAdapterOrder(aOrder, aNow);
      } else {
        // The engine doesn't count it. An order that expects more than its
        // count would be accepted later, on a state that nobody planned for.
        requireReport(aNow);
      }
      break;
    case OrderEnd::Refused:
    case OrderEnd::NotSent:
    case OrderEnd::Unanswered:
      // A report will show whether the order took effect. Until then the
      // engine counts as loading what the order may have loaded.
      requireReport(aNow);
      if (aEnd != OrderEnd::Unanswered) {
        mLoading.reset();
      }
      mUnloading.reset();
      break;
  }
}

bool
EngineOrders::holdsAdapter(const catalog::ModelRef& aTarget) const
{
  const auto held = mAdapters.find(aTarget.model);
  return !aTarget.adapter.empty() && held != mAdapters.end() &&
         held->second.contains(aTarget.adapter);
}

/** The engine's record shows when an order for a model is complete. */
void
EngineOrders::applyAdapterOrder(const PlannedOrder& aOrder,
                                base::TimePoint aNow)
{
  if (aOrder.target.adapter.empty()) {
    return;
  }
  auto& adapters = mAdapters[aOrder.target.model];
  if (aOrder.load) {
    adapters.insert(aOrder.target.adapter);
    mAdapterLoadedAt[aOrder.target] = aNow;
  } else {
    adapters.erase(aOrder.target.adapter);
  }
}

void
EngineOrders::describe(const HeldModels& aModels,
                       base::TimePoint aNow,
                       Engine& aEngine) const
{
  aEngine.orderable = mReportReceived && !mNeedsReport && !mCallInProgress &&
                      !mLoading && !mUnloading && aNow >= mRetryAt;
  for (const auto& [model, recorded] : aModels) {
    const auto held = mAdapters.find(model);
    aEngine.models[model] =
      held == mAdapters.end() ? std::set<std::string>{} : held->second;
  }
  if (mLoading) {
    aEngine.loading.insert(*mLoading);
  }
  for (const base::ModelName& model : mReportedModels) {
    if (!aEngine.models.contains(model)) {
      aEngine.loading.insert(model);
    }
  }
  for (const auto& [ref, loadedAt] : mAdapterLoadedAt) {
    if (aNow - loadedAt < kMinAdapterResidency) {
      aEngine.recentlyLoaded.insert(ref);
    }
  }
  if (mUnloading) {
    aEngine.unloading.insert(*mUnloading);
  }
}

} // namespace marigold::residency
