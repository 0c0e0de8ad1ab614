/** @file Lookup of teams by API key. */
#pragma once

#include "catalog/types.h"

#include <string_view>
#include <unordered_map>

namespace marigold::catalog {

/** Maps API keys to teams; stores only SHA-256 digests of the keys. */
class TeamKeys
{
public:
  TeamKeys() = default;

  /** @param aTeams teams; must outlive the object */
  explicit TeamKeys(const std::vector<Team>& aTeams);

  /** @param aKey API key of a caller @return its team, or nullptr */
  const Team* find(std::string_view aKey) const;

private:
  std::unordered_map<std::string, const Team*> mTeamsByDigest;
};

} // namespace marigold::catalog
