#include "residency/plan_schedule.h"

#include <algorithm>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** Reports of the VMs of a data centre come this often, so a plan before the
 * next ones would find the same demand. */
constexpr base::Duration kLeastPause = 100ms;
/** Pause after a plan, as a multiple of its time: the owner also serves
 * callers, who get at least three quarters of its processor time. */
constexpr int kPausePerPlan = 3;
/** A plan that seems to take longer was interrupted by a pause of the process;
 * requests that wait for a model must not wait for several times that. */
constexpr base::Duration kLongestPause = 1s;

} // namespace

base::Duration
PlanSchedule::delay(base::TimePoint aNow) const
{
  return std::max(base::Duration::zero(), mNotBefore - aNow);
}

void
PlanSchedule::recordPlan(base::TimePoint aBegan, base::TimePoint aEnded)
{
  mNotBefore =
    aEnded +
    std::clamp((aEnded - aBegan) * kPausePerPlan, kLeastPause, kLongestPause);
}

} // namespace marigold::residency
