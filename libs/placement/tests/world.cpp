#include "placement/tests/world.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace marigold::placement::test {
namespace {

using base::Code;
using namespace std::chrono_literals;

constexpr base::Duration kTick = 200ms;
constexpr base::Duration kReportPeriod = 400ms;
constexpr base::Duration kHistory = 6s;

// Shorter than in service, in the same proportions, to save virtual time.
constexpr base::Duration kLeaseTerm = 5s;
constexpr base::Duration kOrderDelay = 4s;
constexpr base::Duration kPause = 8s;

/** Beyond the lease and the wait of the next owner. */
constexpr int kLongestFreezeMs = 30000;

constexpr double kStoreRate = 2;
constexpr int kStoreConcurrency = 3;
constexpr int kModelMb = 30;
constexpr int kAdapterMb = 4;
constexpr int kEngines = 3;
constexpr int kModels = 5;
constexpr int kPlacers = 2;
constexpr std::size_t kKeptOrders = 64;

/** A lost order costs a wait until it is harmless; two in a row may happen just
 * before the faults end. */
constexpr base::Duration kRecovery = 60s;

constexpr std::array kFaultNames{
  "None",         "KillPlacer",   "PausePlacer",          "PauseBetweenChecks",
  "PlatformDown", "PlatformSlow", "PlatformLosesAnswers", "PlatformWritesLate",
  "PlatformUp",   "LoseOrders",   "DelayOrders",          "DuplicateOrders",
  "DelayReports", "NetworkFine",  "RestartEngine",        "StopEngine",
  "NewVersion",   "Demand",
};
static_assert(kFaultNames.size() == static_cast<std::size_t>(Fault::Count));

std::string
modelName(int aNumber)
{
  return "m" + std::to_string(aNumber % kModels);
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << kFaultNames.at(static_cast<std::size_t>(aStep.fault)) << "("
              << aStep.target << ") " << aStep.waitTenths << "00ms";
}

World::World(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
  declare();
  for (int i = 0; i < kEngines; ++i) {
    FakeEngine engine;
    engine.info.name = "e" + std::to_string(i);
    engine.info.memoryMb = mOptions.engineMb;
    engine.info.honoursFencing =
      mOptions.allHonourFencing ||
      (!mOptions.noneHonourFencing && mRandom.chance(0.5));
    mEngines.push_back(std::move(engine));
  }
  for (int i = 0; i < kPlacers; ++i) {
    mPlacers.push_back(std::make_unique<Placer>());
    mPlacers.back()->name = "p" + std::to_string(i);
    startPlacer(*mPlacers.back());
  }
}

void
World::declare()
{
  mDeclared.clear();
  const std::string version = "v" + std::to_string(mVersion);
  for (int i = 0; i < kModels; ++i) {
    // Versions have different sizes, so that reusing a size is no answer.
    mDeclared[{ modelName(i), "" }] = { version,
                                        kModelMb + i * 2 + mVersion % 3 };
    mDeclared[{ modelName(i), "a" }] = { version, kAdapterMb };
  }
}

void
World::startPlacer(Placer& aPlacer)
{
  OwnerSettings settings;
  settings.self = aPlacer.name + "/" + std::to_string(++aPlacer.generation);
  settings.leaseTerm = mOptions.placersIgnoreLease ? 1h : kLeaseTerm;
  settings.renewPeriod = kLeaseTerm / 3;
  settings.standbyPeriod = 1s;
  settings.longestOrderDelay = mOptions.placersDoNotWait ? 0s : kOrderDelay;
  settings.longestPause = mOptions.placersDoNotWait ? 0s : kPause;
  settings.retryAfter = 2s;
  settings.storeRate = kStoreRate;
  settings.storeConcurrency = kStoreConcurrency;
  settings.account = mOptions.account;
  std::unique_ptr<Strategy> strategy;
  const auto made = base::capture([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(value, makeStrategy(mOptions.strategy));
    strategy = std::move(value);
    return {};
  });
  static_cast<void>(made);
  aPlacer.owner = std::make_unique<Owner>(settings, std::move(strategy));
  std::vector<Engine> engines;
  for (const FakeEngine& engine : mEngines) {
    engines.push_back(engine.info);
  }
  aPlacer.owner->setEngines(engines);
  aPlacer.owner->setDeclared(mDeclared);
  aPlacer.pausedUntil = {};
  aPlacer.pauseWhenSending = false;
}

base::Duration
World::between(int aLeastMs, int aMostMs)
{
  return std::chrono::milliseconds(
    aLeastMs + static_cast<int>(mRandom.below(aMostMs - aLeastMs + 1)));
}

void
World::later(base::Duration aDelay, std::function<void()> aRun)
{
  mEvents.push_back({ mNow + aDelay, std::move(aRun) });
}

void
World::fail(const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation =
      std::to_string(base::inSeconds(mNow.time_since_epoch())) + " s: " + aWhat;
  }
}

void
World::run(const std::vector<Step>& aSteps)
{
  advance(10s);
  for (const Step& step : aSteps) {
    apply(step);
    advance(step.waitTenths * 100ms);
    if (!mViolation.empty()) {
      return;
    }
  }
}

void
World::apply(const Step& aStep)
{
  Placer& placer = *mPlacers.at(aStep.target % kPlacers);
  FakeEngine& engine = mEngines.at(aStep.target % kEngines);
  switch (aStep.fault) {
    case Fault::KillPlacer:
      startPlacer(placer);
      break;
    case Fault::PausePlacer:
      placer.pausedUntil = mNow + kLeaseTerm + between(0, kLongestFreezeMs);
      break;
    case Fault::PauseBetweenChecks:
      placer.pauseWhenSending = true;
      break;
    case Fault::PlatformDown:
    case Fault::PlatformSlow:
    case Fault::PlatformLosesAnswers:
    case Fault::PlatformWritesLate:
    case Fault::PlatformUp:
      mPlatform = aStep.fault;
      break;
    case Fault::LoseOrders:
      mLose = true;
      break;
    case Fault::DelayOrders:
      mDelay = true;
      break;
    case Fault::DuplicateOrders:
      mDuplicate = true;
      break;
    case Fault::DelayReports:
      mLateReports = true;
      break;
    case Fault::NetworkFine:
      mLose = mDelay = mDuplicate = mLateReports = false;
      break;
    case Fault::RestartEngine:
      restart(engine);
      break;
    case Fault::StopEngine:
      restart(engine);
      engine.running = false;
      engine.startsAgain = mNow + between(1000, 15000);
      break;
    case Fault::NewVersion:
      ++mVersion;
      declare();
      for (const auto& other : mPlacers) {
        other->owner->setDeclared(mDeclared);
      }
      break;
    case Fault::Demand:
      mWaiting[modelName(aStep.target)] += 3;
      break;
    case Fault::None:
    case Fault::Count:
      break;
  }
}

void
World::advance(base::Duration aTime)
{
  const base::TimePoint end = mNow + aTime;
  while (mNow < end && mViolation.empty()) {
    mNow += kTick;
    for (auto event = mEvents.begin(); event != mEvents.end();) {
      if (event->at > mNow) {
        ++event;
        continue;
      }
      const Event due = std::move(*event);
      event = mEvents.erase(event);
      due.run();
    }
    std::erase_if(mLeases, [this](const auto& aLease) {
      return aLease.second.end <= mNow;
    });
    std::erase_if(mValues, [this](const auto& aValue) {
      return !aValue.second.lease.empty() &&
             !mLeases.contains(aValue.second.lease);
    });
    for (FakeEngine& engine : mEngines) {
      engine.running = engine.running || mNow >= engine.startsAgain;
      finishLoads(engine);
      snapshot(engine);
    }
    check();
    checkService();
    for (const auto& placer : mPlacers) {
      if (mNow < placer->pausedUntil) {
        continue;
      }
      DemandByItem demand;
      for (const auto& [model, waiting] : mWaiting) {
        const bool served = serves(model);
        demand[{ model, "" }] = { waiting * 0.1, served ? 0 : waiting, mNow };
        demand[{ model, "a" }] = { waiting * 0.1, 0, mNow };
      }
      placer->owner->addDemand(demand);
      if (mNow >= placer->nextReports) {
        placer->nextReports = mNow + kReportPeriod;
        for (FakeEngine& engine : mEngines) {
          if (engine.history.empty() || !engine.running) {
            continue;
          }
          const auto index = mLateReports ? mRandom.below(engine.history.size())
                                          : engine.history.size() - 1;
          placer->owner->onReport(engine.info.name,
                                  engine.history[index].second);
        }
      }
      act(*placer, placer->owner->tick(mNow));
    }
  }
}

void
World::act(Placer& aPlacer, Actions aActions)
{
  base::Duration held{};
  if (!aActions.orders.empty() && aPlacer.pauseWhenSending) {
    // The process stops after its decision, before the bytes leave it.
    held = between(0, static_cast<int>(base::inMilliseconds(kPause)));
    aPlacer.pausedUntil = mNow + held;
    aPlacer.pauseWhenSending = false;
  }
  for (const Order& order : aActions.orders) {
    send(order, held);
  }
  if (aActions.call) {
    call(aPlacer, *aActions.call);
  }
}

void
World::call(Placer& aPlacer, const PlatformCall& aCall)
{
  const auto answer = std::make_shared<PlatformAnswer>();
  const auto replyLater = [&](base::Duration aDelay) {
    later(aDelay, [this, placer = &aPlacer, run = aPlacer.generation, answer] {
      reply(*placer, run, *answer);
    });
  };
  const Fault mode = mPlatform;
  if (mode == Fault::PlatformDown) {
    answer->code = mRandom.chance(0.5) ? Code::PlatformUnreachable
                                       : Code::WriteOutcomeUnknown;
    replyLater(500ms);
    return;
  }
  const bool late = mode == Fault::PlatformWritesLate && mRandom.chance(0.5);
  const bool lost =
    late || (mode == Fault::PlatformLosesAnswers && mRandom.chance(0.5));
  const base::Duration before = late ? between(2000, 9000)
                                : mode == Fault::PlatformSlow
                                  ? between(200, 1800)
                                  : between(0, 50);
  later(before, [this, aCall, answer, lost] {
    const PlatformAnswer result = execute(aCall);
    if (!lost) {
      *answer = result;
    }
  });
  if (lost) {
    answer->code = Code::WriteOutcomeUnknown;
    replyLater(1s);
    return;
  }
  replyLater(before + between(0, 100));
}

/** A paused process finds the answer when it resumes. */
void
World::reply(Placer& aPlacer, std::uint64_t aRun, const PlatformAnswer& aAnswer)
{
  if (aPlacer.generation != aRun) {
    return;
  }
  if (mNow < aPlacer.pausedUntil) {
    later(aPlacer.pausedUntil - mNow,
          [this, &aPlacer, aRun, aAnswer] { reply(aPlacer, aRun, aAnswer); });
    return;
  }
  act(aPlacer, aPlacer.owner->onPlatform(aAnswer, mNow));
}

PlatformAnswer
World::execute(const PlatformCall& aCall)
{
  switch (aCall.call) {
    case Call::GrantLease: {
      const std::string lease = "l" + std::to_string(++mNextLease);
      mLeases[lease] = { mNow + kLeaseTerm };
      return { Code::Ok, lease, 0 };
    }
    case Call::RenewLease:
      if (!mLeases.contains(aCall.lease)) {
        return { Code::LeaseLost, "", 0 };
      }
      mLeases[aCall.lease].end = mNow + kLeaseTerm;
      return { Code::Ok, aCall.lease, 0 };
    case Call::RevokeLease:
      mLeases.erase(aCall.lease);
      return {};
    case Call::ReadHolder:
    case Call::ReadLedger: {
      const auto found =
        mValues.find(aCall.call == Call::ReadHolder ? "holder" : "ledger");
      if (found == mValues.end()) {
        return { Code::NotFound, "", 0 };
      }
      return { Code::Ok, found->second.text, found->second.revision };
    }
    case Call::WriteHolder:
      return write("holder", aCall);
    case Call::WriteLedger:
      return write("ledger", aCall);
  }
  return {};
}

PlatformAnswer
World::write(const std::string& aKey, const PlatformCall& aCall)
{
  const bool bound = aCall.call == Call::WriteHolder;
  if (bound && !mLeases.contains(aCall.lease)) {
    return { Code::LeaseLost, "", 0 };
  }
  Value& value = mValues[aKey];
  if (value.revision != aCall.expected) {
    return { Code::RevisionConflict, "", value.revision };
  }
  value.revision = ++mRevision;
  value.lease = bound ? aCall.lease : "";
  if (bound || !mOptions.ledgerIsLost) {
    value.text = aCall.value;
    return { Code::Ok, "", value.revision };
  }
  Ledger empty;
  const auto known = base::capture([&] { return decodeLedger(aCall.value); });
  if (base::errorOf(known) == nullptr) {
    empty = std::get<Ledger>(known);
    empty.orders.clear();
  }
  value.text = encode(empty);
  return { Code::Ok, "", value.revision };
}

void
World::send(const Order& aOrder, base::Duration aHeld)
{
  if (aOrder.op == Op::Load && aOrder.item.adapter.empty() && !aHeld.count()) {
    // The rate may be exceeded by one load when the owner changes.
    mLoadSends.push_back(mNow);
    while (mLoadSends.front() < mNow - 10s) {
      mLoadSends.pop_front();
    }
    const double allowed = kStoreRate * 10 + kPlacers;
    if (static_cast<double>(mLoadSends.size()) > allowed) {
      fail("more loads were ordered than the weights store's rate");
    }
  }
  const int mostMs = static_cast<int>(base::inMilliseconds(kOrderDelay));
  if (mDuplicate && mRandom.chance(0.5)) {
    later(aHeld + between(0, mostMs),
          [this, aOrder] { deliver(aOrder, false); });
  }
  if (mLose && mRandom.chance(0.5)) {
    return;
  }
  const base::Duration delay =
    mDelay && mRandom.chance(0.5) ? between(0, mostMs) : between(0, 50);
  later(aHeld + delay, [this, aOrder] { deliver(aOrder, true); });
}

void
World::deliver(const Order& aOrder, bool aFirst)
{
  const auto found = std::find_if(
    mEngines.begin(), mEngines.end(), [&](const FakeEngine& aKnown) {
      return aKnown.info.name == aOrder.engine;
    });
  FakeEngine& engine = *found;
  if (!engine.running ||
      (engine.info.honoursFencing && aOrder.fence < engine.fence)) {
    return;
  }
  engine.fence = std::max(engine.fence, aOrder.fence);
  if (engine.orders.size() > kKeptOrders) {
    engine.orders.erase(engine.orders.begin());
  }
  Progress& progress = engine.orders[aOrder.id];
  progress = Progress::Done;
  if (aOrder.op == Op::Load) {
    load(engine, aOrder, aFirst);
  } else if (aOrder.op == Op::Unload) {
    const bool isModel = aOrder.item.adapter.empty();
    std::erase_if(engine.memory, [&](const auto& aEntry) {
      return aEntry.first == aOrder.item ||
             (isModel && aEntry.first.model == aOrder.item.model &&
              aEntry.first.version == aOrder.item.version);
    });
    std::erase_if(engine.loading, [&](const auto& aEntry) {
      return !engine.memory.contains(aEntry.first);
    });
  }
  check();
}

/** A real engine may refuse; this one overcommits, so that the oracle sees it.
 */
void
World::load(FakeEngine& aEngine, const Order& aOrder, bool aFirst)
{
  const Item model{ aOrder.item.model, aOrder.item.version, "" };
  if (!aOrder.item.adapter.empty() && !aEngine.memory.contains(model)) {
    aEngine.orders[aOrder.id] = Progress::Failed;
    return;
  }
  if (aEngine.memory.contains(aOrder.item)) {
    return;
  }
  aEngine.memory[aOrder.item] = aOrder.memoryMb;
  const base::Duration time =
    aOrder.item.adapter.empty() ? between(500, 3000) : 20ms;
  aEngine.orders[aOrder.id] = Progress::Pending;
  aEngine.loading[aOrder.item] = { mNow + time, aOrder.id };
  int fetching = 0;
  for (const FakeEngine& engine : mEngines) {
    fetching += static_cast<int>(std::count_if(
      engine.loading.begin(), engine.loading.end(), [](const auto& aEntry) {
        return aEntry.first.adapter.empty();
      }));
  }
  // A repeated order is nothing that the scheduler could foresee.
  if (aFirst && !mDuplicate && aOrder.item.adapter.empty() &&
      fetching > kStoreConcurrency) {
    fail("more loads at once than the weights store's concurrency");
  }
}

void
World::finishLoads(FakeEngine& aEngine)
{
  std::erase_if(aEngine.loading, [&](const auto& aEntry) {
    if (aEntry.second.first > mNow) {
      return false;
    }
    aEngine.orders[aEntry.second.second] = Progress::Done;
    return true;
  });
}

void
World::restart(FakeEngine& aEngine)
{
  ++aEngine.incarnation;
  aEngine.sequence = 0;
  aEngine.fence = 0;
  aEngine.memory.clear();
  aEngine.loading.clear();
  aEngine.orders.clear();
}

void
World::snapshot(FakeEngine& aEngine)
{
  Report report;
  report.incarnation = aEngine.incarnation;
  report.sequence = ++aEngine.sequence;
  report.fence = aEngine.fence;
  for (const auto& [item, memory] : aEngine.memory) {
    if (!aEngine.loading.contains(item)) {
      report.resident[item] = memory;
    }
  }
  report.orders = aEngine.orders;
  aEngine.history.emplace_back(mNow, std::move(report));
  while (aEngine.history.front().first < mNow - kHistory) {
    aEngine.history.pop_front();
  }
}

void
World::check()
{
  for (const FakeEngine& engine : mEngines) {
    int used = 0;
    std::string items;
    for (const auto& [item, memory] : engine.memory) {
      used += memory;
      items += " " + item.model + "@" + item.version +
               (item.adapter.empty() ? "" : ":" + item.adapter);
    }
    if (used > engine.info.memoryMb) {
      fail(engine.info.name + " is overcommitted with" + items);
    }
  }
}

void
World::checkService()
{
  if (!mOptions.serviceIsKept) {
    return;
  }
  std::set<base::ModelName> served;
  for (const FakeEngine& engine : mEngines) {
    for (const auto& [item, memory] : engine.memory) {
      if (item.adapter.empty() && !engine.loading.contains(item)) {
        served.insert(item.model);
      }
    }
  }
  for (const base::ModelName& model : mServed) {
    if (!served.contains(model)) {
      fail(model + " has no replica any more");
    }
  }
  mServed.merge(served);
}

bool
World::serves(const base::ModelName& aModel) const
{
  const Item item{ aModel, mDeclared.at({ aModel, "" }).version, "" };
  return std::any_of(
    mEngines.begin(), mEngines.end(), [&](const FakeEngine& aEngine) {
      return aEngine.running && aEngine.memory.contains(item) &&
             !aEngine.loading.contains(item);
    });
}

void
World::recover()
{
  mPlatform = Fault::PlatformUp;
  mLose = mDelay = mDuplicate = mLateReports = false;
  for (const auto& placer : mPlacers) {
    placer->pauseWhenSending = false;
    placer->pausedUntil = std::min(placer->pausedUntil, mNow + kLeaseTerm);
  }
  mWaiting.clear();
  for (int i = 0; i < kModels && mViolation.empty(); ++i) {
    mWaiting = { { modelName(i), 1 } };
    const base::TimePoint limit = mNow + kRecovery;
    while (!serves(modelName(i)) && mNow < limit && mViolation.empty()) {
      advance(kTick);
    }
    if (!serves(modelName(i))) {
      fail(modelName(i) + " did not come back after the faults ended");
    }
  }
}

} // namespace marigold::placement::test
