/** @file Tests of the load generator's plan, checks and measures. */
#include "apps/load/answer_check.h"
#include "apps/load/measures.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

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
      - {kind: booking, path: /bookings, repeats: 0.5}
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
streamCheck(const Work& aWork, const std::string& aBody)
{
  AnswerCheck check(aWork, "own");
  check.feed(aBody);
  check.finish(200, true);
  return check;
}

} // namespace

TEST_GROUP(Load){};

// Guards against runs that cannot be repeated, and rates that ignore the shape.
TEST(Load, PlanIsDeterministicAndFollowsTheShape)
{
  const Scenario one = scenario();
  const auto plan = makePlan(one);
  const auto again = makePlan(one);
  LONGS_EQUAL(plan.size(), again.size());
  std::size_t crewPeak = 0;
  std::size_t crewBase = 0;
  for (std::size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].at == again[index].at);
    CHECK(requestOf(one, plan[index]).body ==
          requestOf(one, again[index]).body);
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

// Guards against bookings without repeats, and repeats that are new bookings.
TEST(Load, RepeatsCarryTheSameIdempotencyKeyAndBody)
{
  const Scenario one = scenario();
  std::map<std::string, std::vector<std::string>> bodies;
  for (const Planned& planned : makePlan(one)) {
    if (!planned.idempotencyKey.empty()) {
      bodies[planned.idempotencyKey].push_back(requestOf(one, planned).body);
    }
  }
  std::size_t repeats = 0;
  for (const auto& [key, sent] : bodies) {
    CHECK(sent.size() <= 2);
    CHECK(sent.front() == sent.back());
    repeats += sent.size() - 1;
  }
  CHECK(repeats > bodies.size() / 4);
}

// Guards against an oracle that takes a broken answer for a whole one.
TEST(Load, BrokenStreamsAreRecognised)
{
  Work work;
  work.kind = Kind::Stream;
  work.tokens = 2;
  const std::string done = "data: [DONE]\n\n";
  const std::string both = token("own", 0) + token("own", 1);
  CHECK(streamCheck(work, both + done).whole());
  CHECK(streamCheck(work, both).cutSilently());
  CHECK(streamCheck(work, token("own", 0) + done).cutSilently());
  CHECK(streamCheck(work, both + token("own", 1) + done).cutSilently());
  CHECK(streamCheck(work, both + done + token("own", 2)).cutSilently());
  CHECK(
    streamCheck(work, token("foreign", 0) + token("own", 1) + done).foreign());
  const AnswerCheck declared = streamCheck(
    work,
    token("own", 0) + "data: {\"error\":{\"code\":\"answer-truncated\"}}\n\n");
  CHECK(!declared.whole() && !declared.cutSilently());
  STRCMP_EQUAL("answer-truncated", declared.code().c_str());
}

// Guards against foreign answers of services that go unnoticed.
TEST(Load, ForeignServiceAnswersAreRecognised)
{
  Work work;
  work.kind = Kind::Lookup;
  AnswerCheck check(work, "own");
  check.feed("{\"reference\":\"other\"}");
  check.finish(200, true);
  CHECK(check.foreign() && !check.whole());
}

// Guards against wrongful refusals that are measured against a wrong bucket.
TEST(Load, ExactBucketAdmitsRateTimesWindowPlusBurst)
{
  const Scenario one = scenario();
  std::vector<Planned> plan(40);
  std::vector<Seen> seen(40);
  for (std::size_t index = 0; index < seen.size(); ++index) {
    seen[index].sent = milliseconds(100) * index;
    seen[index].cost = 10;
  }
  const auto admitted = admittedByExactBucket({ one, plan, seen }, 0);
  // 100 tokens of burst and 10 a second for 3.9 s are worth 13 requests.
  LONGS_EQUAL(13, std::count(admitted.begin(), admitted.end(), true));
  seen[0].code = "rate-exceeded";
  seen[39].code = "rate-exceeded";
  for (const json& line : measure({ one, plan, seen }, {})) {
    if (line["measure"] == "wrongful_refusals") {
      LONGS_EQUAL(1, line["wrongful"].get<int>());
    }
  }
}

// Guards against safety counts that stay zero whatever happens.
TEST(Load, SafetyCountsSeeEachBreach)
{
  const Scenario one = scenario();
  std::vector<Planned> plan(3);
  std::vector<Seen> seen(3);
  plan[0].idempotencyKey = "b1";
  seen[0].outcome = "not-run";
  seen[1].outcome = "not-run";
  seen[1].requestId = "r1";
  seen[2].foreign = true;
  UpstreamRecords records;
  const json booking = { { "headers", { { "idempotency-key", "b1" } } } };
  records.serviceRuns = json::array({ booking, booking });
  records.engineRuns =
    json::array({ { { "headers", { { "X-Request-Id", "r1" } } },
                    { "body", "x mt_crew_secret" } } });
  const SafetyCounts counts = countSafety({ one, plan, seen }, records);
  LONGS_EQUAL(1, counts.doubleRuns);
  LONGS_EQUAL(2, counts.falseNotRun);
  LONGS_EQUAL(1, counts.foreignAnswers);
  LONGS_EQUAL(1, counts.keysSeen);
  LONGS_EQUAL(0, counts.cutAnswers);
}

// Guards against a misspelt key that silently leaves a default in force.
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
