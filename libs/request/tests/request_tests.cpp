/** @file Tests of the request library, with properties from fixed seeds. */
#include "request/request.h"

#include <CppUTest/TestHarness.h>
// CppUTest defines `new` as a macro, which the headers below cannot take.
#undef new
#include <CppUTest/CommandLineTestRunner.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20260117;
constexpr int kRuns = 300;

template<typename Property>
bool
holds(Property aProperty)
{
  rc::detail::TestParams parameters;
  parameters.seed = kSeed;
  parameters.maxSuccess = kRuns;
  const auto result = rc::detail::checkTestable(
    aProperty, rc::detail::TestMetadata(), parameters);
  return result.template is<rc::detail::SuccessResult>();
}

int
below(int aBound)
{
  return *rc::gen::inRange(0, aBound);
}

request::Waiting
waiting(const std::string& aId,
        const std::string& aTeam,
        base::Duration aDeadline,
        double aCost = 10)
{
  return { aId, aTeam, 1, aCost, base::TimePoint(aDeadline), 1s };
}

/** @return true if an in-rate team is served at once beside a flooding one */
bool
floodDoesNotDelay(bool aKnowsRates)
{
  return holds([aKnowsRates] {
    request::ModelQueue queue(20);
    if (aKnowsRates) {
      queue.setRate("calm", 100);
      queue.setRate("flood", 100);
    }
    base::TimePoint now(10s);
    int number = 0;
    for (int step = 0; step < 60; ++step) {
      now += 100ms;
      for (int extra = 0; extra < 3 + below(5); ++extra) {
        queue.offer({ "f" + std::to_string(number++),
                      "flood",
                      1,
                      10,
                      now + std::chrono::seconds(3 + below(5)),
                      1s },
                    now);
      }
      if (step < 30) {
        queue.take(now); // lets the flooding team use its credit up
        queue.take(now);
        queue.take(now);
        continue;
      }
      const auto calm = queue.offer(
        { "calm" + std::to_string(step), "calm", 1, 10, now + 9s, 1s }, now);
      RC_ASSERT(calm.code == base::Code::Ok);
      const auto taken = queue.take(now);
      RC_ASSERT(taken && taken->team == "calm");
    }
  });
}

} // namespace

TEST_GROUP(Request){};

// Guards against delay by a team that sends above its rate.
TEST(Request, FloodDoesNotDelayOthers)
{
  CHECK(floodDoesNotDelay(true));
  CHECK_FALSE(floodDoesNotDelay(false));
}

// Guards against an urgent team that keeps others waiting without end, and
// against a priority that has no effect.
TEST(Request, PriorityGoesFirstButStarvesNobody)
{
  request::ModelQueue queue(100);
  base::TimePoint now(10s);
  queue.offer({ "patient", "b", 1, 1, now + 10s, 1s }, now);
  int served = 0;
  for (; served < 100; ++served) {
    now += 100ms;
    queue.offer({ "u" + std::to_string(served), "a", 0, 1, now + 10s, 1s },
                now);
    if (queue.take(now)->id == "patient") {
      break;
    }
  }
  CHECK(served > 10);
  CHECK(served < 40);
}

// Guards against work on requests that can no longer be answered in time.
TEST(Request, QueueShedsBeforeWorkIsWasted)
{
  request::ModelQueue queue(2);
  const base::TimePoint now(10s);
  CHECK(queue.offer(waiting("late", "t", 10500ms), now).code ==
        base::Code::DeadlineUnreachable);
  queue.offer(waiting("second", "t", 14s), now);
  queue.offer(waiting("first", "t", 12s), now);
  CHECK(queue.offer(waiting("third", "t", 20s), now).code ==
        base::Code::Overloaded);
  const auto shed = queue.shed(now + 1500ms);
  LONGS_EQUAL(1, shed.size());
  CHECK(shed[0].id == "first");
  CHECK(queue.take(now + 1500ms)->id == "second");
  CHECK_FALSE(queue.take(now).has_value());
}

// Guards against traffic to a dead upstream, and against a burst of
// requests on an upstream that has just come back.
TEST(Request, HealthEjectsAndBacksOff)
{
  request::UpstreamHealth health;
  base::TimePoint now(10s);
  health.onFailure(now);
  CHECK(health.usable(now));
  health.onFailure(now);
  CHECK_FALSE(health.usable(now));
  now += request::kFirstBackOff;
  CHECK(health.usable(now));
  health.onSent(now);
  CHECK_FALSE(health.usable(now));
  health.onFailure(now);
  CHECK_FALSE(health.usable(now + request::kFirstBackOff));
  CHECK(health.usable(now + 2 * request::kFirstBackOff));
  health.onConnected();
  CHECK(health.usable(now));
}

int
main(int aCount, char** aValues)
{
  // Objects that rapidcheck keeps for the whole run are made here, before the
  // leak check of the first test starts.
  setenv("RC_PARAMS", ("seed=" + std::to_string(kSeed)).c_str(), 1);
  holds([] { RC_ASSERT(*rc::gen::arbitrary<int>() * 0 == 0); });
  holds([] { RC_ASSERT(below(2) >= 0); });
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
