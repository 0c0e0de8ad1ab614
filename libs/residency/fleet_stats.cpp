#include "residency/fleet_stats.h"

#include <algorithm>

namespace marigold::residency {

double
ModelStats::workPerReplica() const
{
  return workMsPerSecond / std::max(1U, replicas);
}

FleetStats::FleetStats(const PlanInput& aInput)
  : mInput(aInput)
{
  mByName.reserve(2 * aInput.spec->models.size());
  for (const auto& [name, model] : aInput.spec->models) {
    modelStats(name).spec = &model;
  }
  addDemand();
  mEngines.reserve(aInput.engines.size());
  for (std::size_t i = 0; i < aInput.engines.size(); ++i) {
    addEngine(aInput.engines[i], i);
  }
  for (EngineStats& engine : mEngines) {
    computeTotals(engine);
  }
}

ModelStats*
FleetStats::find(std::string_view aModel)
{
  const auto found = mByName.find(aModel);
  return found == mByName.end() ? nullptr : found->second;
}

ModelStats&
FleetStats::modelStats(const base::ModelName& aModel)
{
  if (ModelStats* known = find(aModel)) {
    return *known;
  }
  ModelStats& added = mModels.emplace_back();
  added.name = aModel;
  mByName.emplace(added.name, &added);
  return added;
}

ModelPresence&
FleetStats::presenceOn(const base::ModelName& aModel, std::size_t aEngine)
{
  std::vector<ModelPresence>& presences = modelStats(aModel).presences;
  if (presences.empty() || presences.back().engine != aEngine) {
    presences.emplace_back().engine = aEngine;
  }
  return presences.back();
}

void
FleetStats::addDemand()
{
  ModelStats* model = nullptr;
  for (const auto& [ref, demand] : mInput.demand) {
    if (model == nullptr || model->name != ref.model) {
      model = &modelStats(ref.model);
    }
    model->workMsPerSecond += demand.workMsPerSecond;
    model->unservedTime = std::max(model->unservedTime, demand.unservedTime);
    if (ref.adapter.empty()) {
      model->waiting += demand.waiting;
      continue;
    }
    model->adapters[ref.adapter] = { ref.adapter, &demand, 0 };
  }
}

void
FleetStats::addEngine(const Engine& aEngine, std::size_t aIndex)
{
  EngineStats& added = mEngines.emplace_back();
  added.engine = &aEngine;
  added.acceptsOrders =
    !aEngine.draining && !aEngine.quiet && aEngine.orderable;
  for (const auto& [name, adapters] : aEngine.models) {
    ModelStats& model = modelStats(name);
    HeldModel& held = added.held.emplace_back();
    held.model = &model;
    held.unloading = aEngine.unloading.contains(name);
    ModelPresence& presence = presenceOn(name, aIndex);
    presence.holds = true;
    presence.unloading = held.unloading;
    const unsigned usable = aEngine.draining || held.unloading ? 0U : 1U;
    const unsigned serving = aEngine.impaired ? 0U : usable;
    model.replicas += usable;
    model.held += usable;
    model.serving += serving;
    model.onRestartingEngine |= aEngine.restarting;
    if (aEngine.restarting) {
      model.brokenSoftware.insert(aEngine.software);
    }
    added.usedSlots += adapters.size();
    for (const std::string& adapter : adapters) {
      AdapterStats& stats = model.adapters[adapter];
      stats.name = adapter;
      stats.replicas += aEngine.draining ? 0U : 1U;
      stats.held += usable;
      stats.serving += serving;
      held.adapters.push_back(&stats);
    }
  }
  for (const base::ModelName& name : aEngine.loading) {
    presenceOn(name, aIndex).loading = true;
    modelStats(name).onRestartingEngine |= aEngine.restarting;
    modelStats(name).replicas +=
      aEngine.draining || aEngine.models.contains(name) ? 0U : 1U;
  }
  for (const base::ModelName& name : aEngine.cachedInMemory) {
    presenceOn(name, aIndex).inMemory = true;
  }
  for (const base::ModelName& name : aEngine.cachedOnDisk) {
    presenceOn(name, aIndex).onDisk = true;
  }
}

void
FleetStats::computeTotals(EngineStats& aEngine)
{
  const catalog::EngineSpec& spec = *mInput.spec;
  double largestAdapterMb = 0;
  aEngine.freeMb = spec.weightsMb;
  const auto addModel = [&](const ModelStats& aModel, bool aUnloading) {
    aEngine.workMsPerSecond += aUnloading ? 0 : aModel.workPerReplica();
    // The size of a model that is no longer configured is unknown, so the
    // engine counts as full.
    aEngine.freeMb -=
      aModel.spec == nullptr ? spec.weightsMb : aModel.spec->weightsMb;
    if (aModel.spec != nullptr) {
      largestAdapterMb = std::max(largestAdapterMb, aModel.spec->adapterMb);
    }
  };
  for (const HeldModel& held : aEngine.held) {
    addModel(*held.model, held.unloading);
  }
  for (const base::ModelName& model : aEngine.engine->loading) {
    if (!aEngine.engine->models.contains(model)) {
      addModel(modelStats(model), false);
    }
  }
  // Reserve memory for all adapter slots, so that loading an adapter never
  // requires evicting a model.
  aEngine.freeMb -= largestAdapterMb * spec.adapterSlots;
}

} // namespace marigold::residency
