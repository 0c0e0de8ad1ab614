/** @file A token bucket whose refunds leave no more than exact charges would.
 */
#pragma once

#include "base/base.h"

#include <array>
#include <cstdint>

namespace marigold::measure {

/** Time for which refunds are possible after a charge. */
inline constexpr base::Duration kRefundWindow = std::chrono::seconds(64);

/** Resolution of the history that clips refunds. */
inline constexpr base::Duration kHistoryStep = std::chrono::milliseconds(250);

/**
 * Token bucket. The history holds, for each step, the least headroom (capacity
 * minus level). A refund is at most the least headroom since its charge,
 * because a bucket charged only for the used part would have overflowed by the
 * rest.
 */
class TokenBucket
{
public:
  /** Adds the tokens earned since the last call. @param aNow current time;
   * an earlier time than before changes nothing */
  void fill(base::TimePoint aNow);

  /**
   * Sets rate and capacity and cuts the level to the capacity.
   * @param aRate tokens per second @param aCapacity tokens
   */
  void resize(double aRate, double aCapacity);

  /** @param aCost tokens @return false if there are not enough */
  bool take(double aCost);

  /** Adds tokens up to the capacity. @param aTokens tokens */
  void add(double aTokens);

  /**
   * @param aChargedAt time of the charge
   * @param aUnused tokens of the charge that were not used
   * @return tokens that came back after clipping
   */
  double refund(base::TimePoint aChargedAt, double aUnused);

  double rate() const { return mRate; }
  double capacity() const { return mCapacity; }
  double level() const { return mLevel; }
  base::TimePoint filledAt() const { return mFilledAt; }

private:
  struct Step
  {
    std::int64_t number = -1;
    double headroom = 0;
  };
  static constexpr std::size_t kSteps = kRefundWindow / kHistoryStep;

  void note();

  double mRate = 0;
  double mCapacity = 0;
  double mLevel = 0;
  base::TimePoint mFilledAt;
  std::array<Step, kSteps> mHistory{};
};

} // namespace marigold::measure
