#include "standins/common/adapter_time.h"

#include "base/hash.h"

#include <algorithm>

namespace marigold::standin {
namespace {

constexpr int kShortestMs = 4;
constexpr int kLongestMs = 20;

} // namespace

base::Duration
adapterLoadTime(std::string_view aAdapter, int aInFlight, int aLimit)
{
  const auto spread =
    static_cast<int>(base::hash64(aAdapter) % (kLongestMs - kShortestMs + 1));
  const double slower =
    std::max(1.0, static_cast<double>(aInFlight) / std::max(1, aLimit));
  return base::fromSeconds((kShortestMs + spread) * slower / 1000.0);
}

} // namespace marigold::standin
