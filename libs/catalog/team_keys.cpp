#include "catalog/team_keys.h"

namespace marigold::catalog {

TeamKeys::TeamKeys(const std::vector<Team>& aTeams)
{
  for (const Team& team : aTeams) {
    for (const std::string& digest : team.keyDigests) {
      mByDigest.emplace(digest, &team);
    }
  }
}

const Team*
TeamKeys::find(std::string_view aKey) const
{
  // The lookup time depends on the digest of the key, which tells nothing about
  // the keys themselves.
  const auto found = mByDigest.find(base::sha256Hex(aKey));
  return found == mByDigest.end() ? nullptr : found->second;
}

} // namespace marigold::catalog
