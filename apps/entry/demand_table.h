/** @file Callers that wait for models, for whoever decides what is loaded. */
#pragma once

#include "base/base.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace marigold::entry {

/** Model with adapter; the adapter is empty for the model itself. */
using ModelKey = std::pair<base::ModelName, std::string>;

/** Demand for one model or adapter at this VM. */
struct Demand
{
  std::uint64_t arrived = 0; ///< requests since the process started
  std::size_t waiting = 0;   ///< callers that wait because it is not resident
  std::optional<base::TimePoint> earliestDeadline; ///< of those that wait
};

/** Counts requests per model and those that wait for it to become resident. */
class DemandTable
{
public:
  /** Counts a request. @param aKey model */
  void onArrival(const ModelKey& aKey) { ++mRows[aKey].arrived; }

  /** @param aKey model @param aDeadline of a caller that starts to wait */
  void onWait(const ModelKey& aKey, base::TimePoint aDeadline)
  {
    mRows[aKey].deadlines.insert(aDeadline);
  }

  /** @param aKey model @param aDeadline of a caller that no longer waits */
  void onWaitEnded(const ModelKey& aKey, base::TimePoint aDeadline)
  {
    auto& deadlines = mRows[aKey].deadlines;
    if (const auto found = deadlines.find(aDeadline);
        found != deadlines.end()) {
      deadlines.erase(found);
    }
  }

  /** @return demand by model and adapter */
  std::map<ModelKey, Demand> entries() const
  {
    std::map<ModelKey, Demand> entries;
    for (const auto& [key, row] : mRows) {
      Demand& demand = entries[key];
      demand.arrived = row.arrived;
      demand.waiting = row.deadlines.size();
      if (!row.deadlines.empty()) {
        demand.earliestDeadline = *row.deadlines.begin();
      }
    }
    return entries;
  }

private:
  struct Row
  {
    std::uint64_t arrived = 0;
    std::multiset<base::TimePoint> deadlines;
  };

  std::map<ModelKey, Row> mRows;
};

} // namespace marigold::entry
