#include "dispatch/choice.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

/** Slowdown by each running request, as part of an engine's step; it makes
 * equal queues prefer the emptier batch. */
constexpr double kRunningMs = 1.5;
/** A memory that is fuller than this preempts requests. */
constexpr double kMemoryFull = 0.92;
/** Cost of work that is likely to be preempted and read again. */
constexpr double kPreemptionMs = 1500;
/** A request at an upstream that fails all its requests is lost. */
constexpr double kFailureMs = 2500;
/** Candidates within this are equally good; the views are older than that. */
constexpr double kTieMs = 4;

double
startMs(const Candidate& aCandidate, const RequestSize& aNeed)
{
  double milliseconds = aCandidate.queuedMs + aCandidate.processingMs;
  if (aCandidate.running >= aCandidate.slots) {
    const double ahead = aCandidate.running - aCandidate.slots + 1;
    milliseconds += ahead / aCandidate.slots * kPreemptionMs;
  }
  if (aCandidate.kvCapacity > 0) {
    const double used =
      (aCandidate.kvTokens + aNeed.kvTokens) / aCandidate.kvCapacity;
    if (used > kMemoryFull) {
      milliseconds += (used - kMemoryFull) * kPreemptionMs * 10;
    }
  }
  return milliseconds;
}

base::Duration
expectedStart(const Candidate& aCandidate, const RequestSize& aNeed)
{
  constexpr double kMsPerSecond = 1000;
  return base::fromSeconds(startMs(aCandidate, aNeed) / kMsPerSecond);
}

bool
hasRoom(const Candidate& aCandidate, const RequestSize& aNeed)
{
  return aCandidate.running < aCandidate.slots &&
         (aCandidate.kvCapacity <= 0 || aCandidate.kvTokens + aNeed.kvTokens <=
                                          aCandidate.kvCapacity * kMemoryFull);
}

double
penaltyMs(const Candidate& aCandidate)
{
  return aCandidate.running * kRunningMs + aCandidate.networkCostMs +
         aCandidate.failureRate * kFailureMs;
}

} // namespace

std::optional<Choice>
chooseUpstream(const std::vector<Candidate>& aCandidates,
               const RequestSize& aNeed,
               std::uint64_t aTieBreak)
{
  const bool anyHealthy =
    std::any_of(aCandidates.begin(),
                aCandidates.end(),
                [](const Candidate& aOne) { return !aOne.ejected; });
  std::vector<std::pair<double, const Candidate*>> ranked;
  for (const Candidate& candidate : aCandidates) {
    if (anyHealthy && candidate.ejected) {
      continue;
    }
    ranked.emplace_back(startMs(candidate, aNeed) + penaltyMs(candidate),
                        &candidate);
  }
  if (ranked.empty()) {
    return std::nullopt;
  }
  const double best =
    std::min_element(ranked.begin(), ranked.end())->first + kTieMs;
  std::erase_if(ranked,
                [best](const auto& aItem) { return aItem.first > best; });
  const Candidate* chosen = ranked[aTieBreak % ranked.size()].second;
  return Choice{ chosen->index, expectedStart(*chosen, aNeed) };
}

std::optional<Choice>
chooseReplacement(const std::vector<Candidate>& aCandidates,
                  const RequestSize& aNeed,
                  base::Duration aTimeLeft,
                  std::uint64_t aTieBreak)
{
  std::vector<Candidate> able;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(able),
               [&](const Candidate& aOne) {
                 return !aOne.ejected && hasRoom(aOne, aNeed) &&
                        expectedStart(aOne, aNeed) < aTimeLeft;
               });
  return chooseUpstream(able, aNeed, aTieBreak);
}

} // namespace marigold::dispatch
