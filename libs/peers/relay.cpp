#include "peers/relay.h"

#include <algorithm>

namespace marigold::peers {
namespace {

/** Recipients of a summary while the relay is unknown; one of them may just
 * have failed. */
constexpr std::size_t kRecipientsWithoutRelay = 2;

/** Readers of the store in a data centre: the relay and its deputy. */
constexpr std::size_t kStoreReaders = 2;

} // namespace

bool
hasElectionPriority(const RelayCandidate& aLeft, const RelayCandidate& aRight)
{
  return aLeft.capacity != aRight.capacity ? aLeft.capacity > aRight.capacity
                                           : aLeft.vm < aRight.vm;
}

std::vector<base::VmName>
rankRelays(std::vector<RelayCandidate> aCandidates)
{
  std::sort(aCandidates.begin(), aCandidates.end(), &hasElectionPriority);
  std::vector<base::VmName> ranking;
  ranking.reserve(aCandidates.size());
  for (RelayCandidate& candidate : aCandidates) {
    ranking.push_back(std::move(candidate.vm));
  }
  return ranking;
}

base::VmName
electRelay(const std::vector<base::VmName>& aRanking,
           const base::VmName& aSelf,
           const std::function<bool(const base::VmName&)>& aIsAlive)
{
  for (const base::VmName& vm : aRanking) {
    if (vm == aSelf || aIsAlive(vm)) {
      return vm;
    }
  }
  return aSelf;
}

std::vector<base::VmName>
storeReaders(const std::vector<base::VmName>& aRanking,
             const base::VmName& aRelay)
{
  auto first = std::find(aRanking.begin(), aRanking.end(), aRelay);
  const auto left = static_cast<std::size_t>(aRanking.end() - first);
  return { first,
           first + static_cast<std::ptrdiff_t>(std::min(left, kStoreReaders)) };
}

std::vector<base::VmName>
summaryRecipients(const std::vector<base::VmName>& aRanking,
                  const std::optional<base::VmName>& aLastRelay)
{
  if (aLastRelay && std::find(aRanking.begin(), aRanking.end(), *aLastRelay) !=
                      aRanking.end()) {
    return { *aLastRelay };
  }
  const std::size_t count = std::min(aRanking.size(), kRecipientsWithoutRelay);
  return { aRanking.begin(),
           aRanking.begin() + static_cast<std::ptrdiff_t>(count) };
}

} // namespace marigold::peers
