#include "platform/mirror.h"

#include <algorithm>
#include <iterator>
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
constexpr std::size_t kMaxChangeBytes = 1024UL * 1024;
/** From this size on, the changes of a value are kept as patches. */
constexpr std::size_t kMinLargeBytes = 4096;
/** Patches that are larger than this part of the value are not worth it. */
constexpr std::size_t kMaxPatchPart = 4;
/** Longest value that patches may make: that of an answer of the store. */
constexpr std::size_t kMaxValueBytes = 8UL * 1024 * 1024;

/** @return bytes that a change takes */
std::size_t
sizeOf(const Entry& aEntry)
{
  std::size_t bytes = sizeof(Entry) + aEntry.key.size() +
                      (aEntry.value ? aEntry.value->size() : 0);
  for (const TextPatch& patch : aEntry.patches) {
    bytes += patchBytes(patch);
  }
  return bytes;
}

const std::string&
text(const Entry& aEntry)
{
  return *aEntry.value;
}

/** @return how the value of a key became the next one; no patches if they
 * aren't worth it */
std::vector<TextPatch>
findPatches(const Entry& aStored, const Entry& aNext)
{
  if (aNext.base == aStored.revision && !aNext.patches.empty()) {
    return aNext.patches; // From the relay that sent them.
  }
  auto patch =
    makePatch(text(aStored), text(aNext), aNext.value->size() / kMaxPatchPart);
  return patch ? std::vector{ std::move(*patch) } : std::vector<TextPatch>();
}

/** Adds a later change of the same key. */
void
merge(Entry& aChange, Entry aLater)
{
  aChange.revision = aLater.revision;
  if (aChange.patches.empty() || aLater.patches.empty()) {
    aChange.patches.clear();
    return;
  }
  std::move(aLater.patches.begin(),
            aLater.patches.end(),
            std::back_inserter(aChange.patches));
}

} // namespace

void
Mirror::applyEntry(const Entry& aEntry)
{
  Change change{ { aEntry.key, std::nullopt, aEntry.revision }, false };
  change.isLarge = aEntry.value && aEntry.value->size() >= kMinLargeBytes;
  const auto stored = mEntries.find(aEntry.key);
  if (!change.isLarge) {
    change.entry.value = aEntry.value;
  } else if (stored != mEntries.end()) {
    change.entry.base = stored->second.revision;
    change.entry.patches = findPatches(stored->second, aEntry);
  }
  if (aEntry.value) {
    mEntries[aEntry.key] = { aEntry.key, aEntry.value, aEntry.revision };
  } else if (stored != mEntries.end()) {
    mEntries.erase(stored);
  }
  recordChange(std::move(change));
}

void
Mirror::recordChange(Change aChange)
{
  mChangeBytes += sizeOf(aChange.entry);
  mChanges.push_back(std::move(aChange));
  while (mChanges.size() > kMaxChanges || mChangeBytes > kMaxChangeBytes) {
    const Entry& oldest = mChanges.front().entry;
    mCompactedRevision = std::max(mCompactedRevision, oldest.revision);
    mChangeBytes -= sizeOf(oldest);
    mChanges.pop_front();
  }
}

bool
Mirror::resolve(Entry& aEntry) const
{
  if (aEntry.value || aEntry.patches.empty()) {
    return true;
  }
  const auto stored = mEntries.find(aEntry.key);
  if (stored == mEntries.end() || stored->second.revision != aEntry.base) {
    return false;
  }
  const std::string* base = &text(stored->second);
  std::string value;
  for (const TextPatch& patch : aEntry.patches) {
    auto next = applyPatch(patch, *base, kMaxValueBytes);
    if (!next) {
      return false;
    }
    value = std::move(*next);
    base = &value;
  }
  aEntry.value = std::move(value);
  return true;
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
Mirror::changesAfter(Position aAfter, bool aPatches) const
{
  if (aAfter.era != mEra || aAfter.revision < mCompactedRevision) {
    return std::nullopt;
  }
  Snapshot changes;
  changes.era = mEra;
  changes.revision = std::max(aAfter.revision, mRevision);
  // The latest change of each key whose value is large.
  std::map<std::string, Entry> large;
  std::set<std::string_view> small;
  for (const Change& change : mChanges) {
    const Entry& entry = change.entry;
    if (entry.revision <= aAfter.revision) {
      continue;
    }
    if (!change.isLarge) {
      changes.entries.push_back(entry);
      small.insert(entry.key);
      large.erase(entry.key);
      continue;
    }
    const auto [merged, isFirst] = large.try_emplace(entry.key, entry);
    if (!isFirst) {
      merge(merged->second, entry);
    } else if (small.contains(entry.key)) {
      merged->second.patches.clear(); // The reader doesn't have the base yet.
    }
  }
  for (auto& [key, entry] : large) {
    completeEntry(entry, aPatches);
    changes.entries.push_back(std::move(entry));
  }
  std::stable_sort(changes.entries.begin(),
                   changes.entries.end(),
                   [](const Entry& aLeft, const Entry& aRight) {
                     return aLeft.revision < aRight.revision;
                   });
  return changes;
}

/** Gives the latest change of a large value the value, unless the reader takes
 * its patches and these are much smaller. */
void
Mirror::completeEntry(Entry& aChange, bool aPatches) const
{
  const SharedText& value = *mEntries.at(aChange.key).value;
  if (!aPatches || aChange.patches.empty() ||
      sizeOf(aChange) > value.size() / kMaxPatchPart) {
    aChange.patches.clear();
    aChange.value = value;
  }
}

namespace {

json
encodePatch(const TextPatch& aPatch)
{
  json parts = json::array();
  for (const PatchPart& part : aPatch.parts) {
    parts.push_back(part.length > 0 ? json{ part.offset, part.length }
                                    : json(part.bytes));
  }
  return { { "parts", parts }, { "hash", aPatch.resultHash } };
}

json
encodeEntry(const Entry& aEntry)
{
  json item{ { "key", aEntry.key }, { "revision", aEntry.revision } };
  if (aEntry.value || aEntry.patches.empty()) {
    item["value"] = aEntry.value ? json(text(aEntry)) : json();
    return item;
  }
  item["base"] = aEntry.base;
  item["patches"] = json::array();
  for (const TextPatch& patch : aEntry.patches) {
    item["patches"].push_back(encodePatch(patch));
  }
  return item;
}

} // namespace

json
encodeSnapshot(const Snapshot& aSnapshot)
{
  json items = json::array();
  for (const Entry& entry : aSnapshot.entries) {
    items.push_back(encodeEntry(entry));
  }
  return { { "revision", aSnapshot.revision }, { "items", items } };
}

} // namespace marigold::platform
