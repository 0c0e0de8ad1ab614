/** @file Tests of the membership library. */
#include "membership/membership.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using membership::PeerState;
using membership::Situation;

namespace {

membership::Vm
entryVm(const std::string& aName, const std::string& aDataCentre)
{
  membership::Vm vm;
  vm.name = aName;
  vm.dataCentre = aDataCentre;
  return vm;
}

membership::Heartbeat
heartbeat(const std::string& aName,
          const std::string& aDataCentre,
          base::Incarnation aIncarnation = 1)
{
  membership::Heartbeat beat;
  beat.vm = aName;
  beat.dataCentre = aDataCentre;
  beat.incarnation = aIncarnation;
  return beat;
}

} // namespace

TEST_GROUP(Membership)
{
  base::TimePoint now{ 100s };
  membership::Membership self{ "n1", "north" };
};

// Guards against a cut that is taken for a dead platform, and the reverse.
TEST(Membership, SituationTellsCutFromOutage)
{
  CHECK(self.situation(now) == Situation::CutOff);
  self.onHeartbeat(heartbeat("n2", "north"), now);
  CHECK(self.situation(now) == Situation::CutOff);
  self.onHeartbeat(heartbeat("s1", "south"), now);
  CHECK(self.situation(now) == Situation::PlatformDown);
  self.onPlatform(true, now);
  CHECK(self.situation(now) == Situation::Connected);
  self.onPlatform(false, now + 2s);
  CHECK(self.situation(now + 2s) == Situation::CutOff);
}

// Guards against a VM that calls itself cut off because only the relays of its
// data centre talk to the others.
TEST(Membership, RelaysTellWhetherOthersAreHeard)
{
  auto relay = heartbeat("n2", "north");
  relay.hearsOthers = true;
  self.onHeartbeat(relay, now);
  CHECK(self.situation(now) == Situation::PlatformDown);
  CHECK(self.situation(now + 2s) == Situation::CutOff);
}

// Guards against a VM that is called gone only because the list lags.
TEST(Membership, GoneNeedsANewerListWithoutTheVm)
{
  self.onList({ 5, { entryVm("n2", "north"), entryVm("n3", "north") } });
  CHECK(self.state("n2", now) == PeerState::Suspected);
  CHECK_FALSE(self.onList({ 4, {} }));
  CHECK(self.state("n2", now) == PeerState::Suspected);
  CHECK(self.onList({ 6, { entryVm("n3", "north") } }));
  CHECK(self.state("n2", now) == PeerState::Gone);
  CHECK(self.state("n3", now) == PeerState::Suspected);
}

// Guards against a late heartbeat of a process that has been replaced.
TEST(Membership, EarlierIncarnationIsIgnored)
{
  self.onHeartbeat(heartbeat("n2", "north", 2), now);
  self.onHeartbeat(heartbeat("n2", "north", 1), now + 3s);
  CHECK(self.state("n2", now + 3s) == PeerState::Suspected);
}

// Guards against an address that a short heartbeat erases.
TEST(Membership, ShortHeartbeatKeepsWhatIsKnown)
{
  auto full = heartbeat("s1", "south");
  full.meshAddress = "127.0.0.1:1";
  self.onHeartbeat(full, now);
  self.onHeartbeat(heartbeat("s1", ""), now + 1s);
  STRCMP_EQUAL("south", self.peers().at("s1").last.dataCentre.c_str());
  STRCMP_EQUAL("127.0.0.1:1", self.peers().at("s1").last.meshAddress.c_str());
}

// Guards against a data centre without a relay after one has failed.
TEST(Membership, RelaysMoveWhenOneFails)
{
  for (const char* name : { "n2", "n3", "n4" }) {
    self.onHeartbeat(heartbeat(name, "north"), now);
  }
  const auto before = self.relays("north", now);
  LONGS_EQUAL(membership::kRelays, before.size());
  const auto later = now + 2s;
  for (const char* name : { "n2", "n3", "n4" }) {
    if (name != before[0]) {
      self.onHeartbeat(heartbeat(name, "north"), later);
    }
  }
  if (before[0] != "n1") {
    CHECK(self.relays("north", later)[0] == before[1]);
  }
  LONGS_EQUAL(membership::kRelays, self.relays("north", later).size());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
