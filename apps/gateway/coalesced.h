/** @file One run of a callback for several triggers. */
#pragma once

#include "http/http.h"

#include <algorithm>
#include <functional>

namespace marigold::gateway {

/** Runs a callback once for all triggers that come before it ran. */
class Coalesced
{
public:
  /** @param aLoop loop @param aCallback what to run */
  Coalesced(http::Loop& aLoop, std::function<void()> aCallback)
    : mLoop(aLoop)
    , mCallback(std::move(aCallback))
  {
  }

  /** @param aDelay time until the run, if none is due yet */
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
