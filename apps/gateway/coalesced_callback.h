/** @file Coalesces several triggers into one run of a callback. */
#pragma once

#include "http/http.h"

#include <algorithm>
#include <functional>

namespace marigold::gateway {

/** Runs a callback once for all triggers since its previous run. */
class CoalescedCallback
{
public:
  /** @param aLoop event loop @param aCallback callback to run */
  CoalescedCallback(http::Loop& aLoop, std::function<void()> aCallback)
    : mLoop(aLoop)
    , mCallback(std::move(aCallback))
  {
  }

  /** Schedules a run unless one is already scheduled.
   * @param aDelay time until the run */
  void trigger(base::Duration aDelay)
  {
    if (mTimer) {
      return;
    }
    mTimer = mLoop.after(std::max(aDelay, base::Duration::zero()), [this] {
      mTimer.reset();
      mCallback();
    });
  }

private:
  http::Loop& mLoop;
  std::function<void()> mCallback;
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
