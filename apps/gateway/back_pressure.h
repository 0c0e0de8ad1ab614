/** @file Stops reading from an upstream while the reader of its answer is slow.
 */
#pragma once

#include "base/memory_budget.h"
#include "http/loop.h"
#include "wire/caller_connection.h"

#include <functional>
#include <memory>

namespace marigold::gateway {

/** Bounds the memory that a slow reader takes. */
class BackPressure
{
public:
  using PauseReading = std::function<void(bool)>;

  /** @param aLoop event loop @param aMemory memory of the process
   * @param aReader reader of the answer
   * @param aPause stops reading from the upstream, or goes on */
  BackPressure(http::Loop& aLoop,
               const base::MemoryBudget& aMemory,
               std::shared_ptr<wire::CallerConnection> aReader,
               PauseReading aPause);

  /** Stops reading if too much waits for the reader, until it has read half. */
  void apply();

  /** Ends a pause without reading again. */
  void reset() { mTimer.reset(); }

private:
  http::Loop& mLoop;
  const base::MemoryBudget& mMemory;
  std::shared_ptr<wire::CallerConnection> mReader;
  PauseReading mPause;
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
