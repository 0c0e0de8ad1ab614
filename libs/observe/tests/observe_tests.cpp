/** @file Tests of the observe library. */
#include "observe/observe.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;

TEST_GROUP(Observe){};

// Guards against a metric that is registered twice under one name.
TEST(Observe, SameNameAndLabelsIsTheSameCounter)
{
  observe::Metrics metrics;
  metrics.counter("requests_total", "Requests.", { { "code", "ok" } })
    .Increment();
  metrics.counter("requests_total", "Requests.", { { "code", "ok" } })
    .Increment();
  STRCMP_CONTAINS("requests_total{code=\"ok\"} 2", metrics.serialize().c_str());
}

// Guards against a mistyped log level that silently logs nothing.
TEST(Observe, UnknownLevelIsRejected)
{
  CHECK_FALSE(observe::startLog("test", "loud"));
}

int
main(int aCount, char** aValues)
{
  // log4cxx and prometheus-cpp keep static state until the process ends.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
