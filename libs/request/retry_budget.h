/** @file Bounds retries to a share of the recent requests. */
#pragma once

#include "base/base.h"

#include <array>

namespace marigold::request {

/** Largest share of the recent requests that may be retried. */
inline constexpr double kRetryShare = 0.1;

/** Retries that a window allows whatever the traffic. One retry a second
 * amplifies nothing, and a quiet VM must survive the loss of an upstream. */
inline constexpr int kLeastRetries = 10;

/** Counts requests and retries of the last ten seconds. */
class RetryBudget
{
public:
  /** @param aNow time of a new request */
  void onRequest(base::TimePoint aNow);

  /** @param aNow current time @return true if a retry may start; it is then
   * counted */
  bool take(base::TimePoint aNow);

private:
  static constexpr std::size_t kSlots = 10;
  static constexpr base::Duration kSlot = std::chrono::seconds(1);

  struct Slot
  {
    std::int64_t number = -1; ///< which second the counts belong to
    int requests = 0;
    int retries = 0;
  };

  Slot& slotAt(base::TimePoint aNow);

  std::array<Slot, kSlots> mSlots;
};

} // namespace marigold::request
