/** @file The part of the owner that forms orders. */
#include "placement/owner.h"

#include <algorithm>

namespace marigold::placement {
namespace {

using namespace std::chrono_literals;

/** Wake-up orders alone are no reason for more frequent writes. */
constexpr base::Duration kWakeUpPeriod = 5s;

/** Time that one write may cover at the store's rate. */
constexpr double kBatchSeconds = 0.5;

bool
isWakeUp(const Record& aRecord)
{
  return aRecord.order.op == Op::Load && aRecord.order.item.model.empty() &&
         !aRecord.sent;
}

} // namespace

void
Owner::addReserved(EngineView& aView,
                   const Engine& aEngine,
                   const Report& aReport,
                   const std::vector<Record>& aRecords) const
{
  const int before = mSettings.account(aEngine, aReport, aRecords);
  for (const Record& record : aRecords) {
    const Order& order = record.order;
    if (order.engine != aEngine.name || order.op != Op::Load || record.open ||
        order.item.model.empty()) {
      continue;
    }
    std::vector<Record> again = aRecords;
    again.push_back(record);
    again.back().order.fence = mPending.fence;
    const int after = mSettings.account(aEngine, aReport, again);
    aView.reserved[order.item] = order.memoryMb - (after - before);
  }
}

EngineViews
Owner::views(const std::vector<Record>& aRecords) const
{
  std::vector<Record> firm;
  std::copy_if(aRecords.begin(),
               aRecords.end(),
               std::back_inserter(firm),
               [](const Record& aRecord) { return !isWakeUp(aRecord); });
  EngineViews views;
  for (const auto& [name, state] : mEngines) {
    EngineView& view = views[name];
    view.ready = state.provenAt.has_value();
    if (!view.ready) {
      continue;
    }
    view.memoryMb = state.engine.memoryMb;
    view.freeMb = state.engine.memoryMb -
                  mSettings.account(state.engine, state.report, firm);
    view.resident = state.report.resident;
    addReserved(view, state.engine, state.report, firm);
  }
  for (const Record& record : firm) {
    const auto view = views.find(record.order.engine);
    if (view == views.end() || !record.open) {
      continue;
    }
    if (record.order.op == Op::Load) {
      view->second.loading.insert(record.order.item);
    } else if (record.order.op == Op::Unload) {
      view->second.draining.insert(record.order.item);
    }
  }
  for (const auto& [place, since] : mDraining) {
    const auto view = views.find(place.engine);
    if (view != views.end()) {
      view->second.draining.insert(place.item);
    }
  }
  return views;
}

LoadBudget
Owner::budget(base::TimePoint aNow) const
{
  int models = 0;
  int adapters = 0;
  for (const Record& record : mRecords) {
    // A lost order may still start a load until it is harmless. Wake-up orders
    // of an earlier holder were most likely never sent.
    const bool possible = !record.settled && !record.order.item.model.empty() &&
                          aNow < record.lastSend + mSettings.longestOrderDelay +
                                   mSettings.longestPause;
    if (record.order.op == Op::Load && record.sent && possible) {
      ++(record.order.item.adapter.empty() ? models : adapters);
    }
  }
  const int batch =
    std::max(1, static_cast<int>(mSettings.storeRate * kBatchSeconds));
  const int places = std::max(0, mSettings.storeConcurrency - models);
  return { aNow >= mNextLoad ? std::min(batch, places) : 0,
           std::max(0, mSettings.adapterConcurrency - adapters) };
}

void
Owner::plan(base::TimePoint aNow)
{
  if (aNow < mNextPlan || mResigning || !complete(aNow)) {
    return;
  }
  mNextPlan = aNow + mSettings.planPeriod;
  Residency residency;
  residency.declared = mDeclared;
  for (const auto& [name, view] : views(mRecords)) {
    if (!view.ready) {
      continue;
    }
    EngineResidency& engine = residency.engines[name];
    engine.memoryMb = mEngines.at(name).engine.memoryMb;
    for (const auto& [item, memory] : view.resident) {
      engine.items.insert(item.name());
    }
    for (const Item& item : view.loading) {
      engine.items.insert(item.name());
    }
  }
  mDesired = mStrategy->plan(mDemand, residency, aNow);
  for (auto& [item, demand] : mDemand) {
    demand.requests = 0;
  }
}

/** Uses a recorded wake-up order for a model that callers wait for and nobody
 * serves. No write is needed, so it also works while the platform is down. */
Actions
Owner::useWakeUp(base::TimePoint aNow)
{
  if (!holdsLease(aNow) || mResigning || mLateWrite ||
      budget(aNow).models == 0) {
    return {};
  }
  const EngineViews views = this->views(mRecords);
  for (const auto& [name, demand] : mDemand) {
    const auto declared = mDeclared.find(name);
    if (demand.waiting == 0 || !name.adapter.empty() ||
        declared == mDeclared.end()) {
      continue;
    }
    const Item item{ name.model, declared->second.version, "" };
    const bool present =
      std::any_of(views.begin(), views.end(), [&](const auto& aView) {
        return aView.second.resident.contains(item) ||
               aView.second.loading.contains(item);
      });
    const auto wakeUp =
      std::find_if(mRecords.begin(), mRecords.end(), [&](const Record& aKnown) {
        return isWakeUp(aKnown) &&
               aKnown.order.memoryMb >= declared->second.memoryMb &&
               views.contains(aKnown.order.engine) &&
               views.at(aKnown.order.engine).ready;
      });
    if (present || wakeUp == mRecords.end()) {
      continue;
    }
    // The ledger still reserves the whole region; the next write names the
    // model.
    wakeUp->order.item = item;
    wakeUp->sent = true;
    wakeUp->lastSend = aNow;
    mNextLoad = aNow + base::fromSeconds(1 / mSettings.storeRate);
    Order order = wakeUp->order;
    order.memoryMb = declared->second.memoryMb;
    return { std::nullopt, { order } };
  }
  return {};
}

void
Owner::add(std::vector<Record>& aNext, Order aOrder, base::TimePoint aNow)
{
  aOrder.id = ++mPending.lastOrder;
  aOrder.fence = mPending.fence;
  aNext.push_back({ std::move(aOrder), aNow, aNow, false, true });
}

/** An engine of which nothing is known, and one with orders that have become
 * harmless, gets an order whose appearance in a report dates the report. */
void
Owner::addMarkers(std::vector<Record>& aNext, base::TimePoint aNow)
{
  for (auto& [name, state] : mEngines) {
    const auto& engineName = name;
    const base::TimePoint provenAt =
      state.provenAt.value_or(base::TimePoint::min());
    const bool stale =
      std::any_of(aNext.begin(), aNext.end(), [&](const Record& aRecord) {
        const base::TimePoint harmless = aRecord.lastSend +
                                         mSettings.longestOrderDelay +
                                         mSettings.longestPause;
        return aRecord.order.engine == engineName && aRecord.sent &&
               aRecord.order.op == Op::Load && harmless <= aNow &&
               harmless > provenAt;
      });
    const bool due = state.markedAt == base::TimePoint{} ||
                     aNow - state.markedAt >= mSettings.retryAfter;
    if (due && (!state.provenAt || stale)) {
      state.markedAt = aNow;
      add(aNext, { 0, 0, name, Op::Fence, {}, 0 }, aNow);
    }
  }
}

void
Owner::addOrders(std::vector<Record>& aNext, base::TimePoint aNow)
{
  EngineViews views = this->views(aNext);
  const Schedule next =
    schedule(views, mDesired, mDeclared, mDemand, budget(aNow));
  for (const Place& place : next.loads) {
    add(aNext,
        { 0,
          0,
          place.engine,
          Op::Load,
          place.item,
          mDeclared.at(place.item.name()).memoryMb },
        aNow);
  }
  for (const Place& place : next.unloads) {
    const bool given =
      std::any_of(aNext.begin(), aNext.end(), [&](const Record& aRecord) {
        return aRecord.open && aRecord.order.op == Op::Unload &&
               aRecord.order.engine == place.engine &&
               aRecord.order.item == place.item;
      });
    const EngineView& view = views.at(place.engine);
    if (given || !view.resident.contains(place.item)) {
      mDraining.erase(place);
      continue;
    }
    const auto since = mDraining.try_emplace(place, aNow).first->second;
    if (aNow - since >= mSettings.drain) {
      add(aNext, { 0, 0, place.engine, Op::Unload, place.item, 0 }, aNow);
      mDraining.erase(place);
    }
  }
}

/** Reserves what is left of each engine for one load on demand. */
void
Owner::addWakeUps(std::vector<Record>& aNext, base::TimePoint aNow)
{
  int largest = 0;
  for (const auto& [name, declared] : mDeclared) {
    largest = std::max(largest, name.adapter.empty() ? declared.memoryMb : 0);
  }
  for (const auto& [name, view] : views(aNext)) {
    const int region = std::min(view.freeMb, largest);
    if (view.ready && region > 0) {
      add(aNext, { 0, 0, name, Op::Load, {}, region }, aNow);
    }
  }
}

Actions
Owner::writeChanges(base::TimePoint aNow)
{
  mPending = mLedger;
  ++mPending.fence;
  std::vector<Record> next;
  for (const Record& record : mRecords) {
    if (!isWakeUp(record) && !retirable(record, aNow)) {
      next.push_back(record);
    }
  }
  const std::size_t kept = next.size();
  if (!mResigning) {
    addMarkers(next, aNow);
    addOrders(next, aNow);
  }
  const bool changed = next.size() > kept || mLateWrite;
  if (!changed && aNow < mNextWakeUps) {
    return {};
  }
  mNextWakeUps = aNow + kWakeUpPeriod;
  if (!mResigning) {
    addWakeUps(next, aNow);
  }
  const auto sizes = [](const std::vector<Record>& aRecords) {
    std::map<base::UpstreamName, int> regions;
    for (const Record& record : aRecords) {
      if (isWakeUp(record)) {
        regions[record.order.engine] = record.order.memoryMb;
      }
    }
    return regions;
  };
  if (!changed && kept + sizes(mRecords).size() == mRecords.size() &&
      sizes(mRecords) == sizes(next)) {
    return {};
  }
  return write(std::move(next), aNow);
}

Actions
Owner::write(std::vector<Record> aNext, base::TimePoint aNow)
{
  if (mRole == Role::Claiming) {
    mPending = mLedger;
    ++mPending.fence;
  }
  mPending.holder = mSettings.self;
  mPending.orders.clear();
  for (const Record& record : aNext) {
    mPending.orders.push_back(record.order);
  }
  mNext = std::move(aNext);
  return start({ Call::WriteLedger, encode(mPending), mRevision, "" }, aNow);
}

} // namespace marigold::placement
