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

int
main(int aCount, char** aValues)
{
  // log4cxx and prometheus-cpp keep static state until the process ends, which
  // would be reported as a leak.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
