#include "platform/mirror.h"

#include <algorithm>
#include <set>

namespace marigold::platform {
namespace {

using nlohmann::json;

/** Changes that are kept: some seconds of a large fleet that restarts. */
constexpr std::size_t kMostChanges = 1024;

} // namespace

void
Mirror::note(const Entry& aEntry)
{
  if (aEntry.value) {
    mEntries[aEntry.key] = aEntry;
  } else {
    mEntries.erase(aEntry.key);
  }
  mChanges.push_back(aEntry);
  if (mChanges.size() > kMostChanges) {
    mForgotten = std::max(mForgotten, mChanges.front().revision);
    mChanges.pop_front();
  }
}

void
Mirror::replace(const Snapshot& aAll)
{
  if (mRevision == 0) {
    mForgotten = aAll.revision;
  }
  std::set<std::string> listed;
  for (const Entry& entry : aAll.entries) {
    listed.insert(entry.key);
    const auto known = mEntries.find(entry.key);
    if (known == mEntries.end() || known->second.revision != entry.revision) {
      note(entry);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [key, entry] : mEntries) {
    if (!listed.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    note({ key, std::nullopt, aAll.revision });
  }
  mRevision = std::max(mRevision, aAll.revision);
}

void
Mirror::apply(const Snapshot& aChanges)
{
  for (const Entry& entry : aChanges.entries) {
    note(entry);
  }
  mRevision = std::max(mRevision, aChanges.revision);
}

Snapshot
Mirror::all() const
{
  Snapshot all;
  all.revision = mRevision;
  for (const auto& [key, entry] : mEntries) {
    all.entries.push_back(entry);
  }
  return all;
}

std::optional<Snapshot>
Mirror::changesAfter(Revision aAfter) const
{
  if (aAfter < mForgotten) {
    return std::nullopt;
  }
  Snapshot changes;
  changes.revision = std::max(aAfter, mRevision);
  for (const Entry& entry : mChanges) {
    if (entry.revision > aAfter) {
      changes.entries.push_back(entry);
    }
  }
  return changes;
}

json
encodeSnapshot(const Snapshot& aSnapshot)
{
  json items = json::array();
  for (const Entry& entry : aSnapshot.entries) {
    items.push_back({ { "key", entry.key },
                      { "value", entry.value ? json(*entry.value) : json() },
                      { "revision", entry.revision } });
  }
  return { { "revision", aSnapshot.revision }, { "items", items } };
}

} // namespace marigold::platform
