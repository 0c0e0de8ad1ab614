/** @file Evidence on crashes of upstreams, exchanged between VMs. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <set>

namespace marigold::peers {

/** Short hash of something that several requests may have in common: a part of
 * their prompts (even), or everything (odd). */
using RequestTrait = std::uint32_t;

/** @param aTrait trait @return true if it stands for repeats of one request */
constexpr bool
isWholeRequest(RequestTrait aTrait)
{
  return (aTrait & 1U) != 0;
}

/** Identifies one run of an upstream's process. */
using ProcessTag = std::uint32_t;

/** Traits of one request. */
using TraitSet = std::set<RequestTrait>;

/** Requests of the whole fleet that were let through to show whether a blocked
 * trait is sound. */
struct TraitTrials
{
  std::uint32_t count = 0; ///< as many as are allowed once one has crashed
  base::Duration age{};    ///< of the latest

  bool operator==(const TraitTrials&) const = default;
};

/** Evidence on one crash. That of several VMs is merged by union. */
struct CrashEvidence
{
  base::Duration age{};
  /** Requests that the upstream had not begun to answer, each without the
   * traits that are cleared. */
  std::set<TraitSet> suspects;
  /** Traits with which an answer has begun since the crash. */
  TraitSet cleared;
  /** Those of the suspects' traits that were on trial. */
  std::map<RequestTrait, TraitTrials> trials;
  /** Those of the suspects' traits with which requests finished before. */
  TraitSet finished;

  bool operator==(const CrashEvidence&) const = default;
};

using CrashTable = std::map<ProcessTag, CrashEvidence>;

} // namespace marigold::peers
