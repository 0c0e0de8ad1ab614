/** @file Tests of the claims library. */
#include "property.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::claims;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr base::TimePoint kStart{ hours(1) };
constexpr base::Duration kSoon = std::chrono::seconds(5);

Voter
votingMember(VoterLimits aLimits = {})
{
  Voter voter(Terms{}, aLimits);
  voter.install(1, kStart);
  return voter;
}

Claim
doneClaim(const AttemptId& aAttempt, const std::string& aBody)
{
  return { "key", aAttempt, ClaimState::Done, StoredAnswer{ 201, {}, aBody } };
}

bool
granted(Voter& aVoter, const AttemptId& aAttempt, base::TimePoint aNow)
{
  return aVoter.request("key", aAttempt, 1, kSoon, aNow).kind ==
         VoteKind::Granted;
}

Vote
voteOf(VoteKind aKind, Epoch aEpoch)
{
  return { "key", "attempt", aKind, aEpoch, {}, {} };
}

GroupRecord
groupOf(Epoch aEpoch, const std::vector<base::VmName>& aNames)
{
  GroupRecord record{ aEpoch, {} };
  for (const base::VmName& name : aNames) {
    record.members[name] = { 1, 1 };
  }
  return record;
}

} // namespace

TEST_GROUP(Voter){};

// Guards against a release that frees a key held by another attempt.
TEST(Voter, ReleaseFreesOnlyItsOwnAttempt)
{
  Voter voter = votingMember();
  CHECK(granted(voter, "first", kStart));
  voter.release("key", "second");
  CHECK(!granted(voter, "second", kStart));
  voter.release("key", "first");
  CHECK(granted(voter, "second", kStart));
}

// Guards against a release that overtakes a settled claim.
TEST(Voter, ReleaseDoesNotFreeASettledKey)
{
  Voter voter = votingMember();
  CHECK(granted(voter, "first", kStart));
  voter.settle(doneClaim("first", "booked"), kStart);
  voter.release("key", "first");
  const Vote vote = voter.request("key", "second", 1, kSoon, kStart);
  CHECK(vote.kind == VoteKind::Done);
  LONGS_EQUAL(201, vote.answer->status);
  STRCMP_EQUAL("booked", vote.answer->body.c_str());
}

// Guards against a claim whose coordinator died and that looks alive for ever.
TEST(Voter, ClaimReadsAsUnknownAfterItsDeadline)
{
  Voter voter = votingMember();
  CHECK(granted(voter, "first", kStart));
  CHECK(voter.request("key", "second", 1, kSoon, kStart).kind ==
        VoteKind::InProgress);
  CHECK(voter.request("key", "second", 1, kSoon, kStart + kSoon).kind ==
        VoteKind::Unknown);
}

// Guards against a settled claim that inherits the age of an older vote for
// another attempt and is forgotten too early (found by fuzz-claims).
TEST(Voter, LifetimeOfASettledClaimStartsAgain)
{
  Voter voter = votingMember();
  CHECK(granted(voter, "late duplicate", kStart));
  voter.settle(doneClaim("winner", "booked"), kStart + hours(20));
  voter.confirm(kStart + hours(25));
  CHECK(!granted(voter, "third", kStart + hours(25)));
  voter.confirm(kStart + hours(45));
  CHECK(granted(voter, "third", kStart + hours(45)));
}

// Guards against a table that grows without bound, and against a refusal that
// cannot be told from another attempt's claim.
TEST(Voter, FullTableRefusesNewKeysClearly)
{
  Voter voter = votingMember({ 1, 10 });
  CHECK(granted(voter, "first", kStart));
  CHECK(voter.request("other", "second", 1, kSoon, kStart).kind ==
        VoteKind::Full);
  voter.settle(doneClaim("first", "more than ten bytes"), kStart);
  LONGS_EQUAL(0, voter.answerBytes());
}

// Guards against a member that votes on after it was copied, or long after it
// last knew that it is a member.
TEST(Voter, SealedOrUnconfirmedMemberDoesNotVote)
{
  Voter voter = votingMember();
  CHECK(!granted(voter, "first", kStart + Terms{}.membership()));
  voter.seal();
  CHECK(!granted(voter, "first", kStart));
}

// Guards against a claim read from the platform that counts as the vote of a
// member while claims are lost (found by fuzz-claims).
TEST(Voter, NothingIsGrantedWhileClaimsAreLost)
{
  Voter voter = votingMember();
  voter.merge({ "key", "first", ClaimState::InProgress, {} }, kStart);
  voter.markLost(kStart + hours(1));
  CHECK(voter.request("key", "first", 1, kSoon, kStart).kind ==
        VoteKind::Unknown);
  CHECK(voter.request("other", "second", 1, kSoon, kStart).kind ==
        VoteKind::Unknown);
}

TEST_GROUP(Coordinator){};

// Guards against votes of two epochs that are added up.
TEST(Coordinator, VotesOfTwoEpochsAreNotAQuorum)
{
  Coordinator coordinator(Terms{}, kStart);
  coordinator.start(groupOf(1, { "a", "b" }), {}, kStart);
  coordinator.onVote("a", voteOf(VoteKind::Granted, 1), kStart);
  const auto actions =
    coordinator.onVote("b", voteOf(VoteKind::Granted, 2), kStart);
  CHECK(!actions.decision);
  CHECK(actions.readRecord);
  coordinator.onRecord(groupOf(2, { "b", "c" }), false, kStart);
  coordinator.onVote("b", voteOf(VoteKind::Granted, 2), kStart);
  CHECK(!coordinator.decided());
  CHECK(
    coordinator.onVote("c", voteOf(VoteKind::Granted, 2), kStart).decision &&
    coordinator.mayForward(kStart));
}

// Guards against a grant that is used after its end, and against late votes
// that change a decision.
TEST(Coordinator, GrantEndsAndLateVotesChangeNothing)
{
  const Terms terms;
  Coordinator coordinator(terms, kStart);
  coordinator.start(groupOf(1, { "a", "b" }), {}, kStart);
  coordinator.onVote("a", voteOf(VoteKind::Granted, 1), kStart);
  const auto late = kStart + terms.voteTimeout;
  CHECK(coordinator.onTick(late).decision->verdict == Verdict::NoQuorum);
  coordinator.onVote("b", voteOf(VoteKind::Granted, 1), late);
  CHECK(!coordinator.mayForward(late));

  Coordinator second(terms, kStart);
  second.start(groupOf(1, { "a", "b" }), {}, kStart);
  second.onVote("a", voteOf(VoteKind::Granted, 1), kStart);
  second.onVote("b", voteOf(VoteKind::Granted, 1), kStart);
  CHECK(second.mayForward(kStart + terms.grant - milliseconds(1)));
  CHECK(!second.mayForward(kStart + terms.grant));
}

TEST_GROUP(Group){};

// Guards against platform calls that grow with the VMs of a data centre, and
// against a spare VM that does not notice a lost member.
TEST(Group, SpareReadsSeldomWhileTheMembersAreHeard)
{
  claims::Voter voter(claims::Terms{});
  claims::GroupMember spare("c", 1, voter, claims::Terms{}, kStart);
  const claims::GroupRecord record{ 1,
                                    { { "a", { 1, 1 } }, { "b", { 1, 1 } } } };
  spare.onRecord(record, 1, kStart, kStart);
  base::TimePoint now = kStart;
  const auto readsIn = [&](base::Duration aTime, bool aHearsB) {
    int reads = 0;
    for (const base::TimePoint end = now + aTime; now < end;
         now += milliseconds(250)) {
      std::map<base::VmName, claims::PeerView> heard{ { "a", { 1, now } } };
      heard["b"] = { 1, aHearsB ? now : kStart };
      reads += spare.onTick(heard, now).readRecord ? 1 : 0;
    }
    return reads;
  };
  CHECK(readsIn(std::chrono::seconds(60), true) <= 3);
  CHECK(readsIn(std::chrono::seconds(10), false) >= 10);
}

TEST_GROUP(Fuzz){};

// Guards against sequences of faults in which a key runs twice, an attempt runs
// after "not run", or a stored answer belongs to another key.
TEST(Fuzz, NoSequenceBreaksAtMostOnce)
{
  const auto result = testing::checkAtMostOnce(4, 400);
  CHECK_TEXT(result.holds, result.report.c_str());
  CHECK(result.executions > 100);
}

int
main(int aCount, char** aValues)
{
  // The simulation keeps buffers that the leak detector would take for leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
