#include "dispatch/retry_budget.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

/** Fraction of the budget that is used. The rest covers requests that leave the
 * window slightly earlier than the retries that they allowed. */
constexpr double kUsableFraction = 0.8;
/** Part of the share of minRetries that a process has in its first window; what
 * the usable fraction leaves for the process before it. */
constexpr double kFirstWindowPart = (1 - kUsableFraction) / kUsableFraction;

void
dropBefore(std::deque<base::TimePoint>& aTimes, base::TimePoint aOldest)
{
  while (!aTimes.empty() && aTimes.front() < aOldest) {
    aTimes.pop_front();
  }
}

} // namespace

void
RetryBudget::dropExpired(Window& aWindow, base::TimePoint aNow) const
{
  dropBefore(aWindow.requests, aNow - mLimits.window);
  dropBefore(aWindow.retries, aNow - mLimits.window);
}

void
RetryBudget::onRequest(const std::string& aService, base::TimePoint aNow)
{
  Window& window = mWindows[aService];
  dropExpired(window, aNow);
  window.requests.push_back(aNow);
}

bool
RetryBudget::tryConsume(const std::string& aService, base::TimePoint aNow)
{
  Window& window = mWindows[aService];
  dropExpired(window, aNow);
  const bool firstWindow = aNow < mStartedAt + mLimits.window;
  const double guaranteed =
    mLimits.minRetries / static_cast<double>(std::max<std::size_t>(mVms, 1)) *
    (firstWindow ? kFirstWindowPart : 1);
  const double earned =
    mLimits.ratio * static_cast<double>(window.requests.size());
  if (static_cast<double>(window.retries.size()) + 1 >
      (guaranteed + earned) * kUsableFraction) {
    return false;
  }
  window.retries.push_back(aNow);
  return true;
}

} // namespace marigold::dispatch
