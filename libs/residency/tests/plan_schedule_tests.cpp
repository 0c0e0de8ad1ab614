/** @file Tests of the minimum time between two plans. */
#include "residency/plan_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;

TEST_GROUP(PlanSchedule){
  /** Simulates frequent reports, each of which requests a plan.
   * @param aTime simulated time @param aPlan duration of a plan
   * @return number of plans */
  static unsigned plansIn(base::Duration aTime, base::Duration aPlan){
    constexpr base::Duration kReportInterval = 2ms;
residency::PlanSchedule schedule;
unsigned plans = 0;
const TimePoint end = TimePoint{ 100s } + aTime;
for (TimePoint now{ 100s }; now < end; now += kReportInterval) {
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

// Guards against an owner that plans at each report of 80 VMs with waiting
// requests and so delays its callers and the answers of engines.
TEST(PlanSchedule, FrequentReportsDoNotSaturateTheProcessor)
{
  constexpr base::Duration kTime = 10s;
  constexpr base::Duration kSlowPlan = 160ms;
  const unsigned plans = plansIn(kTime, kSlowPlan);
  CHECK(plans * kSlowPlan <= kTime * 3 / 10);
  CHECK(plans >= 10);
}

// Guards against an owner that sends no orders for many seconds after its
// process was suspended for a few seconds during a plan.
TEST(PlanSchedule, SuspensionDuringAPlanDoesNotDelayTheNextForLong)
{
  residency::PlanSchedule schedule;
  schedule.recordPlan(TimePoint{ 100s }, TimePoint{ 104s });
  CHECK(schedule.delay(TimePoint{ 104s }) <= 1s);
}

// Guards against plans that are repeated before new reports arrive.
TEST(PlanSchedule, QuickPlansRunOncePerReportPeriod)
{
  const unsigned plans = plansIn(10s, 1ms);
  CHECK(plans <= 100);
  CHECK(plans >= 90);
}

// Guards against a request for an unserved adapter that waits for the next
// periodic plan although the owner is idle.
TEST(PlanSchedule, IdleOwnerPlansAtOnce)
{
  residency::PlanSchedule schedule;
  schedule.recordPlan(TimePoint{ 100s }, TimePoint{ 100s } + 5ms);
  CHECK(schedule.delay(TimePoint{ 101s }) == base::Duration::zero());
}
