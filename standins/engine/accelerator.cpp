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
Accelerator::recordUse()
{
  const int used = usedMb();
  mHighestMb = std::max(mHighestMb, used);
  if (used > mMemoryMb) {
    ++mOvercommits;
  }
}

bool
Accelerator::startModel(const ModelVersion& aModel, int aMemoryMb)
{
  if (mModels.contains(aModel)) {
    return false;
  }
  mModels[aModel] = { aMemoryMb, Residence::Loading, ++mLoads, {} };
  recordUse();
  return true;
}

bool
Accelerator::startAdapter(const ModelVersion& aModel,
                          const std::string& aAdapter,
                          int aMemoryMb)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end() || model->second.adapters.contains(aAdapter)) {
    return false;
  }
  model->second.adapters[aAdapter] = { aMemoryMb, Residence::Loading };
  recordUse();
  return true;
}

void
Accelerator::mark(const ModelVersion& aModel,
                  const std::string& aAdapter,
                  Residence aResidence)
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end()) {
    return;
  }
  if (aAdapter.empty()) {
    model->second.residence = aResidence;
    return;
  }
  const auto adapter = model->second.adapters.find(aAdapter);
  if (adapter != model->second.adapters.end()) {
    adapter->second.residence = aResidence;
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
Accelerator::serving(const std::string& aModel,
                     const std::string& aAdapter) const
{
  std::optional<std::string> version;
  std::uint64_t latest = 0;
  for (const auto& [name, model] : mModels) {
    if (name.first != aModel || model.residence != Residence::Ready ||
        model.loadedAs < latest) {
      continue;
    }
    const auto adapter = model.adapters.find(aAdapter);
    if (!aAdapter.empty() && (adapter == model.adapters.end() ||
                              adapter->second.residence != Residence::Ready)) {
      continue;
    }
    version = name.second;
    latest = model.loadedAs;
  }
  return version;
}

} // namespace marigold::standin
