#include "standins/platform/kv_store.h"

namespace marigold::standin {

bool
KvStore::expire(base::TimePoint aNow)
{
  const std::uint64_t before = mRevision;
  for (auto lease = mLeases.begin(); lease != mLeases.end();) {
    if (lease->second.expiry > aNow) {
      ++lease;
      continue;
    }
    deleteKeysOfLease(lease->first);
    lease = mLeases.erase(lease);
  }
  return mRevision != before;
}

void
KvStore::deleteKeysOfLease(const std::string& aLease)
{
  for (auto& [key, stored] : mValues) {
    if (stored.lease == aLease && stored.value) {
      stored = { std::nullopt, ++mRevision, "" };
    }
  }
}

const StoredValue*
KvStore::find(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() || !found->second.value ? nullptr
                                                        : &found->second;
}

WriteResult
KvStore::write(const std::string& aKey,
               std::string aValue,
               std::optional<std::uint64_t> aExpected,
               const std::string& aLease)
{
  if (aValue.size() > kMaxValueBytes) {
    return { WriteStatus::TooLarge, 0 };
  }
  if (!aLease.empty() && !mLeases.contains(aLease)) {
    return { WriteStatus::NoSuchKeyOrLease, 0 };
  }
  const StoredValue* existing = find(aKey);
  const std::uint64_t current = existing == nullptr ? 0 : existing->revision;
  if (aExpected && *aExpected != current) {
    return { WriteStatus::Conflict, current };
  }
  mValues[aKey] = { std::move(aValue), ++mRevision, aLease };
  return { WriteStatus::Done, mRevision };
}

WriteResult
KvStore::remove(const std::string& aKey, std::optional<std::uint64_t> aExpected)
{
  const StoredValue* existing = find(aKey);
  if (existing == nullptr) {
    return { WriteStatus::NoSuchKeyOrLease, 0 };
  }
  if (aExpected && *aExpected != existing->revision) {
    return { WriteStatus::Conflict, existing->revision };
  }
  mValues[aKey] = { std::nullopt, ++mRevision, "" };
  return { WriteStatus::Done, mRevision };
}

std::vector<std::pair<std::string, StoredValue>>
KvStore::changes(const std::string& aPrefix, std::uint64_t aAfter) const
{
  std::vector<std::pair<std::string, StoredValue>> changes;
  for (auto entry = mValues.lower_bound(aPrefix);
       entry != mValues.end() && entry->first.starts_with(aPrefix);
       ++entry) {
    if (entry->second.revision > aAfter) {
      changes.emplace_back(*entry);
    }
  }
  return changes;
}

std::string
KvStore::grantLease(base::Duration aTerm, base::TimePoint aNow)
{
  std::string id = "lease-" + std::to_string(mNextLease++);
  mLeases[id] = { aTerm, aNow + aTerm };
  return id;
}

bool
KvStore::renewLease(const std::string& aLease, base::TimePoint aNow)
{
  const auto lease = mLeases.find(aLease);
  if (lease == mLeases.end()) {
    return false;
  }
  lease->second.expiry = aNow + lease->second.term;
  return true;
}

bool
KvStore::revokeLease(const std::string& aLease)
{
  if (mLeases.erase(aLease) == 0) {
    return false;
  }
  deleteKeysOfLease(aLease);
  return true;
}

} // namespace marigold::standin
