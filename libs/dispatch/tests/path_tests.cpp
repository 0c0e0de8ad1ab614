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

  void lose()
  {
    for (const char* name : { "u0", "u1", "u2" }) {
      path.onFailed(name, now);
    }
    CHECK(isState(path, PathState::Lost));
  }
};

// All connects hang or are refused from one moment on, while callers keep
// coming. Guards against a VM that goes on sending into a lost path.
TEST(Path, IsLostOnceSeveralUpstreamsFailAndNoneIsReached)
{
  path.onReached("u5", now - 1s);
  path.onFailed("u0", now);
  CHECK(isState(path, PathState::InDoubt));
  CHECK(path.isDirect("u0"));
  const auto probes = path.nextProbes(known, 3, now);
  LONGS_EQUAL(4, probes.size());
  CHECK(path.nextProbes(known, 3, now + 100ms).empty());
  path.onFailed(probes[0], now + 400ms);
  path.onFailed(probes[1], now + 400ms);
  CHECK(isState(path, PathState::Lost));
  CHECK(!path.isDirect("u7"));
}

// One engine crashes. Guards against sending all requests by way of peers.
TEST(Path, StaysOpenIfOthersAreReached)
{
  path.onFailed("u0", now);
  path.onReached("u4", now + 10ms);
  CHECK(isState(path, PathState::InDoubt));
  path.onReached("u5", now + 20ms);
  CHECK(isState(path, PathState::Open));
  path.onFailed("u0", now + 200ms);
  CHECK(isState(path, PathState::Open)); // The others were just reached.
}

// A quarter of the engines crash together, or lose power together.
TEST(Path, StaysOpenIfAPartOfTheUpstreamsEndsTogether)
{
  path.onFailed("u0", now);
  path.onFailed("u1", now);
  path.onReached("u6", now + 5ms);
  path.onFailed("u2", now + 5ms);
  CHECK(isState(path, PathState::InDoubt));
  path.onReached("u7", now + 30ms);
  CHECK(isState(path, PathState::Open));
}

// A doubt that nothing answers must end, since evidence waits for it.
TEST(Path, DoubtEnds)
{
  path.onFailed("u0", now);
  path.update(now + 600ms);
  CHECK(isState(path, PathState::InDoubt));
  path.update(now + 800ms);
  CHECK(isState(path, PathState::Open));
}

// One late connect of the time before the cut succeeds.
TEST(Path, IsLostInSpiteOfASingleSuccess)
{
  path.onFailed("u0", now);
  path.onReached("u9", now + 10ms);
  for (const char* name : { "u1", "u2", "u3" }) {
    path.onFailed(name, now + 400ms);
  }
  path.update(now + 750ms);
  CHECK(isState(path, PathState::Lost));
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

// A data centre of two upstreams, or one.
TEST(Path, IsLostIfAllOfAFewUpstreamsFail)
{
  path.setUpstreamCount(2);
  path.onFailed("u0", now);
  CHECK(isState(path, PathState::InDoubt));
  path.onFailed("u1", now);
  CHECK(isState(path, PathState::Lost));
  path.onReached("u0", now + 2s);
  path.onReached("u1", now + 2s);
  CHECK(isState(path, PathState::Open));
}

// The path returns. Guards against sending by way of peers for ever, and
// against flapping while single connects succeed.
TEST(Path, OpensOnceMostProbesSucceed)
{
  lose();
  const auto probes = path.nextProbes(known, 0, now + 300ms);
  LONGS_EQUAL(2, probes.size());
  path.onReached("u5", now + 300ms);
  CHECK(isState(path, PathState::Lost));
  CHECK(path.isDirect("u5"));
  CHECK(!path.isDirect("u6"));
  path.onReached("u6", now + 600ms); // Three have failed in the last second.
  CHECK(isState(path, PathState::Lost));
  path.onReached("u7", now + 1100ms);
  CHECK(isState(path, PathState::Open));
  CHECK(path.isDirect("u0"));
}

TEST(Path, StaysLostWhileAsManyConnectsFailAsSucceed)
{
  lose();
  for (int step = 1; step < 20; ++step) {
    now += 300ms;
    path.onReached("u5", now);
    path.onFailed("u" + std::to_string(6 + step % 3), now);
    path.onReached("u9", now);
    CHECK(isState(path, PathState::Lost));
  }
}

// Some engines can be reached again sooner than others.
TEST(Path, UpstreamThatFailsAgainIsNotDirect)
{
  lose();
  path.onReached("u5", now + 300ms);
  CHECK(path.isDirect("u5"));
  path.onFailed("u5", now + 600ms);
  CHECK(!path.isDirect("u5"));
}

// A request is not acknowledged, on a lossy link or a lost path. Guards against
// finding out one timeout after the other, and against a probe for each request
// of a lossy link.
TEST(Path, SuspicionProbesOthersAtOnceButNotTooOften)
{
  CHECK(path.onSuspicion(now));
  LONGS_EQUAL(2, path.nextProbes(known, 0, now).size());
  CHECK(!path.onSuspicion(now + 200ms));
  CHECK(path.nextProbes(known, 0, now + 200ms).empty());
  for (const char* name : { "u0", "u1", "u2" }) {
    path.onFailed(name, now + 400ms);
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
      carriers.onStarted(*vm);
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
