/** @file Tests of the base library. */
#include "base/base.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold::base;

TEST_GROUP(Base){};

// Guards against a changed hash function, with which VMs of different versions
// would assign a key to different owners.
TEST(Base, DigestsMatchPublishedVectors)
{
  STRCMP_EQUAL(
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
    sha256Hex("abc").c_str());
  UNSIGNED_LONGLONGS_EQUAL(0xEF46DB3751D8E999ULL, hash64(""));
}

// Guards against assignments that change when an unrelated name is removed.
TEST(Base, RendezvousOrderIsStableUnderRemoval)
{
  const auto all = rendezvousOrder("key-7", { "vm-a", "vm-b", "vm-c" });
  const auto fewer = rendezvousOrder("key-7", { all[2], all[0] });
  STRCMP_EQUAL(all[0].c_str(), fewer[0].c_str());
  STRCMP_EQUAL(all[2].c_str(), fewer[1].c_str());
}

// Guards against an error that loses its code when it is captured.
TEST(Base, CaptureKeepsCodeAndMessage)
{
  const auto outcome = capture(
    []() -> Result<int> { return fail(Code::NotFound, "no such key"); });
  CHECK(std::holds_alternative<Error>(outcome));
  CHECK(std::get<Error>(outcome).code == Code::NotFound);
  STRCMP_EQUAL("no such key", std::get<Error>(outcome).message.c_str());
}

// Guards against a code that is missing in the table.
TEST(Base, CodesHaveTheirStatusAndOutcome)
{
  LONGS_EQUAL(429, codeInfo(Code::RateExceeded).httpStatus);
  CHECK(codeInfo(Code::RateExceeded).outcome == Outcome::NotRun);
  CHECK(codeInfo(Code::OutcomeUnknown).outcome == Outcome::Unknown);
}

// Many long bodies arrive at once. Guards against bodies that leave no memory
// for what becomes of them.
TEST(Base, MemoryBudgetKeepsRoomBesideBodies)
{
  MemoryBudget budget;
  CHECK(budget.admitsBody(1'000'000'000));
  budget.setLimit(300);
  MemoryCharge first(budget);
  first.set(150);
  CHECK(budget.admitsBody(50));
  CHECK(!budget.admitsBody(51));
  CHECK(budget.admitsCopy(150));
  CHECK(!budget.tight());
  {
    MemoryCharge second(budget);
    second.set(200);
    CHECK(budget.tight());
    CHECK(!budget.admitsBody(0));
    CHECK(!budget.admitsCopy(0));
  }
  first.set(100);
  LONGS_EQUAL(100, budget.used());
  CHECK(budget.admitsBody(100));
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
