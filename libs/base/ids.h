/** @file Types of names and identifiers. */
#pragma once

#include <cstdint>
#include <string>

namespace marigold::base {

using VmName = std::string;
using DataCentre = std::string;
using TeamName = std::string;
using ModelName = std::string;
using UpstreamName = std::string;

/** Random number drawn at process start; distinguishes runs of a process. */
using Incarnation = std::uint64_t;

} // namespace marigold::base
