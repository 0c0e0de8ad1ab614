/** @file Allocates the adapter slots of the engines to unserved adapters. */
#pragma once

#include "residency/fleet_stats.h"

namespace marigold::residency {

/** Use of an engine's adapter slots. */
struct EngineSlots
{
  unsigned available = 0; ///< slots that unserved adapters can get
  /** Adapters that need a slot of this engine, by index in
   * EngineStats::held. */
  std::vector<unsigned> neededByModel;
};

/** Allocates available slots to unserved adapters and counts the adapters that
 * get none. */
class SlotAllocation
{
public:
  /** @param aFleet statistics of the plan's input; must outlive this */
  explicit SlotAllocation(FleetStats& aFleet);

  /** @return unserved adapters of the model for which no engine has a slot */
  unsigned missing(const ModelStats& aModel) const;

  /** @param aEngine index of an engine @return its slots */
  const EngineSlots& at(std::size_t aEngine) const { return mSlots[aEngine]; }

private:
  void countSlotsInUse(std::size_t aEngine);
  void allocate();
  bool allocateOne(const ModelStats& aModel);

  FleetStats& mFleet;
  std::vector<EngineSlots> mSlots; ///< by engine
  std::unordered_map<const ModelStats*, unsigned> mMissing;
};

} // namespace marigold::residency
