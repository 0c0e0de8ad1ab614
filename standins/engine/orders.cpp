#include "standins/engine/orders.h"

#include "standins/common/adapter_time.h"

#include <algorithm>
#include <array>

namespace marigold::standin {
namespace {

/** How often a draining unload looks whether its model is idle. */
constexpr base::Duration kDrainPeriod = std::chrono::milliseconds(5);

bool
isLoad(OrderOp aOp)
{
  return aOp == OrderOp::Load || aOp == OrderOp::LoadAdapter;
}

ModelVersion
modelOf(const Order& aOrder)
{
  return { aOrder.model, aOrder.version };
}

} // namespace

std::optional<OrderOp>
orderOp(const std::string& aName)
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
      { aOrder, Stage::Hidden, aNow + mFaults.lateness, false });
    return { 0, true };
  }
  if (mFaults.twice > 0) {
    --mFaults.twice;
    mExecutions.push_back(
      { aOrder, Stage::Hidden, aNow + mFaults.lateness, true });
  }
  return arrive(aOrder, aNow, false);
}

OrderReply
Orders::arrive(const Order& aOrder, base::TimePoint aNow, bool aRepeated)
{
  if (!aRepeated && known(aOrder.id)) {
    return {};
  }
  if (mSettings.honoursFencing && aOrder.fence < mFence) {
    return { 409, false };
  }
  raiseFence(aOrder.fence);
  if (isLoad(aOrder.op) && mSettings.checksMemory &&
      !mAccelerator.fits(aOrder.memoryMb)) {
    record(aOrder.id, OrderState::Failed);
    return { 507, false };
  }
  record(aOrder.id, OrderState::Pending);
  Execution execution{ aOrder, Stage::Working, aNow, aRepeated };
  if (!start(execution, aNow)) {
    record(aOrder.id, OrderState::Failed);
    return {};
  }
  mExecutions.push_back(std::move(execution));
  return {};
}

void
Orders::raiseFence(std::uint64_t aFence)
{
  if (aFence <= mFence) {
    return;
  }
  mFence = aFence;
  if (!mSettings.honoursFencing) {
    return;
  }
  // An order of an earlier holder must not take effect after this point.
  for (auto entry = mExecutions.begin(); entry != mExecutions.end();) {
    if (entry->stage == Stage::Hidden || entry->order.fence >= aFence) {
      ++entry;
      continue;
    }
    abandon(*entry);
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
  if (adapter && !mAccelerator.holds(modelOf(order))) {
    return false;
  }
  const bool taken =
    adapter
      ? mAccelerator.startAdapter(modelOf(order), order.adapter, order.memoryMb)
      : mAccelerator.startModel(modelOf(order), order.memoryMb);
  if (!taken) {
    // Resident already: nothing to do and nothing to undo.
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
                                                     adaptersInFlight() + 1,
                                                     mSettings.adapterLimit)
                                   : mSettings.loadTime);
  return true;
}

bool
Orders::startUnload(Execution& aExecution, base::TimePoint aNow)
{
  const Order& order = aExecution.order;
  if (!mAccelerator.holds(modelOf(order))) {
    return false;
  }
  mAccelerator.mark(modelOf(order), order.adapter, Residence::Unloading);
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
      const bool busy = aBatch.uses(entry->order.model, entry->order.version);
      entry->due = aNow + (busy ? kDrainPeriod : mSettings.unloadTime);
      entry->stage = busy ? Stage::Draining : Stage::Working;
      ++entry;
      continue;
    }
    if (entry->stage == Stage::Hidden) {
      arrivals.push_back(*entry);
    } else {
      finish(*entry);
    }
    entry = mExecutions.erase(entry);
  }
  for (const Execution& arrival : arrivals) {
    arrive(arrival.order, aNow, arrival.repeated);
  }
}

void
Orders::finish(const Execution& aExecution)
{
  const Order& order = aExecution.order;
  if (isLoad(order.op)) {
    mAccelerator.mark(modelOf(order), order.adapter, Residence::Ready);
  } else if (order.op == OrderOp::Unload ||
             order.op == OrderOp::UnloadAdapter) {
    mAccelerator.release(modelOf(order), order.adapter);
    mUnloaded.push_back(
      order.adapter.empty() ? order.model : order.model + ":" + order.adapter);
  } else if (order.op == OrderOp::Role) {
    mRole = order.role;
  }
  record(order.id, OrderState::Done);
}

void
Orders::abandon(const Execution& aExecution)
{
  const Order& order = aExecution.order;
  if (isLoad(order.op)) {
    mAccelerator.release(modelOf(order), order.adapter);
  } else if (order.op == OrderOp::Unload ||
             order.op == OrderOp::UnloadAdapter) {
    mAccelerator.mark(modelOf(order), order.adapter, Residence::Ready);
  }
  record(order.id, OrderState::Failed);
}

std::vector<Order>
Orders::takeFetches()
{
  return std::exchange(mFetches, {});
}

std::vector<std::string>
Orders::takeUnloaded()
{
  return std::exchange(mUnloaded, {});
}

void
Orders::fetched(const std::string& aId, bool aDelivered, base::TimePoint aNow)
{
  const auto entry = std::find_if(
    mExecutions.begin(), mExecutions.end(), [&](const Execution& aExecution) {
      return aExecution.order.id == aId && aExecution.stage == Stage::Fetching;
    });
  if (entry == mExecutions.end()) {
    return;
  }
  if (!aDelivered) {
    abandon(*entry);
    mExecutions.erase(entry);
    return;
  }
  entry->stage = Stage::Working;
  // The weights store already took the time that an adapter needs.
  entry->due =
    aNow + (entry->order.op == OrderOp::LoadAdapter ? base::Duration::zero()
                                                    : mSettings.loadTime);
}

std::optional<base::TimePoint>
Orders::due() const
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
  if (mRecords.size() > kKeptRecords) {
    mRecords.pop_front();
  }
}

bool
Orders::known(const std::string& aId) const
{
  return std::any_of(
    mRecords.begin(), mRecords.end(), [&](const OrderRecord& aRecord) {
      return aRecord.id == aId;
    });
}

int
Orders::adaptersInFlight() const
{
  return static_cast<int>(std::count_if(
    mExecutions.begin(), mExecutions.end(), [](const Execution& aExecution) {
      return aExecution.order.op == OrderOp::LoadAdapter &&
             aExecution.stage == Stage::Working;
    }));
}

} // namespace marigold::standin
