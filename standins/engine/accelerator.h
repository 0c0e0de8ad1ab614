/** @file Accelerator memory with resident models and adapters. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marigold::standin {

/** Lifecycle state of a model or adapter on the accelerator. */
enum class ResidencyState : std::uint8_t
{
  Loading,   ///< memory is allocated, not usable yet
  Ready,     ///< usable
  Unloading, ///< memory is still allocated, no longer usable
};

struct ResidentAdapter
{
  int memoryMb = 0;
  ResidencyState residency = ResidencyState::Ready;
};

struct ResidentModel
{
  int memoryMb = 0;
  ResidencyState residency = ResidencyState::Ready;
  std::uint64_t loadSequence = 0; ///< increases with each load
  std::map<std::string, ResidentAdapter> adapters;
};

/** Name and version of a model. */
using ModelVersion = std::pair<std::string, std::string>;

/**
 * Tracks memory use of models and adapters. Tests use its peak and its count of
 * overcommits as the oracle for "memory is never overcommitted".
 */
class Accelerator
{
public:
  /** @param aMemoryMb size */
  explicit Accelerator(int aMemoryMb)
    : mMemoryMb(aMemoryMb)
  {
  }

  /** @param aMemoryMb additional memory @return true if it fits now */
  bool fits(int aMemoryMb) const { return usedMb() + aMemoryMb <= mMemoryMb; }

  /** Allocates memory for a model. @param aModel model @param aMemoryMb size
   * @return false if it is already allocated */
  bool allocateModel(const ModelVersion& aModel, int aMemoryMb);

  /** Allocates memory for an adapter. @param aModel its model
   * @param aAdapter name
   * @param aMemoryMb its size
   * @return false if the model is missing or the adapter already allocated */
  bool allocateAdapter(const ModelVersion& aModel,
                       const std::string& aAdapter,
                       int aMemoryMb);

  /** Sets the lifecycle state. @param aModel model
   * @param aAdapter adapter, empty for the model
   * @param aResidency new state */
  void setState(const ModelVersion& aModel,
                const std::string& aAdapter,
                ResidencyState aResidency);

  /** Frees memory. @param aModel model @param aAdapter adapter, empty for the
   * model with all its adapters */
  void release(const ModelVersion& aModel, const std::string& aAdapter);

  /** @param aModel name @param aAdapter adapter or empty
   * @return the ready version that was loaded last, absent if none */
  std::optional<std::string> servingVersion(const std::string& aModel,
                                            const std::string& aAdapter) const;

  /** @param aModel model @return true if memory is allocated for it */
  bool contains(const ModelVersion& aModel) const
  {
    return mModels.contains(aModel);
  }

  int usedMb() const;
  int memoryMb() const { return mMemoryMb; }
  int highestMb() const { return mHighestMb; }
  std::uint64_t overcommits() const { return mOvercommits; }
  /** @return model loads so far, including the initial models */
  std::uint64_t loads() const { return mLoads; }
  const std::map<ModelVersion, ResidentModel>& models() const
  {
    return mModels;
  }

private:
  void recordUsage();

  int mMemoryMb;
  int mHighestMb = 0;
  std::uint64_t mOvercommits = 0;
  std::uint64_t mLoads = 0;
  std::map<ModelVersion, ResidentModel> mModels;
};

} // namespace marigold::standin
