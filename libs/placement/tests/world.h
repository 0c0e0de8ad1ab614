/** @file Simulated platform, engines and placers with faults, and the oracle
 * that checks the engines' own memory. */
#pragma once

#include "placement/placement.h"

#include <deque>
#include <iosfwd>
#include <list>

namespace marigold::placement::test {

/** Something that happens to the data centre. */
enum class Fault : std::uint8_t
{
  None,
  KillPlacer,
  PausePlacer,        ///< for longer than a lease
  PauseBetweenChecks, ///< between the lease check and the sending
  PlatformDown,
  PlatformSlow,
  PlatformLosesAnswers,
  PlatformWritesLate,
  PlatformUp,
  LoseOrders,
  DelayOrders,
  DuplicateOrders,
  DelayReports,
  NetworkFine,
  RestartEngine,
  StopEngine,
  NewVersion,
  Demand,
  Count,
};

/** A fault and the time until the next one. */
struct Step
{
  Fault fault = Fault::None;
  int target = 0;
  int waitTenths = 0; ///< in tenths of a second
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep);

/** What is simulated. Tests switch off one safeguard each with it. */
struct WorldOptions
{
  std::uint64_t seed = 1;
  std::string strategy = "forecast";
  int engineMb = 80; ///< two models and their adapters
  bool allHonourFencing = false;
  bool noneHonourFencing = false;
  bool ledgerIsLost = false; ///< the platform forgets ledger writes
  bool placersIgnoreLease = false;
  bool placersDoNotWait = false; ///< for late orders of earlier holders
  /** A model that has been served must be served at every later instant. */
  bool serviceIsKept = false;
  Account account = &worstCaseMb;
};

/** Runs steps in virtual time and notes the first violation. */
class World
{
public:
  explicit World(WorldOptions aOptions);

  /** @param aSteps faults to run, one after the other */
  void run(const std::vector<Step>& aSteps);

  /** Ends all faults and demands each model in turn. */
  void recover();

  /** @return the first violation, empty if there is none */
  const std::string& violation() const { return mViolation; }

private:
  struct Lease
  {
    base::TimePoint end;
  };

  struct Value
  {
    std::string text;
    std::uint64_t revision = 0;
    std::string lease;
  };

  struct FakeEngine
  {
    Engine info;
    bool running = true;
    base::TimePoint startsAgain;
    base::Incarnation incarnation = 1;
    std::uint64_t sequence = 0;
    FenceNumber fence = 0;
    std::map<Item, int> memory; ///< loaded or being loaded
    std::map<Item, std::pair<base::TimePoint, OrderId>> loading;
    std::map<OrderId, Progress> orders;
    std::deque<std::pair<base::TimePoint, Report>> history;
  };

  struct Placer
  {
    std::string name;
    std::unique_ptr<Owner> owner;
    base::TimePoint pausedUntil;
    base::TimePoint nextReports;
    bool pauseWhenSending = false;
    std::uint64_t generation = 0;
  };

  struct Event
  {
    base::TimePoint at;
    std::function<void()> run;
  };

  void apply(const Step& aStep);
  void advance(base::Duration aTime);
  void startPlacer(Placer& aPlacer);
  void act(Placer& aPlacer, Actions aActions);
  void call(Placer& aPlacer, const PlatformCall& aCall);
  void reply(Placer& aPlacer,
             std::uint64_t aRun,
             const PlatformAnswer& aAnswer);
  PlatformAnswer execute(const PlatformCall& aCall);
  PlatformAnswer write(const std::string& aKey, const PlatformCall& aCall);
  void send(const Order& aOrder, base::Duration aHeld);
  void deliver(const Order& aOrder, bool aFirst);
  void load(FakeEngine& aEngine, const Order& aOrder, bool aFirst);
  void finishLoads(FakeEngine& aEngine);
  void restart(FakeEngine& aEngine);
  void snapshot(FakeEngine& aEngine);
  void check();
  void later(base::Duration aDelay, std::function<void()> aRun);
  void fail(const std::string& aWhat);
  void declare();
  bool serves(const base::ModelName& aModel) const;
  void checkService();
  base::Duration between(int aLeastMs, int aMostMs);

  WorldOptions mOptions;
  base::Random mRandom;
  base::TimePoint mNow{ std::chrono::seconds(1000) };
  std::vector<FakeEngine> mEngines;
  std::vector<std::unique_ptr<Placer>> mPlacers;
  std::list<Event> mEvents;
  std::map<std::string, Value> mValues;
  std::map<std::string, Lease> mLeases;
  std::uint64_t mRevision = 0;
  int mNextLease = 0;
  int mVersion = 1;
  Fault mPlatform = Fault::PlatformUp;
  bool mLose = false;
  bool mDelay = false;
  bool mDuplicate = false;
  bool mLateReports = false;
  std::map<base::ModelName, int> mWaiting;
  std::deque<base::TimePoint> mLoadSends;
  Declarations mDeclared;
  std::set<base::ModelName> mServed;
  std::string mViolation;
};

} // namespace marigold::placement::test
