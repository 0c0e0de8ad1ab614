/** @file Smoothed demand for models, as this VM sees it. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <map>

namespace marigold::gateway {

/** Rates of work by model and adapter, decaying over a few seconds. */
class DemandMeter
{
public:
  /** @param aRef model of a request @param aWorkMs engine time that it needs */
  void add(const catalog::ModelRef& aRef, double aWorkMs, base::TimePoint aNow);

  /** @return work in ms per second, by model and adapter */
  std::map<catalog::ModelRef, double> rates(base::TimePoint aNow);

private:
  void decay(base::TimePoint aNow);

  std::map<catalog::ModelRef, double> mWork;
  base::TimePoint mDecayed{};
};

} // namespace marigold::gateway
