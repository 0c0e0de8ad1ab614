/** @file Load pattern: the relays of all data centres wait for the same changes
 * of the store. */
#pragma once

#include "base/base.h"

#include <map>
#include <vector>

namespace marigold::peers {

/** The relay of a data centre, as its summaries tell. */
struct KnownRelay
{
  base::VmName vm;
  base::Duration age{}; ///< of the latest summary
};

/**
 * One data centre reads the store for all; the relays of the others follow its
 * relay. All agree on it as long as they hear the same relays. If they don't,
 * each of two may name the other, so a relay must serve those of other data
 * centres only while it reads the store itself.
 * @param aOwn data centre of this VM, which is its relay
 * @param aRelays relays of the other data centres
 * @param aMaxAge age of a summary from which its relay counts as silent
 * @return relays to follow, by preference; none if this VM reads the store
 */
std::vector<base::VmName>
leadReaders(const base::DataCentre& aOwn,
            const std::map<base::DataCentre, KnownRelay>& aRelays,
            base::Duration aMaxAge);

/**
 * A lead that stops is noticed only after some time, which adds to the rest of
 * the way of a change.
 * @param aLimit time within which a change must be in force
 * @param aDetection time after which a lead that stopped has been noticed
 * @return true if enough of the limit is left for another read and for the way
 * to all VMs
 */
bool
mayFollowLead(base::Duration aLimit, base::Duration aDetection);

} // namespace marigold::peers
