/** @file Execution of orders: fencing, durations and injected faults. */
#pragma once

#include "base/time.h"
#include "standins/engine/accelerator.h"
#include "standins/engine/batch.h"

#include <deque>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::standin {

enum class OrderOp : std::uint8_t
{
  Load,
  Unload,
  LoadAdapter,
  UnloadAdapter,
  Role,
  Fence,
};

/** @param aName name in the protocol @return the operation, absent if unknown
 */
std::optional<OrderOp>
parseOrderOp(const std::string& aName);

struct Order
{
  std::string id;
  std::uint64_t fence = 0;
  OrderOp op = OrderOp::Load;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;
  int memoryMb = 0;
};

struct OrderSettings
{
  bool enforcesFencing = true;
  bool checksMemory = true; ///< false: loads that do not fit overcommit memory
  bool usesWeights = false; ///< loads wait for onWeightsFetched()
  base::Duration loadTime = std::chrono::milliseconds(500);
  base::Duration unloadTime = std::chrono::milliseconds(50);
  base::Duration roleTime = std::chrono::milliseconds(100);
  int adapterLimit =
    90; ///< concurrent adapter loads above which they slow down
};

/** Faults of the next orders; each count drops by one per affected order. */
struct OrderFaults
{
  int lose = 0;  ///< never arrive, the sender gets no response
  int late = 0;  ///< arrive after lateDelay, the sender gets no response
  int twice = 0; ///< execute immediately and again after lateDelay
  base::Duration lateDelay = std::chrono::seconds(2);
};

enum class OrderState : std::uint8_t
{
  Pending,
  Done,
  Failed,
};

/** Response to the sender of an order. */
struct OrderReply
{
  int status = 202;
  bool dropsConnection = false; ///< close the connection without a response
};

/** Order state as shown in the load report. */
struct OrderRecord
{
  std::string id;
  OrderState state = OrderState::Pending;
};

/**
 * Executes orders on an accelerator. The owner calls advance() at
 * nextDueTime().
 */
class Orders
{
public:
  /** Maximum number of orders that the load report shows. */
  static constexpr std::size_t kMaxRecords = 256;

  Orders(OrderSettings aSettings, Accelerator& aAccelerator)
    : mSettings(aSettings)
    , mAccelerator(aAccelerator)
  {
  }

  /** @param aFaults faults of the next orders */
  void setFaults(const OrderFaults& aFaults) { mFaults = aFaults; }

  /** @param aOrder received order @param aNow time @return the response */
  OrderReply accept(const Order& aOrder, base::TimePoint aNow);

  /** Advances all orders that are due. @param aBatch running requests, which
   * delay an unload of their model
   * @param aNow time */
  void advance(const Batch& aBatch, base::TimePoint aNow);

  /** @return loads that need a fetch of weights; each is returned once */
  std::vector<Order> takePendingFetches();

  /** Continues a load after its fetch. @param aId order
   * @param aDelivered false if the fetch failed
   * @param aNow time */
  void onWeightsFetched(const std::string& aId,
                        bool aDelivered,
                        base::TimePoint aNow);

  /** @return time of the next advance(), absent if nothing is pending */
  std::optional<base::TimePoint> nextDueTime() const;

  /** @return models unloaded since the last call; their cached prefixes are
   * invalid */
  std::vector<std::string> takeUnloadedModels();

  std::uint64_t fence() const { return mFence; }
  const std::string& role() const { return mRole; }
  const std::deque<OrderRecord>& records() const { return mRecords; }

private:
  enum class Stage : std::uint8_t
  {
    Delayed,   ///< delivery is delayed by a fault
    Fetching,  ///< waits for its weights
    Executing, ///< completes at due
    Draining,  ///< unload waits for the requests of its model
  };

  struct Execution
  {
    Order order;
    Stage stage = Stage::Delayed;
    base::TimePoint due{};
    bool duplicate =
      false; ///< second execution of an order, injected by a fault
  };

  OrderReply process(const Order& aOrder,
                     base::TimePoint aNow,
                     bool aDuplicate);
  void advanceFence(std::uint64_t aFence);
  bool start(Execution& aExecution, base::TimePoint aNow);
  bool startLoad(Execution& aExecution, base::TimePoint aNow);
  bool startUnload(Execution& aExecution, base::TimePoint aNow);
  void finish(const Execution& aExecution);
  void rollBack(const Execution& aExecution);
  void record(const std::string& aId, OrderState aState);
  bool isKnown(const std::string& aId) const;
  int adapterLoadsInFlight() const;

  OrderSettings mSettings;
  Accelerator& mAccelerator;
  OrderFaults mFaults;
  std::uint64_t mFence = 0;
  std::string mRole = "general";
  std::list<Execution> mExecutions;
  std::vector<Order> mFetches;
  std::vector<std::string> mUnloaded;
  std::deque<OrderRecord> mRecords;
};

} // namespace marigold::standin
