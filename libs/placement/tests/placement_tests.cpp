/** @file Tests of the placement library. */
#include "placement/tests/world.h"
#include "placement/tests/world_property.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::placement;
using namespace std::chrono_literals;

namespace {

/** Result of the run with rapidcheck, which main() makes. */
bool randomFaultsPassed = false;

/** @param aFaults faults to choose from; all if empty */
std::vector<test::Step>
randomSteps(base::Random& aRandom,
            std::size_t aCount,
            const std::vector<test::Fault>& aFaults)
{
  std::vector<test::Step> steps;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto any = static_cast<test::Fault>(
      aRandom.below(static_cast<std::uint64_t>(test::Fault::Count)));
    steps.push_back(
      { aFaults.empty() ? any : aFaults.at(aRandom.below(aFaults.size())),
        static_cast<int>(aRandom.below(6)),
        static_cast<int>(aRandom.below(40)) });
  }
  return steps;
}

/** @return the first violation in some sequences whose text contains a part,
 * empty if there is none */
std::string
firstViolation(test::WorldOptions aOptions,
               std::uint64_t aRuns,
               const std::string& aPart,
               const std::vector<test::Fault>& aFaults = {})
{
  const std::array strategies{ "forecast", "lru", "static" };
  for (std::uint64_t seed = 1; seed <= aRuns; ++seed) {
    base::Random random(seed);
    aOptions.seed = seed;
    aOptions.strategy = strategies.at(seed % strategies.size());
    test::World world(aOptions);
    world.run(randomSteps(random, 40, aFaults));
    if (world.violation().empty()) {
      world.recover();
    }
    if (!world.violation().empty() &&
        world.violation().find(aPart) != std::string::npos) {
      return "seed " + std::to_string(seed) + " at " + world.violation();
    }
  }
  return "";
}

/** One owner and one engine of 100 MB without faults. */
struct Calm
{
  static OwnerSettings settings()
  {
    OwnerSettings settings;
    settings.self = "p1";
    return settings;
  }

  static std::unique_ptr<Strategy> strategy()
  {
    return std::get<std::unique_ptr<Strategy>>(
      base::capture([] { return makeStrategy("forecast"); }));
  }

  Owner owner{ settings(), strategy() };
  base::TimePoint now{ 1000s };
  Declarations declared;
  Report report;
  std::string ledger;
  std::uint64_t revision = 0;
  bool platformUp = true;
  bool revoked = false;

  void declare(const std::string& aModel,
               const std::string& aVersion,
               int aMemory)
  {
    declared[{ aModel, "" }] = { aVersion, aMemory };
    owner.setDeclared(declared);
    owner.setEngines({ { "e1", 100, true } });
  }

  void demand(const std::string& aModel)
  {
    owner.addDemand({ { { aModel, "" }, { 1, 1, now + 30s } } });
  }

  bool resident(const std::string& aModel) const
  {
    return report.resident.contains(
      { aModel, declared.at({ aModel, "" }).version, "" });
  }

  void act(const Actions& aActions)
  {
    for (const Order& order : aActions.orders) {
      report.fence = std::max(report.fence, order.fence);
      report.orders[order.id] = Progress::Done;
      if (order.op == Op::Load) {
        report.resident[order.item] = order.memoryMb;
      }
    }
    if (aActions.call) {
      act(owner.onPlatform(answer(*aActions.call), now));
    }
  }

  PlatformAnswer answer(const PlatformCall& aCall)
  {
    if (!platformUp) {
      return { base::Code::PlatformUnreachable, "", 0 };
    }
    switch (aCall.call) {
      case Call::ReadHolder:
        return { base::Code::NotFound, "", 0 };
      case Call::ReadLedger:
        return { revision == 0 ? base::Code::NotFound : base::Code::Ok,
                 ledger,
                 revision };
      case Call::WriteLedger:
        ledger = aCall.value;
        return { base::Code::Ok, "", ++revision };
      case Call::RevokeLease:
        revoked = true;
        return {};
      case Call::WriteHolder:
        return {};
      default:
        return { base::Code::Ok, "l1", 0 };
    }
  }

  void run(base::Duration aTime)
  {
    for (const base::TimePoint end = now + aTime; now < end; now += 200ms) {
      ++report.sequence;
      owner.onReport("e1", report);
      act(owner.tick(now));
    }
  }
};

} // namespace

TEST_GROUP(Placement){};

// Guards against overcommitted memory, exceeded limits of the weights store and
// models that do not come back, under any mix of faults.
TEST(Placement, SurvivesFaults)
{
  CHECK_TRUE(randomFaultsPassed);
}

// Guards against a change of version that leaves a model without a replica. The
// engines hold one model more than there are, so that most changes happen on
// the only replica.
TEST(Placement, ChangeOfVersionKeepsEveryModelServed)
{
  for (const char* strategy : { "forecast", "lru", "static" }) {
    test::WorldOptions options;
    options.strategy = strategy;
    options.serviceIsKept = true;
    options.engineMb = 90;
    test::World world(options);
    world.run({ { test::Fault::None, 0, 300 },
                { test::Fault::NewVersion, 0, 900 },
                { test::Fault::NewVersion, 0, 900 } });
    world.recover();
    STRCMP_EQUAL("", world.violation().c_str());
  }
}

// Guards against a cold model that stays unreachable while the platform is down
// and the holder's lease is still valid.
TEST(Placement, WakeUpOrderNeedsNoWrite)
{
  Calm calm;
  calm.declare("hot", "v1", 30);
  calm.demand("hot");
  calm.run(20s);
  CHECK(calm.resident("hot"));
  calm.platformUp = false;
  calm.declare("cold", "v1", 30);
  calm.demand("cold");
  calm.run(2s);
  CHECK(calm.resident("cold"));
}

// Guards against orders after the lease has ended.
TEST(Placement, NoOrderAfterTheLease)
{
  Calm calm;
  calm.declare("hot", "v1", 30);
  calm.demand("hot");
  calm.run(20s);
  calm.platformUp = false;
  calm.run(16s);
  calm.declare("cold", "v1", 40);
  calm.demand("cold");
  calm.run(20s);
  CHECK_FALSE(calm.resident("cold"));
  CHECK(calm.owner.role() == Role::Standby);
}

// Guards against a placer that leaves with orders under way, or keeps its lease
// so that the next one has to wait for its end.
TEST(Placement, ResignsAfterItsOrdersAreSettled)
{
  Calm calm;
  calm.declare("hot", "v1", 30);
  calm.demand("hot");
  calm.run(3s);
  calm.owner.resign();
  calm.run(10s);
  CHECK(calm.owner.role() == Role::Stopped);
  CHECK(calm.revoked);
}

// Guards against a ledger that a new holder reads differently.
TEST(Placement, LedgerSurvivesEncoding)
{
  const Ledger ledger{ "vm/placer/7",
                       12,
                       34,
                       { { 33, 11, "e1", Op::Load, { "m", "v1", "a" }, 5 },
                         { 34, 12, "e2", Op::Unload, { "m", "v2", "" }, 0 } } };
  const auto again =
    base::capture([&] { return decodeLedger(encode(ledger)); });
  CHECK(base::errorOf(again) == nullptr);
  CHECK(std::get<Ledger>(again) == ledger);
  for (const char* wrong : { "", "[]", R"({"format":2})" }) {
    const auto refused = base::capture([&] { return decodeLedger(wrong); });
    CHECK(base::errorOf(refused)->code == base::Code::DocumentInvalid);
  }
}

namespace {

/** Believes the last report alone. */
int
reportedMb(const Engine&, const Report& aReport, const std::vector<Record>&)
{
  int sum = 0;
  for (const auto& [item, memory] : aReport.resident) {
    sum += memory;
  }
  return sum;
}

/** Counts an unload as done once it was ordered. */
int
hopefulMb(const Engine& aEngine,
          const Report& aReport,
          const std::vector<Record>& aRecords)
{
  Report hoped = aReport;
  for (const Record& record : aRecords) {
    if (record.order.engine == aEngine.name && record.order.op == Op::Unload) {
      hoped.resident.erase(record.order.item);
    }
  }
  return worstCaseMb(aEngine, hoped, aRecords);
}

/** Forgets that a restarted engine has forgotten its fence. */
int
runningMb(const Engine& aEngine,
          const Report& aReport,
          const std::vector<Record>& aRecords)
{
  std::vector<Record> left;
  for (const Record& record : aRecords) {
    if (!aEngine.honoursFencing || record.order.fence >= aReport.fence) {
      left.push_back(record);
    }
  }
  return worstCaseMb(aEngine, aReport, left);
}

constexpr std::uint64_t kMostRuns = 3000;

void
checkOvercommit(const test::WorldOptions& aOptions,
                const std::vector<test::Fault>& aFaults = {})
{
  const std::string part = "overcommitted";
  STRCMP_CONTAINS(part.c_str(),
                  firstViolation(aOptions, kMostRuns, part, aFaults).c_str());
}

} // namespace

// Each of the following guards against a safeguard that has no effect, and
// against an oracle that does not see what the safeguard prevents.

TEST(Placement, OracleSeesMissingMaximumOverOutcomes)
{
  test::WorldOptions options;
  options.account = &reportedMb;
  checkOvercommit(options);
}

TEST(Placement, OracleSeesUnloadThatCountsBeforeAReport)
{
  test::WorldOptions options;
  options.account = &hopefulMb;
  checkOvercommit(options);
}

TEST(Placement, OracleSeesOrdersBeforeTheLedger)
{
  test::WorldOptions options;
  options.ledgerIsLost = true;
  checkOvercommit(options);
}

TEST(Placement, OracleSeesMissingLeaseCheck)
{
  test::WorldOptions options;
  options.placersIgnoreLease = true;
  using test::Fault;
  checkOvercommit(options,
                  { Fault::PausePlacer,
                    Fault::NewVersion,
                    Fault::PlatformSlow,
                    Fault::RestartEngine });
}

TEST(Placement, OracleSeesMissingWaitForLateOrders)
{
  test::WorldOptions options;
  options.placersDoNotWait = true;
  options.noneHonourFencing = true;
  checkOvercommit(options);
}

TEST(Placement, OracleSeesForgottenFenceOfRestartedEngine)
{
  test::WorldOptions options;
  options.account = &runningMb;
  options.allHonourFencing = true;
  checkOvercommit(options);
}

int
main(int aCount, char** aValues)
{
  // rapidcheck keeps process-wide state, which CppUTest would call a leak.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  randomFaultsPassed = test::checkRandomFaults(20261204, 400);
  MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
