/** @file Tests of the time between two plans. */
#include "residency/plan_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;

TEST_GROUP(PlanSchedule){
  /** Reports ask for a plan all the time. @return plans that were made, each
   * of which takes the given time */
  static unsigned plansIn(base::Duration aTime, base::Duration aPlan){
    constexpr base::Duration kReportEvery = 2ms;
residency::PlanSchedule schedule;
unsigned plans = 0;
const TimePoint end = TimePoint{ 100s } + aTime;
for (TimePoint now{ 100s }; now < end; now += kReportEvery) {
  if (schedule.delay(now) == base::Duration::zero()) {
    schedule.recordPlan(now, now + aPlan);
    now += aPlan;
    ++plans;
  }
}
return plans;
}
}
;

// Guards against an owner of orders that plans at each report of 80 VMs whose
// requests wait, and so falls behind with its callers and the engines' answers.
TEST(PlanSchedule, ReportsOfWaitingRequestsDoNotTakeTheWholeProcessor)
{
  constexpr base::Duration kTime = 10s;
  constexpr base::Duration kSlowPlan = 160ms;
  const unsigned plans = plansIn(kTime, kSlowPlan);
  CHECK(plans * kSlowPlan <= kTime * 3 / 10);
  CHECK(plans >= 10);
}

// Guards against an owner that gives no orders for many seconds because it was
// stopped for some in the middle of a plan.
TEST(PlanSchedule, PauseOfTheProcessInAPlanIsNotMultiplied)
{
  residency::PlanSchedule schedule;
  schedule.recordPlan(TimePoint{ 100s }, TimePoint{ 104s });
  CHECK(schedule.delay(TimePoint{ 104s }) <= 1s);
}

// Guards against plans that repeat themselves before anything new is known.
TEST(PlanSchedule, QuickPlansFollowTheReports)
{
  const unsigned plans = plansIn(10s, 1ms);
  CHECK(plans <= 100);
  CHECK(plans >= 90);
}

// Guards against a missing adapter that waits for the next regular plan
// although the owner is idle.
TEST(PlanSchedule, FirstReportAfterAPauseIsAnsweredAtOnce)
{
  residency::PlanSchedule schedule;
  schedule.recordPlan(TimePoint{ 100s }, TimePoint{ 100s } + 5ms);
  CHECK(schedule.delay(TimePoint{ 101s }) == base::Duration::zero());
}
