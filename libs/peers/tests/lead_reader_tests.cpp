/** @file Tests of which data centre reads the store for the others. */
#include "peers/peers.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;

TEST_GROUP(LeadReader)
{
  std::map<base::DataCentre, peers::KnownRelay> relays{
    { "a", { "a1", 300ms } },
    { "b", { "b1", 300ms } },
    { "c", { "c1", 300ms } },
    { "d", { "d1", 300ms } }
  };

  std::vector<base::VmName> leads(const base::DataCentre& aOwn)
  {
    auto others = relays;
    others.erase(aOwn);
    return peers::leadReaders(aOwn, others, 1s);
  }
};

// Each relay that reads the store costs as many calls as the first one, so of
// those that hear each other exactly one must.
TEST(LeadReader, OneDataCentreReadsForAll)
{
  CHECK(leads("a").empty());
  CHECK(leads("b") == std::vector<base::VmName>{ "a1" });
  CHECK(leads("d") == (std::vector<base::VmName>{ "a1", "b1" }));
}

// A data centre that is cut off from the one that reads must find another one,
// or read the store itself.
TEST(LeadReader, SilentDataCentresAreNotFollowed)
{
  relays["a"].age = 1s;
  CHECK(leads("b").empty());
  CHECK(leads("d") == (std::vector<base::VmName>{ "b1", "c1" }));
  CHECK(peers::leadReaders("d", {}, 1s).empty());
}

// Where limits are short, a change must not wait for a lead that stopped.
TEST(LeadReader, ShortLimitsLeaveNoTimeToFollow)
{
  CHECK(!peers::mayFollowLead(2500ms, 1800ms));
  CHECK(peers::mayFollowLead(4s, 1800ms));
}
