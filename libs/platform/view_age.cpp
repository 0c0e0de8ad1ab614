#include "platform/view_age.h"

#include <algorithm>

namespace marigold::platform {
namespace {

using namespace std::chrono_literals;

/** Part of the timeout after which an answer is overdue. */
constexpr int kOverduePart = 3;
/** Part of a limit in which a silent connection is found: two of three. */
constexpr int kDetectionParts = 2;
constexpr int kLimitParts = 3;
/** A limit that leaves less cannot be kept at an acceptable rate of calls. */
constexpr base::Duration kMinWatchWait = 200ms;
/** Keeps a long limit from hiding a silent connection for long. */
constexpr base::Duration kMaxWatchWait = 4s;
/** Number of readers, asking at random moments, that find a change about as
 * soon as one that waits for a part of their wait. */
constexpr std::size_t kReadersPerWait = 2;
/** Bounds the product; the longest wait is reached before. */
constexpr std::size_t kMaxWaits = 100;

} // namespace

base::Duration
overdueAfter(base::Duration aCallTimeout)
{
  return aCallTimeout / kOverduePart;
}

base::Duration
maxWatchWait(base::Duration aLimit, base::Duration aCallTimeout)
{
  return std::clamp<base::Duration>(aLimit * kDetectionParts / kLimitParts -
                                      overdueAfter(aCallTimeout),
                                    kMinWatchWait,
                                    kMaxWatchWait);
}

base::Duration
sharedWatchWait(base::Duration aLimit,
                base::Duration aCallTimeout,
                std::size_t aReaders)
{
  const base::Duration own = maxWatchWait(aLimit, aCallTimeout);
  const std::size_t parts =
    std::clamp(aReaders / kReadersPerWait, std::size_t{ 1 }, kMaxWaits);
  return std::min(kMaxWatchWait, own * static_cast<int>(parts));
}

} // namespace marigold::platform
