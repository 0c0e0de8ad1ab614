/** @file Derived figures of a situation, shared by the planners. */
#pragma once

#include "residency/residency.h"

namespace marigold::residency {

/** Counts and loads that a plan looks up often. */
class FleetView
{
public:
  explicit FleetView(const Situation& aSituation);

  /** @return engines that hold or get the model and stay */
  unsigned replicas(const base::ModelName& aModel) const;

  /** @return work of the model and its adapters in ms per second */
  double work(const base::ModelName& aModel) const;

  /** @return requests for the model that wait, without its adapters' */
  unsigned waiting(const base::ModelName& aModel) const;

  /** @return work that falls to each replica of the model */
  double workPerReplica(const base::ModelName& aModel) const;

  /** @return work that falls to an engine from all that it holds */
  double engineLoad(const Engine& aEngine) const;

  /** @return memory for weights that an engine has left in MB */
  double freeMb(const Engine& aEngine) const;

  const Situation& situation() const { return mSituation; }

private:
  const Situation& mSituation;
  std::map<base::ModelName, unsigned> mReplicas;
  std::map<base::ModelName, double> mWork;
  std::map<base::ModelName, unsigned> mWaiting;
};

} // namespace marigold::residency
