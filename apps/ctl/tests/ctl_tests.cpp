/** @file Tests of the explanation of requests from log lines. */
#include "apps/ctl/explain.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace marigold;
using namespace marigold::ctl;
using namespace std::chrono_literals;

namespace {

std::string
logLine(const std::string& aMilliseconds,
        const std::string& aVm,
        const std::string& aMessage,
        const std::string& aFields)
{
  return R"({ "timestamp": "2026-01-10 20:20:15,)" + aMilliseconds +
         R"(", "level": "INFO", "logger": ")" + aVm + R"(", "message": ")" +
         aMessage + R"(", "context_map": { )" + aFields + " } }\n";
}

Logs
parse(const std::string& aText)
{
  Logs logs;
  std::istringstream input(aText);
  readLogs(input, logs);
  return logs;
}

std::string
story(const Logs& aLogs, const std::string& aId)
{
  const auto text = base::capture([&] { return explainRequest(aLogs, aId); });
  CHECK(base::errorOf(text) == nullptr);
  return std::get<std::string>(text);
}

bool
contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
ended(const std::string& aId,
      const std::string& aOutcome,
      const std::string& aTeam,
      const std::string& aTaken)
{
  return logLine("900",
                 "vm1",
                 "request",
                 R"("id": ")" + aId + R"(", "outcome": ")" + aOutcome +
                   R"(", "team": ")" + aTeam + R"(", "taken_ms": ")" + aTaken +
                   "\"");
}

} // namespace

TEST_GROUP(LogLines){};

// Lines with a time and a VM before the JSON must sort by that time.
TEST(LogLines, ReadsTimeAndVmBeforeTheJson)
{
  const auto line =
    parseLogLine(" -13.5 edge-1 " + logLine("000", "other", "start", ""));
  CHECK(line.has_value());
  CHECK(line->time == -13500ms);
  STRCMP_EQUAL("edge-1", line->vm.c_str());
  STRCMP_EQUAL("start", line->message.c_str());
}

// Plain lines must take time and VM from the JSON.
TEST(LogLines, ReadsPlainLines)
{
  const auto early = parseLogLine(logLine("000", "vm1", "start", ""));
  const auto late = parseLogLine(logLine("250", "vm1", "x", R"("count": 3)"));
  CHECK(early.has_value() && late.has_value());
  CHECK(late->time - early->time == 250ms);
  STRCMP_EQUAL("vm1", late->vm.c_str());
  STRCMP_EQUAL("3", late->field("count").c_str());
}

// Other text in a file, such as a cut line or a report, must not end the run.
TEST(LogLines, SkipsAndCountsOtherLines)
{
  const Logs logs = parse("a report\n\n{ \"timestamp\": \"20\n{ \"a\": 1 }\n" +
                          logLine("000", "vm1", "start", "") + "x vm1 " +
                          logLine("000", "vm1", "start", ""));
  LONGS_EQUAL(1, logs.lines.size());
  LONGS_EQUAL(4, logs.skipped);
}

// A file that cannot be read must be an error, not an empty log.
TEST(LogLines, UnreadableFileIsAnError)
{
  for (const char* file : { "/nowhere/a.log", "/" }) {
    const auto logs = base::capture([&] { return readLogFiles({ file }); });
    const base::Error* error = base::errorOf(logs);
    CHECK(error != nullptr);
    CHECK(error->code == base::Code::FileUnreadable);
    CHECK(contains(error->message, file));
  }
}

TEST_GROUP(Explain)
{
  const std::string day =
    logLine("000", "vm1", "start", "") +
    logLine("100", "vm1", "configuration in force", R"("version": "3")") +
    logLine(
      "150", "vm1", "upstream", R"("upstream": "i-1", "change": "added")") +
    logLine(
      "160", "vm2", "upstream", R"("upstream": "i-1", "change": "gone")") +
    logLine(
      "170", "vm1", "upstream", R"("upstream": "i-2", "change": "added")") +
    logLine("200", "vm1", "configuration store lost", R"("reason": "slow")") +
    logLine("300", "vm3", "order", R"("upstream": "i-1", "what": "m1")") +
    logLine("500", "vm1", "retry", R"("id": "ab", "upstream": "i-1")") +
    logLine("550", "vm1", "event loop late", R"("delay_ms": "40")") +
    logLine(
      "600",
      "vm1",
      "request",
      R"("id": "ab", "outcome": "overloaded", "taken_ms": "200", "new": "n")") +
    logLine("700", "vm1", "configuration store reached", "");
};

// Decisions cannot be judged without the inputs that the VM had and their age.
TEST(Explain, ShowsWhatTheVmKnewAndItsAge)
{
  const std::string text = story(parse(day), "ab");
  CHECK(contains(
    text, "0.300 s old: 2026-01-10 20:20:15,100  vm1  configuration in force"));
  CHECK(contains(text,
                 "0.200 s old: 2026-01-10 20:20:15,200  vm1  configuration "
                 "store lost  reason=slow"));
  CHECK(!contains(text, "configuration store reached"));
}

// The news must be those of the VM that decided, except for orders, which
// only their owner logs.
TEST(Explain, ShowsLastNewsOfTheUpstreamOfAStep)
{
  const std::string text = story(parse(day), "ab");
  CHECK(contains(
    text,
    "0.350 s before: 2026-01-10 20:20:15,150  vm1  upstream  change=added"));
  CHECK(contains(text, "0.200 s before: 2026-01-10 20:20:15,300  vm3  order"));
  CHECK(!contains(text, "change=gone"));
  CHECK(!contains(text, "i-2"));
}

// A delayed event loop must be seen next to the request that it delayed.
TEST(Explain, ShowsEventsOfTheVmMeanwhile)
{
  CHECK(contains(story(parse(day), "ab"), "event loop late  delay_ms=40"));
}

// Fields that this version does not know must be printed.
TEST(Explain, PrintsUnknownFields)
{
  CHECK(contains(story(parse(day), "ab"), "new=n"));
}

// A new process has no news of the previous one.
TEST(Explain, ForgetsNewsAtARestart)
{
  const std::string text =
    story(parse(day + logLine("800", "vm1", "start", "") +
                logLine("900", "vm1", "retry", R"("id": "cd")")),
          "cd");
  CHECK(contains(text, "0.100 s old"));
  CHECK(!contains(text, "old: 2026-01-10 20:20:15,100"));
  CHECK(contains(text, "no line tells of its end"));
}

// A caller that tries again at another VM must be followed there.
TEST(Explain, FollowsARequestOverSeveralVms)
{
  const std::string text =
    story(parse(day + logLine("900", "vm2", "request", R"("id": "ab")")), "ab");
  CHECK(contains(text, "on vm1"));
  CHECK(contains(text, "on vm2"));
  CHECK(text.find("on vm1") < text.find("on vm2"));
}

// The id of a lease must not be taken for a request.
TEST(Explain, UnknownRequestIsAnError)
{
  const Logs logs = parse(
    day +
    logLine("900", "vm1", "lease granted", R"("id": "77", "lease": "x")"));
  for (const char* id : { "77", "", "xy" }) {
    const auto text = base::capture([&] { return explainRequest(logs, id); });
    const base::Error* error = base::errorOf(text);
    CHECK(error != nullptr && error->code == base::Code::NotFound);
  }
}

// The lists are the only way to an id when a caller has none.
TEST(Explain, ListsBySlownessOutcomeAndTeam)
{
  const Logs logs = parse(ended("a1", "ok", "crew", "9") +
                          ended("a2", "rate-exceeded", "desk", "30") +
                          ended("a3", "overloaded", "crew", "200"));
  const std::string slowest = listRequests(logs, { 2, false, {} });
  CHECK(slowest.find("a3") < slowest.find("a2"));
  CHECK(!contains(slowest, "a1"));
  const std::string refused = listRequests(logs, { {}, true, {} });
  CHECK(contains(refused, "a2") && contains(refused, "a3"));
  CHECK(!contains(refused, "a1"));
  const Logs error =
    parse(logLine("900",
                  "vm1",
                  "request",
                  R"("id": "a4", "outcome": "ok", "status": "500")"));
  CHECK(contains(listRequests(error, { {}, true, {} }), "a4"));
  const std::string both = listRequests(logs, { {}, true, "crew" });
  CHECK(contains(both, "a3") && !contains(both, "a2"));
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
