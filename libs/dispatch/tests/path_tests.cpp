/** @file Tests of a VM's path to the upstreams, and of the peers that carry its
 * requests. */
#include "dispatch/dispatch.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using dispatch::Carrier;
using dispatch::CarrierChoice;
using dispatch::PathMonitor;
using dispatch::PathState;

namespace {

std::vector<base::UpstreamName>
upstreams(int aCount)
{
  std::vector<base::UpstreamName> names;
  names.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    names.push_back("u" + std::to_string(n));
  }
  return names;
}

bool
isState(const PathMonitor& aPath, PathState aState)
{
  return aPath.state() == aState;
}

} // namespace

TEST_GROUP(Path)
{
  PathMonitor path;
  std::vector<base::UpstreamName> known = upstreams(12);
  TimePoint now{ 100s };

  void setup() override
  {
    path.setHasPeers(true);
    path.setUpstreamCount(known.size());
  }

  /** Connects of a call fail, then all probes. */
  void lose()
  {
    path.onFailed("u0", now);
    path.onFailed("u1", now);
    for (const auto& name : path.nextProbes(known, 2, now)) {
      path.onProbed(name, false, now);
    }
    CHECK(isState(path, PathState::Lost));
  }

  /** @return the number of probes, which succeed but for some upstreams */
  std::size_t probe(std::uint64_t aRandom,
                    const std::vector<base::UpstreamName>& aDead)
  {
    const auto names = path.nextProbes(known, aRandom, now);
    for (const auto& name : names) {
      const bool dead =
        std::find(aDead.begin(), aDead.end(), name) != aDead.end();
      path.onProbed(name, !dead, now);
    }
    return names.size();
  }
};

// All connects hang or are refused from one moment on, while callers keep
// coming. Guards against a VM that goes on sending into a lost path.
TEST(Path, IsLostOnceProbesOfOtherUpstreamsFailAsWell)
{
  path.onReached("u5", now - 1s);
  path.onFailed("u0", now);
  CHECK(isState(path, PathState::InDoubt));
  CHECK(path.isDirect("u0"));
  const auto probes = path.nextProbes(known, 3, now);
  LONGS_EQUAL(4, probes.size());
  CHECK(path.nextProbes(known, 3, now + 100ms).empty());
  for (std::size_t n = 0; n < 3; ++n) {
    path.onProbed(probes[n], false, now + 400ms);
    CHECK(isState(path, PathState::InDoubt));
  }
  path.onProbed(probes[3], false, now + 400ms);
  CHECK(isState(path, PathState::Lost));
  CHECK(!path.isDirect("u7"));
  CHECK(!path.anyDirect());
}

// One engine crashes. Guards against sending all requests by way of peers.
TEST(Path, StaysOpenIfAProbeSucceeds)
{
  path.onFailed("u0", now);
  CHECK(isState(path, PathState::InDoubt));
  const auto probes = path.nextProbes(known, 4, now);
  path.onProbed(probes[0], true, now + 10ms);
  CHECK(isState(path, PathState::Open));
  path.onFailed("u0", now + 200ms);
  CHECK(isState(path, PathState::Open)); // Another one was just reached.
}

// A rack of engines loses power on a VM whose last new connection is old: their
// connects are refused in one pass of the loop, before a probe of the doubt can
// answer. Guards against taking that for a lost path.
TEST(Path, RefusalsThatOutrunTheProbesAreNoLostPath)
{
  path.onReached("u11", now - 400ms);
  path.onFailed("u0", now);
  LONGS_EQUAL(4, path.nextProbes(known, 4, now).size());
  for (const char* name : { "u1", "u2", "u3" }) {
    path.onFailed(name, now);
  }
  CHECK(isState(path, PathState::InDoubt));
  path.onProbed("u5", true, now + 30ms);
  CHECK(isState(path, PathState::Open));
}

// The path is lost right after a connect has succeeded. Guards against
// evidence that upstreams have ended, from the first moments of a cut.
TEST(Path, SecondFailureRaisesADoubtAlsoAfterASuccess)
{
  path.onReached("u5", now);
  path.onFailed("u0", now + 10ms);
  CHECK(isState(path, PathState::Open));
  path.onFailed("u1", now + 10ms);
  CHECK(isState(path, PathState::InDoubt));
  LONGS_EQUAL(4, probe(4, known));
  CHECK(isState(path, PathState::Lost));
}

// A doubt that nothing answers must end, since evidence waits for it.
TEST(Path, DoubtEnds)
{
  path.onFailed("u0", now);
  path.nextProbes(known, 4, now);
  path.update(now + 600ms);
  CHECK(isState(path, PathState::InDoubt));
  path.update(now + 800ms);
  CHECK(isState(path, PathState::Open));
}

// Without a peer there is no other way, and nobody to tell a lost path from
// upstreams that have ended.
TEST(Path, IsNeverLostWithoutPeers)
{
  path.setHasPeers(false);
  for (const auto& name : known) {
    path.onFailed(name, now);
  }
  CHECK(isState(path, PathState::Open));
  path.setHasPeers(true);
  lose();
  path.setHasPeers(false);
  CHECK(isState(path, PathState::Open));
}

// A fleet of two upstreams.
TEST(Path, IsLostIfAllOfAFewUpstreamsFail)
{
  known = upstreams(2);
  path.setUpstreamCount(2);
  path.onFailed("u0", now);
  CHECK(isState(path, PathState::InDoubt));
  LONGS_EQUAL(1, probe(0, known));
  CHECK(isState(path, PathState::Lost));
  now += 2s;
  probe(0, {});
  CHECK(isState(path, PathState::Open));
}

// The path returns. Guards against sending by way of peers for ever, and
// against flapping while single connects succeed.
TEST(Path, OpensOnceHalfOfTheProbesSucceed)
{
  lose();
  now += 300ms;
  LONGS_EQUAL(2, probe(0, known));
  now += 300ms;
  LONGS_EQUAL(2, probe(4, {}));
  CHECK(isState(path, PathState::Open)); // Two of four.
  CHECK(path.isDirect("u0"));
}

// A third of the engines is dead for seconds and tried again each second.
// Guards against a path that counts as lost for as long as their records last.
TEST(Path, OpensAlthoughSomeUpstreamsStayDead)
{
  lose();
  const std::vector<base::UpstreamName> dead{ "u0", "u1", "u2", "u3" };
  for (int step = 1; step <= 20; ++step) {
    now += 100ms;
    if (step % 10 == 0) {
      for (const auto& name : dead) {
        path.onFailed(name, now);
      }
    }
    probe(static_cast<std::uint64_t>(step) * 5, dead);
    path.update(now);
  }
  CHECK(isState(path, PathState::Open));
}

// Two of twelve upstreams can be reached.
TEST(Path, StaysLostWhileFewProbesSucceed)
{
  lose();
  std::vector<base::UpstreamName> dead = known;
  std::erase(dead, "u5");
  std::erase(dead, "u6");
  for (std::uint64_t step = 0; step < 20; ++step) {
    now += 300ms;
    probe(step * 2, dead);
    if (step > 3) {
      CHECK(path.anyDirect());
    }
  }
  CHECK(isState(path, PathState::Lost));
  CHECK(path.isDirect("u5"));
}

// Some engines can be reached again sooner than others.
TEST(Path, UpstreamThatFailsAgainIsNotDirect)
{
  lose();
  path.onReached("u5", now + 300ms);
  CHECK(path.isDirect("u5"));
  path.onFailed("u5", now + 600ms);
  CHECK(!path.isDirect("u5"));
  CHECK(!path.anyDirect());
}

// A request is not acknowledged, on a lossy link or a lost path. Guards against
// finding out one timeout after the other, and against a probe for each request
// of a lossy link.
TEST(Path, SuspicionProbesOthersAtOnceButNotTooOften)
{
  CHECK(path.onSuspicion(now));
  const auto probes = path.nextProbes(known, 0, now);
  LONGS_EQUAL(3, probes.size());
  CHECK(!path.onSuspicion(now + 200ms));
  CHECK(path.nextProbes(known, 0, now + 200ms).empty());
  path.onFailed("u9", now + 400ms);
  for (const auto& name : probes) {
    CHECK(isState(path, PathState::InDoubt));
    path.onProbed(name, false, now + 400ms);
  }
  CHECK(isState(path, PathState::Lost));
}

TEST_GROUP(Carriers)
{
  CarrierChoice carriers;
  TimePoint now{ 100s };

  void setup() override
  {
    using Distance = Carrier::Distance;
    carriers.setPeers({ { "near1", Distance::SameDataCentre, 0.25 },
                        { "near2", Distance::SameDataCentre, 0.25 },
                        { "near3", Distance::SameDataCentre, 0.5 },
                        { "region", Distance::SameRegion, 0.25 },
                        { "far", Distance::OtherRegion, 4 } });
  }

  std::map<base::VmName, int> send(int aCount)
  {
    std::map<base::VmName, int> counts;
    for (int n = 0; n < aCount; ++n) {
      const auto vm =
        carriers.choose(static_cast<std::uint64_t>(n) * 7919, now);
      CHECK(vm.has_value());
      carriers.onStarted(*vm, now);
      ++counts[*vm];
    }
    return counts;
  }
};

// Half of the VMs are cut off: their requests spread over the others by what
// these can bear, and stay in the data centre, since traffic between regions is
// slow and paid by volume.
TEST(Carriers, SpreadsOverTheDataCentreByCapacity)
{
  const auto counts = send(80);
  LONGS_EQUAL(3, counts.size());
  CHECK(counts.at("near3") >= 38 && counts.at("near3") <= 42);
  CHECK(counts.at("near1") >= 18 && counts.at("near1") <= 22);
}

// A whole data centre is cut off. Guards against asking each VM there for each
// request before one elsewhere.
TEST(Carriers, TwoThatDeclineSpeakForTheirDataCentre)
{
  carriers.onDeclined("near1", now);
  CHECK(send(10).count("region") == 0);
  carriers.onDeclined("near3", now);
  LONGS_EQUAL(10, send(10).at("region"));
  carriers.onDeclined("region", now);
  LONGS_EQUAL(10, send(10).at("far"));
  now += 1100ms;
  CHECK(carriers.choose(0, now)->starts_with("near"));
  carriers.onAnswered("near1");
  carriers.onAnswered("near3");
  CHECK(send(10).count("far") == 0);
}

// Everyone else declines. Guards against refusing callers while one is left.
TEST(Carriers, AsksTheLastOneThatIsLeft)
{
  carriers.onDeclined("near1", now);
  carriers.onDeclined("near3", now);
  carriers.onDeclined("region", now);
  carriers.onDeclined("far", now);
  LONGS_EQUAL(5, send(5).at("near2"));
  carriers.onDeclined("near2", now);
  CHECK(!carriers.choose(0, now).has_value());
  carriers.setPeers({});
  CHECK(!carriers.choose(0, now + 5s).has_value());
}

// Guards against a peer that stays loaded for ever by requests that have ended.
TEST(Carriers, CountsOpenRequestsOnly)
{
  for (const auto& [vm, count] : send(40)) {
    for (int n = 0; n < count; ++n) {
      carriers.onEnded(vm);
    }
  }
  const auto counts = send(4);
  CHECK(counts.at("near3") >= 2);
}

// A peer stands still: it accepts connections, and answers nothing. Guards
// against giving it requests again as soon as it has been left out for a while.
TEST(Carriers, SilentPeerGetsSingleRequestsUntilItAnswers)
{
  carriers.onDeclined("near1", now);
  carriers.onDeclined("near2", now);
  carriers.onDeclined("far", now);
  carriers.onDeclined("region", now);
  now += 1100ms;
  auto counts = send(60);
  LONGS_EQUAL(1, counts["near1"]);
  LONGS_EQUAL(1, counts["near2"]);
  carriers.onAnswered("near1");
  counts = send(60);
  CHECK(counts["near1"] > 10);
  LONGS_EQUAL(0, counts["near2"]);
}
