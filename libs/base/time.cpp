#include "base/time.h"

#include <ctime>

namespace marigold::base {

TimePoint
monotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace marigold::base
