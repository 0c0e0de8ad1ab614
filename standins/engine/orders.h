/** @file Orders of an engine: fencing, durations and faults. */
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
orderOp(const std::string& aName);

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
  bool honoursFencing = true;
  bool checksMemory = true; ///< false: a load that does not fit overcommits
  bool usesWeights = false; ///< loads wait for fetched()
  base::Duration loadTime = std::chrono::milliseconds(500);
  base::Duration unloadTime = std::chrono::milliseconds(50);
  base::Duration roleTime = std::chrono::milliseconds(100);
  int adapterLimit = 90; ///< loads in flight above which they slow down
};

/** Faults of the orders to come; each number counts down. */
struct OrderFaults
{
  int lose = 0;  ///< never arrive
  int late = 0;  ///< arrive after lateness, the sender gets no answer
  int twice = 0; ///< are done at once and again after lateness
  base::Duration lateness = std::chrono::seconds(2);
};

enum class OrderState : std::uint8_t
{
  Pending,
  Done,
  Failed,
};

/** What the sender of an order is told. */
struct OrderReply
{
  int status = 202;
  bool silent = false; ///< the connection breaks without an answer
};

/** An order as the load report shows it. */
struct OrderRecord
{
  std::string id;
  OrderState state = OrderState::Pending;
};

/** Executes orders on an accelerator. The owner calls advance() at due(). */
class Orders
{
public:
  /** Finished orders that the report shows. */
  static constexpr std::size_t kKeptRecords = 256;

  Orders(OrderSettings aSettings, Accelerator& aAccelerator)
    : mSettings(aSettings)
    , mAccelerator(aAccelerator)
  {
  }

  /** @param aFaults faults of the orders to come */
  void setFaults(const OrderFaults& aFaults) { mFaults = aFaults; }

  /** @param aOrder order as it arrives @param aNow time @return the answer */
  OrderReply accept(const Order& aOrder, base::TimePoint aNow);

  /** Starts and ends what is due. @param aBatch requests that hold a model
   * @param aNow time */
  void advance(const Batch& aBatch, base::TimePoint aNow);

  /** @return loads whose weights must be fetched now; each appears once */
  std::vector<Order> takeFetches();

  /** @param aId order @param aDelivered false if the store failed
   * @param aNow time */
  void fetched(const std::string& aId, bool aDelivered, base::TimePoint aNow);

  /** @return when advance() has to run next, absent if nothing is pending */
  std::optional<base::TimePoint> due() const;

  /** @return models whose cached prefixes are void since the last call */
  std::vector<std::string> takeUnloaded();

  std::uint64_t fence() const { return mFence; }
  const std::string& role() const { return mRole; }
  const std::deque<OrderRecord>& records() const { return mRecords; }

private:
  enum class Stage : std::uint8_t
  {
    Hidden,   ///< still on its way
    Fetching, ///< waits for weights
    Working,  ///< ends at due
    Draining, ///< an unload waits for the requests of its model
  };

  struct Execution
  {
    Order order;
    Stage stage = Stage::Hidden;
    base::TimePoint due{};
    bool repeated = false; ///< the second run of an order done twice
  };

  OrderReply arrive(const Order& aOrder, base::TimePoint aNow, bool aRepeated);
  void raiseFence(std::uint64_t aFence);
  bool start(Execution& aExecution, base::TimePoint aNow);
  bool startLoad(Execution& aExecution, base::TimePoint aNow);
  bool startUnload(Execution& aExecution, base::TimePoint aNow);
  void finish(const Execution& aExecution);
  void abandon(const Execution& aExecution);
  void record(const std::string& aId, OrderState aState);
  bool known(const std::string& aId) const;
  int adaptersInFlight() const;

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
