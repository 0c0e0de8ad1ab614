/** @file Recent demand of one team at one VM. */
#pragma once

#include "base/base.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace marigold::limits {

/** Tokens that requests asked for within the last second, less refunds. */
class Demand
{
public:
  /** @param aTokens cost of a request, admitted or not, or minus a refund
   * @param aNow current time */
  void add(double aTokens, base::TimePoint aNow)
  {
    const std::int64_t number = stepOf(aNow);
    Step& step = mSteps[static_cast<std::size_t>(number) % kSteps];
    if (step.number != number) {
      step = { number, 0 };
    }
    step.tokens += aTokens;
  }

  /** @param aNow current time @return tokens per second */
  double perSecond(base::TimePoint aNow) const
  {
    const std::int64_t newest = stepOf(aNow);
    double sum = 0;
    for (const Step& step : mSteps) {
      const bool recent = step.number > newest - std::int64_t{ kSteps };
      sum += recent && step.number <= newest ? step.tokens : 0.0;
    }
    return std::max(0.0, sum);
  }

private:
  struct Step
  {
    std::int64_t number = -1;
    double tokens = 0;
  };
  static constexpr int kSteps = 10;
  static constexpr base::Duration kStep = std::chrono::milliseconds(100);

  static std::int64_t stepOf(base::TimePoint aTime)
  {
    return aTime.time_since_epoch() / kStep;
  }

  std::array<Step, kSteps> mSteps{};
};

} // namespace marigold::limits
