/** @file Monotonic time and durations. */
#pragma once

#include <chrono>

namespace marigold::base {

using Clock = std::chrono::steady_clock;
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<Clock, Duration>;

/**
 * @param aDuration any duration
 * @return the duration in seconds, with fractions
 */
constexpr double
inSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/**
 * @param aSeconds length in seconds
 * @return the same length as a Duration, truncated to nanoseconds
 */
constexpr Duration
fromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/**
 * @param aDuration any duration
 * @return whole milliseconds, truncated
 */
constexpr std::int64_t
inMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/**
 * Reads CLOCK_BOOTTIME, which also advances while the VM is suspended, so that
 * leases expire during a suspension. Only programs call this; the libraries
 * that make decisions receive the time as a parameter.
 * @return the time since boot
 */
TimePoint
monotonicNow();

} // namespace marigold::base
