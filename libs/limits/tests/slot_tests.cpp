/** @file Tests of buckets, slots and single decisions of a holder. */
#include "limits/limits.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::limits;
using namespace std::chrono_literals;

namespace {

SlotAnswer
failed(SlotFailure aFailure)
{
  SlotAnswer answer;
  answer.failure = aFailure;
  return answer;
}

} // namespace

TEST_GROUP(Slots)
{
  base::TimePoint now{ 1000s };
  SlotKeeper keeper{ "vm-a", 7 };
  ListedVms listed{ 5, { "vm-a", "vm-b" } };

  SlotCallKind nextKind()
  {
    const auto call = keeper.next(listed, 2, now);
    CHECK(call.has_value());
    return call->kind;
  }

  void claim(const std::vector<SlotEntry>& aSeen)
  {
    CHECK(nextKind() == SlotCallKind::List);
    keeper.answered({ SlotFailure::None, aSeen, "", 0 }, now);
    CHECK(nextKind() == SlotCallKind::GrantLease);
    keeper.answered({ SlotFailure::None, {}, "lease", 0 }, now);
    CHECK(nextKind() == SlotCallKind::Write);
    keeper.answered({ SlotFailure::None, {}, "", 9 }, now);
  }
};

// Guards against a slot that is taken from a holder that may still run.
TEST(Slots, TakeoverNeedsProofThatTheHolderIsGone)
{
  CHECK(mayTakeOver({ "vm-a", 3, 9 }, "vm-a", listed));
  CHECK_FALSE(mayTakeOver({ "vm-b", 3, 4 }, "vm-a", listed));
  CHECK(mayTakeOver({ "vm-c", 3, 5 }, "vm-a", listed));
  CHECK_FALSE(mayTakeOver({ "vm-c", 3, 6 }, "vm-a", listed));
}

// Guards against a VM that takes a slot while others see it as gone.
TEST(Slots, AnUnlistedVmClaimsNothing)
{
  listed.names = { "vm-b" };
  CHECK_FALSE(keeper.next(listed, 2, now).has_value());
}

// Guards against a share that counts before the loans of its last holder end,
// or after its validity.
TEST(Slots, ShareSettlesAndEnds)
{
  claim({});
  const auto term = keeper.term(now);
  CHECK(term.has_value());
  CHECK(term->settledAt - now == kSettleTime);
  CHECK(term->validUntil - now == kSlotValidity);
  CHECK_FALSE(keeper.term(now + kSlotValidity).has_value());
}

// Guards against a slot that is dropped because the answer to its renewal was
// lost, and against one that is kept after another VM took it.
TEST(Slots, LostAnswerIsLookedUp)
{
  claim({});
  for (const bool stillOwn : { true, false }) {
    now += 300s;
    CHECK(nextKind() == SlotCallKind::RenewLease);
    keeper.answered({ SlotFailure::None, {}, "", 0 }, now);
    CHECK(nextKind() == SlotCallKind::Write);
    keeper.answered(failed(SlotFailure::Other), now);
    CHECK(keeper.term(now).has_value());
    now += 2s;
    CHECK(nextKind() == SlotCallKind::List);
    const SlotRecord record{ stillOwn ? "vm-a" : "vm-b", 7, 5 };
    keeper.answered({ SlotFailure::None, { { 1, record, 12 } }, "", 0 }, now);
    CHECK_EQUAL(stillOwn, keeper.term(now).has_value());
    if (stillOwn) {
      CHECK(nextKind() == SlotCallKind::RenewLease);
      keeper.answered({ SlotFailure::None, {}, "", 0 }, now);
      CHECK_EQUAL(12, keeper.next(listed, 2, now)->expected);
      keeper.answered({ SlotFailure::None, {}, "", 13 }, now);
    }
  }
}

// Guards against a record that stays after a planned stop.
TEST(Slots, ReleaseRemovesTheRecord)
{
  claim({});
  keeper.release();
  CHECK_FALSE(keeper.term(now).has_value());
  const auto call = keeper.next(listed, 2, now);
  CHECK(call->kind == SlotCallKind::Remove);
  CHECK_EQUAL(9, call->expected);
  keeper.answered({}, now);
  CHECK(keeper.released());
}

TEST_GROUP(Holders)
{
  base::TimePoint now{ 1000s };
  FleetLimits fleet{ 2, { { "team", 100, 200 } } };

  Holder holderOf(const char* aName)
  {
    Holder holder(aName, 1);
    holder.setLimits(fleet, now);
    holder.setSlot(SlotTerm{ now, now + kSlotValidity }, now);
    holder.setPeers({ "vm-a", "vm-b" });
    return holder;
  }
};

// Guards against a VM that admits after a pause longer than its validity.
TEST(Holders, NothingAfterAPauseBeyondValidity)
{
  Holder holder = holderOf("vm-a");
  now += 10s;
  Actions out;
  CHECK(holder.admit("team", 10, now, out).verdict == Verdict::Admitted);
  now += kSlotValidity;
  CHECK(holder.admit("team", 1, now, out).verdict != Verdict::Admitted);
}

// Guards against a change of the configuration, such as a granted key, that
// takes the tokens of teams whose limits stay.
TEST(Holders, UnchangedLimitsKeepTheTokens)
{
  Holder holder = holderOf("vm-a");
  now += 10s;
  holder.setLimits(fleet, now);
  Actions out;
  CHECK(holder.admit("team", 100, now, out).verdict == Verdict::Admitted);
}

// Guards against a refusal while a peer has tokens, and against a request that
// waits although every peer has answered that it has none.
TEST(Holders, AsksBeforeItRefuses)
{
  Holder lender = holderOf("vm-b");
  Holder borrower = holderOf("vm-a");
  borrower.setPeers({ "vm-b" });
  now += 10s;
  Actions out;
  const Admission admission = borrower.admit("team", 150, now, out);
  CHECK(admission.verdict == Verdict::Waiting);
  CHECK_EQUAL(1, out.send.size());
  const Actions grant =
    lender.onMessage("vm-a", out.send[0].message, now + 1ms);
  CHECK_EQUAL(1, grant.send.size());
  const Actions end =
    borrower.onMessage("vm-b", grant.send[0].message, now + 2ms);
  CHECK_EQUAL(1, end.decided.size());
  CHECK(end.decided[0].admitted);
  out = {};
  CHECK(borrower.admit("team", 180, now + 60ms, out).verdict ==
        Verdict::Waiting);
  const Actions empty =
    lender.onMessage("vm-a", out.send.back().message, now + 61ms);
  const Actions refused =
    borrower.onMessage("vm-b", empty.send[0].message, now + 62ms);
  CHECK_EQUAL(1, refused.decided.size());
  CHECK_FALSE(refused.decided[0].admitted);
}

// Guards against requests that can never be served and wait nevertheless.
TEST(Holders, CostAboveBurstIsRefusedAtOnce)
{
  Holder holder = holderOf("vm-a");
  Actions out;
  CHECK(holder.admit("team", 201, now, out).verdict == Verdict::CostAboveBurst);
  CHECK(holder.admit("other", 1, now, out).verdict == Verdict::UnknownTeam);
}

// Guards against refunds that are lost although the bucket never overflowed.
TEST(Holders, RefundComesBackWhereThereWasRoom)
{
  Bucket bucket;
  bucket.fill(now);
  bucket.resize(0, 100);
  bucket.add(50);
  now += 1s;
  bucket.fill(now);
  CHECK(bucket.take(40));
  now += 1s;
  bucket.fill(now);
  DOUBLES_EQUAL(30, bucket.refund(now - 1s, 30), 1e-9);
  DOUBLES_EQUAL(40, bucket.level(), 1e-9);
}
