/** @file Which models lack adapter slots at the engines that hold them. */
#pragma once

#include "residency/fleet_view.h"

namespace marigold::residency {

/** The slots of an engine as the adapters in demand share them. */
struct SlotsAt
{
  unsigned open = 0; ///< slots that an adapter without a place can get
  /** Adapters in demand that depend on the engine, in the order of the models
   * that it holds. */
  std::vector<unsigned> usedBy;
};

/** Gives adapters that requests wait for the slots that can be had. */
class SlotShare
{
public:
  /** @param aView figures of the situation; must outlive this */
  explicit SlotShare(FleetView& aView);

  /** @return adapters of the model for which no engine has a slot */
  unsigned lacking(const ModelFigures& aModel) const;

  /** @param aEngine index of an engine @return its slots */
  const SlotsAt& at(std::size_t aEngine) const { return mSlots[aEngine]; }

private:
  void countUsed(std::size_t aEngine);
  void assign();
  bool assignOne(const ModelFigures& aModel);

  FleetView& mView;
  std::vector<SlotsAt> mSlots; ///< by engine
  std::unordered_map<const ModelFigures*, unsigned> mLacking;
};

} // namespace marigold::residency
