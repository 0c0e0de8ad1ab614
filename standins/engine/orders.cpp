#include "standins/engine/orders.h"

#include "standins/common/adapter_time.h"

#include <algorithm>
#include <array>

namespace marigold::standin {
namespace {

/** Interval at which a pending unload checks whether its model is idle. */
constexpr base::Duration kUnloadDrainCheckPeriod = std::chrono::milliseconds(5);

bool
isLoad(OrderOp aOp)
{
  return aOp == OrderOp::Load || aOp == OrderOp::LoadAdapter;
}

ModelVersion
modelVersionOf(const Order& aOrder)
{
  return { aOrder.model, aOrder.version };
}

} // namespace

std::optional<OrderOp>
parseOrderOp(const std::string& aName)
{
  constexpr std::array kNames{
    std::pair{ "load", OrderOp::Load },
    std::pair{ "unload", OrderOp::Unload },
    std::pair{ "load_adapter", OrderOp::LoadAdapter },
    std::pair{ "unload_adapter", OrderOp::UnloadAdapter },
    std::pair{ "role", OrderOp::Role },
    std::pair{ "fence", OrderOp::Fence },
  };
  for (const auto& [name, op] : kNames) {
    if (aName == name) {
      return op;
    }
  }
  return std::nullopt;
}

OrderReply
Orders::accept(const Order& aOrder, base::TimePoint aNow)
{
  if (mFaults.lose > 0) {
    --mFaults.lose;
    return { 0, true };
  }
  if (mFaults.late > 0) {
    --mFaults.late;
    mExecutions.push_back(
      { aOrder, Stage::Delayed, aNow + mFaults.lateDelay, false });
    return { 0, true };
  }
  if (mFaults.twice > 0) {
    --mFaults.twice;
    mExecutions.push_back(
      { aOrder, Stage::Delayed, aNow + mFaults.lateDelay, true });
  }
  return process(aOrder, aNow, false);
}

OrderReply
Orders::process(const Order& aOrder, base::TimePoint aNow, bool aDuplicate)
{
  if (!aDuplicate && isKnown(aOrder.id)) {
    return {};
  }
  if (mSettings.enforcesFencing && aOrder.fence < mFence) {
    return { 409, false };
  }
  advanceFence(aOrder.fence);
  if (isLoad(aOrder.op) && mSettings.checksMemory &&
      !mAccelerator.fits(aOrder.memoryMb)) {
    record(aOrder.id, OrderState::Failed);
    return { 507, false };
  }
  record(aOrder.id, OrderState::Pending);
  Execution execution{ aOrder, Stage::Executing, aNow, aDuplicate };
  if (!start(execution, aNow)) {
    record(aOrder.id, OrderState::Failed);
    return {};
  }
  mExecutions.push_back(std::move(execution));
  return {};
}

void
Orders::advanceFence(std::uint64_t aFence)
{
  if (aFence <= mFence) {
    return;
  }
  mFence = aFence;
  if (!mSettings.enforcesFencing) {
    return;
  }
  // Orders with an older fencing token must not take effect after this point.
  for (auto entry = mExecutions.begin(); entry != mExecutions.end();) {
    if (entry->stage == Stage::Delayed || entry->order.fence >= aFence) {
      ++entry;
      continue;
    }
    rollBack(*entry);
    entry = mExecutions.erase(entry);
  }
}

bool
Orders::start(Execution& aExecution, base::TimePoint aNow)
{
  switch (aExecution.order.op) {
    case OrderOp::Load:
    case OrderOp::LoadAdapter:
      return startLoad(aExecution, aNow);
    case OrderOp::Unload:
    case OrderOp::UnloadAdapter:
      return startUnload(aExecution, aNow);
    case OrderOp::Role:
      aExecution.due = aNow + mSettings.roleTime;
      return true;
    case OrderOp::Fence:
      aExecution.due = aNow;
      return true;
  }
  return false;
}

bool
Orders::startLoad(Execution& aExecution, base::TimePoint aNow)
{
  const Order& order = aExecution.order;
  const bool adapter = order.op == OrderOp::LoadAdapter;
  if (adapter && !mAccelerator.contains(modelVersionOf(order))) {
    return false;
  }
  const bool allocated =
    adapter ? mAccelerator.allocateAdapter(
                modelVersionOf(order), order.adapter, order.memoryMb)
            : mAccelerator.allocateModel(modelVersionOf(order), order.memoryMb);
  if (!allocated) {
    // Already allocated: complete as a no-op, so that rollBack() frees nothing.
    aExecution.order.op = OrderOp::Fence;
    aExecution.due = aNow;
    return true;
  }
  if (mSettings.usesWeights) {
    aExecution.stage = Stage::Fetching;
    aExecution.due = base::TimePoint::max();
    mFetches.push_back(order);
    return true;
  }
  aExecution.due = aNow + (adapter ? adapterLoadTime(order.adapter,
                                                     adapterLoadsInFlight() + 1,
                                                     mSettings.adapterLimit)
                                   : mSettings.loadTime);
  return true;
}

bool
Orders::startUnload(Execution& aExecution, base::TimePoint aNow)
{
  const Order& order = aExecution.order;
  if (!mAccelerator.contains(modelVersionOf(order))) {
    return false;
  }
  mAccelerator.setState(
    modelVersionOf(order), order.adapter, ResidencyState::Unloading);
  aExecution.stage = Stage::Draining;
  aExecution.due = aNow;
  return true;
}

void
Orders::advance(const Batch& aBatch, base::TimePoint aNow)
{
  std::vector<Execution> arrivals;
  for (auto entry = mExecutions.begin(); entry != mExecutions.end();) {
    if (entry->due > aNow) {
      ++entry;
      continue;
    }
    if (entry->stage == Stage::Draining) {
      const bool busy =
        aBatch.hasRequestsFor(entry->order.model, entry->order.version);
      entry->due =
        aNow + (busy ? kUnloadDrainCheckPeriod : mSettings.unloadTime);
      entry->stage = busy ? Stage::Draining : Stage::Executing;
      ++entry;
      continue;
    }
    if (entry->stage == Stage::Delayed) {
      arrivals.push_back(*entry);
    } else {
      finish(*entry);
    }
    entry = mExecutions.erase(entry);
  }
  for (const Execution& arrival : arrivals) {
    process(arrival.order, aNow, arrival.duplicate);
  }
}

void
Orders::finish(const Execution& aExecution)
{
  const Order& order = aExecution.order;
  if (isLoad(order.op)) {
    mAccelerator.setState(
      modelVersionOf(order), order.adapter, ResidencyState::Ready);
  } else if (order.op == OrderOp::Unload ||
             order.op == OrderOp::UnloadAdapter) {
    mAccelerator.release(modelVersionOf(order), order.adapter);
    mUnloaded.push_back(
      order.adapter.empty() ? order.model : order.model + ":" + order.adapter);
  } else if (order.op == OrderOp::Role) {
    mRole = order.role;
  }
  record(order.id, OrderState::Done);
}

void
Orders::rollBack(const Execution& aExecution)
{
  const Order& order = aExecution.order;
  if (isLoad(order.op)) {
    mAccelerator.release(modelVersionOf(order), order.adapter);
  } else if (order.op == OrderOp::Unload ||
             order.op == OrderOp::UnloadAdapter) {
    mAccelerator.setState(
      modelVersionOf(order), order.adapter, ResidencyState::Ready);
  }
  record(order.id, OrderState::Failed);
}

std::vector<Order>
Orders::takePendingFetches()
{
  return std::exchange(mFetches, {});
}

std::vector<std::string>
Orders::takeUnloadedModels()
{
  return std::exchange(mUnloaded, {});
}

void
Orders::onWeightsFetched(const std::string& aId,
                         bool aDelivered,
                         base::TimePoint aNow)
{
  const auto entry = std::find_if(
    mExecutions.begin(), mExecutions.end(), [&](const Execution& aExecution) {
      return aExecution.order.id == aId && aExecution.stage == Stage::Fetching;
    });
  if (entry == mExecutions.end()) {
    return;
  }
  if (!aDelivered) {
    rollBack(*entry);
    mExecutions.erase(entry);
    return;
  }
  entry->stage = Stage::Executing;
  // The weights store has already spent the load time of an adapter.
  entry->due =
    aNow + (entry->order.op == OrderOp::LoadAdapter ? base::Duration::zero()
                                                    : mSettings.loadTime);
}

std::optional<base::TimePoint>
Orders::nextDueTime() const
{
  std::optional<base::TimePoint> earliest;
  for (const Execution& execution : mExecutions) {
    if (execution.due != base::TimePoint::max() &&
        (!earliest || execution.due < *earliest)) {
      earliest = execution.due;
    }
  }
  return earliest;
}

void
Orders::record(const std::string& aId, OrderState aState)
{
  for (OrderRecord& known : mRecords) {
    if (known.id == aId) {
      known.state = aState;
      return;
    }
  }
  mRecords.push_back({ aId, aState });
  if (mRecords.size() > kMaxRecords) {
    mRecords.pop_front();
  }
}

bool
Orders::isKnown(const std::string& aId) const
{
  return std::any_of(
    mRecords.begin(), mRecords.end(), [&](const OrderRecord& aRecord) {
      return aRecord.id == aId;
    });
}

int
Orders::adapterLoadsInFlight() const
{
  return static_cast<int>(std::count_if(
    mExecutions.begin(), mExecutions.end(), [](const Execution& aExecution) {
      return aExecution.order.op == OrderOp::LoadAdapter &&
             aExecution.stage == Stage::Executing;
    }));
}

} // namespace marigold::standin
