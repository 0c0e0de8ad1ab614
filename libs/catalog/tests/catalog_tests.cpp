/** @file Tests of the catalog library. */
#include "catalog/catalog.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using catalog::Route;

namespace {

Route
route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix)
{
  Route made;
  made.name = aName;
  made.host = aHost;
  made.prefix = aPrefix;
  made.targets = { { "s", 1 } };
  return made;
}

} // namespace

TEST_GROUP(RouteTable)
{
  std::vector<Route> routes{ route("short", "a.example", "/x/"),
                             route("long", "a.example", "/x/y/"),
                             route("other", "b.example", "/") };
  catalog::RouteTable table{ routes };

  const char* find(const char* aHost, const char* aTarget)
  {
    const Route* found = table.find(aHost, aTarget);
    return found == nullptr ? "" : found->name.c_str();
  }
};

// Guards against a request that reaches the service of a shorter prefix.
TEST(RouteTable, TakesTheLongestPrefix)
{
  STRCMP_EQUAL("long", find("a.example", "/x/y/z?q=/"));
  STRCMP_EQUAL("short", find("a.example", "/x/yy"));
  STRCMP_EQUAL("other", find("b.example", "/anything"));
}

// Guards against prefixes that match inside a path segment.
TEST(RouteTable, MatchesWholeSegments)
{
  STRCMP_EQUAL("", find("a.example", "/x"));
  STRCMP_EQUAL("", find("a.example", "/xy/"));
}

// Guards against hosts that differ in case or carry a port being unknown.
TEST(RouteTable, IgnoresCaseAndPortOfTheHost)
{
  STRCMP_EQUAL("short", find("A.Example:8080", "/x/"));
  STRCMP_EQUAL("", find("c.example", "/x/"));
}

// Guards against a split that ignores the weights.
TEST(RouteTable, SplitsByWeight)
{
  Route split = route("split", "a", "/");
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

// Guards against a key that opens another team's account.
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
