#include "platform/backoff.h"

#include <algorithm>

namespace marigold::platform {
namespace {

/** Limits the doubling; the maximum is reached long before. */
constexpr unsigned kMaxDoublings = 10;

} // namespace

base::Duration
Backoff::next()
{
  const unsigned doublings = std::min(mFailures, kMaxDoublings);
  ++mFailures;
  const base::Duration limit = std::min(mMax, mInitial * (1U << doublings));
  return limit / 2 + jittered(limit / 2);
}

} // namespace marigold::platform
