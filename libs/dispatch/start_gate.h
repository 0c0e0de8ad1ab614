/**
 * @file
 * Load pattern: all VMs restart at once. Callers that found no VM, or lost
 * their answers, are back before the new processes know their configuration and
 * what their peers have admitted.
 */
#pragma once

#include "base/base.h"

#include <optional>

namespace marigold::dispatch {

/**
 * Holds requests that a new process cannot admit yet. A refusal would use up
 * one of the few tries of their callers for want of what the process learns
 * within its first second.
 */
class StartGate
{
public:
  /** @param aAt when this process began to take requests */
  void setStart(base::TimePoint aAt) { mStartedAt = aAt; }

  /**
   * @param aReceivedAt when the request was received
   * @param aDeadlineAt when its caller stops waiting
   * @param aUnit random, 0 to 1; spreads requests that arrived together, so
   * that VMs hear what the others have admitted in between
   * @param aNow time
   * @return delay until the next attempt to admit it, or nothing if it must be
   * refused now
   */
  std::optional<base::Duration> hold(base::TimePoint aReceivedAt,
                                     base::TimePoint aDeadlineAt,
                                     double aUnit,
                                     base::TimePoint aNow) const;

private:
  std::optional<base::TimePoint> mStartedAt;
};

} // namespace marigold::dispatch
