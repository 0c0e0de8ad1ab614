/** @file Tests of which upstreams are avoided for their errors. */
#include "dispatch/dispatch.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using dispatch::Repetition;
using dispatch::UpstreamErrors;
using Change = UpstreamErrors::Change;

namespace {

using dispatch::Answer;
using dispatch::Evidence;

const TimePoint kStart{ 1000s };
constexpr double kUsualShare = 0.14;

std::string
nameOf(std::size_t aNumber)
{
  return "u" + std::to_string(aNumber);
}

Answer
answerOf(bool aError)
{
  return aError ? Answer::Error : Answer::Served;
}

/** VMs that each send requests to upstreams of one service, with a share of
 * errors that goes with the requests and one that goes with each upstream. */
struct Fleet
{
  Fleet(std::size_t aVms, std::size_t aUpstreams, double aRatePerVm)
    : vms(aVms)
    , trouble(aUpstreams, 0.0)
    , met(aUpstreams, 0)
    , detected(aVms, false)
    , rate(aRatePerVm)
  {
  }

  /** Plays requests at all VMs for a time. */
  void play(base::Duration aTime)
  {
    const base::Duration step = base::fromSeconds(1 / rate);
    for (const TimePoint end = now + aTime; now < end; now += step) {
      for (UpstreamErrors& vm : vms) {
        request(vm);
      }
    }
  }

  void request(UpstreamErrors& aVm)
  {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < trouble.size(); ++i) {
      if (!aVm.avoided("s", nameOf(i), Repetition::Allowed, now)) {
        open.push_back(i);
      }
    }
    const std::size_t chosen = open[random.below(open.size())];
    aVm.onSent("s", nameOf(chosen), now);
    const bool error = random.unit() < usual || random.unit() < trouble[chosen];
    met[chosen] += error ? 1 : 0;
    const auto vm = static_cast<std::size_t>(&aVm - vms.data());
    const bool counts = chosen == 0 && error && !detected[vm];
    metBefore += counts ? 1 : 0;
    ++requests;
    const Change change =
      aVm.onAnswer("s", nameOf(chosen), answerOf(error), now);
    avoidances += change == Change::Avoided ? 1 : 0;
    if (change == Change::Avoided && chosen == 0) {
      detected[vm] = true;
    }
    if (error && aVm.doubtful("s", nameOf(chosen), now)) {
      ++repetitions;
    }
  }

  /** @return fraction of VMs that avoid the upstream */
  double avoidedBy(std::size_t aUpstream) const
  {
    double count = 0;
    for (const UpstreamErrors& vm : vms) {
      count +=
        vm.shares("s", nameOf(aUpstream), Evidence::Error, now).avoided ? 1 : 0;
    }
    return count / static_cast<double>(vms.size());
  }

  std::vector<UpstreamErrors> vms;
  std::vector<double> trouble; ///< share of errors, by upstream
  std::vector<unsigned> met;   ///< errors, by upstream
  std::vector<bool> detected;  ///< VMs that have avoided the first upstream
  unsigned metBefore = 0;      ///< its errors that VMs met before
  double rate;
  double usual = 0;
  TimePoint now = kStart;
  base::Random random{ 79 };
  unsigned long requests = 0;
  unsigned long avoidances = 0;
  unsigned long repetitions = 0; ///< errors that would be tried elsewhere
};

void
answer(UpstreamErrors& aErrors,
       const char* aUpstream,
       bool aError,
       unsigned aCount,
       TimePoint aNow = kStart)
{
  for (unsigned i = 0; i < aCount; ++i) {
    aErrors.onAnswer("s", aUpstream, answerOf(aError), aNow);
  }
}

bool
isAvoided(const UpstreamErrors& aErrors,
          const char* aUpstream,
          TimePoint aNow = kStart,
          Repetition aRepetition = Repetition::Allowed)
{
  return aErrors.avoided("s", aUpstream, aRepetition, aNow);
}

} // namespace

TEST_GROUP(UpstreamErrors)
{
  UpstreamErrors errors;

  void sound(std::initializer_list<const char*> aUpstreams)
  {
    for (const char* name : aUpstreams) {
      answer(errors, name, false, 10);
    }
  }
};

// Guards against an upstream that keeps its share while it answers errors only.
TEST(UpstreamErrors, UpstreamBesideSoundOnesIsAvoidedAfterAFewErrors)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 3);
  CHECK(isAvoided(errors, "a"));
  CHECK_FALSE(isAvoided(errors, "b"));
}

// Guards against a single error that decides where errors are usual, or that
// shuts a sound upstream out for long where they are rare.
TEST(UpstreamErrors, OneErrorIsHeldAgainstAnUpstreamWhereErrorsAreRareOnly)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 1);
  CHECK(errors.doubtful("s", "a", kStart));
  CHECK(isAvoided(errors, "a"));
  CHECK_FALSE(isAvoided(errors, "a", kStart + 600ms));
  answer(errors, "a", false, 3, kStart + 600ms);
  CHECK_FALSE(errors.shares("s", "a", Evidence::Error, kStart + 600ms).avoided);
  CHECK_FALSE(errors.doubtful("s", "b", kStart));
  for (unsigned i = 0; i < 210; ++i) {
    errors.onAnswer("t", nameOf(i % 3), answerOf(i % 7 == 0), kStart);
  }
  for (unsigned i = 0; i < 20; ++i) {
    errors.onAnswer("t", "u0", Answer::Served, kStart);
  }
  errors.onAnswer("t", "u0", Answer::Error, kStart);
  CHECK_FALSE(errors.doubtful("t", "u0", kStart));
  CHECK_FALSE(errors.avoided("t", "u0", Repetition::Allowed, kStart));
}

// Guards against a service that loses its only upstream.
TEST(UpstreamErrors, OnlyUpstreamIsNeverAvoided)
{
  answer(errors, "a", false, 10);
  answer(errors, "a", true, 50);
  CHECK_FALSE(isAvoided(errors, "a"));
}

// Guards against load that the rest of a service cannot bear.
TEST(UpstreamErrors, AtMostHalfIsAvoidedAndNoneIfAllErrAlike)
{
  sound({ "a", "b", "c", "d", "e", "f" });
  for (unsigned round = 0; round < 40; ++round) {
    for (const char* name : { "a", "b", "c", "d" }) {
      answer(errors, name, true, 1);
    }
    sound({ "e", "f" });
  }
  unsigned avoided = 0;
  for (const char* name : { "a", "b", "c", "d", "e", "f" }) {
    avoided += isAvoided(errors, name) ? 1 : 0;
  }
  CHECK(avoided > 0 && avoided <= 3);
  UpstreamErrors alike;
  for (unsigned round = 0; round < 40; ++round) {
    for (const char* name : { "a", "b", "c" }) {
      alike.onAnswer("s", name, answerOf(round >= 10), kStart);
    }
  }
  for (const char* name : { "a", "b", "c" }) {
    CHECK_FALSE(isAvoided(alike, name));
  }
}

// Guards against an upstream that never gets the request that would clear it,
// and against one that may not be repeated as the first trial.
TEST(UpstreamErrors, TrialsAreSpacedAndBringASoundUpstreamBack)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 3);
  TimePoint now = kStart + 1s;
  CHECK_FALSE(isAvoided(errors, "a", now));
  CHECK(isAvoided(errors, "a", now, Repetition::Forbidden));
  CHECK_FALSE(isAvoided(errors, "a", now + 1s, Repetition::Forbidden));
  errors.onSent("s", "a", now);
  CHECK(isAvoided(errors, "a", now));
  answer(errors, "a", true, 1, now);
  CHECK(isAvoided(errors, "a", now + 200ms));
  now += 1s;
  CHECK_FALSE(isAvoided(errors, "a", now));
  unsigned trials = 0;
  while (errors.shares("s", "a", Evidence::Error, now).avoided && trials < 20) {
    answer(errors, "a", false, 1, now);
    ++trials;
  }
  CHECK(trials >= 2 && trials <= 10);
}

// Guards against blame that a new process inherits.
TEST(UpstreamErrors, RestartedUpstreamStartsAnew)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 3);
  errors.erase("a");
  CHECK_FALSE(isAvoided(errors, "a"));
  CHECK_FALSE(errors.doubtful("s", "a", kStart));
}

// Guards against errors of one service that count against another.
TEST(UpstreamErrors, ServicesHaveSharesOfTheirOwn)
{
  sound({ "a", "b" });
  for (unsigned i = 0; i < 100; ++i) {
    errors.onAnswer("t", i % 2 == 0 ? "x" : "y", answerOf(i % 5 == 0), kStart);
  }
  CHECK(errors.shares("t", "x", Evidence::Error, kStart).usual > 0.1);
  CHECK(errors.shares("s", "a", Evidence::Error, kStart).usual < 0.03);
}

struct FleetSize
{
  std::size_t vms;
  std::size_t upstreams;
  double rate;
};

const FleetSize kSizes[] = { { 6, 5, 3 }, { 6, 5, 300 }, { 82, 60, 300 } };

// Guards against a detector that is fit for one size of fleet or load only.
TEST(UpstreamErrors, SimulatedFleetsAvoidABadUpstreamAndTakeItBack)
{
  for (const FleetSize& size : kSizes) {
    for (const double share : { 0.3, 0.6, 1.0 }) {
      Fleet fleet(size.vms, size.upstreams, size.rate);
      fleet.play(8s);
      fleet.trouble[0] = share;
      fleet.met[0] = 0;
      fleet.play(8s);
      const double perVm = fleet.met[0] / static_cast<double>(size.vms);
      const double before = fleet.metBefore / static_cast<double>(size.vms);
      const double keepingItsShare =
        size.rate / static_cast<double>(size.upstreams) * 8 * share;
      const double avoided = fleet.avoidedBy(0);
      fleet.trouble[0] = 0;
      double back = 0;
      while (fleet.avoidedBy(0) > 0.1 && back < 20) {
        fleet.play(250ms);
        back += 0.25;
      }
      std::printf("%zu VMs, %zu upstreams, %.0f/s, share %.1f: a VM meets %.1f "
                  "errors of it until it avoids it, %.1f in 8 s (%.1f if it "
                  "kept its share); avoided by %.2f, back after %.2f s\n",
                  size.vms,
                  size.upstreams,
                  size.rate,
                  share,
                  before,
                  perVm,
                  keepingItsShare,
                  avoided,
                  back);
      CHECK(back <= 3);
      CHECK(before <= 6);
      // Few errors vary too much to compare.
      CHECK(perVm < std::max(6.0, keepingItsShare));
    }
  }
}

// Guards against sound upstreams that are avoided, and requests sent again,
// where the errors go with the requests.
TEST(UpstreamErrors, SimulatedErrorsOfRequestsAreNotHeldAgainstUpstreams)
{
  for (const FleetSize& size : { FleetSize{ 1, 5, 3 }, { 1, 60, 300 } }) {
    Fleet fleet(size.vms, size.upstreams, size.rate);
    fleet.usual = kUsualShare;
    fleet.play(60s);
    fleet.requests = fleet.avoidances = fleet.repetitions = 0;
    fleet.play(size.upstreams == 5 ? 3600s : 600s);
    const auto requests = static_cast<double>(fleet.requests);
    std::printf("one VM, %zu upstreams, %.0f/s: %lu avoidances in "
                "%lu requests, %.4f repeated\n",
                size.upstreams,
                size.rate,
                fleet.avoidances,
                fleet.requests,
                static_cast<double>(fleet.repetitions) / requests);
    CHECK(static_cast<double>(fleet.avoidances) / requests < 0.001);
    CHECK(static_cast<double>(fleet.repetitions) / requests < 0.02);
  }
}

namespace {

/** One VM that sends requests to the upstream with the earliest expected start,
 * of which some run no request. */
struct RejectionPlay
{
  explicit RejectionPlay(std::size_t aUpstreams)
    : rejects(aUpstreams, false)
    , sends(aUpstreams, 0)
  {
    limits.ratio = 0.1;
    limits.minRetries = 10;
    retries.setLimits(limits);
    retries.setFleetSize(1);
  }

  /** Plays requests, each of which may be sent to two upstreams. */
  void play(base::Duration aTime, double aRate)
  {
    const base::Duration step = base::fromSeconds(1 / aRate);
    for (const TimePoint end = now + aTime; now < end; now += step) {
      ++requests;
      retries.onRequest("s", now);
      std::set<std::size_t> tried;
      bool served = sendOnce(tried);
      if (!served && retries.tryConsume("s", now)) {
        served = sendOnce(tried);
      }
      refused += served ? 0 : 1;
    }
  }

  bool sendOnce(std::set<std::size_t>& aTried)
  {
    std::vector<dispatch::Candidate> candidates;
    for (std::size_t i = 0; i < rejects.size(); ++i) {
      if (!aTried.contains(i)) {
        dispatch::Candidate& candidate = candidates.emplace_back();
        candidate.index = i;
        candidate.slots = 8;
        candidate.running = rejects[i] ? 0 : 2;
        candidate.queuedMs = candidate.running * 5.0;
        candidate.ejected =
          judge.avoided("s", nameOf(i), Repetition::Allowed, now);
        avoidedSeen += candidate.ejected ? 1 : 0;
      }
    }
    const auto choice = dispatch::chooseUpstream(candidates, {}, random.bits());
    const std::size_t chosen = choice->index;
    aTried.insert(chosen);
    ++sends[chosen];
    ++allSends;
    judge.onSent("s", nameOf(chosen), now);
    const bool served = !rejects[chosen];
    judge.onAnswer(
      "s", nameOf(chosen), served ? Answer::Served : Answer::Rejection, now);
    return served;
  }

  UpstreamErrors judge;
  dispatch::RetryLimits limits;
  dispatch::RetryBudget retries;
  std::vector<bool> rejects;
  std::vector<unsigned long> sends; ///< by upstream
  unsigned long requests = 0;
  unsigned long allSends = 0;
  unsigned long refused = 0;
  unsigned long avoidedSeen = 0;
  TimePoint now = kStart;
  base::Random random{ 84 };
};

} // namespace

// Guards against an upstream that rejects everything, looks idle and draws the
// most requests.
TEST(UpstreamErrors, UpstreamThatRejectsBesideSiblingsGetsTrialsOnly)
{
  for (const std::size_t upstreams : { 3, 5, 60 }) {
    for (const double rate : { 10.0, 300.0 }) {
      RejectionPlay play(upstreams);
      play.play(8s, rate);
      play.rejects[0] = true;
      play.sends[0] = play.requests = play.refused = 0;
      play.play(5s, rate);
      const double share =
        static_cast<double>(play.sends[0]) / static_cast<double>(play.requests);
      std::printf("%zu upstreams, %.0f/s, one rejects: %.3f of requests sent "
                  "to it, %lu refused\n",
                  upstreams,
                  rate,
                  share,
                  play.refused);
      CHECK(play.sends[0] <= 8);
      CHECK(share <= 0.16);
      LONGS_EQUAL(0, play.refused);
      play.rejects[0] = false;
      const TimePoint recovered = play.now;
      const auto avoided = [&play] {
        return play.judge.shares("s", nameOf(0), Evidence::Rejection, play.now)
          .avoided;
      };
      while (avoided() && play.now < recovered + 10s) {
        play.play(100ms, rate);
      }
      // Two requests that serve bring it back; it gets few where there are few.
      const base::Duration twoRequests =
        base::fromSeconds(2.0 * static_cast<double>(upstreams) / rate);
      CHECK(play.now - recovered <= 2s + twoRequests);
    }
  }
}

// Guards against capacity that is left out in a flood, and against a storm of
// sends while all reject.
TEST(UpstreamErrors, NoneIsAvoidedWhereAllRejectAndSendsStayInTheBudget)
{
  for (const std::size_t upstreams : { 2, 5, 60 }) {
    for (const double rate : { 20.0, 300.0, 2400.0 }) {
      RejectionPlay play(upstreams);
      play.play(10s, rate);
      play.rejects.assign(upstreams, true);
      play.allSends = play.requests = 0;
      play.play(10s, rate);
      unsigned avoided = 0;
      for (std::size_t i = 0; i < upstreams; ++i) {
        const bool is =
          play.judge.avoided("s", nameOf(i), Repetition::Allowed, play.now);
        avoided += is ? 1 : 0;
      }
      const double beyond = static_cast<double>(play.allSends) /
                              static_cast<double>(play.requests) -
                            1;
      std::printf("%zu upstreams, %.0f/s, all reject: %u avoided, %.3f sends "
                  "beyond the first of each request\n",
                  upstreams,
                  rate,
                  avoided,
                  beyond);
      LONGS_EQUAL(0, avoided);
      CHECK(beyond < 0.2);
    }
  }
}

// Guards against a full upstream that loses its place, and rejections for the
// sake of the request that count as its fault.
TEST(UpstreamErrors, RejectionWithAReasonSpeaksAgainstNobody)
{
  using Facts = dispatch::RejectionFacts;
  CHECK(dispatch::speaksAgainstUpstream(Facts{}));
  CHECK_FALSE(dispatch::speaksAgainstUpstream(Facts{ .hasRoom = false }));
  for (bool Facts::*reason : { &Facts::othersWait,
                               &Facts::namesTime,
                               &Facts::brittle,
                               &Facts::deadlineNear,
                               &Facts::byPeer }) {
    Facts facts;
    facts.*reason = true;
    CHECK_FALSE(dispatch::speaksAgainstUpstream(facts));
  }
  dispatch::Candidate full;
  full.slots = full.running = 8;
  CHECK_FALSE(dispatch::hasRoom(full, {}));
}

// Guards against a rejection that clears an upstream of errors.
TEST(UpstreamErrors, RejectionsTellNothingOfErrors)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 2);
  for (unsigned i = 0; i < 20; ++i) {
    errors.onAnswer("s", "a", Answer::Rejection, kStart);
  }
  CHECK(errors.shares("s", "a", Evidence::Error, kStart).avoided);
  CHECK_FALSE(errors.shares("s", "a", Evidence::Rejection, kStart).avoided);
}

// Guards against an upstream with a few errors that is avoided in place of one
// that rejects everything.
TEST(UpstreamErrors, WorseUpstreamTakesThePlaceOfAnAvoidedOne)
{
  sound({ "a", "b", "c" });
  answer(errors, "a", true, 1);
  CHECK(isAvoided(errors, "a"));
  for (unsigned i = 0; i < 3; ++i) {
    errors.onAnswer("s", "b", Answer::Rejection, kStart);
    errors.onAnswer("s", "c", Answer::Served, kStart);
  }
  CHECK(isAvoided(errors, "b"));
  CHECK_FALSE(isAvoided(errors, "a"));
}

// Guards against an engine that is avoided for all its models because one was
// just unloaded.
TEST(UpstreamErrors, OneRejectionAvoidsNobody)
{
  sound({ "a", "b", "c" });
  errors.onAnswer("s", "a", Answer::Rejection, kStart);
  CHECK_FALSE(isAvoided(errors, "a"));
  errors.onAnswer("s", "a", Answer::Served, kStart);
  errors.onAnswer("s", "a", Answer::Rejection, kStart);
  CHECK_FALSE(isAvoided(errors, "a"));
  errors.onAnswer("s", "a", Answer::Rejection, kStart);
  CHECK(isAvoided(errors, "a"));
  dispatch::RejectionFacts facts;
  facts.modelLeaves = true;
  CHECK_FALSE(dispatch::speaksAgainstUpstream(facts));
}

// Guards against two upstreams that reject alike and take each other's place
// among those avoided with each answer.
TEST(UpstreamErrors, EquallyBadUpstreamsDoNotSwapPlaces)
{
  sound({ "a", "b", "c" });
  unsigned changes = 0;
  bool before = false;
  for (unsigned i = 0; i < 60; ++i) {
    // The one that is not avoided ends its requests at once and draws more.
    const char* name = isAvoided(errors, "a") ? "b" : "a";
    for (unsigned drawn = 0; drawn < 3; ++drawn) {
      errors.onAnswer("s", name, Answer::Rejection, kStart);
      errors.onAnswer("s", "c", Answer::Served, kStart);
    }
    const bool now = isAvoided(errors, "a");
    changes += now != before ? 1 : 0;
    before = now;
  }
  CHECK(isAvoided(errors, "a") != isAvoided(errors, "b"));
  CHECK(changes <= 5); // The share of each in turn is larger by 0.2, up to 1.
}
