/**
 * @file
 * Public header of the residency library. It decides which models and adapters
 * the engines of a service load and unload for the current demand. It uses
 * neither sockets nor clocks.
 */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"
#include "catalog/types.h"
#include "residency/engine_orders.h"
#include "residency/order_ownership.h"
#include "residency/plan_schedule.h"
#include "residency/store_load_limiter.h"
#include "residency/unserved_tracker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigold::residency {

/** The models and adapters that an engine holds, loads and unloads. */
struct Engine
{
  base::UpstreamName name;
  base::DataCentre dataCentre;
  bool draining = false; ///< gets no orders; its replicas do not count
  /** Its process has ended, so it counts as draining too. The next one is soon
   * there, empty but with the same disk. */
  bool restarting = false;
  /** Its answers do not serve its callers: errors, rejections or silence. Its
   * replicas count when a plan asks whether a further one is needed, since the
   * trouble may soon end, but none of them replaces one that serves. */
  bool impaired = false;
  /** Equal on engines that may continue each other's streams. */
  std::uint32_t software = 0;
  bool orderable = true; ///< false while an order runs or its state is unknown
  bool quiet = false;    ///< has asked for a time without orders, and gets none
  /** Models in the engine's record, each with its resident adapters. */
  std::map<base::ModelName, std::set<std::string>> models;
  std::set<base::ModelName> loading; ///< loads in progress; they use memory too
  /** Unloads in progress; the models still use memory but get no requests. */
  std::set<base::ModelName> unloading;
  std::set<catalog::ModelRef> recentlyLoaded; ///< adapters exempt from eviction
  std::set<base::ModelName> cachedInMemory;   ///< weights cached in host memory
  std::set<base::ModelName> cachedOnDisk;     ///< weights cached on local disk
};

/** Demand for a model or an adapter across the whole fleet. */
struct Demand
{
  double workMsPerSecond = 0; ///< engine time that its requests need
  unsigned waiting = 0;       ///< requests that no engine can serve now
  unsigned running = 0;       ///< requests that engines are processing
  /** Time since its first request that found no engine holding it. */
  base::Duration unservedTime{};
  /** Requests that wait to continue a stream, by Engine::software. */
  std::map<std::uint32_t, unsigned> takeUps{};
};

using DemandTable = std::map<catalog::ModelRef, Demand>;

/** A load or unload that the plan asks an engine to perform. */
struct PlannedOrder
{
  base::UpstreamName engine;
  bool load = true;         ///< false: unload
  catalog::ModelRef target; ///< a model, or an adapter of a model
  bool fromStore = false;   ///< consumes a load of the weights store's limit
  std::string reason;       ///< for the log

  bool operator==(const PlannedOrder& aOther) const
  {
    return engine == aOther.engine && load == aOther.load &&
           target == aOther.target;
  }
};

/** Engines, demand and limits for which a plan is computed. */
struct PlanInput
{
  const catalog::EngineSpec* spec = nullptr;
  std::vector<Engine> engines;
  DemandTable demand;
  unsigned availableStoreLoads = 0; ///< loads the weights store's limit allows
};

/**
 * Plans loads and unloads of models.
 * @param aInput engines of one service and the demand for their models
 * @return at most one order per engine, the most valuable first
 */
std::vector<PlannedOrder>
planModels(const PlanInput& aInput);

/**
 * Plans loads of adapters that are in demand, and the unloads that they need.
 * @param aInput as for planModels
 * @return at most one order per engine, for unserved adapters first, then for
 * second replicas of hot ones
 */
std::vector<PlannedOrder>
planAdapters(const PlanInput& aInput);

/**
 * Prefetches adapters that no engine holds into free adapter slots, so that the
 * first request for one does not wait for a load.
 * @param aInput as for planModels
 * @return loads, at most one per engine
 */
std::vector<PlannedOrder>
planAdapterPrefetch(const PlanInput& aInput);

} // namespace marigold::residency
