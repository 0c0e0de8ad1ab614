#include "platform/mirror.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace marigold::platform {
namespace {

using nlohmann::json;

/** Number of changes that are kept, enough for some seconds during which a
 * large fleet restarts. */
constexpr std::size_t kMaxChanges = 1024;
/** Size of the changes that are kept. Readers that have missed more list all
 * keys. */
constexpr std::size_t kMaxChangeBytes = 8UL * 1024 * 1024;

std::size_t
sizeOf(const Entry& aEntry)
{
  return sizeof(Entry) + aEntry.key.size() +
         (aEntry.value ? aEntry.value->size() : 0);
}

} // namespace

void
Mirror::applyEntry(const Entry& aEntry)
{
  if (aEntry.value) {
    mEntries[aEntry.key] = aEntry;
  } else {
    mEntries.erase(aEntry.key);
  }
  mChanges.push_back(aEntry);
  mChangeBytes += sizeOf(aEntry);
  while (mChanges.size() > kMaxChanges || mChangeBytes > kMaxChangeBytes) {
    mCompactedRevision =
      std::max(mCompactedRevision, mChanges.front().revision);
    mChangeBytes -= sizeOf(mChanges.front());
    mChanges.pop_front();
  }
}

void
Mirror::replace(const Snapshot& aSnapshot)
{
  if (mRevision == 0 || aSnapshot.era != mEra) {
    mEra = aSnapshot.era;
    mRevision = aSnapshot.revision;
    mCompactedRevision = aSnapshot.revision;
    mChanges.clear();
    mChangeBytes = 0;
    mEntries.clear();
    for (const Entry& entry : aSnapshot.entries) {
      mEntries[entry.key] = entry;
    }
    return;
  }
  std::set<std::string> listedKeys;
  for (const Entry& entry : aSnapshot.entries) {
    listedKeys.insert(entry.key);
    const auto stored = mEntries.find(entry.key);
    if (stored == mEntries.end() || stored->second.revision != entry.revision) {
      applyEntry(entry);
    }
  }
  std::vector<std::string> deletedKeys;
  for (const auto& [key, entry] : mEntries) {
    if (!listedKeys.contains(key)) {
      deletedKeys.push_back(key);
    }
  }
  for (const std::string& key : deletedKeys) {
    applyEntry({ key, std::nullopt, aSnapshot.revision });
  }
  mRevision = std::max(mRevision, aSnapshot.revision);
}

void
Mirror::apply(const Snapshot& aChanges)
{
  for (const Entry& entry : aChanges.entries) {
    applyEntry(entry);
  }
  mRevision = std::max(mRevision, aChanges.revision);
}

Snapshot
Mirror::all() const
{
  Snapshot all;
  all.era = mEra;
  all.revision = mRevision;
  for (const auto& [key, entry] : mEntries) {
    all.entries.push_back(entry);
  }
  return all;
}

std::optional<Snapshot>
Mirror::changesAfter(Position aAfter) const
{
  if (aAfter.era != mEra || aAfter.revision < mCompactedRevision) {
    return std::nullopt;
  }
  Snapshot changes;
  changes.era = mEra;
  changes.revision = std::max(aAfter.revision, mRevision);
  for (const Entry& entry : mChanges) {
    if (entry.revision > aAfter.revision) {
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
