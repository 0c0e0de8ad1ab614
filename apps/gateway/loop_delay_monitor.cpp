#include "apps/gateway/loop_delay_monitor.h"

#include "observe/log.h"

#include <algorithm>
#include <ctime>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kSamplePeriod = 100ms;
/** Callers with a latency target of one second notice longer delays. */
constexpr base::Duration kLateThreshold = 200ms;
/** Limits the log lines of a process that is permanently late. */
constexpr base::Duration kLogPeriod = 1s;

} // namespace

base::Duration
processCpuTime()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

LoopDelayMonitor::LoopDelayMonitor(http::Loop& aLoop,
                                   observe::Metrics& aMetrics)
  : mLoop(aLoop)
  , mDelays(aMetrics.durationHistogram("marigold_loop_delay_seconds",
                                       "How late the event loop ran a timer"))
{
}

void
LoopDelayMonitor::start()
{
  mSampledAt = base::monotonicNow();
  mCpuTime = processCpuTime();
  mTimer = mLoop.every(kSamplePeriod, [this] { sample(); });
}

void
LoopDelayMonitor::sample()
{
  const base::TimePoint now = base::monotonicNow();
  const base::Duration cpuTime = processCpuTime();
  const base::Duration delay =
    std::max(base::Duration::zero(), now - mSampledAt - kSamplePeriod);
  mDelays.Observe(base::inSeconds(delay));
  if (delay > kLateThreshold && now - mLoggedAt > kLogPeriod) {
    mLoggedAt = now;
    observe::logWarn(
      "event loop late",
      { { "delay_ms", std::to_string(base::inMilliseconds(delay)) },
        { "worked_ms",
          std::to_string(base::inMilliseconds(cpuTime - mCpuTime)) } });
  }
  mSampledAt = now;
  mCpuTime = cpuTime;
}

} // namespace marigold::gateway
