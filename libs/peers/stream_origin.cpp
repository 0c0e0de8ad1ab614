#include "peers/stream_origin.h"

#include <cstddef>

namespace marigold::peers {

std::vector<std::uint64_t>
toNumbers(const std::vector<StreamOrigin>& aOrigins)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(2 * aOrigins.size());
  for (const StreamOrigin& origin : aOrigins) {
    numbers.push_back(origin.stream);
    numbers.push_back(origin.software);
  }
  return numbers;
}

std::vector<StreamOrigin>
fromNumbers(const std::vector<std::uint64_t>& aNumbers)
{
  std::vector<StreamOrigin> origins;
  for (std::size_t at = 0; at + 1 < aNumbers.size(); at += 2) {
    origins.push_back(
      { aNumbers[at], static_cast<SoftwareTag>(aNumbers[at + 1]) });
  }
  return origins;
}

} // namespace marigold::peers
