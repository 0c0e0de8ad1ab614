/** @file Engines, their records and two owners of orders in simulated time. */
#pragma once

#include "residency/residency.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::residency::test {

/** An engine that takes orders as the users' platform has it: it executes one
 * order for a model at a time, and none that expects another order count. */
class SimulatedEngine
{
public:
  enum class Answer
  {
    Started,
    AlreadyApplied,
    Conflict
  };

  /** @param aSpec memory, slots and models @param aChecksCount whether it
   * refuses orders that expect another order count */
  SimulatedEngine(const catalog::EngineSpec& aSpec, bool aChecksCount);

  /** @param aOrder order @param aExpected order count that it expects
   * @param aDuration of its execution @param aNow time */
  Answer execute(const PlannedOrder& aOrder,
                 std::uint64_t aExpected,
                 base::Duration aDuration,
                 base::TimePoint aNow);

  /** Ends the order that is due. @param aNow time */
  void advance(base::TimePoint aNow);

  /** Ends the process, with all that it held and counted. @param aNow time
   * @param aUntil start of its next process */
  void restart(base::TimePoint aNow, base::TimePoint aUntil);

  bool running(base::TimePoint aNow) const { return aNow >= mUpSince; }

  /** @return true once it was ordered to hold more than it can */
  bool overcommitted() const { return mOvercommitted; }

  EngineReport report() const;
  const HeldModels& models() const { return mModels; }
  const std::set<base::ModelName>& disk() const { return mDisk; }
  std::uint64_t process() const { return mProcess; }

private:
  struct Running
  {
    PlannedOrder order;
    base::TimePoint endsAt;
  };

  void checkMemory();
  bool holds(const catalog::ModelRef& aTarget) const;

  const catalog::EngineSpec& mSpec;
  bool mChecksCount;
  HeldModels mModels;
  std::set<base::ModelName> mDisk;
  std::optional<Running> mRunning;
  std::uint64_t mOrderCount = 0;
  std::uint64_t mProcess = 1;
  base::TimePoint mUpSince{};
  bool mOvercommitted = false;
};

/** Settings of a sequence. */
struct WorldSettings
{
  std::uint64_t seed = 0;
  bool engineChecksCount = true; ///< false shows that the oracle sees a fault
};

/** @param aSettings seed and variant
 * @return what went wrong in a random sequence of faults, empty if nothing did
 */
std::string
runSequence(const WorldSettings& aSettings);

} // namespace marigold::residency::test
