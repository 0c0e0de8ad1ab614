#include "catalog/team_keys.h"

namespace marigold::catalog {

TeamKeys::TeamKeys(const std::vector<Team>& aTeams)
{
  for (const Team& team : aTeams) {
    for (const std::string& digest : team.keyDigests) {
      mTeamsByDigest.emplace(digest, &team);
    }
  }
}

const Team*
TeamKeys::find(std::string_view aKey) const
{
  // The lookup time depends only on the digest, so it leaks no information
  // about the valid keys.
  const auto found = mTeamsByDigest.find(base::sha256Hex(aKey));
  return found == mTeamsByDigest.end() ? nullptr : found->second;
}

} // namespace marigold::catalog
