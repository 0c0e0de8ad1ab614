/** @file Tests of the peers library. */
#include "peers/peers.h"
#include "peers/tests/sample_messages.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <cmath>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;
using peers::sampleStatus;
using peers::sampleSummary;

TEST_GROUP(Peers)
{
  peers::PeerTable table{ "dc1" };
};

// Encoder and decoder must agree on all fields of a status.
TEST(Peers, DecodesTheStatusThatItEncodes)
{
  const auto decoded = peers::decode(peers::encode(sampleStatus(3)));
  CHECK(bool(decoded));
  const auto& status = std::get<peers::Status>(decoded.value());
  STRCMP_EQUAL("dc1", status.dataCentre.c_str());
  LONGS_EQUAL(7, status.incarnation);
  LONGS_EQUAL(3, status.sequence);
  LONGS_EQUAL(12, status.catalogVersion);
  CHECK(status.draining);
  DOUBLES_EQUAL(101, status.usage.at("t"), 0.001);
  CHECK(status.loads.at("u") ==
        (peers::UpstreamLoad{
          2, 30, 4, 5000, { 3, 9, 1 }, { 8, 6, 2 }, { 7, 5 } }));
  LONGS_EQUAL(3, status.demand.at("m/a1").waiting);
  LONGS_EQUAL(1, status.demand.at("m/a1").running);
  LONGS_EQUAL(2, status.demand.at("m/a1").takeUps.at(7));
  CHECK(status.crashes == sampleStatus(3).crashes);
  LONGS_EQUAL(9, status.drainingUpstreams.at("u2"));
  CHECK(status.gossip.limitStatements ==
        sampleStatus(3).gossip.limitStatements);
  CHECK(status.gossip.limitAsks == sampleStatus(3).gossip.limitAsks);
  CHECK(status.gossip.brittleServices ==
        sampleStatus(3).gossip.brittleServices);
  CHECK(status.gossip.storeLoads == sampleStatus(3).gossip.storeLoads);
  STRCMP_EQUAL("vm9", status.unregistered.at(0).c_str());
}

// Encoder and decoder must agree on all fields of a summary.
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
  CHECK(summary.crashes == sampleSummary("r", 8, 6).crashes);
  LONGS_EQUAL(2, summary.drainingUpstreams.at("u3"));
  CHECK(summary.gossip.limitStatements ==
        sampleSummary("r", 8, 6).gossip.limitStatements);
  CHECK(summary.gossip.limitAsks == sampleSummary("r", 8, 6).gossip.limitAsks);
  CHECK(summary.gossip.storeLoads ==
        sampleSummary("r", 8, 6).gossip.storeLoads);
  STRCMP_EQUAL("vm8", summary.unregistered.at(0).c_str());
  CHECK(summary.complete);
}

// Encoder and decoder must agree on all fields of a placement update.
TEST(Peers, DecodesThePlacementUpdateThatItEncodes)
{
  const auto update = peers::samplePlacementUpdate();
  const auto decoded = peers::decode(peers::encode(update));
  CHECK(bool(decoded));
  const auto& decodedUpdate = std::get<peers::PlacementUpdate>(decoded.value());
  STRCMP_EQUAL("vm1", decodedUpdate.owner.c_str());
  LONGS_EQUAL(44, decodedUpdate.fencingToken);
  LONGS_EQUAL(5, decodedUpdate.sequence);
  CHECK(decodedUpdate.complete);
  CHECK(decodedUpdate.engines.at("u") == update.engines.at("u"));
  CHECK(decodedUpdate.loadAges.at(0) == 1500ms);
}

// Encoder and decoder must agree on all fields of a crash report.
TEST(Peers, DecodesTheCrashReportThatItEncodes)
{
  const peers::CrashReport report{ sampleStatus(1).crashes };
  const auto decoded =
    base::capture([&] { return peers::decode(peers::encode(report)); });
  CHECK(base::errorOf(decoded) == nullptr);
  CHECK(
    std::get<peers::CrashReport>(std::get<peers::Message>(decoded)).crashes ==
    report.crashes);
}

// Encoder and decoder must agree on origins of streams and questions for them.
TEST(Peers, DecodesTheStreamMessagesThatItEncodes)
{
  constexpr peers::StreamId kLargest = ~peers::StreamId{ 0 };
  const peers::StreamReport report{ { { kLargest, 7 }, { 2, 0xffffffff } } };
  const auto origins =
    base::capture([&] { return peers::decode(peers::encode(report)); });
  CHECK(base::errorOf(origins) == nullptr);
  CHECK(
    std::get<peers::StreamReport>(std::get<peers::Message>(origins)).origins ==
    report.origins);
  const peers::StreamQuery query{ "vm1", { kLargest, 3 } };
  const auto decoded =
    base::capture([&] { return peers::decode(peers::encode(query)); });
  CHECK(base::errorOf(decoded) == nullptr);
  const auto& asked =
    std::get<peers::StreamQuery>(std::get<peers::Message>(decoded));
  STRCMP_EQUAL("vm1", asked.vm.c_str());
  CHECK(asked.streams == query.streams);
}

// A foreign or truncated datagram must not terminate the process.
TEST(Peers, RejectsMalformedDatagrams)
{
  CHECK(!peers::decode("not a status"));
  CHECK(!peers::decode(""));
  std::string truncated = peers::encode(sampleStatus(1));
  truncated.resize(truncated.size() / 2);
  CHECK(!peers::decode(truncated));
}

// A delayed datagram must not replace a newer status.
TEST(Peers, IgnoresAnOlderStatus)
{
  CHECK(table.update(sampleStatus(5), TimePoint{ 1s }));
  CHECK(!table.update(sampleStatus(4), TimePoint{ 2s }));
  LONGS_EQUAL(5, table.statuses().at("vm1").status.sequence);
}

// The load of a failed VM must not make an upstream look busy indefinitely.
TEST(Peers, ExpiresPeersThatStoppedReporting)
{
  table.update(sampleStatus(1), TimePoint{ 1s });
  table.update(sampleSummary("r", 1, 3), TimePoint{ 1s });
  LONGS_EQUAL(5, table.peerLoad("u").running);
  table.expire(TimePoint{ 10s });
  LONGS_EQUAL(0, table.peerLoad("u").running);
}

// Summaries of two relays of one data centre must not count its load twice.
TEST(Peers, SummaryOfAnotherRelayReplacesThePreviousOne)
{
  CHECK(table.update(sampleSummary("r1", 4, 3), TimePoint{ 1s }));
  CHECK(table.update(sampleSummary("r2", 1, 4), TimePoint{ 2s }));
  LONGS_EQUAL(4, table.peerLoad("u").running);
}

// Two relays must not forward a summary to each other endlessly.
TEST(Peers, IgnoresADuplicateSummary)
{
  CHECK(table.update(sampleSummary("r1", 4, 3), TimePoint{ 1s }));
  CHECK(table.update(sampleSummary("r2", 1, 4), TimePoint{ 2s }));
  CHECK(!table.update(sampleSummary("r1", 4, 3), TimePoint{ 3s }));
  LONGS_EQUAL(4, table.peerLoad("u").running);
}

// Requests must not count in the status of their VM and again in the summary of
// its data centre.
TEST(Peers, StatusNewerThanItsSummaryIsNotCountedTwice)
{
  peers::Status newer = sampleStatus(1);
  newer.vm = "vm7";
  newer.dataCentre = "dc2";
  newer.demand = { { "m", { 0, 3, 0, { { 7, 2 } } } } };
  table.update(sampleSummary("r", 1, 3), TimePoint{ 1s });
  table.update(newer, TimePoint{ 2s });
  LONGS_EQUAL(3, table.demand().at("m").waiting);
  LONGS_EQUAL(2, table.demand().at("m").takeUps.at(7));
  LONGS_EQUAL(3, table.peerLoad("u").running);
  table.update(sampleSummary("r", 2, 3), TimePoint{ 3s });
  LONGS_EQUAL(2, table.demand().at("m").waiting);
}

TEST_GROUP(SummaryMaker)
{
  peers::PeerTable table{ "dc1" };
  peers::SummaryBuilder builder;
  peers::Status own = sampleStatus(1);

  peers::Summary buildAt(TimePoint aNow)
  {
    return builder.build(own, table, 900ms, 1s, aNow);
  }
  peers::Status otherStatus(double aUnits, std::uint64_t aSequence)
  {
    peers::Status status = sampleStatus(aSequence);
    status.vm = "vm2";
    status.usage = { { "t", aUnits } };
    return status;
  }
};

// Traffic between regions is billed by volume, so one summary must stand for
// all VMs of a data centre.
TEST(SummaryMaker, SumsTheDataCentre)
{
  table.update(otherStatus(5, 1), TimePoint{ 100s });
  const auto summary = buildAt(TimePoint{ 100s });
  LONGS_EQUAL(2, summary.members.size());
  LONGS_EQUAL(4, summary.loads.at("u").running);
  LONGS_EQUAL(6, summary.demand.at("m/a1").waiting);
  CHECK(summary.crashes == sampleStatus(3).crashes);
  CHECK(summary.gossip.limitStatements ==
        sampleStatus(3).gossip.limitStatements);
  CHECK(summary.gossip.limitAsks == sampleStatus(3).gossip.limitAsks);
  LONGS_EQUAL(1, summary.unregistered.size());
}

// With hundreds of VMs and many teams, of which few change, unchanged totals
// must not take space in every summary.
TEST(SummaryMaker, OmitsUnchangedTotals)
{
  table.update(otherStatus(5, 1), TimePoint{ 100s });
  LONGS_EQUAL(1, buildAt(TimePoint{ 100s }).members.at("vm2").usage.size());
  table.update(otherStatus(5, 2), TimePoint{ 102s });
  LONGS_EQUAL(0, buildAt(TimePoint{ 102s }).members.at("vm2").usage.size());
  table.update(otherStatus(6, 3), TimePoint{ 102500ms });
  DOUBLES_EQUAL(
    6, buildAt(TimePoint{ 103s }).members.at("vm2").usage.at("t"), 0.1);
}

// A peer that lost a summary must receive all totals again later.
TEST(SummaryMaker, RepeatsAllTotalsPeriodically)
{
  std::size_t full = 0;
  for (TimePoint now{ 100s }; now < TimePoint{ 120s }; now += 400ms) {
    full += buildAt(now).members.at("vm1").usage.empty() ? 0U : 1U;
  }
  CHECK(full >= 5);
}

// A VM that has just started knows no totals; until it does, it cannot tell
// earlier usage from new usage.
TEST(SummaryMaker, SendsAllTotalsOnRequest)
{
  table.update(otherStatus(5, 1), TimePoint{ 100s });
  CHECK(buildAt(TimePoint{ 100s }).complete);
  table.update(otherStatus(5, 2), TimePoint{ 102s });
  CHECK(!buildAt(TimePoint{ 102s }).complete);
  builder.requestComplete();
  const auto summary = buildAt(TimePoint{ 102200ms });
  CHECK(summary.complete);
  LONGS_EQUAL(1, summary.members.at("vm2").usage.size());
  CHECK(!buildAt(TimePoint{ 102400ms }).complete);
}

// A partitioned VM must not appear alive through the summaries of its relay.
TEST(SummaryMaker, OmitsVmsThatStoppedReporting)
{
  table.update(otherStatus(5, 1), TimePoint{ 100s });
  LONGS_EQUAL(1, buildAt(TimePoint{ 102s }).members.size());
}

TEST_GROUP(Relay){};

// All VMs must agree on the relay, and a small VM must not be elected while a
// larger one is available.
TEST(Relay, LargestVmIsPreferred)
{
  const auto order =
    peers::rankRelays({ { "b", 0.12 }, { "c", 0.5 }, { "a", 0.12 } });
  CHECK(order == (std::vector<base::VmName>{ "c", "a", "b" }));
}

// A data centre must not stay without a relay after its relay has failed.
TEST(Relay, NextVmReplacesARelayThatStoppedReporting)
{
  const std::vector<base::VmName> order{ "c", "a", "b" };
  const auto onlyA = [](const base::VmName& aVm) { return aVm == "a"; };
  STRCMP_EQUAL("a", peers::electRelay(order, "b", onlyA).c_str());
  const auto noVm = [](const base::VmName&) { return false; };
  STRCMP_EQUAL("b", peers::electRelay(order, "b", noVm).c_str());
}

// Summaries must not be sent to a failed relay only.
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
  peers::PlacementAnnouncer announcer;
  peers::PlacementTable table{ { "u", { { { "m", { "a1" } } }, {} } },
                               { "v", { { { "m", { "a2" } } }, {} } } };
};

// With hundreds of engines and a few orders per second, announcements must only
// contain the changed engines.
TEST(PlaceNews, AnnouncesOnlyChangedEngines)
{
  CHECK(announcer.nextUpdate(table, 7, TimePoint{ 100s }).complete);
  table["u"].adapters["m"] = { "a1", "a3" };
  table.erase("v");
  const auto next = announcer.nextUpdate(table, 7, TimePoint{ 100500ms });
  CHECK(!next.complete);
  LONGS_EQUAL(2, next.engines.at("u").adapters.at("m").size());
  CHECK(next.engines.at("v") == peers::EnginePlacement{});
}

// The loss of one announcement must not lose a change.
TEST(PlaceNews, RepeatsAChangeUntilTheNextCompleteOne)
{
  announcer.nextUpdate(table, 7, TimePoint{ 100s });
  table["u"].adapters["m"] = { "a3" };
  announcer.nextUpdate(table, 7, TimePoint{ 100400ms });
  CHECK(announcer.nextUpdate(table, 7, TimePoint{ 100800ms })
          .engines.contains("u"));
  CHECK(announcer.nextUpdate(table, 7, TimePoint{ 101300ms }).complete);
}

// When a VM becomes the order owner again, its peers must not lack placements
// until the next periodic complete announcement.
TEST(PlaceNews, NewOwnershipBeginsWithACompleteAnnouncement)
{
  announcer.nextUpdate(table, 7, TimePoint{ 100s });
  CHECK(!announcer.nextUpdate(table, 7, TimePoint{ 100200ms }).complete);
  const auto first = announcer.nextUpdate(table, 8, TimePoint{ 100400ms });
  CHECK(first.complete);
  LONGS_EQUAL(8, first.fencingToken);
}

TEST_GROUP(StoreReaders){};

// If the relay cannot read the store, one VM takes its place, not all.
TEST(StoreReaders, AreTheRelayAndTheVmRankedAfterIt)
{
  const std::vector<base::VmName> ranking{ "a", "b", "c", "d" };
  CHECK(peers::storeReaders(ranking, "a") ==
        (std::vector<base::VmName>{ "a", "b" }));
  CHECK(peers::storeReaders(ranking, "b") ==
        (std::vector<base::VmName>{ "b", "c" }));
  CHECK(peers::storeReaders(ranking, "d") == std::vector<base::VmName>{ "d" });
  CHECK(peers::storeReaders(ranking, "x").empty());
}

TEST_GROUP(OwnSummary)
{
  peers::PeerTable table{ "dc1" };
  peers::Status own = sampleStatus(1);

  /** @return summary of the data centre with this VM and vm2, the relay */
  peers::Summary summaryOfBothVms(std::uint64_t aSequence)
  {
    peers::PeerTable relay{ "dc1" };
    relay.update(own, TimePoint{ 100s });
    peers::Status other = sampleStatus(1);
    other.vm = "vm2";
    other.incarnation = aSequence;
    peers::SummaryBuilder builder;
    peers::Summary summary =
      builder.build(other, relay, 900ms, 1s, TimePoint{ 100s });
    summary.sequence = aSequence;
    return summary;
  }
};

// A VM must not mistake its own load for that of its peers and avoid the
// upstreams that it uses.
TEST(OwnSummary, ExcludesTheLoadOfThisVm)
{
  CHECK(table.updateOwnSummary(summaryOfBothVms(1), own, TimePoint{ 100s }));
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
  LONGS_EQUAL(2, table.demand().at("m/a1").takeUps.at(7));
  CHECK(table.summaries().at("dc1").summary.crashes == sampleStatus(1).crashes);
}

// A relay of an earlier release drops what it doesn't know. Guards against a
// demand of four billion requests after this VM's own are subtracted.
TEST(OwnSummary, LacksTheTakeUpsOfThisVm)
{
  peers::Summary summary = summaryOfBothVms(1);
  summary.demand["m/a1"].takeUps.clear();
  CHECK(table.updateOwnSummary(summary, own, TimePoint{ 100s }));
  CHECK(table.demand().at("m/a1").takeUps.empty());
}

// The same of requests for brittle upstreams.
TEST(OwnSummary, LacksTheBrittleUseOfThisVm)
{
  peers::Summary summary = summaryOfBothVms(1);
  summary.loads["u"].brittleUse = {};
  CHECK(table.updateOwnSummary(summary, own, TimePoint{ 100s }));
  CHECK(table.peerLoad("u").brittleUse == peers::BrittleUse{});
}

// The same of answers. Guards against upstreams that seem to have served four
// billion callers.
TEST(OwnSummary, LacksTheAnswersToThisVm)
{
  peers::Summary summary = summaryOfBothVms(1);
  summary.loads["u"].answers = {};
  CHECK(table.updateOwnSummary(summary, own, TimePoint{ 100s }));
  CHECK(table.peerLoad("u").answers == peers::AnswerCounts{});
}

// Guards against a VM that takes what it hears of some for what all VMs use.
TEST(OwnSummary, ShowsHowManyVmsReport)
{
  LONGS_EQUAL(1, table.reportingVms());
  peers::Status other = sampleStatus(1);
  other.vm = "vm3";
  table.update(other, TimePoint{ 100s });
  LONGS_EQUAL(2, table.reportingVms());
  table.update(sampleSummary("r", 1, 0), TimePoint{ 100s });
  LONGS_EQUAL(3, table.reportingVms());
  CHECK(table.updateOwnSummary(summaryOfBothVms(1), own, TimePoint{ 100s }));
  LONGS_EQUAL(3, table.reportingVms());
  table.expire(TimePoint{ 110s });
  LONGS_EQUAL(1, table.reportingVms());
}

// Load must not count in the status of its VM and again in the summary of its
// data centre.
TEST(OwnSummary, ReplacesTheStatusesOfTheDataCentre)
{
  peers::Status other = sampleStatus(1);
  other.vm = "vm2";
  table.update(other, TimePoint{ 100s });
  table.updateOwnSummary(summaryOfBothVms(1), own, TimePoint{ 100s });
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
  table.dropOwnSummary();
  LONGS_EQUAL(2, table.peerLoad("u").running);
  LONGS_EQUAL(3, table.demand().at("m/a1").waiting);
}

// A relay that sends only summaries must not be considered failed.
TEST(OwnSummary, ShowsThatTheRelayIsAlive)
{
  table.updateOwnSummary(summaryOfBothVms(1), own, TimePoint{ 100s });
  CHECK(table.reportedSince("vm2", TimePoint{ 100s }));
  CHECK(!table.reportedSince("vm1", TimePoint{ 100s }));
}

TEST_GROUP(ReportSchedule)
{
  peers::ReportSchedule schedule;

  /** @return reports to other regions in 10 s */
  std::size_t otherRegionReports()
  {
    std::size_t reports = 0;
    for (TimePoint now{ 100s }; now < TimePoint{ 110s }; now += 50ms) {
      reports += schedule.remoteRegionsDue(now) ? 1U : 0U;
    }
    return reports;
  }
};

// Traffic between regions is billed by volume.
TEST(ReportSchedule, ReportsToOtherRegionsLessOften)
{
  schedule.setFleetSize(1, 3, 6);
  CHECK(schedule.statusPeriod() == 100ms);
  LONGS_EQUAL(50, otherRegionReports());
}

// The message rate of a relay must not grow with a fleet of hundreds of VMs.
TEST(ReportSchedule, MessageRateOfARelayStaysBounded)
{
  for (const std::size_t peers : { 13U, 26U, 100U }) {
    schedule.setFleetSize(peers, 15, 15 * (peers + 1));
    const double perSecond =
      static_cast<double>(peers) / base::inSeconds(schedule.statusPeriod());
    CHECK(perSecond < 100);
    CHECK(otherRegionReports() <= 10);
  }
}

// The order owner must not be overloaded by the reports of a large fleet in
// which requests wait on all VMs.
TEST(ReportSchedule, ReportsToTheOrderOwnerStayBounded)
{
  for (const std::size_t vms : { 6U, 81U, 380U }) {
    schedule.setFleetSize(vms / 6, 6, vms);
    const double perSecond =
      static_cast<double>(vms) / base::inSeconds(schedule.ownerPeriod());
    CHECK(perSecond <= 81);
  }
}

/** Six streams of 12 kB, each to 13 VMs, on a link for 800 kB/s. */
TEST_GROUP(PacedQueue)
{
  static constexpr double kRate = 800e3;
  static constexpr std::size_t kBytes = 12000;
  static constexpr std::size_t kStreams = 6;
  std::vector<base::Address> peers;
  TimePoint now{ 100s };
  std::size_t sent = 0;
  std::map<std::pair<std::string, base::Address>, std::vector<TimePoint>>
    arrivals;

  void setup() override
  {
    for (std::uint16_t port = 1; port <= 13; ++port) {
      peers.push_back({ "10.0.0.1", port });
    }
  }

  /** Pushes all streams; the first byte tells the stream, the rest the round.
   */
  void push(peers::PacedQueue & aQueue, char aRound)
  {
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      const char name = static_cast<char>('a' + stream);
      aQueue.push(
        std::string(1, name), name + std::string(kBytes - 1, aRound), peers);
    }
  }

  /** Sends what may be sent. @return the round of the oldest message sent */
  char send(peers::PacedQueue & aQueue)
  {
    char oldest = 'z';
    while (const auto datagram = aQueue.next(now)) {
      sent += datagram->bytes.size();
      arrivals[{ datagram->bytes.substr(0, 1), datagram->to }].push_back(now);
      oldest = std::min(oldest, datagram->bytes.back());
    }
    return oldest;
  }
};

// A relay on a slow link must not fill it with summaries: requests and answers
// wait behind them for seconds.
TEST(PacedQueue, StaysBelowItsRateAndServesAllRecipientsInTurn)
{
  peers::PacedQueue queue{ kRate };
  const TimePoint start = now;
  for (int step = 0; step < 1000; ++step, now += 10ms) {
    if (step % 16 == 0) {
      push(queue, 'r');
    }
    send(queue);
  }
  CHECK(sent <= kRate * (base::inSeconds(now - start) + 0.02) + kBytes);
  CHECK(sent > 0.95 * kRate * base::inSeconds(now - start));
  const double cycle = kStreams * 13 * kBytes / kRate;
  LONGS_EQUAL(kStreams * 13, arrivals.size());
  for (const auto& [turn, times] : arrivals) {
    CHECK(times.size() >= std::floor(10 / cycle) - 1);
  }
}

// A message that waited for the link must not be older than the latest one.
TEST(PacedQueue, NewerMessageReplacesOneThatWaits)
{
  peers::PacedQueue queue{ kRate };
  push(queue, 'a');
  send(queue);
  push(queue, 'b');
  now += 20ms;
  BYTES_EQUAL('b', send(queue));
}

// A VM that has left the fleet must not get messages for ever.
TEST(PacedQueue, FormerRecipientGetsNothing)
{
  peers::PacedQueue queue{ kRate };
  queue.push("a", std::string(kBytes, 'a'), peers);
  queue.push("a", std::string(kBytes, 'a'), { peers.back() });
  now += 10s;
  send(queue);
  LONGS_EQUAL(1, arrivals.size());
}

// Urgent messages that don't wait take their part of the link, too.
TEST(PacedQueue, DirectMessagesCount)
{
  peers::PacedQueue queue{ kRate };
  push(queue, 'a');
  queue.charge(static_cast<std::size_t>(kRate), now);
  now += 900ms;
  send(queue);
  LONGS_EQUAL(0, sent);
  CHECK(queue.wait(now) > base::Duration::zero());
  now += queue.wait(now) + 1ms;
  send(queue);
  CHECK(sent > 0);
}

// Without a known rate, all messages must go out at once.
TEST(PacedQueue, DoesNotWaitWithoutARate)
{
  peers::PacedQueue queue{ std::nullopt };
  push(queue, 'a');
  send(queue);
  CHECK(queue.empty());
  LONGS_EQUAL(kStreams * 13 * kBytes, sent);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
