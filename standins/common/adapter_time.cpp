#include "standins/common/adapter_time.h"

#include "base/hash.h"

#include <algorithm>

namespace marigold::standin {
namespace {

constexpr int kMinLoadMs = 4;
constexpr int kMaxLoadMs = 20;

} // namespace

base::Duration
adapterLoadTime(std::string_view aAdapter, int aInFlight, int aLimit)
{
  const auto offsetMs =
    static_cast<int>(base::hash64(aAdapter) % (kMaxLoadMs - kMinLoadMs + 1));
  const double slowdown =
    std::max(1.0, static_cast<double>(aInFlight) / std::max(1, aLimit));
  return base::fromSeconds((kMinLoadMs + offsetMs) * slowdown / 1000.0);
}

} // namespace marigold::standin
