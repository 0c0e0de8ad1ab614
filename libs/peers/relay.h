/** @file Which VM of a data centre speaks for it. */
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
  double capacity = 0; ///< cores that it may use
};

/** @return true if the left VM takes a duty for others before the right one;
 * the largest come first, because such a duty costs processor time */
bool
hasElectionPriority(const RelayCandidate& aLeft, const RelayCandidate& aRight);

/**
 * All VMs derive the same order from the registrations.
 * @param aCandidates registered VMs of one data centre
 * @return their names in the order in which they are the relay
 */
std::vector<base::VmName>
rankRelays(std::vector<RelayCandidate> aCandidates);

/**
 * Two VMs that do not hear each other may both be the relay; receivers use the
 * summaries of either.
 * @param aOrder order of the data centre @param aSelf this VM
 * @param aHeard tells whether a VM was heard lately
 * @return the first VM of the order that is alive as far as this VM knows
 */
base::VmName
electRelay(const std::vector<base::VmName>& aOrder,
           const base::VmName& aSelf,
           const std::function<bool(const base::VmName&)>& aHeard);

/**
 * @param aOrder order of another data centre
 * @param aLastHeard VM from which a summary came lately, if any did
 * @return VMs there that get a summary
 */
std::vector<base::VmName>
summaryRecipients(const std::vector<base::VmName>& aOrder,
                  const std::optional<base::VmName>& aLastHeard);

} // namespace marigold::peers
