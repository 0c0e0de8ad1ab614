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
  const auto all = rendezvousOrder("claim-7", { "vm-a", "vm-b", "vm-c" });
  const auto fewer = rendezvousOrder("claim-7", { all[2], all[0] });
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
  constexpr std::size_t kSmall = 16UL * 1024; // always taken and sent
  MemoryBudget budget;
  CHECK(budget.admitsBody(1'000'000'000));
  constexpr std::size_t kUnit = 1024UL * 1024;
  budget.setLimit(300 * kUnit);
  MemoryCharge first(budget);
  first.set(150 * kUnit);
  CHECK(budget.admitsBody(50 * kUnit));
  CHECK(!budget.admitsBody(50 * kUnit + 1));
  CHECK(budget.admitsCopy(150 * kUnit));
  CHECK(!budget.tight());
  {
    MemoryCharge second(budget);
    second.set(200 * kUnit);
    CHECK(budget.tight());
    CHECK(!budget.admitsBody(kSmall + 1));
    CHECK(budget.admitsBody(kSmall));
    CHECK(!budget.admitsCopy(kSmall + 1));
    CHECK(budget.admitsCopy(kSmall));
  }
  first.set(100 * kUnit);
  CHECK(budget.admitsBody(101 * kUnit, kUnit));
  CHECK(!budget.admitsBody(101 * kUnit));
  LONGS_EQUAL(100 * kUnit, budget.used());
  CHECK(budget.admitsBody(100 * kUnit));
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
