/** @file Which team holds a key. */
#pragma once

#include "catalog/types.h"

#include <string_view>
#include <unordered_map>

namespace marigold::catalog {

/** Maps keys to teams; only digests of keys are held. */
class TeamKeys
{
public:
  TeamKeys() = default;

  /** @param aTeams teams; they must outlive the object */
  explicit TeamKeys(const std::vector<Team>& aTeams);

  /** @param aKey secret of a caller @return its team, or nullptr */
  const Team* find(std::string_view aKey) const;

private:
  std::unordered_map<std::string, const Team*> mByDigest;
};

} // namespace marigold::catalog
