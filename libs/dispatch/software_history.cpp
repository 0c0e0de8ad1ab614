#include "dispatch/software_history.h"

#include <algorithm>

namespace marigold::dispatch {

peers::SoftwareTag
softwareTag(const catalog::UpstreamRecord& aRecord)
{
  constexpr std::uint64_t kVersionSeed = 11;
  constexpr std::uint64_t kProcessSeed = 12;
  const std::uint64_t hash =
    aRecord.softwareVersion
      ? base::hash64(aRecord.service + "\n" + *aRecord.softwareVersion,
                     kVersionSeed)
      : base::hash64(aRecord.service + "\n" + aRecord.name + "\n" +
                       std::to_string(aRecord.startedAt),
                     kProcessSeed);
  return std::max(static_cast<peers::SoftwareTag>(hash),
                  peers::kUnknownSoftware + 1);
}

void
SoftwareHistory::observe(const catalog::ServiceName& aService,
                         peers::SoftwareTag aSoftware,
                         base::TimePoint aNow)
{
  base::TimePoint& lastSeen = mLastSeen[aService][aSoftware];
  lastSeen = std::max(lastSeen, aNow);
}

void
SoftwareHistory::merge(const Table& aTable, base::TimePoint aNow)
{
  for (const auto& [service, tags] : aTable) {
    for (const peers::SoftwareTag tag : tags) {
      observe(service, tag, aNow);
    }
  }
}

void
SoftwareHistory::expire(base::TimePoint aNow)
{
  for (auto& [service, tags] : mLastSeen) {
    std::erase_if(
      tags, [&](const auto& aItem) { return aNow - aItem.second > mLifetime; });
  }
}

SoftwareHistory::Table
SoftwareHistory::recent(base::TimePoint aNow) const
{
  Table table;
  for (const auto& [service, tags] : mLastSeen) {
    for (const auto& [tag, lastSeen] : tags) {
      if (aNow - lastSeen <= mLifetime) {
        table[service].insert(tag);
      }
    }
  }
  return table;
}

std::optional<peers::SoftwareTag>
SoftwareHistory::only(const catalog::ServiceName& aService,
                      base::TimePoint aNow) const
{
  const auto tags = mLastSeen.find(aService);
  if (tags == mLastSeen.end()) {
    return std::nullopt;
  }
  std::optional<peers::SoftwareTag> found;
  for (const auto& [tag, lastSeen] : tags->second) {
    if (aNow - lastSeen > mLifetime) {
      continue;
    }
    if (found) {
      return std::nullopt;
    }
    found = tag;
  }
  return found;
}

bool
SoftwareHistory::mixed(base::TimePoint aNow) const
{
  const Table table = recent(aNow);
  return std::any_of(table.begin(), table.end(), [](const auto& aItem) {
    return aItem.second.size() > 1;
  });
}

} // namespace marigold::dispatch
