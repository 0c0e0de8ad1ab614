/** @file Smoothed demand for models in the requests of this VM. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <map>

namespace marigold::gateway {

/**
 * Rates of work by model and adapter. The rate is the larger of a fast and a
 * slow exponentially decaying average, so that a rising demand shows at once
 * and a short pause between requests does not end a demand.
 */
class DemandMeter
{
public:
  /** @param aRef model and adapter of a request
   * @param aWorkMs engine time that it needs, in ms @param aNow time */
  void add(const catalog::ModelRef& aRef, double aWorkMs, base::TimePoint aNow);

  /** @return work in ms per second, by model and adapter */
  std::map<catalog::ModelRef, double> rates(base::TimePoint aNow);

private:
  struct Averages
  {
    double fast = 0;
    double slow = 0;
  };
  void decay(base::TimePoint aNow);

  std::map<catalog::ModelRef, Averages> mAverages;
  base::TimePoint mDecayedAt{};
};

} // namespace marigold::gateway
