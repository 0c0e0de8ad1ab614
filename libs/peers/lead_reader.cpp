#include "peers/lead_reader.h"

#include <algorithm>

namespace marigold::peers {
namespace {

/** A second one, because the first may just have stopped. */
constexpr std::size_t kLeads = 2;
/** Part of a limit in which a lead that stopped must be noticed: two of three.
 */
constexpr int kDetectionParts = 2;
constexpr int kLimitParts = 3;

} // namespace

std::vector<base::VmName>
leadReaders(const base::DataCentre& aOwn,
            const std::map<base::DataCentre, KnownRelay>& aRelays,
            base::Duration aMaxAge)
{
  std::vector<base::VmName> leads;
  for (const auto& [dataCentre, relay] : aRelays) {
    if (dataCentre >= aOwn || leads.size() == kLeads) {
      break;
    }
    if (relay.age < aMaxAge) {
      leads.push_back(relay.vm);
    }
  }
  return leads;
}

bool
mayFollowLead(base::Duration aLimit, base::Duration aDetection)
{
  return aDetection <= aLimit * kDetectionParts / kLimitParts;
}

} // namespace marigold::peers
