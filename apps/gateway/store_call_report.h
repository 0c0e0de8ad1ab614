/** @file Counts this VM's calls to the platform's store. */
#pragma once

#include "http/loop.h"
#include "observe/metrics.h"
#include "platform/platform.h"

namespace marigold::gateway {

/** Counts the calls of a store client in the metrics, and logs them now and
 * then, because calls are rate limited and charged for. */
class StoreCallReport
{
public:
  StoreCallReport(http::Loop& aLoop,
                  platform::Client& aClient,
                  observe::Metrics& aMetrics);

  /** Starts to log what was called since the line before. */
  void start();

  /** Logs it now. */
  void log();

private:
  void record(const platform::CallRecord& aCall);

  http::Loop& mLoop;
  observe::Metrics& mMetrics;
  platform::CallSummary mSummary;
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
