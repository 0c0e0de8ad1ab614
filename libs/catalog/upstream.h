/** @file What an upstream says about itself. */
#pragma once

#include "base/base.h"
#include "catalog/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigold::catalog {

/** The record of an upstream at one moment. */
struct UpstreamRecord
{
  base::UpstreamName name;
  ServiceName service;
  base::Address address;
  base::DataCentre dataCentre;
  unsigned slots = 1;
  bool draining = false;
  std::optional<base::Duration> timeToRemoval; ///< until it is taken away
  std::uint64_t startedAt = 0; ///< tells its processes apart; 0: not said
  /** Resident models with their adapters. */
  std::map<base::ModelName, std::set<std::string>> models;
  std::set<base::ModelName> cachedInMemory;
  std::set<base::ModelName> cachedOnDisk;
};

} // namespace marigold::catalog
