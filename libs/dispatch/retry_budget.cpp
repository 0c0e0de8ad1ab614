#include "dispatch/retry_budget.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

/** Part of the budget that is used; the rest covers requests that leave the
 * window a little earlier than the repeats they paid for. */
constexpr double kUsable = 0.8;

void
forgetBefore(std::deque<base::TimePoint>& aTimes, base::TimePoint aOldest)
{
  while (!aTimes.empty() && aTimes.front() < aOldest) {
    aTimes.pop_front();
  }
}

} // namespace

void
RetryBudget::forgetOld(Window& aWindow, base::TimePoint aNow) const
{
  forgetBefore(aWindow.requests, aNow - mLimits.window);
  forgetBefore(aWindow.repeats, aNow - mLimits.window);
}

void
RetryBudget::onRequest(const std::string& aService, base::TimePoint aNow)
{
  Window& window = mWindows[aService];
  forgetOld(window, aNow);
  window.requests.push_back(aNow);
}

bool
RetryBudget::tryConsume(const std::string& aService, base::TimePoint aNow)
{
  Window& window = mWindows[aService];
  forgetOld(window, aNow);
  const double fixed =
    mLimits.leastExtra / static_cast<double>(std::max<std::size_t>(mVms, 1));
  const double earned =
    mLimits.ratio * static_cast<double>(window.requests.size());
  if (static_cast<double>(window.repeats.size()) + 1 >
      (fixed + earned) * kUsable) {
    return false;
  }
  window.repeats.push_back(aNow);
  return true;
}

} // namespace marigold::dispatch
