#include "residency/plan_schedule.h"

#include <algorithm>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** Period of the reports of the VMs of a data centre; an earlier plan would see
 * the same demand. */
constexpr base::Duration kMinPause = 100ms;
/** Pause after a plan as a multiple of its duration. It leaves at least three
 * quarters of the owner's processor time to its callers. */
constexpr int kPauseFactor = 3;
/** A process that is suspended during a plan measures a long duration; without
 * this limit, requests that wait for a model would wait for a multiple of it.
 */
constexpr base::Duration kMaxPause = 1s;

} // namespace

base::Duration
PlanSchedule::delay(base::TimePoint aNow) const
{
  return std::max(base::Duration::zero(), mNextPlanAt - aNow);
}

void
PlanSchedule::recordPlan(base::TimePoint aBegan, base::TimePoint aEnded)
{
  mNextPlanAt =
    aEnded + std::clamp((aEnded - aBegan) * kPauseFactor, kMinPause, kMaxPause);
}

} // namespace marigold::residency
