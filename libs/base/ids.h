/** @file Names of the things that the system deals with. */
#pragma once

#include <cstdint>
#include <string>

namespace marigold::base {

using VmName = std::string;
using DataCentre = std::string;
using TeamName = std::string;
using ModelName = std::string;
using UpstreamName = std::string;

/** Number that a process draws at its start; tells its runs apart. */
using Incarnation = std::uint64_t;

} // namespace marigold::base
