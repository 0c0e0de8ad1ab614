/** @file Election of the relay of a data centre: the VM that sends and receives
 * messages to and from other data centres. */
#pragma once

#include "base/base.h"

#include <functional>
#include <optional>
#include <vector>

namespace marigold::peers {

/** A VM that may be the relay of its data centre. */
struct RelayCandidate
{
  base::VmName vm;
  double capacity = 0; ///< CPU cores available to the process
};

/** @param aLeft VM @param aRight VM
 * @return true if aLeft is preferred for a role such as relay. The largest VMs
 * come first, because such a role costs CPU time. */
bool
hasElectionPriority(const RelayCandidate& aLeft, const RelayCandidate& aRight);

/**
 * All VMs derive the same ranking from the registrations.
 * @param aCandidates registered VMs of one data centre
 * @return their names by descending priority
 */
std::vector<base::VmName>
rankRelays(std::vector<RelayCandidate> aCandidates);

/**
 * Two VMs that cannot reach each other may both act as relay; receivers accept
 * the summaries of either.
 * @param aRanking ranking of the data centre @param aSelf this VM
 * @param aIsAlive returns whether a VM has reported recently
 * @return the first VM of the ranking that this VM considers alive
 */
base::VmName
electRelay(const std::vector<base::VmName>& aRanking,
           const base::VmName& aSelf,
           const std::function<bool(const base::VmName&)>& aIsAlive);

/**
 * If the relay cannot read the store, the VM ranked after it does. Only these
 * few call a store that fails; the others follow them.
 * @param aRanking ranking of the data centre
 * @param aRelay elected relay
 * @return VMs through which the data centre reads the store, by preference
 */
std::vector<base::VmName>
storeReaders(const std::vector<base::VmName>& aRanking,
             const base::VmName& aRelay);

/**
 * @param aRanking ranking of another data centre
 * @param aLastRelay VM from which a summary arrived recently, if any
 * @return VMs there to send a summary to
 */
std::vector<base::VmName>
summaryRecipients(const std::vector<base::VmName>& aRanking,
                  const std::optional<base::VmName>& aLastRelay);

} // namespace marigold::peers
