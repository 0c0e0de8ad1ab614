#include "residency/fleet_view.h"

#include <algorithm>

namespace marigold::residency {

double
ModelFigures::workPerReplica() const
{
  return workMsPerSecond / std::max(1U, replicas);
}

FleetView::FleetView(const PlanInput& aSituation)
  : mSituation(aSituation)
{
  mByName.reserve(2 * aSituation.spec->models.size());
  for (const auto& [name, model] : aSituation.spec->models) {
    figures(name).spec = &model;
  }
  addDemand();
  mEngines.reserve(aSituation.engines.size());
  for (std::size_t i = 0; i < aSituation.engines.size(); ++i) {
    addEngine(aSituation.engines[i], i);
  }
  for (EngineFigures& engine : mEngines) {
    sumUp(engine);
  }
}

ModelFigures*
FleetView::find(std::string_view aModel)
{
  const auto found = mByName.find(aModel);
  return found == mByName.end() ? nullptr : found->second;
}

ModelFigures&
FleetView::figures(const base::ModelName& aModel)
{
  if (ModelFigures* known = find(aModel)) {
    return *known;
  }
  ModelFigures& added = mModels.emplace_back();
  added.name = aModel;
  mByName.emplace(added.name, &added);
  return added;
}

Trace&
FleetView::trace(const base::ModelName& aModel, std::size_t aEngine)
{
  std::vector<Trace>& traces = figures(aModel).traces;
  if (traces.empty() || traces.back().engine != aEngine) {
    traces.emplace_back().engine = aEngine;
  }
  return traces.back();
}

void
FleetView::addDemand()
{
  ModelFigures* model = nullptr;
  for (const auto& [ref, demand] : mSituation.demand) {
    if (model == nullptr || model->name != ref.model) {
      model = &figures(ref.model);
    }
    model->workMsPerSecond += demand.workMsPerSecond;
    model->unserved = std::max(model->unserved, demand.unserved);
    if (ref.adapter.empty()) {
      model->waiting += demand.waiting;
      continue;
    }
    model->adapters[ref.adapter] = { ref.adapter, &demand, 0 };
  }
}

void
FleetView::addEngine(const Engine& aEngine, std::size_t aIndex)
{
  EngineFigures& added = mEngines.emplace_back();
  added.engine = &aEngine;
  added.mayOrder = !aEngine.draining && aEngine.orderable;
  for (const auto& [name, adapters] : aEngine.models) {
    ModelFigures& model = figures(name);
    HeldModel& held = added.held.emplace_back();
    held.model = &model;
    held.unloading = aEngine.unloading.contains(name);
    Trace& seen = trace(name, aIndex);
    seen.holds = true;
    seen.unloading = held.unloading;
    model.replicas += aEngine.draining || held.unloading ? 0U : 1U;
    added.adapters += adapters.size();
    for (const std::string& adapter : adapters) {
      AdapterFigures& figures = model.adapters[adapter];
      figures.name = adapter;
      figures.places += aEngine.draining ? 0U : 1U;
      held.adapters.push_back(&figures);
    }
  }
  for (const base::ModelName& name : aEngine.loading) {
    trace(name, aIndex).loading = true;
    figures(name).replicas +=
      aEngine.draining || aEngine.models.contains(name) ? 0U : 1U;
  }
  for (const base::ModelName& name : aEngine.cachedInMemory) {
    trace(name, aIndex).inMemory = true;
  }
  for (const base::ModelName& name : aEngine.cachedOnDisk) {
    trace(name, aIndex).onDisk = true;
  }
}

void
FleetView::sumUp(EngineFigures& aEngine)
{
  const catalog::EngineSpec& spec = *mSituation.spec;
  double largestAdapterMb = 0;
  aEngine.freeMb = spec.weightsMb;
  const auto take = [&](const ModelFigures& aModel, bool aUnloading) {
    aEngine.loadMsPerSecond += aUnloading ? 0 : aModel.workPerReplica();
    // A model that the configuration no longer names takes unknown room.
    aEngine.freeMb -=
      aModel.spec == nullptr ? spec.weightsMb : aModel.spec->weightsMb;
    if (aModel.spec != nullptr) {
      largestAdapterMb = std::max(largestAdapterMb, aModel.spec->adapterMb);
    }
  };
  for (const HeldModel& held : aEngine.held) {
    take(*held.model, held.unloading);
  }
  for (const base::ModelName& model : aEngine.engine->loading) {
    if (!aEngine.engine->models.contains(model)) {
      take(figures(model), false);
    }
  }
  // All adapter slots are kept free, so that an adapter never has to wait for
  // a model to leave.
  aEngine.freeMb -= largestAdapterMb * spec.adapterSlots;
}

} // namespace marigold::residency
