/** @file The memory account of an engine. */
#pragma once

#include "placement/types.h"

#include <optional>
#include <vector>

namespace marigold::placement {

/** An order in the ledger with what its present holder knows of it. */
struct Record
{
  Order order;
  /** A report that shows the order is newer than this; unknown for orders of
   * another holder. */
  std::optional<base::TimePoint> created;
  base::TimePoint lastSend; ///< last time at which it can have been sent
  bool sent = false;        ///< or possibly sent, by any holder
  bool open = true;         ///< neither an outcome is known nor was it given up
  bool settled = false;     ///< a report showed its outcome
};

/**
 * The most memory that an engine can use in any outcome of the outstanding
 * orders: each load is done or not, and the engine has restarted unnoticed or
 * not. A restarted engine is empty but has forgotten its fence, so that every
 * retained load can take effect on it.
 * @param aEngine engine
 * @param aReport its last report
 * @param aRecords retained orders of all engines
 * @return memory in MB
 */
int
worstCaseMb(const Engine& aEngine,
            const Report& aReport,
            const std::vector<Record>& aRecords);

/**
 * @param aEngine engine
 * @param aReport one of its reports
 * @param aRecord an order to it
 * @return true if the report is newer than the order's creation
 */
bool
provesNewer(const Engine& aEngine,
            const Report& aReport,
            const Record& aRecord);

} // namespace marigold::placement
