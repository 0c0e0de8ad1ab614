#include "dispatch/choice.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace marigold::dispatch {
namespace {

/** Slowdown of an engine's step by each running request. With equal queues it
 * prefers the smaller batch. */
constexpr double kBatchSlowdownMs = 1.5;
/** Fraction of the KV cache above which engines preempt requests. */
constexpr double kMaxKvUsage = 0.92;
/** Cost of work that is likely to be preempted and processed again. */
constexpr double kPreemptionMs = 1500;
/** Cost of a failed request, which is multiplied by the failure rate. */
constexpr double kFailurePenaltyMs = 2500;
/** Candidates within this of the best count as equal, because the load reports
 * are older than that. */
constexpr double kTieToleranceMs = 4;

/** Estimates are too coarse to refuse a request for a shorter queue. */
constexpr base::Duration kAlwaysAllowedQueue = std::chrono::milliseconds(250);
constexpr double kMsPerSecond = 1000;

double
expectedStartMs(const Candidate& aCandidate, const RequestSize& aRequest)
{
  double milliseconds = aCandidate.queuedMs + aCandidate.processingMs;
  if (aCandidate.running >= aCandidate.slots) {
    const double ahead = aCandidate.running - aCandidate.slots + 1;
    milliseconds += ahead / aCandidate.slots * kPreemptionMs;
  }
  if (aCandidate.kvCapacity > 0) {
    const double used =
      (aCandidate.kvTokens + aRequest.kvTokens) / aCandidate.kvCapacity;
    if (used > kMaxKvUsage) {
      milliseconds += (used - kMaxKvUsage) * kPreemptionMs * 10;
    }
  }
  return milliseconds;
}

base::Duration
expectedStart(const Candidate& aCandidate, const RequestSize& aRequest)
{
  return base::fromSeconds(expectedStartMs(aCandidate, aRequest) /
                           kMsPerSecond);
}

double
penaltyMs(const Candidate& aCandidate)
{
  return aCandidate.running * kBatchSlowdownMs + aCandidate.networkCostMs +
         aCandidate.failureRate * kFailurePenaltyMs;
}

} // namespace

bool
hasRoom(const Candidate& aCandidate, const RequestSize& aRequest)
{
  return aCandidate.running < aCandidate.slots &&
         (aCandidate.kvCapacity <= 0 ||
          aCandidate.kvTokens + aRequest.kvTokens <=
            aCandidate.kvCapacity * kMaxKvUsage);
}

double
placesFor(const Candidate& aCandidate, const RequestSize& aRequest)
{
  const double slots = aCandidate.slots;
  if (aCandidate.kvCapacity <= 0 || aRequest.kvTokens <= 0) {
    return slots;
  }
  const double left = aCandidate.kvCapacity * kMaxKvUsage - aCandidate.kvTokens;
  const double further = std::floor(std::max(0.0, left) / aRequest.kvTokens);
  return std::min(slots, aCandidate.running + further);
}

std::optional<Choice>
chooseUpstream(const std::vector<Candidate>& aCandidates,
               const RequestSize& aRequest,
               std::uint64_t aTieBreak)
{
  const bool anyHealthy = std::any_of(
    aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
      return !aCandidate.ejected;
    });
  std::vector<std::pair<double, const Candidate*>> ranked;
  for (const Candidate& candidate : aCandidates) {
    if (anyHealthy && candidate.ejected) {
      continue;
    }
    ranked.emplace_back(
      expectedStartMs(candidate, aRequest) + penaltyMs(candidate), &candidate);
  }
  if (ranked.empty()) {
    return std::nullopt;
  }
  const double best =
    std::min_element(ranked.begin(), ranked.end())->first + kTieToleranceMs;
  std::erase_if(ranked,
                [best](const auto& aItem) { return aItem.first > best; });
  const Candidate* chosen = ranked[aTieBreak % ranked.size()].second;
  return Choice{ chosen->index,
                 expectedStart(*chosen, aRequest),
                 base::fromSeconds(chosen->processingMs / kMsPerSecond) };
}

bool
startsInTime(const Choice& aChoice, base::Duration aLimit)
{
  return aChoice.expectedStart <=
         std::max(aLimit, kAlwaysAllowedQueue + aChoice.processing);
}

std::optional<Choice>
chooseReplacement(const std::vector<Candidate>& aCandidates,
                  const RequestSize& aRequest,
                  base::Duration aTimeLeft,
                  std::uint64_t aTieBreak)
{
  std::vector<Candidate> suitable;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(suitable),
               [&](const Candidate& aCandidate) {
                 return !aCandidate.ejected && hasRoom(aCandidate, aRequest) &&
                        expectedStart(aCandidate, aRequest) < aTimeLeft;
               });
  return chooseUpstream(suitable, aRequest, aTieBreak);
}

} // namespace marigold::dispatch
