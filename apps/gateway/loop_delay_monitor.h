/** @file Measures the delay of the event loop. */
#pragma once

#include "http/http.h"
#include "observe/metrics.h"

namespace marigold::gateway {

/** @return processor time that this process has used */
base::Duration
processCpuTime();

/**
 * Measures by how much a periodic timer is late, because a late event loop
 * delays every decision of the process. The log line includes the CPU time of
 * the process, which shows whether its own work caused the delay or an external
 * pause.
 */
class LoopDelayMonitor
{
public:
  LoopDelayMonitor(http::Loop& aLoop, observe::Metrics& aMetrics);

  /** Starts the measurement. */
  void start();

private:
  void sample();

  http::Loop& mLoop;
  prometheus::Histogram& mDelays;
  base::TimePoint mSampledAt{};
  base::TimePoint mLoggedAt{};
  base::Duration mCpuTime{}; ///< CPU time of the process at the last sample
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
