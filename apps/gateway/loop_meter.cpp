#include "apps/gateway/loop_meter.h"

#include "observe/log.h"

#include <algorithm>
#include <ctime>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kSamplePeriod = 100ms;
/** Callers with a latency target of one second notice longer delays. */
constexpr base::Duration kLateAfter = 200ms;
/** Limits the log lines of a process that is permanently late. */
constexpr base::Duration kLogPeriod = 1s;

base::Duration
processorTime()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

LoopMeter::LoopMeter(http::Loop& aLoop, observe::Metrics& aMetrics)
  : mLoop(aLoop)
  , mDelays(aMetrics.seconds("marigold_loop_delay_seconds",
                             "How late the event loop ran a timer"))
{
}

void
LoopMeter::start()
{
  mSampledAt = base::monotonicNow();
  mWorked = processorTime();
  mTimer = mLoop.every(kSamplePeriod, [this] { sample(); });
}

void
LoopMeter::sample()
{
  const base::TimePoint now = base::monotonicNow();
  const base::Duration worked = processorTime();
  const base::Duration delay =
    std::max(base::Duration::zero(), now - mSampledAt - kSamplePeriod);
  mDelays.Observe(base::inSeconds(delay));
  if (delay > kLateAfter && now - mLoggedAt > kLogPeriod) {
    mLoggedAt = now;
    observe::logWarn(
      "event loop late",
      { { "delay_ms", std::to_string(base::inMilliseconds(delay)) },
        { "worked_ms",
          std::to_string(base::inMilliseconds(worked - mWorked)) } });
  }
  mSampledAt = now;
  mWorked = worked;
}

} // namespace marigold::gateway
