/** @file Accelerator memory with resident models and adapters. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marigold::standin {

/** Where a model or adapter is in its life on the accelerator. */
enum class Residence : std::uint8_t
{
  Loading,   ///< memory is taken, not usable yet
  Ready,     ///< usable
  Unloading, ///< memory is still taken, no longer usable
};

struct ResidentAdapter
{
  int memoryMb = 0;
  Residence residence = Residence::Ready;
};

struct ResidentModel
{
  int memoryMb = 0;
  Residence residence = Residence::Ready;
  std::uint64_t loadedAs = 0; ///< rises with each load
  std::map<std::string, ResidentAdapter> adapters;
};

/** Name and version of a model. */
using ModelVersion = std::pair<std::string, std::string>;

/** Keeps its own record of memory over every instant, as the oracle of P1. */
class Accelerator
{
public:
  /** @param aMemoryMb size */
  explicit Accelerator(int aMemoryMb)
    : mMemoryMb(aMemoryMb)
  {
  }

  /** @param aMemoryMb further memory @return true if it fits now */
  bool fits(int aMemoryMb) const { return usedMb() + aMemoryMb <= mMemoryMb; }

  /** Takes memory for a model. @param aModel model @param aMemoryMb its size
   * @return false if it was resident already */
  bool startModel(const ModelVersion& aModel, int aMemoryMb);

  /** Takes memory for an adapter. @param aModel its model @param aAdapter name
   * @param aMemoryMb its size
   * @return false if the model is missing or the adapter was resident */
  bool startAdapter(const ModelVersion& aModel,
                    const std::string& aAdapter,
                    int aMemoryMb);

  /** @param aModel model @param aAdapter adapter, empty for the model
   * @param aResidence new place in its life */
  void mark(const ModelVersion& aModel,
            const std::string& aAdapter,
            Residence aResidence);

  /** Frees memory. @param aModel model @param aAdapter adapter, empty for the
   * model with all its adapters */
  void release(const ModelVersion& aModel, const std::string& aAdapter);

  /** @param aModel name @param aAdapter adapter or empty
   * @return the version that serves it: the one loaded last */
  std::optional<std::string> serving(const std::string& aModel,
                                     const std::string& aAdapter) const;

  /** @param aModel model @return true if it or a load of it takes memory */
  bool holds(const ModelVersion& aModel) const
  {
    return mModels.contains(aModel);
  }

  int usedMb() const;
  int memoryMb() const { return mMemoryMb; }
  int highestMb() const { return mHighestMb; }
  std::uint64_t overcommits() const { return mOvercommits; }
  /** @return loads of models so far, those at the start included */
  std::uint64_t loads() const { return mLoads; }
  const std::map<ModelVersion, ResidentModel>& models() const
  {
    return mModels;
  }

private:
  void recordUse();

  int mMemoryMb;
  int mHighestMb = 0;
  std::uint64_t mOvercommits = 0;
  std::uint64_t mLoads = 0;
  std::map<ModelVersion, ResidentModel> mModels;
};

} // namespace marigold::standin
