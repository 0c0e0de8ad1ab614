/** @file Tests of the dispatch library. */
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
  Candidate result;
  result.index = aIndex;
  result.slots = 64;
  result.queuedMs = aQueuedMs;
  result.processingMs = 100;
  return result;
}

} // namespace

TEST_GROUP(Choice){};

// Long prompts queue at one engine while another one is free.
TEST(Choice, TakesTheShortestQueue)
{
  const auto choice =
    dispatch::chooseUpstream({ candidate(0, 500), candidate(1, 100) }, {}, 7);
  LONGS_EQUAL(1, choice->index);
  CHECK(choice->expectedStart >= 190ms && choice->expectedStart <= 210ms);
}

// Many sessions share long prompt prefixes, which some engines have cached.
TEST(Choice, PrefersACachedPromptOverASlightlyShorterQueue)
{
  Candidate cached = candidate(0, 60);
  cached.processingMs = 20;
  LONGS_EQUAL(
    0, dispatch::chooseUpstream({ cached, candidate(1, 30) }, {}, 0)->index);
}

// Every data centre is lightly loaded, and traffic between regions is slow and
// paid by volume. Guards against unnecessary traffic between regions.
TEST(Choice, PrefersTheLocalDataCentreWhileItsQueueIsShort)
{
  Candidate far = candidate(1, 0);
  far.networkCostMs = 60;
  LONGS_EQUAL(
    0, dispatch::chooseUpstream({ candidate(0, 40), far }, {}, 0)->index);
  LONGS_EQUAL(
    1, dispatch::chooseUpstream({ candidate(0, 300), far }, {}, 0)->index);
}

// Long conversations fill the KV cache of an engine, which then preempts.
TEST(Choice, AvoidsAnEngineWithAFullKvCache)
{
  Candidate full = candidate(0, 0);
  full.kvTokens = 99000;
  full.kvCapacity = 100000;
  Candidate other = candidate(1, 200);
  other.kvCapacity = 100000;
  LONGS_EQUAL(1, dispatch::chooseUpstream({ full, other }, { 2000 }, 0)->index);
}

// Guards against an upstream that attracts more requests by failing fast.
TEST(Choice, AvoidsEjectedUpstreamsWhileOthersAreAvailable)
{
  Candidate bad = candidate(0, 0);
  bad.ejected = true;
  LONGS_EQUAL(
    1, dispatch::chooseUpstream({ bad, candidate(1, 900) }, {}, 0)->index);
  LONGS_EQUAL(0, dispatch::chooseUpstream({ bad }, {}, 0)->index);
  CHECK(!dispatch::chooseUpstream({}, {}, 0));
}

// Guards against all VMs choosing the same upstream from the same load reports.
TEST(Choice, BreaksTiesRandomly)
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

// One engine is silent and another one is idle.
TEST(Replacement, MovesToAnUpstreamWithCapacity)
{
  LONGS_EQUAL(3, replacement(candidate(3, 50))->index);
}

// Every engine is slow under overload. Guards against moving a request to the
// end of another queue.
TEST(Replacement, StaysIfNoOtherUpstreamHasCapacity)
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

// Guards against moving a request to an engine that has just failed or would
// start after the deadline.
TEST(Replacement, StaysIfNoOtherUpstreamCanAnswerInTime)
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

// Guards against a retry storm: a service fails, so every request is retried.
TEST(RetryBudget, SumOverAllVmsStaysWithinTheFleetsBudget)
{
  constexpr std::size_t kVms = 6;
  constexpr int kRequests = 60;
  double retries = 0;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    dispatch::RetryBudget localBudget;
    localBudget.setLimits({ 0.2, 52, 10s });
    localBudget.setFleetSize(kVms);
    for (int request = 0; request < kRequests; ++request) {
      localBudget.onRequest("s", now);
      retries += localBudget.tryConsume("s", now) ? 1 : 0;
    }
  }
  CHECK(retries <= 0.2 * kRequests * kVms + 52);
  CHECK(retries >= 0.7 * (0.2 * kRequests * kVms + 52));
}

// Guards against a budget that stays exhausted after its window.
TEST(RetryBudget, RecoversAfterTheWindow)
{
  budget.setLimits({ 0, 2, 10s });
  CHECK(budget.tryConsume("s", now));
  CHECK(!budget.tryConsume("s", now));
  CHECK(budget.tryConsume("s", now + 11s));
}

TEST_GROUP(Health)
{
  dispatch::OutlierDetector detector;
  TimePoint now{ 100s };
};

// Guards against a crashed upstream that keeps attracting connections.
TEST(Health, EjectsAnUnreachableUpstreamTemporarily)
{
  detector.onUnreachable("u", now);
  CHECK(detector.ejected("u", now + 500ms));
  CHECK(!detector.ejected("u", now + 1100ms));
  detector.onUnreachable("u", now + 1100ms);
  CHECK(detector.ejected("u", now + 2900ms));
}

// Guards against ejecting a healthy upstream after a single failure.
TEST(Health, OneFailureDoesNotEject)
{
  detector.onFailure("u", now);
  CHECK(!detector.ejected("u", now));
  detector.onFailure("u", now);
  detector.onFailure("u", now);
  CHECK(detector.ejected("u", now));
}

TEST_GROUP(WorkModel)
{
  dispatch::LatencyEstimator estimator;
};

// The models of a service differ ten times in speed.
TEST(WorkModel, LearnsTheSpeedOfAModel)
{
  constexpr double kTokens = 2000;
  constexpr double kTrueMsPerToken = 0.2;
  for (int request = 0; request < 60; ++request) {
    estimator.onFirstToken(
      "slow", kTokens, 0, base::fromSeconds(kTokens * kTrueMsPerToken / 1000));
  }
  DOUBLES_EQUAL(kTrueMsPerToken, estimator.msPerToken("slow"), 0.04);
  CHECK(estimator.msPerToken("other") < 0.1);
}

TEST_GROUP(PrefixMemory)
{
  dispatch::PrefixIndex index;
  std::vector<catalog::PromptPart> prompt{ { 1, 100 }, { 2, 50 }, { 3, 10 } };
};

// Guards against counting cached parts behind a part that differs.
TEST(PrefixMemory, CountsLeadingPartsOnly)
{
  index.recordPrompt("u", "m", prompt);
  LONGS_EQUAL(160, index.cachedTokens("u", "m", prompt));
  LONGS_EQUAL(100, index.cachedTokens("u", "m", { { 1, 100 }, { 9, 5 } }));
  LONGS_EQUAL(0, index.cachedTokens("u", "m", { { 2, 50 } }));
  LONGS_EQUAL(0, index.cachedTokens("u", "n", prompt));
  index.erase("u");
  LONGS_EQUAL(0, index.cachedTokens("u", "m", prompt));
}

TEST_GROUP(CrashRecord)
{
  dispatch::CrashTracker tracker;
  TimePoint now{ 100s };

  void crash(const char* aUpstream)
  {
    tracker.onConnectionBroken("f", aUpstream, now);
    tracker.onUpstreamGone(aUpstream, now + 1s);
  }
};

// Guards against a request that crashes one upstream after another, also if it
// is retried through other VMs.
TEST(CrashRecord, BlocksAfterCrashesSeenByDifferentVms)
{
  crash("u");
  CHECK(!tracker.blocked("f"));
  tracker.onPeerCounts("vm2", { { "f", 1 } }, now);
  CHECK(tracker.blocked("f"));
  CHECK(!tracker.blocked("g"));
  tracker.expire(now + 1h);
  CHECK(!tracker.blocked("f"));
}

// Guards against blocking a request that was running at a crash but did not
// cause it.
TEST(CrashRecord, SuccessClearsTheCrashCount)
{
  crash("u");
  tracker.onSuccess("f");
  crash("u");
  CHECK(!tracker.blocked("f"));
}

// Many callers request the same page while connections break. Guards against
// blocking the page for all of them for two minutes.
TEST(CrashRecord, BrokenConnectionsToALiveUpstreamDoNotBlock)
{
  for (int i = 0; i < 5; ++i) {
    tracker.onConnectionBroken("f", "u", now);
    tracker.onUpstreamAlive("u", now + 100ms);
    tracker.onUpstreamGone("u", now + 1s);
  }
  CHECK(!tracker.blocked("f"));
}

// Guards against a crash that is hidden by an answer to an earlier request.
TEST(CrashRecord, AnswerToAnOlderRequestDoesNotClearACrash)
{
  for (const char* upstream : { "u", "v" }) {
    tracker.onConnectionBroken("f", upstream, now);
    tracker.onUpstreamAlive(upstream, now - 100ms);
    tracker.onUpstreamGone(upstream, now + 1s);
  }
  CHECK(tracker.blocked("f"));
}

// Guards against a request that stays blocked by a count that its peer has
// withdrawn.
TEST(CrashRecord, PeerThatServedTheRequestWithdrawsItsCount)
{
  tracker.onPeerCounts("vm2", { { "f", 2 } }, now);
  CHECK(tracker.blocked("f"));
  tracker.onPeerCounts("vm2", {}, now);
  CHECK(!tracker.blocked("f"));
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
