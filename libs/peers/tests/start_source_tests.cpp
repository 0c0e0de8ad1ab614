/** @file Tests of where a VM that has just started reads the store's keys. */
#include "peers/peers.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using peers::StartSource;

TEST_GROUP(StartSource)
{
  const TimePoint start{ 100s };
  const std::vector<base::VmName> ranking{ "a", "b", "c", "d", "e" };
};

// Eighty VMs that start at once must not all read the whole store: two of each
// data centre do, and the others ask these.
TEST(StartSource, OnlyTheReadersOfADataCentreReadTheStore)
{
  for (const base::VmName& vm : ranking) {
    StartSource source(vm, start, 7);
    source.setRanking(ranking);
    const bool reader = vm == "a" || vm == "b";
    CHECK(source.next(start) ==
          (reader ? StartSource::Step::ReadStore : StartSource::Step::AskPeer));
  }
}

// Registrations outlive VMs by seconds, so some that are asked are gone; a
// start must not wait for them for long.
TEST(StartSource, AsksOthersAndReadsTheStoreIfNoneAnswersSoon)
{
  StartSource source("e", start, 7);
  source.setRanking(ranking);
  STRCMP_EQUAL("a", source.peer().c_str());
  source.onFailed("a");
  source.onFailed("a"); // Another read of the same VM has failed too.
  STRCMP_EQUAL("b", source.peer().c_str());
  source.onFailed("b");
  source.onFailed("c");
  STRCMP_EQUAL("a", source.peer().c_str());
  CHECK(source.next(start + 400ms) == StartSource::Step::AskPeer);
  CHECK(source.next(start + 800ms) == StartSource::Step::ReadStore);
}

// In the first start of a fleet nobody is registered. Few VMs must read the
// store before the others learn of them, and none may wait for long.
TEST(StartSource, FirstVmsOfAFleetReadTheStoreAtDifferentMoments)
{
  unsigned early = 0;
  constexpr unsigned kVms = 100;
  for (unsigned seed = 1; seed <= kVms; ++seed) {
    StartSource source("vm", start, base::hash64("start", seed));
    source.setRanking({ "vm" });
    early +=
      source.next(start + 150ms) == StartSource::Step::ReadStore ? 1U : 0U;
    CHECK(source.next(start + 600ms) == StartSource::Step::ReadStore);
    source.setRanking({ "other", "third", "vm" });
    CHECK(source.next(start + 400ms) == StartSource::Step::AskPeer);
  }
  CHECK(early > 0);
  CHECK(early < kVms / 2);
}
