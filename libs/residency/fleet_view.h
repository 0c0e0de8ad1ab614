/** @file Derived figures of a situation, computed once for a plan. */
#pragma once

#include "residency/residency.h"

#include <deque>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigold::residency {

/** A model or an adapter with less work is idle; it needs no places for
 * adapters. */
constexpr double kLeastWorkMs = 1;

/** What a plan needs to know of an adapter. */
struct AdapterFigures
{
  std::string_view name;
  const Demand* demand = nullptr; ///< none: nobody asks for it
  unsigned places = 0;            ///< engines that hold it and stay
};

/** What an engine has of a model. */
struct Trace
{
  std::size_t engine = 0; ///< index in the situation
  bool holds = false;
  bool loading = false;
  bool unloading = false;
  bool inMemory = false; ///< a copy that loads without the weights store
  bool onDisk = false;   ///< likewise
};

/** What a plan needs to know of a model. */
struct ModelFigures
{
  base::ModelName name;
  const catalog::Model* spec = nullptr; ///< none: not configured any more
  unsigned replicas = 0;      ///< engines that hold or get it and stay
  double workMsPerSecond = 0; ///< with the work of its adapters
  unsigned waiting = 0;       ///< requests that wait, without its adapters'
  /** Longest time for which the model or one of its adapters has been asked for
   * without an engine. */
  base::Duration unserved{};
  std::vector<Trace> traces; ///< in the order of the engines
  std::map<std::string_view, AdapterFigures> adapters;

  /** @return work that falls to each replica in ms per second */
  double workPerReplica() const;
};

/** A model that an engine holds, with its adapters there. */
struct HeldModel
{
  ModelFigures* model = nullptr;
  bool unloading = false;
  std::vector<AdapterFigures*> adapters;
};

/** What a plan needs to know of an engine. */
struct EngineFigures
{
  const Engine* engine = nullptr;
  bool mayOrder = false;      ///< it stays and can get an order now
  double loadMsPerSecond = 0; ///< work that falls to it from all it holds
  double freeMb = 0;          ///< memory that is left for weights
  std::size_t adapters = 0;   ///< slots that are taken
  std::vector<HeldModel> held;
};

/** The figures of all engines, models and adapters of a situation, each looked
 * up once, so that a plan compares numbers instead of names. */
class FleetView
{
public:
  explicit FleetView(const PlanInput& aSituation);

  /** @return figures in the order of the situation's engines */
  const std::vector<EngineFigures>& engines() const { return mEngines; }

  /** @return figures of a model, or nothing if nobody has to do with it */
  ModelFigures* find(std::string_view aModel);

  /** @return models of the situation, those of the configuration first and in
   * its order */
  std::deque<ModelFigures>& models() { return mModels; }

  const PlanInput& situation() const { return mSituation; }

private:
  ModelFigures& figures(const base::ModelName& aModel);
  Trace& trace(const base::ModelName& aModel, std::size_t aEngine);
  void addDemand();
  void addEngine(const Engine& aEngine, std::size_t aIndex);
  void sumUp(EngineFigures& aEngine);

  const PlanInput& mSituation;
  std::deque<ModelFigures> mModels; ///< keeps addresses
  std::unordered_map<std::string_view, ModelFigures*> mByName;
  std::vector<EngineFigures> mEngines;
};

} // namespace marigold::residency
