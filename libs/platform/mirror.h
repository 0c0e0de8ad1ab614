/** @file A copy of the keys under a prefix, with their latest changes. */
#pragma once

#include "platform/wire_protocol.h"

#include <deque>
#include <map>
#include <optional>

namespace marigold::platform {

/** Answers the reads of others from what a watch has seen. */
class Mirror
{
public:
  /** @param aAll whole content; absent keys no longer exist */
  void replace(const Snapshot& aAll);

  /** @param aChanges changed keys in their order */
  void apply(const Snapshot& aChanges);

  /** @return revision up to which all changes are known, 0 before the first */
  Revision revision() const { return mRevision; }

  /** @return all keys that exist */
  Snapshot all() const;

  /**
   * @param aAfter revision that the reader knows
   * @return later changes, or nothing if some are no longer known
   */
  std::optional<Snapshot> changesAfter(Revision aAfter) const;

private:
  void note(const Entry& aEntry);

  Revision mRevision = 0;
  Revision mForgotten = 0; ///< changes up to here may be missing
  std::map<std::string, Entry> mEntries;
  std::deque<Entry> mChanges; ///< in the order in which they were seen
};

/** @param aSnapshot entries @return the answer to a list or a watch in the
 * product's own form */
nlohmann::json
encodeSnapshot(const Snapshot& aSnapshot);

} // namespace marigold::platform
