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
  status.incarnation = 7;
  status.sequence = aSequence;
  status.catalogVersion = 12;
  status.usage = { { "t", 100.5 } };
  status.loads["u"] = { 2, 30, 4, 5000 };
  status.demand["m/a1"] = { 12, 3, 1 };
  status.adapters.push_back({ "u", "m", { "a1", "a2" } });
  status.retiring["u"] = { "n" };
  status.crashes["f"] = 2;
  status.leaving["u2"] = 9;
  status.lapsed = { "vm9" };
  return status;
}

} // namespace

TEST_GROUP(Peers)
{
  peers::Table table;
};

// Guards against fields that one side writes and the other does not read.
TEST(Peers, DecodesWhatItEncodes)
{
  const auto decoded = peers::decode(peers::encode(sample(3)));
  CHECK(bool(decoded));
  const peers::Status& status = decoded.value();
  LONGS_EQUAL(3, status.sequence);
  LONGS_EQUAL(12, status.catalogVersion);
  DOUBLES_EQUAL(100.5, status.usage.at("t"), 0.001);
  CHECK(status.loads.at("u") == (peers::UpstreamLoad{ 2, 30, 4, 5000 }));
  LONGS_EQUAL(3, status.demand.at("m/a1").waiting);
  LONGS_EQUAL(1, status.demand.at("m/a1").running);
  LONGS_EQUAL(2, status.adapters.at(0).adapters.size());
  STRCMP_EQUAL("n", status.retiring.at("u").at(0).c_str());
  LONGS_EQUAL(2, status.crashes.at("f"));
  LONGS_EQUAL(9, status.leaving.at("u2"));
  STRCMP_EQUAL("vm9", status.lapsed.at(0).c_str());
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
  LONGS_EQUAL(5, table.rows().at("vm1").status.sequence);
}

// Guards against load of a dead VM that keeps an upstream looking busy.
TEST(Peers, ForgetsSilentPeers)
{
  table.update(sample(1), TimePoint{ 1s });
  LONGS_EQUAL(2, table.loadOf("u").running);
  table.expire(TimePoint{ 10s });
  LONGS_EQUAL(0, table.loadOf("u").running);
}

TEST_GROUP(ReportSchedule)
{
  peers::ReportSchedule schedule;

  /** @return reports of one VM in ten seconds, to all of its peers */
  std::size_t messages(std::size_t aNear, std::size_t aFar)
  {
    schedule = {};
    schedule.setFleet(aNear, aFar);
    std::size_t sent = 0;
    for (TimePoint now{ 100s }; now < TimePoint{ 110s }; now += 50ms) {
      sent += schedule.nearDue(now) ? aNear : 0;
      sent += schedule.farDue(now) ? aFar : 0;
    }
    return sent;
  }
};

// Load pattern: links between regions are paid by volume.
TEST(ReportSchedule, ReportsToOtherRegionsLessOften)
{
  LONGS_EQUAL(100, messages(1, 0));
  LONGS_EQUAL(25 + 100, messages(1, 1));
}

// Load pattern: a fleet of hundreds of VMs; messages of one VM must not grow
// with the fleet.
TEST(ReportSchedule, MessagesOfAVmStayBounded)
{
  const std::size_t grown = messages(27, 54);
  const std::size_t large = messages(95, 285);
  CHECK(grown < 1300);
  CHECK(large < 1500);
  CHECK(schedule.longest() < 8s);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
