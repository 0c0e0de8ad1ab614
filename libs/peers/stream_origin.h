/** @file Which software began an event stream. */
#pragma once

#include <cstdint>
#include <vector>

namespace marigold::peers {

/** Identifies a stream: a hash of the id of the caller's attempt that brought
 * its first event. */
using StreamId = std::uint64_t;

/** Identifies the software of a service's upstreams. Upstreams with the same
 * tag may continue each other's streams. */
using SoftwareTag = std::uint32_t;

/** Software that can't be told; no upstream continues its streams. */
inline constexpr SoftwareTag kUnknownSoftware = 0;

/** The software that began a stream. */
struct StreamOrigin
{
  StreamId stream = 0;
  SoftwareTag software = kUnknownSoftware;

  bool operator==(const StreamOrigin&) const = default;
};

/** @param aOrigins origins
 * @return the numbers of each in turn, as messages and records hold them */
std::vector<std::uint64_t>
toNumbers(const std::vector<StreamOrigin>& aOrigins);

/** @param aNumbers from toNumbers(); a single one at the end is ignored
 * @return the origins */
std::vector<StreamOrigin>
fromNumbers(const std::vector<std::uint64_t>& aNumbers);

} // namespace marigold::peers
