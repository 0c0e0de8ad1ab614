#include "http/input_timer.h"

#include <utility>

namespace marigold::http {

void
InputTimer::start(Loop& aLoop,
                  base::Duration aDelay,
                  Counter aCounter,
                  std::function<void()> aCallback)
{
  mLoop = &aLoop;
  mCounter = std::move(aCounter);
  mCallback = std::move(aCallback);
  mArrived.reset();
  mIdleRounds = 0;
  arm(aDelay);
}

void
InputTimer::arm(base::Duration aDelay)
{
  mTimer = mLoop->after(aDelay, [this] { expired(); });
}

void
InputTimer::expired()
{
  if (mustWait()) {
    arm(base::Duration::zero());
    return;
  }
  // A copy, because the callback may start or destroy the timer.
  const auto callback = mCallback;
  callback();
}

bool
InputTimer::mustWait()
{
  const auto count = mCounter ? mCounter() : std::nullopt;
  if (!count) {
    return false;
  }
  if (!mArrived) {
    mArrived = count->arrived;
    mHandled = count->handled;
    return true;
  }
  const bool progress = count->handled > mHandled && mHandled < *mArrived;
  mHandled = count->handled;
  mIdleRounds = progress ? 0 : mIdleRounds + 1;
  return mIdleRounds < kMaxIdleRounds;
}

} // namespace marigold::http
