#include "dispatch/start_gate.h"

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Time in which a new process has read the configuration and has heard its
 * peers. One that has not by then waits for a cause outside of it. */
constexpr base::Duration kStartTime = 1s;
/** A configuration arrives, and a relay reports, within one or two of these. */
constexpr base::Duration kMinDelay = 40ms;
constexpr base::Duration kMaxDelay = 100ms;

} // namespace

std::optional<base::Duration>
StartGate::hold(base::TimePoint aReceivedAt,
                base::TimePoint aDeadlineAt,
                double aUnit,
                base::TimePoint aNow) const
{
  if (!mStartedAt) {
    return std::nullopt;
  }
  const base::Duration delay =
    kMinDelay +
    base::fromSeconds(aUnit * base::inSeconds(kMaxDelay - kMinDelay));
  const base::TimePoint next = aNow + delay;
  // Later there is no time left for a try at another VM.
  const base::TimePoint latest = aReceivedAt + (aDeadlineAt - aReceivedAt) / 2;
  if (next > *mStartedAt + kStartTime || next > latest) {
    return std::nullopt;
  }
  return delay;
}

} // namespace marigold::dispatch
