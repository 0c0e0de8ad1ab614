/** @file Per-engine and per-model statistics computed once per plan. */
#pragma once

#include "residency/residency.h"

#include <deque>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::residency {

/** A model or an adapter with less work, in ms per second, counts as idle and
 * needs no adapter slots. */
constexpr double kIdleMsPerSecond = 1;

/** Demand and replica count of an adapter. */
struct AdapterStats
{
  std::string_view name;
  const Demand* demand = nullptr; ///< null: no requests for it
  unsigned replicas = 0;          ///< engines that hold it and are not draining
  /** Of the replicas, those on engines that neither unload the model nor are
   * impaired. */
  unsigned serving = 0;
  unsigned held = 0; ///< the same, impaired engines included

  /** @param aImpaired whether the engine of one of its replicas is impaired
   * @return the replicas that serve at least as well, that one included */
  unsigned replicasLike(bool aImpaired) const
  {
    return aImpaired ? held : serving;
  }
};

/** State of a model on one engine. */
struct ModelPresence
{
  std::size_t engine = 0; ///< index in PlanInput::engines
  bool holds = false;
  bool loading = false;
  bool unloading = false;
  bool inMemory = false; ///< cached copy that loads without the weights store
  bool onDisk = false;   ///< likewise
};

/** Demand, replicas and adapters of a model. */
struct ModelStats
{
  base::ModelName name;
  const catalog::Model* spec = nullptr; ///< null: no longer configured
  /** Engines that hold or load it and neither drain nor unload it. */
  unsigned replicas = 0;
  /** Of the replicas, those that engines hold already and are not impaired. */
  unsigned serving = 0;
  unsigned held = 0;               ///< the same, impaired engines included
  bool onRestartingEngine = false; ///< a restarting engine held or loaded it
  /** Software of the restarting engines that held it, whose streams broke off.
   */
  std::set<std::uint32_t> brokenSoftware;
  double workMsPerSecond = 0; ///< including its adapters' work
  unsigned waiting = 0;       ///< waiting requests, without its adapters'
  /** Longest Demand::unservedTime of the model and its adapters. */
  base::Duration unservedTime{};
  std::vector<ModelPresence> presences; ///< in the order of the engines
  std::map<std::string_view, AdapterStats> adapters;

  /** @return work of each replica in ms per second */
  double workPerReplica() const;

  /** @param aImpaired whether the engine of one of its replicas is impaired
   * @return the replicas that serve at least as well, that one included */
  unsigned replicasLike(bool aImpaired) const
  {
    return aImpaired ? held : serving;
  }
};

/** A model that an engine holds, with its adapters on that engine. */
struct HeldModel
{
  ModelStats* model = nullptr;
  bool unloading = false;
  std::vector<AdapterStats*> adapters;
};

/** Load, memory and contents of an engine. */
struct EngineStats
{
  const Engine* engine = nullptr;
  bool acceptsOrders = false; ///< not draining, quiet or busy with an order
  double workMsPerSecond = 0; ///< its share of the work of all its models
  double freeMb = 0;          ///< memory available for weights
  std::size_t usedSlots = 0;  ///< occupied adapter slots
  std::vector<HeldModel> held;
};

/** Statistics of all engines, models and adapters of a plan. Each name is
 * looked up once, so that the planners compare pointers and indices. */
class FleetStats
{
public:
  /** @param aInput input of the plan; must outlive this */
  explicit FleetStats(const PlanInput& aInput);

  /** @return statistics in the order of PlanInput::engines */
  const std::vector<EngineStats>& engines() const { return mEngines; }

  /** @return statistics of a model, or nullptr if no engine, demand or
   * configuration names it */
  ModelStats* find(std::string_view aModel);

  /** @return all models, first the configured ones in the order of the
   * configuration */
  std::deque<ModelStats>& models() { return mModels; }

  const PlanInput& input() const { return mInput; }

private:
  ModelStats& modelStats(const base::ModelName& aModel);
  ModelPresence& presenceOn(const base::ModelName& aModel, std::size_t aEngine);
  void addDemand();
  void addEngine(const Engine& aEngine, std::size_t aIndex);
  void computeTotals(EngineStats& aEngine);

  const PlanInput& mInput;
  std::deque<ModelStats> mModels; ///< a deque, so that pointers stay valid
  std::unordered_map<std::string_view, ModelStats*> mByName;
  std::vector<EngineStats> mEngines;
};

} // namespace marigold::residency
