/** @file Tests of the load generator's plan, checks and measures. */
#include "apps/load/answer_check.h"
#include "apps/load/measures.h"

// Before CppUTest, whose macros replace operator new.
#include <nlohmann/json.hpp>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <set>

using namespace marigold;
using namespace marigold::load;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kScenario = R"(seed: 7
duration: 20s
accelerators: 2
entries: [127.0.0.1:1, 127.0.0.1:2]
teams:
  - name: crew
    key: mt_crew_secret
    rate: 10
    burst: 100
    shape: {kind: greedy, per_second: 20, peak: 4, at: 5s, width: 5s}
    mix:
      - {kind: stream, model: m, tokens: 3, prefixes: 2, prefix_bytes: 300}
      - {kind: booking, path: /bookings}
  - name: desk
    key: mt_desk_secret
    rate: 10
    burst: 100
    entries: [1]
    shape: {kind: steady, per_second: 10}
    mix:
      - {kind: lookup, path: /pods}
)";

Scenario
scenario()
{
  const auto parsed =
    base::capture([] { return parseScenario(kScenario, "test"); });
  CHECK(base::errorOf(parsed) == nullptr);
  return std::get<Scenario>(parsed);
}

std::string
token(const std::string& aReference, int aIndex)
{
  const json chunk = {
    { "choices",
      { { { "delta",
            { { "content",
                aReference + ".t" + std::to_string(aIndex) + " " } } } } } }
  };
  return "data: " + chunk.dump() + "\n\n";
}

AnswerCheck
streamCheck(const RequestClass& aRequestClass, const std::string& aBody)
{
  AnswerCheck check(aRequestClass, "own");
  check.feed(aBody);
  check.finish(200, true);
  return check;
}

} // namespace

TEST_GROUP(Load){};

// Equal seeds must give equal plans, and the request rate must follow the
// shape.
TEST(Load, PlanIsDeterministicAndFollowsTheShape)
{
  const Scenario testScenario = scenario();
  const auto plan = makePlan(testScenario);
  const auto again = makePlan(testScenario);
  LONGS_EQUAL(plan.size(), again.size());
  std::size_t crewPeak = 0;
  std::size_t crewBase = 0;
  for (std::size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].at == again[index].at);
    CHECK(buildRequest(testScenario, plan[index]).body ==
          buildRequest(testScenario, again[index]).body);
    if (plan[index].team == 1) {
      LONGS_EQUAL(1, plan[index].entry);
      continue;
    }
    const bool peak =
      plan[index].at >= seconds(5) && plan[index].at < seconds(10);
    ++(peak ? crewPeak : crewBase);
  }
  CHECK(crewPeak > 350 && crewPeak < 650);
  CHECK(crewBase > 250 && crewBase < 520);
  Scenario other = scenario();
  other.seed = 8;
  CHECK(makePlan(other).front().at != plan.front().at);
}

// A booking that the plan itself holds twice would count as a double run.
TEST(Load, EveryBookingHasAKeyOfItsOwn)
{
  std::set<std::string> keys;
  std::size_t bookings = 0;
  for (const PlannedRequest& planned : makePlan(scenario())) {
    if (!planned.idempotencyKey.empty()) {
      keys.insert(planned.idempotencyKey);
      ++bookings;
    }
  }
  CHECK(bookings > 100);
  LONGS_EQUAL(bookings, keys.size());
}

// Truncated, reordered or mixed-up streams must not pass the check as whole.
TEST(Load, BrokenStreamsAreRecognised)
{
  RequestClass requestClass;
  requestClass.kind = RequestKind::Stream;
  requestClass.tokens = 2;
  const std::string done = "data: [DONE]\n\n";
  const std::string both = token("own", 0) + token("own", 1);
  CHECK(streamCheck(requestClass, both + done).whole());
  CHECK(streamCheck(requestClass, both).silentlyTruncated());
  CHECK(streamCheck(requestClass, token("own", 0) + done).silentlyTruncated());
  CHECK(streamCheck(requestClass, both + token("own", 1) + done)
          .silentlyTruncated());
  CHECK(streamCheck(requestClass, both + done + token("own", 2))
          .silentlyTruncated());
  CHECK(streamCheck(requestClass, token("foreign", 0) + token("own", 1) + done)
          .foreign());
  const AnswerCheck declared = streamCheck(
    requestClass,
    token("own", 0) + "data: {\"error\":{\"code\":\"answer-truncated\"}}\n\n");
  CHECK(!declared.whole() && !declared.silentlyTruncated());
  STRCMP_EQUAL("answer-truncated", declared.code().c_str());
}

// An answer to another request must be detected for services, too.
TEST(Load, ForeignServiceAnswersAreRecognised)
{
  RequestClass requestClass;
  requestClass.kind = RequestKind::Lookup;
  AnswerCheck check(requestClass, "own");
  check.feed("{\"reference\":\"other\"}");
  check.finish(200, true);
  CHECK(check.foreign() && !check.whole());
}

// Wrongful refusals are counted against this bucket, so it must be exact.
TEST(Load, ExactBucketAdmitsRateTimesWindowPlusBurst)
{
  const Scenario testScenario = scenario();
  std::vector<PlannedRequest> plan(40);
  std::vector<RequestResult> results(40);
  for (std::size_t index = 0; index < results.size(); ++index) {
    results[index].sent = milliseconds(100) * index;
    results[index].cost = 10;
  }
  const auto admitted =
    admittedByExactBucket({ testScenario, plan, results }, 0);
  // 100 tokens of burst and 3.9 s at 10 tokens a second admit 13 requests.
  LONGS_EQUAL(13, std::count(admitted.begin(), admitted.end(), true));
  results[0].code = "rate-exceeded";
  results[39].code = "rate-exceeded";
  for (const json& line : measure({ testScenario, plan, results }, {})) {
    if (line["measure"] == "wrongful_refusals") {
      LONGS_EQUAL(1, line["wrongful"].get<int>());
    }
  }
}

// Guards against safety counts that stay zero despite a violation.
TEST(Load, SafetyCountsSeeEachBreach)
{
  const Scenario testScenario = scenario();
  std::vector<PlannedRequest> plan(3);
  std::vector<RequestResult> results(3);
  plan[0].idempotencyKey = "b1";
  results[0].outcome = "not-run";
  results[1].outcome = "not-run";
  results[1].requestId = "r1";
  results[2].foreign = true;
  UpstreamRecords records;
  const json booking = { { "headers", { { "idempotency-key", "b1" } } } };
  records.serviceRuns = json::array({ booking, booking });
  records.engineRuns =
    json::array({ { { "headers", { { "X-Request-Id", "r1" } } },
                    { "body", "x mt_crew_secret" } } });
  const SafetyCounts counts =
    countSafety({ testScenario, plan, results }, records);
  LONGS_EQUAL(1, counts.doubleRuns);
  LONGS_EQUAL(2, counts.falseNotRun);
  LONGS_EQUAL(1, counts.foreignAnswers);
  LONGS_EQUAL(1, counts.keysSeen);
  LONGS_EQUAL(0, counts.cutAnswers);
}

// A misspelt key must be rejected instead of leaving a default in force.
TEST(Load, UnknownKeysOfAScenarioAreRefused)
{
  const std::string text = std::string(kScenario) + "dureation: 5s\n";
  const auto parsed =
    base::capture([&] { return parseScenario(text, "test"); });
  CHECK(base::errorOf(parsed) != nullptr);
}

int
main(int aCount, char** aValues)
{
  // yaml-cpp allocates static state at its first use.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
