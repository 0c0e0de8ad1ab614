#include "standins/engine/accelerator.h"

#include <algorithm>

namespace marigold::standin {

int
Accelerator::usedMb() const
{
  int used = 0;
  for (const auto& [name, model] : mModels) {
    used += model.memoryMb;
    for (const auto& [adapter, resident] : model.adapters) {
      used += resident.memoryMb;
    }
  }
  return used;
}

void
Accelerator::recordUsage()
{
  const int used = usedMb();
  mHighestMb = std::max(mHighestMb, used);
  if (used > mMemoryMb) {
    ++mOvercommits;
  }
}

bool
Accelerator::allocateModel(const ModelVersion& aModel, int aMemoryMb)
{
  if (mModels.contains(aModel)) {
    return false;
  }
  mModels[aModel] = { aMemoryMb, ResidencyState::Loading, ++mLoads, {} };
  recordUsage();
  return true;
}

bool
Accelerator::allocateAdapter(const ModelVersion& aModel,
                             const std::string& aAdapter,
                             int aMemoryMb)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end() || model->second.adapters.contains(aAdapter)) {
    return false;
  }
  model->second.adapters[aAdapter] = { aMemoryMb, ResidencyState::Loading };
  recordUsage();
  return true;
}

void
Accelerator::setState(const ModelVersion& aModel,
                      const std::string& aAdapter,
                      ResidencyState aResidency)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return;
  }
  if (aAdapter.empty()) {
    model->second.residency = aResidency;
    return;
  }
  const auto adapter = model->second.adapters.find(aAdapter);
  if (adapter != model->second.adapters.end()) {
    adapter->second.residency = aResidency;
  }
}

void
Accelerator::release(const ModelVersion& aModel, const std::string& aAdapter)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return;
  }
  if (aAdapter.empty()) {
    mModels.erase(model);
  } else {
    model->second.adapters.erase(aAdapter);
  }
}

std::optional<std::string>
Accelerator::servingVersion(const std::string& aModel,
                            const std::string& aAdapter) const
{
  std::optional<std::string> version;
  std::uint64_t latest = 0;
  for (const auto& [name, model] : mModels) {
    if (name.first != aModel || model.residency != ResidencyState::Ready ||
        model.loadSequence < latest) {
      continue;
    }
    const auto adapter = model.adapters.find(aAdapter);
    if (!aAdapter.empty() &&
        (adapter == model.adapters.end() ||
         adapter->second.residency != ResidencyState::Ready)) {
      continue;
    }
    version = name.second;
    latest = model.loadSequence;
  }
  return version;
}

} // namespace marigold::standin
