/** @file Tests of the peers library. */
#include "peers/peers.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

peers::Status
sample(std::uint64_t aSequence)
{
  peers::Status status;
  status.vm = "vm1";
  status.dataCentre = "dc1";
  status.incarnation = 7;
  status.sequence = aSequence;
  status.catalogVersion = 12;
  status.draining = true;
  status.usage = { { "t", 100.5 } };
  status.loads["u"] = { 2, 30, 4, 5000 };
  status.demand["m/a1"] = { 12, 3, 1 };
  status.crashes["f"] = 2;
  status.drainingUpstreams["u2"] = 9;
  status.unregistered = { "vm9" };
  return status;
}

peers::Summary
sampleSummary(const char* aRelay, std::uint64_t aSequence, unsigned aRunning)
{
  peers::Summary summary;
  summary.dataCentre = "dc2";
  summary.relay = aRelay;
  summary.incarnation = 5;
  summary.sequence = aSequence;
  summary.catalogVersion = 3;
  summary.members["vm7"] = { 4, 9, true, { { "t", 20 } } };
  summary.loads["u"] = { aRunning, 0, 0, 100 };
  summary.demand["m"] = { 50, 2, 1 };
  summary.crashes["f"] = 1;
  summary.drainingUpstreams["u3"] = 2;
  summary.unregistered = { "vm8" };
  return summary;
}

} // namespace

TEST_GROUP(Peers)
{
  peers::PeerTable table{ "dc1" };
};

// Guards against fields that one side writes and the other does not read.
TEST(Peers, DecodesTheStatusThatItEncodes)
{
  const auto decoded = peers::decode(peers::encode(sample(3)));
  CHECK(bool(decoded));
  const auto& status = std::get<peers::Status>(decoded.value());
  STRCMP_EQUAL("dc1", status.dataCentre.c_str());
  LONGS_EQUAL(7, status.incarnation);
  LONGS_EQUAL(3, status.sequence);
  LONGS_EQUAL(12, status.catalogVersion);
  CHECK(status.draining);
  DOUBLES_EQUAL(101, status.usage.at("t"), 0.001);
  CHECK(status.loads.at("u") == (peers::UpstreamLoad{ 2, 30, 4, 5000 }));
  LONGS_EQUAL(3, status.demand.at("m/a1").waiting);
  LONGS_EQUAL(1, status.demand.at("m/a1").running);
  LONGS_EQUAL(2, status.crashes.at("f"));
  LONGS_EQUAL(9, status.drainingUpstreams.at("u2"));
  STRCMP_EQUAL("vm9", status.unregistered.at(0).c_str());
}

// Guards against fields that one side writes and the other does not read.
TEST(Peers, DecodesTheSummaryThatItEncodes)
{
  const auto decoded = peers::decode(peers::encode(sampleSummary("r", 8, 6)));
  CHECK(bool(decoded));
  const auto& summary = std::get<peers::Summary>(decoded.value());
  STRCMP_EQUAL("dc2", summary.dataCentre.c_str());
  STRCMP_EQUAL("r", summary.relay.c_str());
  LONGS_EQUAL(5, summary.incarnation);
  LONGS_EQUAL(8, summary.sequence);
  LONGS_EQUAL(3, summary.catalogVersion);
  LONGS_EQUAL(4, summary.members.at("vm7").incarnation);
  CHECK(summary.members.at("vm7").draining);
  DOUBLES_EQUAL(20, summary.members.at("vm7").usage.at("t"), 0.001);
  LONGS_EQUAL(6, summary.loads.at("u").running);
  LONGS_EQUAL(50, summary.demand.at("m").workMsPerSecond);
  LONGS_EQUAL(1, summary.crashes.at("f"));
  LONGS_EQUAL(2, summary.drainingUpstreams.at("u3"));
  STRCMP_EQUAL("vm8", summary.unregistered.at(0).c_str());
}

// Guards against fields that one side writes and the other does not read.
TEST(Peers, DecodesThePlacesThatItEncodes)
{
  peers::PlacementUpdate places;
  places.owner = "vm1";
  places.fencingToken = 44;
  places.sequence = 5;
  places.complete = true;
  places.engines["u"] = { { { "m", { "a1", "a2" } } }, { "n" } };
  places.loadAges = { 1500ms };
  const auto decoded = peers::decode(peers::encode(places));
  CHECK(bool(decoded));
  const auto& read = std::get<peers::PlacementUpdate>(decoded.value());
  STRCMP_EQUAL("vm1", read.owner.c_str());
  LONGS_EQUAL(44, read.fencingToken);
  LONGS_EQUAL(5, read.sequence);
  CHECK(read.complete);
  CHECK(read.engines.at("u") == places.engines.at("u"));
  CHECK(read.loadAges.at(0) == 1500ms);
}

// Guards against a datagram from elsewhere that ends the process.
TEST(Peers, RejectsOtherBytes)
{
  CHECK(!peers::decode("not a status"));
  CHECK(!peers::decode(""));
  std::string cut = peers::encode(sample(1));
  cut.resize(cut.size() / 2);
  CHECK(!peers::decode(cut));
}

// Guards against a delayed datagram that replaces a newer status.
TEST(Peers, IgnoresAnOlderStatus)
{
  CHECK(table.update(sample(5), TimePoint{ 1s }));
  CHECK(!table.update(sample(4), TimePoint{ 2s }));
  LONGS_EQUAL(5, table.statuses().at("vm1").status.sequence);
}

// Guards against load of a dead VM that keeps an upstream looking busy.
TEST(Peers, ForgetsSilentPeers)
{
  table.update(sample(1), TimePoint{ 1s });
  table.update(sampleSummary("r", 1, 3), TimePoint{ 1s });
  LONGS_EQUAL(5, table.peerLoad("u").running);
  table.expire(TimePoint{ 10s });
  LONGS_EQUAL(0, table.peerLoad("u").running);
}

// Guards against two relays of one data centre that count its work twice.
TEST(Peers, SummaryOfAnotherRelayReplacesTheOneBefore)
{
  CHECK(table.update(sampleSummary("r1", 4, 3), TimePoint{ 1s }));
  CHECK(table.update(sampleSummary("r2", 1, 4), TimePoint{ 2s }));
  LONGS_EQUAL(4, table.peerLoad("u").running);
}

// Guards against a summary that two relays pass on to each other for ever.
TEST(Peers, IgnoresASummaryThatItHasSeen)
{
  CHECK(table.update(sampleSummary("r1", 4, 3), TimePoint{ 1s }));
  CHECK(table.update(sampleSummary("r2", 1, 4), TimePoint{ 2s }));
  CHECK(!table.update(sampleSummary("r1", 4, 3), TimePoint{ 3s }));
  LONGS_EQUAL(4, table.peerLoad("u").running);
}

// Guards against requests that are counted in the status of their VM and again
// in the summary of its data centre.
TEST(Peers, StatusAheadOfItsSummaryIsNotCountedTwice)
{
  peers::Status ahead = sample(1);
  ahead.vm = "vm7";
  ahead.dataCentre = "dc2";
  ahead.demand = { { "m", { 0, 3, 0 } } };
  table.update(sampleSummary("r", 1, 3), TimePoint{ 1s });
  table.update(ahead, TimePoint{ 2s });
  LONGS_EQUAL(3, table.demand().at("m").waiting);
  LONGS_EQUAL(3, table.peerLoad("u").running);
  table.update(sampleSummary("r", 2, 3), TimePoint{ 3s });
  LONGS_EQUAL(2, table.demand().at("m").waiting);
}

TEST_GROUP(SummaryMaker)
{
  peers::PeerTable table{ "dc1" };
  peers::SummaryBuilder maker;
  peers::Status own = sample(1);

  peers::Summary at(TimePoint aNow)
  {
    return maker.build(own, table, 900ms, 1s, aNow);
  }
  peers::Status other(double aUnits, std::uint64_t aSequence)
  {
    peers::Status status = sample(aSequence);
    status.vm = "vm2";
    status.usage = { { "t", aUnits } };
    return status;
  }
};

// Load pattern: links between regions are paid by volume.
TEST(SummaryMaker, AddsUpTheDataCentre)
{
  table.update(other(5, 1), TimePoint{ 100s });
  const auto summary = at(TimePoint{ 100s });
  LONGS_EQUAL(2, summary.members.size());
  LONGS_EQUAL(4, summary.loads.at("u").running);
  LONGS_EQUAL(6, summary.demand.at("m/a1").waiting);
  LONGS_EQUAL(4, summary.crashes.at("f"));
  LONGS_EQUAL(1, summary.unregistered.size());
}

// Load pattern: hundreds of VMs with many teams, few of which change.
TEST(SummaryMaker, LeavesOutTotalsThatHaveNotChanged)
{
  table.update(other(5, 1), TimePoint{ 100s });
  LONGS_EQUAL(1, at(TimePoint{ 100s }).members.at("vm2").usage.size());
  table.update(other(5, 2), TimePoint{ 102s });
  LONGS_EQUAL(0, at(TimePoint{ 102s }).members.at("vm2").usage.size());
  table.update(other(6, 3), TimePoint{ 102500ms });
  DOUBLES_EQUAL(6, at(TimePoint{ 103s }).members.at("vm2").usage.at("t"), 0.1);
}

// Guards against a total that a peer missed and never hears again.
TEST(SummaryMaker, RepeatsAllTotalsNowAndThen)
{
  std::size_t whole = 0;
  for (TimePoint now{ 100s }; now < TimePoint{ 120s }; now += 400ms) {
    whole += at(now).members.at("vm1").usage.empty() ? 0U : 1U;
  }
  CHECK(whole >= 5);
}

// Guards against a VM that is cut off but looks alive through its relay.
TEST(SummaryMaker, LeavesOutSilentVms)
{
  table.update(other(5, 1), TimePoint{ 100s });
  LONGS_EQUAL(1, at(TimePoint{ 102s }).members.size());
}

TEST_GROUP(Relay){};

// Guards against VMs that disagree on the relay, and against a small VM that
// has to speak for its data centre while a large one idles.
TEST(Relay, LargestVmComesFirst)
{
  const auto order =
    peers::rankRelays({ { "b", 0.12 }, { "c", 0.5 }, { "a", 0.12 } });
  CHECK(order == (std::vector<base::VmName>{ "c", "a", "b" }));
}

// Guards against a data centre without a relay after the first one died.
TEST(Relay, NextVmTakesOverFromASilentOne)
{
  const std::vector<base::VmName> order{ "c", "a", "b" };
  const auto onlyA = [](const base::VmName& aVm) { return aVm == "a"; };
  STRCMP_EQUAL("a", peers::electRelay(order, "b", onlyA).c_str());
  const auto nobody = [](const base::VmName&) { return false; };
  STRCMP_EQUAL("b", peers::electRelay(order, "b", nobody).c_str());
}

// Guards against summaries that go to a dead relay only.
TEST(Relay, SendsToTwoVmsWhileTheRelayIsUnknown)
{
  const std::vector<base::VmName> order{ "c", "a", "b" };
  LONGS_EQUAL(2, peers::summaryRecipients(order, std::nullopt).size());
  CHECK(peers::summaryRecipients(order, "b") ==
        std::vector<base::VmName>{ "b" });
  LONGS_EQUAL(2, peers::summaryRecipients(order, "gone").size());
}

TEST_GROUP(PlaceNews)
{
  peers::PlacementAnnouncer news;
  peers::PlacementTable table{ { "u", { { { "m", { "a1" } } }, {} } },
                               { "v", { { { "m", { "a2" } } }, {} } } };
};

// Load pattern: hundreds of engines, a few orders a second.
TEST(PlaceNews, AnnouncesOnlyWhatChanged)
{
  CHECK(news.nextUpdate(table, 7, TimePoint{ 100s }).complete);
  table["u"].adapters["m"] = { "a1", "a3" };
  table.erase("v");
  const auto next = news.nextUpdate(table, 7, TimePoint{ 100500ms });
  CHECK(!next.complete);
  LONGS_EQUAL(2, next.engines.at("u").adapters.at("m").size());
  CHECK(next.engines.at("v") == peers::EnginePlacement{});
}

// Guards against an announcement that is lost and never repeated.
TEST(PlaceNews, RepeatsAChangeUntilTheNextWholeOne)
{
  news.nextUpdate(table, 7, TimePoint{ 100s });
  table["u"].adapters["m"] = { "a3" };
  news.nextUpdate(table, 7, TimePoint{ 100400ms });
  CHECK(news.nextUpdate(table, 7, TimePoint{ 100800ms }).engines.contains("u"));
  CHECK(news.nextUpdate(table, 7, TimePoint{ 101300ms }).complete);
}

// Guards against a VM that becomes the owner again and whose peers have no view
// of the engines until the next periodic whole announcement.
TEST(PlaceNews, NewOwnershipBeginsWithAWholeAnnouncement)
{
  news.nextUpdate(table, 7, TimePoint{ 100s });
  CHECK(!news.nextUpdate(table, 7, TimePoint{ 100200ms }).complete);
  const auto first = news.nextUpdate(table, 8, TimePoint{ 100400ms });
  CHECK(first.complete);
  LONGS_EQUAL(8, first.fencingToken);
}

TEST_GROUP(OwnSummary)
{
  peers::PeerTable table{ "dc1" };
  peers::Status own = sample(1);

  peers::Summary both(std::uint64_t aSequence)
  {
    peers::PeerTable relay{ "dc1" };
    relay.update(own, TimePoint{ 100s });
    peers::Status other = sample(1);
    other.vm = "vm2";
    other.incarnation = aSequence;
    peers::SummaryBuilder maker;
    peers::Summary summary =
      maker.build(other, relay, 900ms, 1s, TimePoint{ 100s });
    summary.sequence = aSequence;
    return summary;
  }
};

// Guards against a VM that sees its own work as that of others and sends its
// requests elsewhere.
TEST(OwnSummary, LeavesOutTheWorkOfThisVm)
{
  CHECK(table.updateOwnSummary(both(1), own, TimePoint{ 100s }));
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
  LONGS_EQUAL(2, table.summaries().at("dc1").summary.crashes.at("f"));
}

// Guards against work that counts in the status of its VM and again in the
// summary of its data centre.
TEST(OwnSummary, ReplacesTheStatusesOfTheDataCentre)
{
  peers::Status other = sample(1);
  other.vm = "vm2";
  table.update(other, TimePoint{ 100s });
  table.updateOwnSummary(both(1), own, TimePoint{ 100s });
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
  table.dropOwnSummary();
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
}

// Guards against a relay that is taken as dead because only its summaries come.
TEST(OwnSummary, ShowsThatTheRelayIsAlive)
{
  table.updateOwnSummary(both(1), own, TimePoint{ 100s });
  CHECK(table.reportedSince("vm2", TimePoint{ 100s }));
  CHECK(!table.reportedSince("vm1", TimePoint{ 100s }));
}

TEST_GROUP(ReportSchedule)
{
  peers::ReportSchedule schedule;

  std::size_t farReports()
  {
    std::size_t far = 0;
    for (TimePoint now{ 100s }; now < TimePoint{ 110s }; now += 50ms) {
      far += schedule.remoteRegionsDue(now) ? 1U : 0U;
    }
    return far;
  }
};

// Load pattern: links between regions are paid by volume.
TEST(ReportSchedule, ReportsToOtherRegionsLessOften)
{
  schedule.setFleetSize(1, 3, 6);
  CHECK(schedule.statusPeriod() == 100ms);
  LONGS_EQUAL(50, farReports());
}

// Load pattern: a fleet of hundreds of VMs; the messages that a relay receives
// and sends must not grow with the fleet.
TEST(ReportSchedule, MessagesOfARelayStayBounded)
{
  for (const std::size_t peers : { 13U, 26U, 100U }) {
    schedule.setFleetSize(peers, 15, 15 * (peers + 1));
    const double perSecond =
      static_cast<double>(peers) / base::inSeconds(schedule.statusPeriod());
    CHECK(perSecond < 100);
    CHECK(farReports() <= 10);
  }
}

// Guards against an owner of orders that drowns in the reports of a large fleet
// in which requests wait on all VMs.
TEST(ReportSchedule, ReportsToTheOwnerStayBounded)
{
  for (const std::size_t vms : { 6U, 81U, 380U }) {
    schedule.setFleetSize(vms / 6, 6, vms);
    const double perSecond =
      static_cast<double>(vms) / base::inSeconds(schedule.ownerPeriod());
    CHECK(perSecond <= 81);
  }
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
