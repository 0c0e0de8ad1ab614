/** @file Key-value store with revisions and leases; callers pass the time. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigold::standin {

struct StoredValue
{
  std::optional<std::string> value; ///< absent if the key was deleted
  std::uint64_t revision = 0;
  std::string lease;
};

/** Result of a write; the values are the HTTP status codes of the protocol. */
enum class WriteStatus : std::uint16_t
{
  Done = 200,
  NoSuchKeyOrLease = 404,
  Conflict = 409,
  TooLarge = 413,
};

struct WriteResult
{
  WriteStatus status = WriteStatus::Done;
  std::uint64_t revision = 0; ///< revision of the key after the write
};

/** The state of the platform's key-value service. */
class KvStore
{
public:
  static constexpr std::size_t kMaxValueBytes = 1024UL * 1024;

  /** Removes expired leases and their keys. @param aNow time
   * @return true if a key was deleted */
  bool expire(base::TimePoint aNow);

  /** @param aKey key @return its value or nullptr */
  const StoredValue* find(const std::string& aKey) const;

  /** Writes a key by compare-and-swap.
   * @param aKey key @param aValue value
   * @param aExpected expected revision; 0: the key must not exist, absent: any
   * @param aLease lease or empty @return the result */
  WriteResult write(const std::string& aKey,
                    std::string aValue,
                    std::optional<std::uint64_t> aExpected,
                    const std::string& aLease);

  /** @param aKey key @param aExpected expected revision, absent: any
   * @return the result */
  WriteResult remove(const std::string& aKey,
                     std::optional<std::uint64_t> aExpected);

  /** @param aPrefix key prefix @param aAfter revision
   * @return keys changed after aAfter with their values, deletions included */
  std::vector<std::pair<std::string, StoredValue>> changes(
    const std::string& aPrefix,
    std::uint64_t aAfter) const;

  /** @param aTerm time to live @param aNow time @return id of a new lease */
  std::string grantLease(base::Duration aTerm, base::TimePoint aNow);

  /** @param aLease id @param aNow time @return false if it has expired */
  bool renewLease(const std::string& aLease, base::TimePoint aNow);

  /** @param aLease id @return false if it has expired */
  bool revokeLease(const std::string& aLease);

  /** @return revision of the last change */
  std::uint64_t revision() const { return mRevision; }

private:
  struct Lease
  {
    base::Duration term;
    base::TimePoint expiry;
  };

  void deleteKeysOfLease(const std::string& aLease);

  std::uint64_t mRevision = 0;
  std::uint64_t mNextLease = 1;
  std::map<std::string, StoredValue> mValues;
  std::map<std::string, Lease> mLeases;
};

} // namespace marigold::standin
