/** @file The state that an upstream publishes. */
#pragma once

#include "base/base.h"
#include "catalog/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigold::catalog {

/** Snapshot of an upstream's record. */
struct UpstreamRecord
{
  base::UpstreamName name;
  ServiceName service;
  base::Address address;
  base::DataCentre dataCentre;
  unsigned slots = 1;
  bool draining = false;                       ///< accepts no new requests
  std::optional<base::Duration> timeToRemoval; ///< if announced
  std::uint64_t startedAt = 0;  ///< identifies its process; 0: unknown
  std::uint64_t heartbeats = 0; ///< sent by its process, orders its records
  /** Resident models with their loaded adapters. */
  std::map<base::ModelName, std::set<std::string>> models;
  std::set<base::ModelName> cachedInMemory;
  std::set<base::ModelName> cachedOnDisk;
  std::optional<std::string> softwareVersion; ///< if it names one
};

/** What an upstream says of itself in an answer. */
struct UpstreamNotice
{
  /** Requests a second that it takes from all VMs together, if it limits them.
   */
  std::optional<double> requestsPerSecond;
  bool leaving = false; ///< its process will end and wants no new requests
  /** Time for which it wants no requests from this VM. */
  std::optional<base::Duration> turnsAwayFor;
  /** Requests that it can turn away in a second for want of room without
   * falling over, if it is brittle. */
  std::optional<std::uint32_t> maxRejections;
};

} // namespace marigold::catalog
