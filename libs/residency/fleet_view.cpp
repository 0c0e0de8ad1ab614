#include "residency/fleet_view.h"

#include <algorithm>

namespace marigold::residency {

FleetView::FleetView(const Situation& aSituation)
  : mSituation(aSituation)
{
  for (const Engine& engine : aSituation.engines) {
    if (engine.leaving) {
      continue;
    }
    for (const auto& [model, adapters] : engine.models) {
      mReplicas[model] += engine.retiring.contains(model) ? 0U : 1U;
    }
    for (const base::ModelName& model : engine.arriving) {
      mReplicas[model] += engine.models.contains(model) ? 0U : 1U;
    }
  }
  for (const auto& [ref, demand] : aSituation.demand) {
    mWork[ref.model] += demand.workMsPerSecond;
    if (ref.adapter.empty()) {
      mWaiting[ref.model] += demand.waiting;
    }
  }
}

unsigned
FleetView::replicas(const base::ModelName& aModel) const
{
  const auto found = mReplicas.find(aModel);
  return found == mReplicas.end() ? 0 : found->second;
}

double
FleetView::work(const base::ModelName& aModel) const
{
  const auto found = mWork.find(aModel);
  return found == mWork.end() ? 0 : found->second;
}

unsigned
FleetView::waiting(const base::ModelName& aModel) const
{
  const auto found = mWaiting.find(aModel);
  return found == mWaiting.end() ? 0 : found->second;
}

double
FleetView::workPerReplica(const base::ModelName& aModel) const
{
  return work(aModel) / std::max(1U, replicas(aModel));
}

double
FleetView::engineLoad(const Engine& aEngine) const
{
  double load = 0;
  for (const auto& [model, adapters] : aEngine.models) {
    load += aEngine.retiring.contains(model) ? 0 : workPerReplica(model);
  }
  for (const base::ModelName& model : aEngine.arriving) {
    load += aEngine.models.contains(model) ? 0 : workPerReplica(model);
  }
  return load;
}

double
FleetView::freeMb(const Engine& aEngine) const
{
  const catalog::EngineSpec& spec = *mSituation.spec;
  double free = spec.weightsMb;
  double largestAdapterMb = 0;
  const auto weights = [&](const base::ModelName& aModel) {
    const auto model = spec.models.find(aModel);
    if (model == spec.models.end()) {
      // A model that the configuration no longer names takes unknown room.
      return spec.weightsMb;
    }
    largestAdapterMb = std::max(largestAdapterMb, model->second.adapterMb);
    return model->second.weightsMb;
  };
  for (const auto& [model, adapters] : aEngine.models) {
    free -= weights(model);
  }
  for (const base::ModelName& model : aEngine.arriving) {
    free -= aEngine.models.contains(model) ? 0 : weights(model);
  }
  // All adapter slots are kept free, so that an adapter never has to wait for
  // a model to leave.
  return free - largestAdapterMb * spec.adapterSlots;
}

} // namespace marigold::residency
