/** @file Tests of the observe library. */
#include "observe/observe.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace marigold;

TEST_GROUP(Observe){};

// A metric that is registered twice would appear twice in the output.
TEST(Observe, SameNameAndLabelsReturnTheSameCounter)
{
  observe::Metrics metrics;
  metrics.counter("requests_total", "Requests.", { { "code", "ok" } })
    .Increment();
  metrics.counter("requests_total", "Requests.", { { "code", "ok" } })
    .Increment();
  STRCMP_CONTAINS("requests_total{code=\"ok\"} 2", metrics.serialize().c_str());
}

// A mistyped log level must be an error instead of silently disabling the log.
TEST(Observe, UnknownLogLevelIsRejected)
{
  CHECK_FALSE(observe::startLog("test", "loud"));
}

// Guards against a process that ends by an exception without saying which.
TEST(Observe, ExceptionThatEndsAProgramIsNamed)
{
  std::ostringstream printed;
  std::streambuf* const standardError = std::cerr.rdbuf(printed.rdbuf());
  const int code = observe::runMain(
    []() -> base::Result<int> { throw std::out_of_range("no such team"); });
  std::cerr.rdbuf(standardError);
  LONGS_EQUAL(1, code);
  STRCMP_CONTAINS("exception: no such team", printed.str().c_str());
}

// A burst of failures uses up the budget for lines, and then one request ends
// without a response. Guards against leaving out the only line that tells of
// it.
TEST(Observe, RareLinesAreWrittenBesideABurstOfFailures)
{
  using std::chrono::milliseconds;
  observe::LineBudget budget;
  base::TimePoint now{ std::chrono::seconds(1) };
  unsigned routine = 0;
  unsigned notable = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    routine += budget.take(observe::LineWeight::Routine, now) ? 1 : 0;
    notable += budget.take(observe::LineWeight::Notable, now) ? 1 : 0;
  }
  CHECK(routine < notable);
  CHECK(notable < 300);
  CHECK(budget.take(observe::LineWeight::Rare, now));
  CHECK(budget.refused() > 1000);
  const std::uint64_t refused = budget.refused();
  CHECK(budget.takeRefused() == refused);
  CHECK(budget.takeRefused() == 0);
}

int
main(int aCount, char** aValues)
{
  // log4cxx and prometheus-cpp keep static state until the process ends, which
  // would be reported as a leak.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
