/** @file Continuous batching: request admission and token production. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marigold::standin {

/** Capacity and step time of an engine. */
struct BatchSpeed
{
  int capacity = 32; ///< maximum number of running requests
  base::Duration tokenPeriod = std::chrono::milliseconds(5);
  base::Duration growthPerRequest =
    std::chrono::microseconds(50); ///< per additional request
};

/** A running or queued request. */
struct BatchRequest
{
  std::uint64_t serial = 0; ///< unique within the engine
  std::string model;
  std::string version;
  int priority = 0; ///< 0 is the highest priority
  int produced = 0; ///< tokens so far; above 0 for a resumed request
  int requestedTokens = 0;
  base::Duration prefill =
    base::Duration::zero(); ///< time before the first token
  bool stalled = false;     ///< produces nothing until it is cancelled
  base::TimePoint prefillEnd{};
};

struct ProducedToken
{
  std::uint64_t serial = 0;
  int index = 0;
  bool last = false;
};

/** The batch of one engine; the owner calls step() every stepDuration(). */
class Batch
{
public:
  explicit Batch(BatchSpeed aSpeed)
    : mSpeed(aSpeed)
  {
  }

  /** @param aRequest queued until admit() starts it */
  void add(BatchRequest aRequest);

  /** Starts queued requests by priority while the batch has free slots.
   * @param aNow time @return their serials */
  std::vector<std::uint64_t> admit(base::TimePoint aNow);

  /** Produces one token for each running request.
   * @param aNow time @return the tokens; the last one removes its request */
  std::vector<ProducedToken> step(base::TimePoint aNow);

  /** @param aSerial request @return true if it was running or queued */
  bool remove(std::uint64_t aSerial);

  /** @return duration of one step, which grows with the batch */
  base::Duration stepDuration() const;

  /** @param aModel name @param aVersion version
   * @return true if one of its requests is running or queued */
  bool hasRequestsFor(const std::string& aModel,
                      const std::string& aVersion) const;

  std::size_t running() const { return mRunning.size(); }
  std::size_t waiting() const { return mWaiting.size(); }
  int capacity() const { return mSpeed.capacity; }

private:
  BatchSpeed mSpeed;
  std::vector<BatchRequest> mRunning;
  std::vector<BatchRequest> mWaiting; ///< by priority, then arrival
};

} // namespace marigold::standin
