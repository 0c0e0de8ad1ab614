/** @file Tests of the limits library. */
#include "model/fuzz.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

int
main(int aCount, char** aValues)
{
  // rapidcheck keeps objects from its first run, which the leak check of the
  // tests would count; they are made here.
  marigold::limits::model::fuzz(1, 1);
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
