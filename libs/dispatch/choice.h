/** @file Choice of an upstream for a request. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace marigold::dispatch {

/** What is known of an upstream at the moment of a choice. */
struct Candidate
{
  std::size_t index = 0; ///< of the caller's own table
  unsigned slots = 1;
  unsigned running = 0;     ///< requests of all VMs there
  double queuedMs = 0;      ///< work before it that cannot be overtaken
  double kvTokens = 0;      ///< tokens of all requests there
  double kvCapacity = 0;    ///< 0: the upstream has no such memory
  double processingMs = 0;  ///< work of the request that is not cached there
  double networkCostMs = 0; ///< price and delay of the way there
  double failureRate = 0;   ///< part of recent requests that failed
  bool ejected = false;     ///< avoided while another candidate is left
};

/** What matters of the request itself. */
struct RequestSize
{
  double kvTokens = 0; ///< memory that it takes at an engine
};

/** A choice with the time that it will probably take. */
struct Choice
{
  std::size_t index = 0;
  base::Duration expectedStart{}; ///< until the first byte of the answer
};

/**
 * Takes the candidate with the earliest expected start, in which a distant or
 * unreliable upstream counts as slower than it is.
 * @param aCandidates upstreams that could run the request
 * @param aNeed the request
 * @param aTieBreak random bits; equal candidates share the load by it
 * @return the choice, or nothing without candidates
 */
std::optional<Choice>
chooseUpstream(const std::vector<Candidate>& aCandidates,
               const RequestSize& aNeed,
               std::uint64_t aTieBreak);

/**
 * Chooses where a request may go on whose upstream has been silent for long.
 * The upstream may only be slow, so it is left only for one that can begin the
 * request at once: not ejected, with a free slot and enough free memory.
 * @param aCandidates other upstreams that could run the request
 * @param aNeed the request
 * @param aTimeLeft time until the answer is of no use; the first byte must be
 * expected before its end
 * @param aTieBreak random bits; equal candidates share the load by it
 * @return the choice, or nothing if the request had better stay where it is
 */
std::optional<Choice>
chooseReplacement(const std::vector<Candidate>& aCandidates,
                  const RequestSize& aNeed,
                  base::Duration aTimeLeft,
                  std::uint64_t aTieBreak);

} // namespace marigold::dispatch
