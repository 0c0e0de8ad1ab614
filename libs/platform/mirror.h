/** @file A local copy of the keys with a prefix and of their latest changes. */
#pragma once

#include "platform/wire_protocol.h"

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace marigold::platform {

/** Local copy of watched keys, from which the reads and watches of other VMs
 * are answered without a call to the platform. */
class Mirror
{
public:
  /** Replaces the content and records the differences as changes, but not
   * those to an earlier era.
   * @param aSnapshot all keys that exist; absent keys were deleted */
  void replace(const Snapshot& aSnapshot);

  /** Applies changes. @param aChanges changed keys, oldest change first */
  void apply(const Snapshot& aChanges);

  /** @return revision up to which all changes were applied; 0: no content yet
   */
  Revision revision() const { return mRevision; }

  /** @return the era of the content */
  Era era() const { return mEra; }

  /** @return all keys that exist */
  Snapshot all() const;

  /**
   * @param aAfter last point of the history that the reader has seen
   * @param aPatches true if the reader takes patches in place of large values
   * @return later changes, of a large value only the latest, or nothing if some
   * of them were dropped or the reader's point is from another era
   */
  std::optional<Snapshot> changesAfter(Position aAfter,
                                       bool aPatches = false) const;

  /** Gives an entry that has only patches its value. @param aEntry a change
   * @return false if the patches don't fit what this copy has */
  bool resolve(Entry& aEntry) const;

private:
  /** A change. That of a large value holds the patches that led to it, if
   * there are any, and no value: a later one may have replaced it. */
  struct Change
  {
    Entry entry;
    bool isLarge = false;
  };
  void applyEntry(const Entry& aEntry);
  void recordChange(Change aChange);
  void completeEntry(Entry& aChange, bool aPatches) const;

  Era mEra = 0;
  Revision mRevision = 0;
  Revision mCompactedRevision = 0; ///< changes up to it may be dropped
  std::map<std::string, Entry> mEntries;
  std::deque<Change> mChanges; ///< oldest first
  std::size_t mChangeBytes = 0;
};

/** @param aSnapshot entries @return the answer to a list or a watch in the
 * native protocol */
nlohmann::json
encodeSnapshot(const Snapshot& aSnapshot);

} // namespace marigold::platform
