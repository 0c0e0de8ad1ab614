#include "residency_world.h"

#include <algorithm>

namespace marigold::residency::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kEngines = 4;
constexpr std::size_t kModels = 9;
constexpr std::size_t kOwners = 2;
constexpr double kSmallestMb = 60;
constexpr double kSizeRangeMb = 60;
constexpr double kEngineMb = 230;
constexpr base::Duration kStep = 50ms;
constexpr base::Duration kFaultyTime = 40s;
/** Within which a model that callers wait for is there once nothing fails:
 * other models go first, and each may need evictions and a load. */
constexpr base::Duration kTimeToServe = 60s;
constexpr base::Duration kPlanPeriod = 200ms;
constexpr base::Duration kHeartbeat = 1200ms;
/** Between the orders of two owners, as the platform demands. */
constexpr base::Duration kOwnerPause = 3s;
constexpr unsigned kStoreLoads = 3; ///< of one plan

/** How likely something is in one step, unless it says otherwise. */
constexpr double kEngineRestart = 0.002;
constexpr double kOwnerChange = 0.01;
constexpr double kDemandChange = 0.05;
constexpr double kImpairment = 0.005; ///< of an engine
constexpr double kStoreOutage = 0.01;
constexpr double kLostAnswer = 0.08; ///< of one order
constexpr double kLateOrder = 0.15;  ///< of one order: no answer, executed late
constexpr double kLostReport = 0.1;  ///< of one report

catalog::EngineSpec
makeSpec(base::Random& aRandom)
{
  catalog::EngineSpec spec;
  spec.weightsMb = kEngineMb;
  spec.adapterSlots = 3;
  for (std::size_t number = 0; number < kModels; ++number) {
    catalog::Model model;
    model.name = "m" + std::to_string(number);
    model.weightsMb = kSmallestMb + kSizeRangeMb * aRandom.unit();
    model.adapters = { "a1", "a2", "a3", "a4" };
    model.adapterMb = 2;
    model.storeLoadTime = 3s;
    model.diskLoadTime = 1s;
    model.memoryLoadTime = 500ms;
    spec.models[model.name] = model;
  }
  return spec;
}

/** An engine's record, as the owner of orders reads it. */
struct Record
{
  HeldModels models;
  std::set<base::ModelName> disk;
  std::uint64_t process = 1;
};

/** A view of an engine that its owner of orders has. */
struct View
{
  std::uint64_t process = 0;
  EngineOrders orders;
};

/** Something that arrives or ends at a time. */
struct Event
{
  base::TimePoint at;
  std::function<void()> run;
};

class World
{
public:
  explicit World(const WorldSettings& aSettings)
    : mRandom(aSettings.seed)
    , mSpec(makeSpec(mRandom))
    , mRecords(kEngines)
    , mHistory(kEngines)
    , mImpairedUntil(kEngines)
    , mViews(kOwners, std::vector<View>(kEngines))
  {
    for (std::size_t number = 0; number < kEngines; ++number) {
      mEngines.emplace_back(mSpec, aSettings.engineChecksCount);
    }
  }

  std::string run()
  {
    for (const auto end = mNow + kFaultyTime; mNow < end;) {
      injectFaults();
      step();
      if (const std::string fault = checkMemory(); !fault.empty()) {
        return fault;
      }
    }
    mCalm = true;
    return checkReachable();
  }

private:
  base::Duration between(base::Duration aLeast, base::Duration aMost)
  {
    return aLeast + std::chrono::duration_cast<base::Duration>(
                      (aMost - aLeast) * mRandom.unit());
  }

  bool happens(double aProbability)
  {
    return !mCalm && mRandom.chance(aProbability);
  }

  void after(base::Duration aDelay, std::function<void()> aRun)
  {
    mEvents.push_back({ mNow + aDelay, std::move(aRun) });
  }

  void injectFaults()
  {
    for (std::size_t number = 0; number < kEngines; ++number) {
      if (happens(kEngineRestart)) {
        mEngines[number].restart(mNow, mNow + between(1s, 4s));
      }
      if (happens(kImpairment)) {
        mImpairedUntil[number] = mNow + between(1s, 15s);
      }
    }
    if (happens(kOwnerChange)) {
      changeOwner();
    }
    if (happens(kStoreOutage)) {
      mStoreBackAt = mNow + between(1s, 10s);
    }
    if (happens(kDemandChange)) {
      changeDemand();
    }
  }

  void changeOwner()
  {
    mOwner = (mOwner + 1) % kOwners;
    mOrdersFrom = mNow + kOwnerPause;
    mViews[mOwner].assign(kEngines, View{});
  }

  void changeDemand()
  {
    mDemand.clear();
    for (const auto& [name, model] : mSpec.models) {
      if (mRandom.chance(0.5)) {
        mDemand[{ name, "" }] = { 400 * mRandom.unit(),
                                  mRandom.chance(0.3) ? 2U : 0U,
                                  1,
                                  between(0s, 12s) };
      }
      if (mRandom.chance(0.2)) {
        mDemand[{ name, model.adapters.front() }] = { 20, 1, 0, 1s };
      }
    }
  }

  void step()
  {
    mNow += kStep;
    for (std::size_t number = 0; number < kEngines; ++number) {
      mEngines[number].advance(mNow);
      mHistory[number].push_back(mEngines[number].report());
      constexpr std::size_t kOldestReport = 8; // steps, 400 ms
      if (mHistory[number].size() > kOldestReport) {
        mHistory[number].pop_front();
      }
    }
    if (mNow >= mHeartbeatAt) {
      mHeartbeatAt = mNow + kHeartbeat;
      sendHeartbeats();
    }
    runEvents();
    if (mNow >= mPlanAt && mNow >= mOrdersFrom) {
      mPlanAt = mNow + kPlanPeriod;
      plan();
    }
  }

  void runEvents()
  {
    for (std::size_t index = 0; index < mEvents.size();) {
      if (mEvents[index].at > mNow) {
        ++index;
        continue;
      }
      const auto run = std::move(mEvents[index].run);
      mEvents.erase(mEvents.begin() + static_cast<std::ptrdiff_t>(index));
      run();
    }
  }

  /** Records reach the owner in order, and none while the store is away. */
  void sendHeartbeats()
  {
    if (mNow < mStoreBackAt) {
      return;
    }
    for (std::size_t number = 0; number < kEngines; ++number) {
      const SimulatedEngine& engine = mEngines[number];
      if (!engine.running(mNow)) {
        continue;
      }
      after(
        500ms,
        [this,
         number,
         record = Record{ engine.models(), engine.disk(), engine.process() }] {
          mRecords[number] = record;
        });
    }
  }

  void plan()
  {
    PlanInput input;
    input.spec = &mSpec;
    input.demand = mDemand;
    input.availableStoreLoads = kStoreLoads;
    for (std::size_t number = 0; number < kEngines; ++number) {
      input.engines.push_back(describe(number));
    }
    std::set<base::UpstreamName> ordered;
    for (const auto planner :
         { &planAdapters, &planModels, &planAdapterPrefetch }) {
      for (const PlannedOrder& order : planner(input)) {
        if (takesLastServing(input, order)) {
          mFault = order.target.model + " was to be unloaded from " +
                   order.engine + ", the last that serves it";
        }
        if (ordered.insert(order.engine).second) {
          send(static_cast<std::size_t>(order.engine.back() - '0'), order);
        }
      }
    }
  }

  /** @return true if the order unloads a model in use from the only engine
   * that serves it, although no other model has waited for long */
  static bool takesLastServing(const PlanInput& aInput,
                               const PlannedOrder& aOrder)
  {
    const base::ModelName& model = aOrder.target.model;
    if (aOrder.load || !aOrder.target.adapter.empty()) {
      return false;
    }
    double workMsPerSecond = 0;
    bool starved = false;
    for (const auto& [ref, demand] : aInput.demand) {
      workMsPerSecond += ref.model == model ? demand.workMsPerSecond : 0;
      starved = starved || (ref.model != model && demand.unservedTime >= 10s);
    }
    const auto serves = [&](const Engine& aEngine) {
      return !aEngine.impaired && aEngine.models.contains(model) &&
             !aEngine.unloading.contains(model);
    };
    return workMsPerSecond >= 1 && !starved &&
           std::any_of(aInput.engines.begin(),
                       aInput.engines.end(),
                       [&](const Engine& aEngine) {
                         return aEngine.name == aOrder.engine &&
                                serves(aEngine);
                       }) &&
           std::count_if(
             aInput.engines.begin(), aInput.engines.end(), serves) == 1;
  }

  Engine describe(std::size_t aNumber)
  {
    const Record& record = mRecords[aNumber];
    View& view = mViews[mOwner][aNumber];
    if (view.process != record.process) {
      view = { record.process, {} };
    }
    view.orders.onRecord(record.models, mSpec, mNow);
    if (view.orders.wantsReport(mNow)) {
      requestReport(aNumber);
    }
    Engine engine;
    engine.name = "e" + std::to_string(aNumber);
    engine.dataCentre = "dc";
    engine.cachedOnDisk = record.disk;
    engine.impaired = mNow < mImpairedUntil[aNumber];
    view.orders.describe(record.models, mNow, engine);
    return engine;
  }

  /** Runs a function if the owner still has its view of the process. */
  void ifCurrent(std::size_t aOwner,
                 std::size_t aNumber,
                 std::uint64_t aProcess,
                 const std::function<void(EngineOrders&)>& aRun)
  {
    View& view = mViews[aOwner][aNumber];
    if (aOwner == mOwner && view.process == aProcess) {
      aRun(view.orders);
    }
  }

  void requestReport(std::size_t aNumber)
  {
    View& view = mViews[mOwner][aNumber];
    view.orders.reportRequested();
    const auto& history = mHistory[aNumber];
    const bool answered = mEngines[aNumber].running(mNow) && !history.empty() &&
                          !happens(kLostReport);
    std::optional<EngineReport> report;
    if (answered) {
      report = history[mRandom.below(history.size())];
    }
    after(answered ? between(2ms, 200ms) : kOrderTimeout,
          [this, aNumber, owner = mOwner, process = view.process, report] {
            ifCurrent(owner, aNumber, process, [&](EngineOrders& aOrders) {
              aOrders.reportCallEnded(mNow);
              if (report) {
                aOrders.onReport(*report, mNow);
              }
            });
          });
  }

  void send(std::size_t aNumber, const PlannedOrder& aOrder)
  {
    View& view = mViews[mOwner][aNumber];
    const std::uint64_t expected = view.orders.orderCount();
    view.orders.orderSent(aOrder, mNow);
    const bool late = happens(kLateOrder);
    const bool answered = !late && !happens(kLostAnswer);
    const base::Duration way = late ? between(2s, 12s) : between(1ms, 300ms);
    const auto end =
      [this, aNumber, aOrder, owner = mOwner, process = view.process](
        OrderEnd aEnd) {
        ifCurrent(owner, aNumber, process, [&](EngineOrders& aOrders) {
          aOrders.orderEnded(aOrder, aEnd, mNow);
        });
      };
    if (!mEngines[aNumber].running(mNow)) {
      after(between(1ms, 300ms), [end] { end(OrderEnd::NotSent); });
      return;
    }
    after(way,
          [this,
           aNumber,
           aOrder,
           expected,
           answered,
           end,
           target = mEngines[aNumber].process()] {
            SimulatedEngine& engine = mEngines[aNumber];
            // What waits in a process ends with it.
            if (!engine.running(mNow) || engine.process() != target) {
              if (answered) {
                end(OrderEnd::NotSent);
              }
              return;
            }
            const auto answer =
              engine.execute(aOrder, expected, durationOf(aOrder), mNow);
            if (answered) {
              after(between(1ms, 300ms), [end, answer] {
                end(answer == SimulatedEngine::Answer::Started
                      ? OrderEnd::Started
                    : answer == SimulatedEngine::Answer::AlreadyApplied
                      ? OrderEnd::AlreadyApplied
                      : OrderEnd::Refused);
              });
            }
          });
    if (!answered) {
      after(kOrderTimeout, [end] { end(OrderEnd::Unanswered); });
    }
  }

  base::Duration durationOf(const PlannedOrder& aOrder)
  {
    if (!aOrder.target.adapter.empty()) {
      return 0ms;
    }
    return aOrder.load ? between(500ms, 6s) : between(0ms, 3s);
  }

  std::string checkMemory() const
  {
    if (!mFault.empty()) {
      return mFault;
    }
    for (std::size_t number = 0; number < kEngines; ++number) {
      if (mEngines[number].overcommitted()) {
        return "engine " + std::to_string(number) +
               " was ordered to hold more than it can";
      }
    }
    return {};
  }

  /** Lets callers wait for each model in turn. */
  std::string checkReachable()
  {
    for (const auto& [name, model] : mSpec.models) {
      mDemand.clear();
      const base::TimePoint begun = mNow;
      while (!isHeld(name)) {
        mDemand[{ name, "" }] = { 10, 1, 0, mNow - begun };
        step();
        if (const std::string fault = checkMemory(); !fault.empty()) {
          return fault;
        }
        if (mNow - begun > kTimeToServe) {
          return "no engine has " + name + " although callers wait";
        }
      }
    }
    return {};
  }

  bool isHeld(const base::ModelName& aModel) const
  {
    return std::any_of(
      mEngines.begin(), mEngines.end(), [&](const SimulatedEngine& aEngine) {
        return aEngine.running(mNow) && aEngine.models().contains(aModel);
      });
  }

  base::Random mRandom;
  catalog::EngineSpec mSpec;
  std::vector<SimulatedEngine> mEngines;
  std::vector<Record> mRecords;
  std::vector<std::deque<EngineReport>> mHistory; ///< one report a step
  std::vector<base::TimePoint> mImpairedUntil;    ///< by engine
  std::vector<std::vector<View>> mViews;          ///< by owner and engine
  std::vector<Event> mEvents;
  DemandTable mDemand;
  std::size_t mOwner = 0;
  base::TimePoint mNow{ 100s };
  base::TimePoint mOrdersFrom{};
  base::TimePoint mPlanAt{};
  base::TimePoint mHeartbeatAt{};
  base::TimePoint mStoreBackAt{};
  bool mCalm = false;
  std::string mFault; ///< of a plan
};

} // namespace

SimulatedEngine::SimulatedEngine(const catalog::EngineSpec& aSpec,
                                 bool aChecksCount)
  : mSpec(aSpec)
  , mChecksCount(aChecksCount)
{
}

bool
SimulatedEngine::holds(const catalog::ModelRef& aTarget) const
{
  const auto found = mModels.find(aTarget.model);
  return found != mModels.end() &&
         (aTarget.adapter.empty() || found->second.contains(aTarget.adapter));
}

SimulatedEngine::Answer
SimulatedEngine::execute(const PlannedOrder& aOrder,
                         std::uint64_t aExpected,
                         base::Duration aDuration,
                         base::TimePoint aNow)
{
  if (mRunning || (mChecksCount && aExpected != mOrderCount)) {
    return Answer::Conflict;
  }
  if (aOrder.load == holds(aOrder.target)) {
    return Answer::AlreadyApplied;
  }
  const bool isAdapter = !aOrder.target.adapter.empty();
  if (isAdapter && !mModels.contains(aOrder.target.model)) {
    return Answer::Conflict;
  }
  ++mOrderCount;
  if (!isAdapter) {
    mRunning = Running{ aOrder, aNow + aDuration };
  } else if (aOrder.load) {
    mModels[aOrder.target.model].insert(aOrder.target.adapter);
  } else {
    mModels[aOrder.target.model].erase(aOrder.target.adapter);
  }
  checkMemory();
  return isAdapter && !aOrder.load ? Answer::AlreadyApplied : Answer::Started;
}

void
SimulatedEngine::checkMemory()
{
  double usedMb = 0;
  std::size_t slots = 0;
  for (const auto& [name, adapters] : mModels) {
    const catalog::Model& model = mSpec.models.at(name);
    usedMb +=
      model.weightsMb + model.adapterMb * static_cast<double>(adapters.size());
    slots += adapters.size();
  }
  if (mRunning && mRunning->order.load) {
    usedMb += mSpec.models.at(mRunning->order.target.model).weightsMb;
  }
  mOvercommitted =
    mOvercommitted || usedMb > mSpec.weightsMb || slots > mSpec.adapterSlots;
}

void
SimulatedEngine::advance(base::TimePoint aNow)
{
  if (!mRunning || aNow < mRunning->endsAt) {
    return;
  }
  const PlannedOrder order = mRunning->order;
  mRunning.reset();
  if (order.load) {
    mModels[order.target.model] = {};
    mDisk.insert(order.target.model);
  } else {
    mModels.erase(order.target.model);
  }
}

void
SimulatedEngine::restart(base::TimePoint aNow, base::TimePoint aUntil)
{
  if (!running(aNow)) {
    return;
  }
  mModels.clear();
  mRunning.reset();
  mOrderCount = 0;
  ++mProcess;
  mUpSince = aUntil;
}

EngineReport
SimulatedEngine::report() const
{
  return { mRunning.has_value(), mOrderCount, mModels };
}

std::string
runSequence(const WorldSettings& aSettings)
{
  return World(aSettings).run();
}

} // namespace marigold::residency::test
