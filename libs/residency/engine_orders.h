/** @file What the owner of orders knows of an engine beyond its record. */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"
#include "catalog/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigold::residency {

struct Engine;
struct PlannedOrder;

/** Models with the adapters that an engine holds of each. */
using HeldModels = std::map<base::ModelName, std::set<std::string>>;

/** State of an engine by its own report, which may be some tenths of a second
 * old. */
struct EngineReport
{
  bool orderRunning = false;
  std::uint64_t orderCount = 0; ///< orders accepted since its start
  HeldModels models;
};

/** How the call that carried an order has ended. */
enum class OrderEnd : std::uint8_t
{
  Started,        ///< accepted, execution has started
  AlreadyApplied, ///< the engine was in this state already
  Refused,        ///< or sent to another upstream
  NotSent,
  Unanswered, ///< it may take effect now or later
};

/**
 * State that the owner of orders keeps for one process of an engine. The
 * engine executes an order only if it has accepted as many orders as the order
 * says, so an order that is late takes effect only on the state that it was
 * planned for. Memory counts as used for all that may be in it: what the record
 * or the latest report names, and what outstanding orders may load.
 */
class EngineOrders
{
public:
  /** @param aNow time @return true if its report should be requested */
  bool wantsReport(base::TimePoint aNow) const;

  /** Notes the start of the call for its report. */
  void reportRequested() { mCallInProgress = true; }

  /** Notes the end of the call for its report. @param aNow time */
  void reportCallEnded(base::TimePoint aNow);

  /** @param aReport report of the process @param aNow time */
  void onReport(const EngineReport& aReport, base::TimePoint aNow);

  /**
   * Detects the end of orders by the engine's record, or by their timeout.
   * @param aModels models in the record
   * @param aSpec engines of the service @param aNow time
   */
  void onRecord(const HeldModels& aModels,
                const catalog::EngineSpec& aSpec,
                base::TimePoint aNow);

  /** @param aOrder order that is being sent @param aNow time */
  void orderSent(const PlannedOrder& aOrder, base::TimePoint aNow);

  /** @param aOrder the order @param aEnd how its call has ended
   * @param aNow time */
  void orderEnded(const PlannedOrder& aOrder,
                  OrderEnd aEnd,
                  base::TimePoint aNow);

  /** Completes the view of an engine for a plan.
   * @param aModels models in its record @param aNow time
   * @param aEngine view, of which models, loading, unloading, recentlyLoaded
   * and orderable are set */
  void describe(const HeldModels& aModels,
                base::TimePoint aNow,
                Engine& aEngine) const;

  /** @return number of orders that the engine must still have accepted when it
   * gets the next one */
  std::uint64_t orderCount() const { return mOrderCount; }

  /** @return models of the latest report with their adapters, and adapters
   * loaded since */
  const HeldModels& adapters() const { return mAdapters; }

  /** @return model of the unload in progress */
  const std::optional<base::ModelName>& unloading() const { return mUnloading; }

private:
  void applyAdapterOrder(const PlannedOrder& aOrder, base::TimePoint aNow);
  bool holdsAdapter(const catalog::ModelRef& aTarget) const;
  void requireReport(base::TimePoint aNow);

  bool mReportReceived = false; ///< a report was received since the takeover
  bool mCallInProgress = false; ///< a report or order call is in progress
  bool mNeedsReport = false;    ///< the order count may differ from mOrderCount
  std::uint64_t mOrderCount = 0;
  HeldModels mAdapters;
  /** Models of the last report, which may be newer than the record. */
  std::set<base::ModelName> mReportedModels;
  base::TimePoint mReportedAt{};
  std::map<catalog::ModelRef, base::TimePoint> mAdapterLoadedAt;
  std::optional<base::ModelName> mLoading;
  base::TimePoint mLoadStarted{};
  std::optional<base::ModelName> mUnloading;
  base::TimePoint mUnloadStarted{};
  base::TimePoint mRetryAt{};
};

} // namespace marigold::residency
