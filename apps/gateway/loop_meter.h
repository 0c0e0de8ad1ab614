/** @file Measures how late the event loop of the process runs. */
#pragma once

#include "http/http.h"
#include "observe/metrics.h"

namespace marigold::gateway {

/**
 * Every decision of the process is as old as its event loop is late. A timer of
 * a known period shows the delay; the processor time of the process tells
 * whether its own work caused it or a pause from outside.
 */
class LoopMeter
{
public:
  LoopMeter(http::Loop& aLoop, observe::Metrics& aMetrics);

  /** Starts to measure. */
  void start();

private:
  void sample();

  http::Loop& mLoop;
  prometheus::Histogram& mDelays;
  base::TimePoint mSampledAt{};
  base::TimePoint mLoggedAt{};
  base::Duration mWorked{}; ///< processor time at the latest sample
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
