/** @file Shows for each mechanism that the oracle notices its absence. */
#include "property.h"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace marigold::claims::testing;
using std::chrono::milliseconds;

namespace {

constexpr int kSpread = 300; ///< seeds or moments that a scenario is run with

/** Runs a scenario with many seeds. @return how often the oracle complained */
int
violations(const std::function<void(World&, int)>& aScenario,
           Disabled aDisabled)
{
  int count = 0;
  for (int seed = 0; seed < kSpread; ++seed) {
    World world(static_cast<std::uint64_t>(seed), aDisabled);
    aScenario(world, seed);
    world.settle();
    count += world.violation().empty() ? 0 : 1;
  }
  return count;
}

std::function<void(World&, int)>
script(std::vector<Step> aSteps)
{
  return [aSteps = std::move(aSteps)](World& aWorld, int) {
    for (const Step& step : aSteps) {
      aWorld.apply(step);
    }
  };
}

void
checkNeeded(const std::function<void(World&, int)>& aScenario,
            Disabled aDisabled)
{
  LONGS_EQUAL(0, violations(aScenario, {}));
  CHECK(violations(aScenario, aDisabled) > 0);
}

/** The VM of the home data centre that is no member of the group. */
int
spareOf(const World& aWorld)
{
  return 3 - aWorld.members().at(0) - aWorld.members().at(1);
}

} // namespace

TEST_GROUP(Mechanisms){};

// Guards against an oracle or a simulation that cannot see double runs: without
// the quorum, two coordinators get one voter each.
TEST(Mechanisms, QuorumOfTwoIsNeeded)
{
  Disabled disabled;
  disabled.quorum = true;
  checkNeeded(script({ { StepKind::Request, 0, 3 },
                       { StepKind::Request, 0, 4 },
                       { StepKind::Advance, 1, 2 } }),
              disabled);
}

// Guards against a voter that grants a key to a second attempt.
TEST(Mechanisms, VotingOnceIsNeeded)
{
  Disabled disabled;
  disabled.voteOnce = true;
  checkNeeded(script({ { StepKind::Request, 0, 3 },
                       { StepKind::Advance, 2, 0 },
                       { StepKind::Request, 0, 4 } }),
              disabled);
}

// Guards against a restarted member that votes without the claims.
TEST(Mechanisms, CopyBeforeJoiningIsNeeded)
{
  Disabled disabled;
  disabled.copy = true;
  const auto scenario = [](World& aWorld, int) {
    const int member = aWorld.members().front();
    const int survivor = aWorld.members().back();
    aWorld.request(0, 3);
    aWorld.advance(milliseconds(400));
    aWorld.apply({ StepKind::Restart, member, 0 });
    aWorld.advance(milliseconds(4000));
    aWorld.apply({ StepKind::Kill, survivor, 0 });
    aWorld.advance(milliseconds(100));
    aWorld.request(0, 4);
  };
  checkNeeded(scenario, disabled);
}

// Guards against a member that votes in an epoch after its claims were copied
// for the next one.
TEST(Mechanisms, SealingBeforeTheCopyIsNeeded)
{
  Disabled disabled;
  disabled.seal = true;
  const auto scenario = [](World& aWorld, int aMoment) {
    const int silent = aWorld.members().front();
    const int survivor = aWorld.members().back();
    // Only the coordinator still reaches the silent member.
    aWorld.cut(silent, spareOf(aWorld));
    aWorld.cut(silent, survivor);
    aWorld.apply({ StepKind::Cut, silent, 1 });
    aWorld.request(1, 3);
    aWorld.advance(milliseconds(900 + 3 * aMoment));
    aWorld.request(0, 3);
    aWorld.advance(milliseconds(1200));
    aWorld.apply({ StepKind::Kill, silent, 0 });
    aWorld.apply({ StepKind::Kill, survivor, 0 });
    aWorld.request(0, 3);
  };
  checkNeeded(scenario, disabled);
}

// Guards against a coordinator that was paused between the quorum and the first
// byte, and forwards when the claim has long run out.
TEST(Mechanisms, GrantExpiryIsNeeded)
{
  Disabled disabled;
  disabled.grantExpiry = true;
  checkNeeded(script({ { StepKind::Request, 1, 3 },
                       { StepKind::Advance, 0, 2 },
                       { StepKind::Pause, 3, 0 },
                       { StepKind::Advance, 3, 4 },
                       { StepKind::Request, 1, 4 } }),
              disabled);
}

// Guards against the vote of a replaced member that is counted together with
// the platform's, after the next epoch has read the platform's claims.
TEST(Mechanisms, ReadingTheEpochAfterThePlatformsVoteIsNeeded)
{
  Disabled disabled;
  disabled.confirm = true;
  const auto scenario = [](World& aWorld, int) {
    const int replaced = aWorld.members().front();
    const int survivor = aWorld.members().back();
    aWorld.request(1, 3);
    aWorld.advance(milliseconds(100));
    aWorld.cut(replaced, survivor);
    aWorld.cut(replaced, spareOf(aWorld));
    aWorld.cut(3, survivor);
    aWorld.advance(milliseconds(2500));
    aWorld.request(0, 3);
    aWorld.advance(milliseconds(1000));
    aWorld.request(0, 4);
  };
  checkNeeded(scenario, disabled);
}

// Guards against checks that pass because nothing ever runs, and against
// repeats that are refused although a majority is there.
TEST(Mechanisms, RequestsRunAndRepeatsGetTheAnswer)
{
  int executions = 0;
  int repeats = 0;
  const auto scenario = [&](World& aWorld, int) {
    aWorld.request(0, 3);
    aWorld.advance(milliseconds(600));
    aWorld.request(0, 0);
    aWorld.advance(milliseconds(600));
    executions += static_cast<int>(aWorld.executions());
    repeats += aWorld.outcomes().contains("repeat") ? 1 : 0;
  };
  LONGS_EQUAL(0, violations(scenario, {}));
  // A tenth of the upstreams refuse, and a tenth of the answers are lost.
  CHECK(executions > kSpread * 8 / 10);
  CHECK(repeats > kSpread * 7 / 10);
}
