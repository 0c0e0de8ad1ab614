/** @file Choice of the upstream for a request. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace marigold::dispatch {

/** State of an upstream at the time of a choice. */
struct Candidate
{
  std::size_t index = 0; ///< in the caller's table of upstreams
  unsigned slots = 1;
  unsigned running = 0;     ///< requests of all VMs at the upstream
  double queuedMs = 0;      ///< work that is served before the request
  double kvTokens = 0;      ///< KV-cache tokens of all requests at the upstream
  double kvCapacity = 0;    ///< KV-cache size in tokens; 0: no KV cache
  double processingMs = 0;  ///< work of the request itself, less cached prefix
  double networkCostMs = 0; ///< network latency and transfer price as latency
  double failureRate = 0;   ///< fraction of recent requests that failed
  bool ejected = false;     ///< avoided while another candidate is available
  bool limited = false;     ///< names a limit on its requests
  bool brittle = false;     ///< falls over when it turns many requests away
};

/** Resources that a request needs at an upstream. */
struct RequestSize
{
  double kvTokens = 0; ///< KV-cache tokens, at engines only
};

/** The chosen upstream and the expected latency. */
struct Choice
{
  std::size_t index = 0;          ///< Candidate::index
  base::Duration expectedStart{}; ///< time to the first byte of the answer
  base::Duration processing{};    ///< the part of it that is the request's own
};

/** @param aCandidate upstream @param aRequest size of a request
 * @return requests that it can run at the same time, if further ones are of
 * that size */
double
placesFor(const Candidate& aCandidate, const RequestSize& aRequest);

/** @param aCandidate upstream @param aRequest size of a request
 * @return true if it can run the request at once */
bool
hasRoom(const Candidate& aCandidate, const RequestSize& aRequest);

/**
 * Decides whether a request is worth sending. One that hardly has to queue
 * always is: its own processing time may be an old estimate, and only an answer
 * shows a better one.
 * @param aChoice chosen upstream
 * @param aLimit latest expected start that its caller has a use for
 * @return true if it starts in time
 */
bool
startsInTime(const Choice& aChoice, base::Duration aLimit);

/**
 * Chooses the candidate with the earliest expected start. Network cost, running
 * requests and the failure rate count as additional latency.
 * @param aCandidates upstreams that can serve the request
 * @param aRequest size of the request
 * @param aTieBreak random bits that spread load over equal candidates
 * @return the choice, or nothing without candidates
 */
std::optional<Choice>
chooseUpstream(const std::vector<Candidate>& aCandidates,
               const RequestSize& aRequest,
               std::uint64_t aTieBreak);

/**
 * Chooses a replacement for an upstream that has been silent for long. The
 * silent upstream may just be slow, so a replacement must be able to start the
 * request at once: not ejected, with a free slot and enough free KV cache.
 * @param aCandidates other upstreams that can serve the request
 * @param aRequest size of the request
 * @param aTimeLeft time to the deadline, before which the first byte must be
 * expected
 * @param aTieBreak random bits that spread load over equal candidates
 * @return the choice, or nothing if the request should stay where it is
 */
std::optional<Choice>
chooseReplacement(const std::vector<Candidate>& aCandidates,
                  const RequestSize& aRequest,
                  base::Duration aTimeLeft,
                  std::uint64_t aTieBreak);

} // namespace marigold::dispatch
