#include "peers/relay.h"

#include <algorithm>

namespace marigold::peers {
namespace {

/** VMs that get a summary while it is not known who the relay is; one of them
 * may just have died. */
constexpr std::size_t kTargetsWithoutRelay = 2;

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
  std::vector<base::VmName> order;
  order.reserve(aCandidates.size());
  for (RelayCandidate& candidate : aCandidates) {
    order.push_back(std::move(candidate.vm));
  }
  return order;
}

base::VmName
electRelay(const std::vector<base::VmName>& aOrder,
           const base::VmName& aSelf,
           const std::function<bool(const base::VmName&)>& aHeard)
{
  for (const base::VmName& vm : aOrder) {
    if (vm == aSelf || aHeard(vm)) {
      return vm;
    }
  }
  return aSelf;
}

std::vector<base::VmName>
summaryRecipients(const std::vector<base::VmName>& aOrder,
                  const std::optional<base::VmName>& aLastHeard)
{
  if (aLastHeard &&
      std::find(aOrder.begin(), aOrder.end(), *aLastHeard) != aOrder.end()) {
    return { *aLastHeard };
  }
  const std::size_t count = std::min(aOrder.size(), kTargetsWithoutRelay);
  return { aOrder.begin(),
           aOrder.begin() + static_cast<std::ptrdiff_t>(count) };
}

} // namespace marigold::peers
