/** @file Continuous batching: which requests run and when tokens appear. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::standin {

/** How fast an engine is. */
struct BatchSpeed
{
  int capacity = 32; ///< requests that run at once
  base::Duration tokenPeriod = std::chrono::milliseconds(5);
  base::Duration growth =
    std::chrono::microseconds(50); ///< per further request
};

/** A request in the batch or in its queue. */
struct BatchRequest
{
  std::uint64_t serial = 0; ///< unique within the engine
  std::string model;
  std::string version;
  int priority = 0; ///< 0 is most urgent
  int produced = 0; ///< tokens so far; a resumed request starts above 0
  int wanted = 0;
  base::Duration prefill = base::Duration::zero(); ///< before the first token
  bool stalled = false; ///< produces nothing until it is cancelled
  base::TimePoint readyAt{};
};

struct ProducedToken
{
  std::uint64_t serial = 0;
  int index = 0;
  bool last = false;
};

/** The batch of one engine; the owner calls step() every period(). */
class Batch
{
public:
  explicit Batch(BatchSpeed aSpeed)
    : mSpeed(aSpeed)
  {
  }

  /** @param aRequest waits until admit() takes it */
  void add(BatchRequest aRequest);

  /** Starts waiting requests, most urgent first, while there is room.
   * @param aNow time @return their serials */
  std::vector<std::uint64_t> admit(base::TimePoint aNow);

  /** Produces one token for each running request.
   * @param aNow time @return the tokens; a request leaves with its last */
  std::vector<ProducedToken> step(base::TimePoint aNow);

  /** @param aSerial request @return true if it was running or waiting */
  bool remove(std::uint64_t aSerial);

  /** @return time of one step, which grows with the batch */
  base::Duration period() const;

  /** @param aModel name @param aVersion version
   * @return true if a request of it runs or waits */
  bool uses(const std::string& aModel, const std::string& aVersion) const;

  std::size_t running() const { return mRunning.size(); }
  std::size_t waiting() const { return mWaiting.size(); }
  int capacity() const { return mSpeed.capacity; }

private:
  BatchSpeed mSpeed;
  std::vector<BatchRequest> mRunning;
  std::vector<BatchRequest> mWaiting; ///< by priority, then arrival
};

} // namespace marigold::standin
