/** @file Tests of the dispatch library; each names the load it answers. */
#include "dispatch/dispatch.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using dispatch::Candidate;

namespace {

Candidate
candidate(std::size_t aIndex, double aQueuedMs)
{
  Candidate made;
  made.index = aIndex;
  made.slots = 64;
  made.queuedMs = aQueuedMs;
  made.processingMs = 100;
  return made;
}

} // namespace

TEST_GROUP(Choice){};

// Load pattern: long prompts queue at one engine while another is free.
TEST(Choice, TakesTheShortestQueue)
{
  const auto choice =
    dispatch::chooseUpstream({ candidate(0, 500), candidate(1, 100) }, {}, 7);
  LONGS_EQUAL(1, choice->index);
  CHECK(choice->expectedStart >= 190ms && choice->expectedStart <= 210ms);
}

// Load pattern: many sessions that share long leading parts of their prompts.
TEST(Choice, PrefersACachedPromptOverASlightlyShorterQueue)
{
  Candidate cached = candidate(0, 60);
  cached.processingMs = 20;
  LONGS_EQUAL(
    0, dispatch::chooseUpstream({ cached, candidate(1, 30) }, {}, 0)->index);
}

// Load pattern: every data centre is lightly loaded; traffic between regions
// is slow and paid by volume.
TEST(Choice, StaysNearWhileTheQueueIsShort)
{
  Candidate far = candidate(1, 0);
  far.networkCostMs = 60;
  LONGS_EQUAL(
    0, dispatch::chooseUpstream({ candidate(0, 40), far }, {}, 0)->index);
  LONGS_EQUAL(
    1, dispatch::chooseUpstream({ candidate(0, 300), far }, {}, 0)->index);
}

// Load pattern: long conversations fill the memory of an engine.
TEST(Choice, AvoidsAnEngineWhoseMemoryIsFull)
{
  Candidate full = candidate(0, 0);
  full.kvTokens = 99000;
  full.kvCapacity = 100000;
  Candidate other = candidate(1, 200);
  other.kvCapacity = 100000;
  LONGS_EQUAL(1, dispatch::chooseUpstream({ full, other }, { 2000 }, 0)->index);
}

// Guards against an upstream that fails its requests fast and thereby draws
// more of them.
TEST(Choice, AvoidsEjectedUpstreamsWhileOthersAreLeft)
{
  Candidate bad = candidate(0, 0);
  bad.ejected = true;
  LONGS_EQUAL(
    1, dispatch::chooseUpstream({ bad, candidate(1, 900) }, {}, 0)->index);
  LONGS_EQUAL(0, dispatch::chooseUpstream({ bad }, {}, 0)->index);
  CHECK(!dispatch::chooseUpstream({}, {}, 0));
}

// Guards against all VMs that see the same figures taking the same upstream.
TEST(Choice, SharesTiesByChance)
{
  const std::vector<Candidate> equal{ candidate(0, 10), candidate(1, 11) };
  LONGS_EQUAL(0, dispatch::chooseUpstream(equal, {}, 2)->index);
  LONGS_EQUAL(1, dispatch::chooseUpstream(equal, {}, 3)->index);
}

TEST_GROUP(Replacement){
  std::optional<dispatch::Choice> replacement(const Candidate& aOther){
    return dispatch::chooseReplacement({ aOther }, { 5000 }, 2s, 0);
}
}
;

// Load pattern: one engine is silent and another one is idle.
TEST(Replacement, GoesToAnUpstreamWithRoom)
{
  LONGS_EQUAL(3, replacement(candidate(3, 50))->index);
}

// Load pattern: overload, in which every engine is slow. A request that left
// its place would begin again at the end of another queue.
TEST(Replacement, StaysWhereNobodyElseHasRoom)
{
  Candidate busy = candidate(0, 50);
  busy.running = busy.slots;
  CHECK(!replacement(busy));
  Candidate full = candidate(0, 50);
  full.kvCapacity = 100000;
  full.kvTokens = 90000;
  CHECK(!replacement(full));
  CHECK(!dispatch::chooseReplacement({}, {}, 2s, 0));
}

// Load pattern: the only other holder has just failed or begins too late.
TEST(Replacement, StaysWhereNobodyElseIsExpectedToAnswerInTime)
{
  Candidate failing = candidate(0, 50);
  failing.ejected = true;
  CHECK(!replacement(failing));
  CHECK(!replacement(candidate(0, 1950)));
}

TEST_GROUP(RetryBudget)
{
  dispatch::RetryBudget budget;
  TimePoint now{ 100s };
};

// Load pattern: a failing service whose every request is sent once more.
TEST(RetryBudget, SumOverAllVmsStaysWithinTheFleetsBudget)
{
  constexpr std::size_t kVms = 6;
  constexpr int kRequests = 60;
  double repeats = 0;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    dispatch::RetryBudget own;
    own.setLimits({ 0.2, 52, 10s });
    own.setFleetSize(kVms);
    for (int request = 0; request < kRequests; ++request) {
      own.onRequest("s", now);
      repeats += own.tryConsume("s", now) ? 1 : 0;
    }
  }
  CHECK(repeats <= 0.2 * kRequests * kVms + 52);
  CHECK(repeats >= 0.7 * (0.2 * kRequests * kVms + 52));
}

// Guards against a budget that stays used up after its window.
TEST(RetryBudget, RecoversAfterTheWindow)
{
  budget.setLimits({ 0, 2, 10s });
  CHECK(budget.tryConsume("s", now));
  CHECK(!budget.tryConsume("s", now));
  CHECK(budget.tryConsume("s", now + 11s));
}

TEST_GROUP(Health)
{
  dispatch::OutlierDetector health;
  TimePoint now{ 100s };
};

// Guards against a crashed upstream that keeps drawing connections.
TEST(Health, EjectsAnUnreachableUpstreamForAWhile)
{
  health.onUnreachable("u", now);
  CHECK(health.ejected("u", now + 500ms));
  CHECK(!health.ejected("u", now + 1100ms));
  health.onUnreachable("u", now + 1100ms);
  CHECK(health.ejected("u", now + 2900ms));
}

// Guards against single failures that take a sound upstream out.
TEST(Health, OneFailureDoesNotEject)
{
  health.onFailure("u", now);
  CHECK(!health.ejected("u", now));
  health.onFailure("u", now);
  health.onFailure("u", now);
  CHECK(health.ejected("u", now));
}

TEST_GROUP(WorkModel)
{
  dispatch::LatencyEstimator work;
};

// Load pattern: models of one service that differ ten times in speed.
TEST(WorkModel, LearnsTheSpeedOfAModel)
{
  constexpr double kTokens = 2000;
  constexpr double kTrueMsPerToken = 0.2;
  for (int request = 0; request < 60; ++request) {
    work.onFirstToken(
      "slow", kTokens, 0, base::fromSeconds(kTokens * kTrueMsPerToken / 1000));
  }
  DOUBLES_EQUAL(kTrueMsPerToken, work.msPerToken("slow"), 0.04);
  CHECK(work.msPerToken("other") < 0.1);
}

TEST_GROUP(PrefixMemory)
{
  dispatch::PrefixIndex memory;
  std::vector<catalog::PromptPart> prompt{ { 1, 100 }, { 2, 50 }, { 3, 10 } };
};

// Guards against parts that count although an earlier part differs.
TEST(PrefixMemory, CountsLeadingPartsOnly)
{
  memory.recordPrompt("u", "m", prompt);
  LONGS_EQUAL(160, memory.cachedTokens("u", "m", prompt));
  LONGS_EQUAL(100, memory.cachedTokens("u", "m", { { 1, 100 }, { 9, 5 } }));
  LONGS_EQUAL(0, memory.cachedTokens("u", "m", { { 2, 50 } }));
  LONGS_EQUAL(0, memory.cachedTokens("u", "n", prompt));
  memory.erase("u");
  LONGS_EQUAL(0, memory.cachedTokens("u", "m", prompt));
}

TEST_GROUP(CrashRecord)
{
  dispatch::CrashTracker record;
  TimePoint now{ 100s };

  void crash(const char* aUpstream)
  {
    record.onConnectionBroken("f", aUpstream, now);
    record.onUpstreamGone(aUpstream, now + 1s);
  }
};

// Guards against a request that takes down one upstream after the other, also
// when it comes back through other VMs.
TEST(CrashRecord, BlocksAfterCrashesSeenByDifferentVms)
{
  crash("u");
  CHECK(!record.blocked("f"));
  record.onPeerCounts("vm2", { { "f", 1 } }, now);
  CHECK(record.blocked("f"));
  CHECK(!record.blocked("g"));
  record.expire(now + 1h);
  CHECK(!record.blocked("f"));
}

// Guards against a request that was only near a crash being blocked for good.
TEST(CrashRecord, SuccessClearsTheRequest)
{
  crash("u");
  record.onSuccess("f");
  crash("u");
  CHECK(!record.blocked("f"));
}

// Load pattern: many callers ask for the same page while answers get lost; the
// page was blocked for all of them for two minutes.
TEST(CrashRecord, BrokenAnswersOfALivingUpstreamBlockNothing)
{
  for (int i = 0; i < 5; ++i) {
    record.onConnectionBroken("f", "u", now);
    record.onUpstreamAlive("u", now + 100ms);
    record.onUpstreamGone("u", now + 1s);
  }
  CHECK(!record.blocked("f"));
}

// Guards against an answer that was under way before the crash and hides it.
TEST(CrashRecord, AnswerToAnOlderRequestDoesNotClearACrash)
{
  for (const char* upstream : { "u", "v" }) {
    record.onConnectionBroken("f", upstream, now);
    record.onUpstreamAlive(upstream, now - 100ms);
    record.onUpstreamGone(upstream, now + 1s);
  }
  CHECK(record.blocked("f"));
}

// Guards against a count that a peer has withdrawn and that blocks on.
TEST(CrashRecord, PeerThatServedTheRequestWithdrawsItsCount)
{
  record.onPeerCounts("vm2", { { "f", 2 } }, now);
  CHECK(record.blocked("f"));
  record.onPeerCounts("vm2", {}, now);
  CHECK(!record.blocked("f"));
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
