/** @file Tests of the catalog library. */
#include "catalog/catalog.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using catalog::Route;

namespace {

Route
makeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix)
{
  Route result;
  result.name = aName;
  result.host = aHost;
  result.prefix = aPrefix;
  result.targets = { { "s", 1 } };
  return result;
}

} // namespace

TEST_GROUP(RouteTable)
{
  std::vector<Route> routes{ makeRoute("short", "a.example", "/x/"),
                             makeRoute("long", "a.example", "/x/y/"),
                             makeRoute("other", "b.example", "/") };
  catalog::RouteTable table{ routes };

  const char* find(const char* aHost, const char* aTarget)
  {
    const Route* found = table.find(aHost, aTarget);
    return found == nullptr ? "" : found->name.c_str();
  }
};

// A request must not be routed by a shorter prefix if a longer one matches.
TEST(RouteTable, PrefersTheLongestPrefix)
{
  STRCMP_EQUAL("long", find("a.example", "/x/y/z?q=/"));
  STRCMP_EQUAL("short", find("a.example", "/x/yy"));
  STRCMP_EQUAL("other", find("b.example", "/anything"));
}

// A prefix must not match part of a path segment.
TEST(RouteTable, MatchesOnlyCompleteSegments)
{
  STRCMP_EQUAL("", find("a.example", "/x"));
  STRCMP_EQUAL("", find("a.example", "/xy/"));
}

// A host with a port or in another case must still match.
TEST(RouteTable, IgnoresCaseAndPortOfTheHost)
{
  STRCMP_EQUAL("short", find("A.Example:8080", "/x/"));
  STRCMP_EQUAL("", find("c.example", "/x/"));
}

// Traffic must be split in proportion to the configured weights.
TEST(RouteTable, SplitsByWeight)
{
  Route split = makeRoute("split", "a", "/");
  split.targets = { { "large", 90 }, { "small", 10 } };
  constexpr int kDraws = 1000;
  int small = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    const auto hash = base::hash64(std::to_string(draw));
    small += catalog::pickService(split, hash) == "small" ? 1 : 0;
  }
  CHECK(small > 60 && small < 140);
}

TEST_GROUP(TeamKeys){};

// An API key must not grant access to another team.
TEST(TeamKeys, FindsTheTeamOfAKey)
{
  std::vector<catalog::Team> teams(2);
  teams[0].name = "one";
  teams[0].keyDigests = { base::sha256Hex("k1") };
  teams[1].name = "two";
  teams[1].keyDigests = { base::sha256Hex("k2") };
  const catalog::TeamKeys keys(teams);
  STRCMP_EQUAL("two", keys.find("k2")->name.c_str());
  POINTERS_EQUAL(nullptr, keys.find("k3"));
}

TEST_GROUP(ModelRef){};

// Model and adapter must be separated at the slash.
TEST(ModelRef, SplitsTheAdapter)
{
  const auto ref = catalog::parseModelRef("m/a1");
  STRCMP_EQUAL("m", ref.model.c_str());
  STRCMP_EQUAL("a1", ref.adapter.c_str());
  STRCMP_EQUAL("m/a1", ref.text().c_str());
  STRCMP_EQUAL("m", catalog::parseModelRef("m").text().c_str());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
