/** @file Tests of the routing library. */
#include "routing/routing.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <set>

using namespace marigold;
using namespace std::chrono_literals;
using routing::StrategyKind;

namespace {

routing::UpstreamView
engine(const std::string& aName, int aLoad = 0)
{
  routing::UpstreamView view;
  view.name = aName;
  view.reported = true;
  view.capacity = 8;
  view.othersLoad = aLoad;
  view.meanTime = 1s;
  return view;
}

base::UpstreamName
chosen(StrategyKind aKind,
       const std::vector<routing::UpstreamView>& aViews,
       const routing::RequestView& aRequest = {})
{
  const auto strategy = routing::makeStrategy(aKind, 7);
  const auto index = strategy->choose(aRequest, aViews, base::TimePoint(1s));
  return index ? aViews[*index].name : "none";
}

constexpr std::array kAllKinds{ StrategyKind::Marigold,
                                StrategyKind::RoundRobin,
                                StrategyKind::LeastConnections };

} // namespace

TEST_GROUP(Routing){};

// Guards against an index into an empty set of views.
TEST(Routing, NoUpstreamGivesNoChoice)
{
  for (const StrategyKind kind : kAllKinds) {
    STRCMP_EQUAL("none", chosen(kind, {}).c_str());
  }
}

// Guards against a choice that depends on anything but its inputs.
TEST(Routing, SameSeedGivesSameChoices)
{
  const std::vector views{ engine("a"), engine("b"), engine("c") };
  for (const StrategyKind kind : kAllKinds) {
    const auto first = routing::makeStrategy(kind, 11);
    const auto second = routing::makeStrategy(kind, 11);
    for (int round = 0; round < 50; ++round) {
      CHECK(first->choose({}, views, {}) == second->choose({}, views, {}));
    }
  }
}

// Guards against a strategy that ignores what it has sent since the report.
TEST(Routing, OwnRequestsCorrectTheReport)
{
  auto busy = engine("a", 4);
  busy.inflight = 3;
  STRCMP_EQUAL(
    "b", chosen(StrategyKind::Marigold, { busy, engine("b", 4) }).c_str());
}

// Guards against counting this VM's own requests twice, and against a single
// late report that changes the estimate at once.
TEST(Routing, OthersLoadIsTheMeanOfReportsWithoutOwnRequests)
{
  routing::OthersLoad others;
  others.onReport(6, 6);
  DOUBLES_EQUAL(0, others.value(), 1e-9);
  others.onReport(26, 6);
  CHECK(others.value() < 2);
  for (int count = 0; count < 200; ++count) {
    others.onReport(26, 6);
  }
  DOUBLES_EQUAL(20, others.value(), 0.1);
}

// Guards against trust in a report that is long out of date.
TEST(Routing, OldReportFades)
{
  auto view = engine("a", 40);
  view.reportAge = 60s;
  DOUBLES_EQUAL(0, routing::estimatedLoad(view), 0.1);
}

// Guards against traffic over paid links while the own data centre has room.
TEST(Routing, RemoteOnlyWhenOwnDataCentreIsFull)
{
  auto remote = engine("a", 0);
  remote.near = false;
  remote.linkTime = 25ms;
  CHECK(chosen(StrategyKind::Marigold, { remote, engine("b", 1) }) == "b");
  CHECK(chosen(StrategyKind::Marigold, { remote, engine("b", 24) }) == "a");
}

// Guards against affinity that is ignored, or that overrides a full engine.
TEST(Routing, PrefixAttractsUntilTheEngineIsFull)
{
  auto cached = engine("b", 2);
  cached.prefixMatch = 1;
  CHECK(chosen(StrategyKind::Marigold, { engine("a", 2), cached }) == "b");
  cached.othersLoad = 24;
  CHECK(chosen(StrategyKind::Marigold, { engine("a", 2), cached }) == "a");
}

// Guards against herding of VMs that see the same report.
TEST(Routing, EqualUpstreamsShareTheWork)
{
  const std::vector views{ engine("a"), engine("b"), engine("c") };
  std::set<base::UpstreamName> seen;
  const auto strategy = routing::makeStrategy(StrategyKind::Marigold, 3);
  for (int round = 0; round < 50; ++round) {
    seen.insert(views[*strategy->choose({}, views, {})].name);
  }
  LONGS_EQUAL(3, seen.size());
}

// Guards against a prefix that counts as cached after its eviction, and against
// full trust after a gap in which an eviction may have been missed.
TEST(Routing, PrefixIndexFollowsEvictionsAndGaps)
{
  routing::PrefixIndex index;
  const base::TimePoint now(10s);
  index.onEvents("a", { { 2, true, "q" }, { 1, true, "p" } }, now);
  DOUBLES_EQUAL(1, index.match("a", "p", now), 1e-9);
  index.onEvents("a", { { 3, false, "p" }, { 2, true, "p" } }, now);
  DOUBLES_EQUAL(0, index.match("a", "p", now), 1e-9);
  index.onEvents("a", { { 7, true, "r" } }, now);
  DOUBLES_EQUAL(0.5, index.match("a", "q", now), 1e-9);
  CHECK(index.match("a", "r", now + 60s) < index.match("a", "r", now));
  index.forget("a");
  DOUBLES_EQUAL(0, index.match("a", "r", now), 1e-9);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
