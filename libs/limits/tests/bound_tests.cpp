/** @file The fleet against one exact bucket, with and without each mechanism.
 */
#include "model/fuzz.h"

#include <CppUTest/TestHarness.h>

using namespace marigold::limits::model;

namespace {

/** Sequences within which the fuzzer finds each fault with these seeds. */
constexpr int kFaultRuns = 8000;
constexpr Network kReliable{ 0, 0, 0 };

/** A borrower whose clock is slow pauses with a loan of a lender whose clock
 * is fast, and wakes up as the term ends.
 * @return the first violation over a range of lengths of the pause */
std::string
wakeAtEndOfTerm(const Without& aWithout)
{
  for (int pause = 3700; pause < 4200; pause += 5) {
    Scenario scenario;
    scenario.without = aWithout;
    scenario.network = kReliable;
    scenario.clocks = { 1.01, 0.99, 1.01, 1.01, 1.01 };
    scenario.steps = { { Op::Drain, 0, 0 },
                       { Op::Advance, 0, 140 },
                       { Op::Pause, 0, 0 },
                       { Op::Advance, 0, 1000 },
                       { Op::Advance, 0, 1000 },
                       { Op::Advance, 0, 1000 },
                       { Op::Advance, 0, pause - 3140 },
                       { Op::Resume, 0, 0 },
                       { Op::Drain, 1, 0 },
                       { Op::Drain, 2, 0 },
                       { Op::Drain, 3, 0 },
                       { Op::Drain, 4, 0 } };
    const std::string violation = run(scenario);
    if (!violation.empty()) {
      return violation;
    }
  }
  return {};
}

} // namespace

TEST_GROUP(Bound){};

// Guards against any order of faults in which the fleet admits more than the
// limit. fuzz-limits runs more sequences of the same kind.
TEST(Bound, HoldsInRandomSequences)
{
  const FuzzResult result = fuzz(20261204, 500);
  CHECK_TEXT(result.passed, result.failure.c_str());
}

// Guards against an oracle that does not notice a lender that keeps its budget.
TEST(Bound, BreaksWithoutDeduction)
{
  Without without;
  without.deduct = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against an oracle that does not notice a grant that is used twice.
TEST(Bound, BreaksWithoutGrantIds)
{
  Without without;
  without.grantIds = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against an oracle that does not notice two holders of a slot.
TEST(Bound, BreaksWithoutValidity)
{
  Without without;
  without.validity = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against an oracle that does not notice a refund of lost tokens.
TEST(Bound, BreaksWithoutRefundClipping)
{
  Without without;
  without.refundClipping = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against an oracle that does not notice tokens made by a takeover.
TEST(Bound, BreaksWithTokensForANewHolder)
{
  Without without;
  without.zeroTokens = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against an oracle that does not notice the loans of a dead lender.
TEST(Bound, BreaksWithoutSettling)
{
  Without without;
  without.settling = true;
  CHECK_FALSE(fuzz(1, kFaultRuns, without).passed);
}

// Guards against a lender that counts a loan as back while it is still used.
TEST(Bound, NeedsTheReclaimMargin)
{
  Without without;
  STRCMP_EQUAL("", wakeAtEndOfTerm(without).c_str());
  without.reclaimMargin = true;
  CHECK_FALSE(wakeAtEndOfTerm(without).empty());
}
