/**
 * @file
 * Public header of the residency library: which models and adapters the engines
 * of a service should hold under the demand of the moment, as the next orders
 * to give. No sockets, no clocks.
 */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"
#include "catalog/types.h"
#include "residency/plan_schedule.h"
#include "residency/store_load_limiter.h"
#include "residency/unserved_tracker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigold::residency {

/** What an engine holds. */
struct Engine
{
  base::UpstreamName name;
  base::DataCentre dataCentre;
  bool draining = false;
  bool orderable = true; ///< false while an order runs or its state is unclear
  std::map<base::ModelName, std::set<std::string>> models; ///< with adapters
  std::set<base::ModelName> loading; ///< loads that run; they take memory too
  /** Unloads that run; the models still take memory but no requests. */
  std::set<base::ModelName> unloading;
  std::set<catalog::ModelRef> recentlyLoaded; ///< adapters loaded a moment ago
  std::set<base::ModelName> cachedInMemory;
  std::set<base::ModelName> cachedOnDisk;
};

/** Demand for a model or an adapter over the whole fleet. */
struct Demand
{
  double workMsPerSecond = 0; ///< engine time that its requests need
  unsigned waiting = 0;       ///< requests that no engine can serve now
  unsigned running = 0;       ///< requests that engines work on
  /** Time for which requests have asked for what no engine holds. */
  base::Duration unserved{};
};

using DemandTable = std::map<catalog::ModelRef, Demand>;

/** One order to give. */
struct PlannedOrder
{
  base::UpstreamName engine;
  bool load = true;
  catalog::ModelRef target;
  bool fromStore = false; ///< takes a load from the weights store
  std::string reason;     ///< for the log

  bool operator==(const PlannedOrder& aOther) const
  {
    return engine == aOther.engine && load == aOther.load &&
           target == aOther.target;
  }
};

/** Everything that a plan depends on. */
struct PlanInput
{
  const catalog::EngineSpec* spec = nullptr;
  std::vector<Engine> engines;
  DemandTable demand;
  unsigned availableStoreLoads =
    0; ///< loads that the weights store still allows
};

/**
 * @param aSituation engines of one service with the demand for their models
 * @return at most one order an engine, the most needed first
 */
std::vector<PlannedOrder>
planModels(const PlanInput& aSituation);

/**
 * @param aSituation as for planModels
 * @return orders for adapters whose requests wait, at most one an engine
 */
std::vector<PlannedOrder>
planAdapters(const PlanInput& aSituation);

/**
 * Fills free adapter slots with adapters that no engine holds, so that the
 * first request for one does not have to wait.
 * @param aSituation as for planModels
 * @return loads, at most one an engine
 */
std::vector<PlannedOrder>
planAdapterPrefetch(const PlanInput& aSituation);

} // namespace marigold::residency
