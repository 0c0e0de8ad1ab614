/** @file Strategies that decide what should be loaded where. */
#pragma once

#include "placement/types.h"

#include <memory>
#include <set>
#include <string_view>

namespace marigold::placement {

/** Requests for an item since the last plan. */
struct Demand
{
  double requests = 0;            ///< arrived since the last plan
  int waiting = 0;                ///< queued because no replica serves
  base::TimePoint oldestDeadline; ///< of those that wait
};

using DemandByItem = std::map<ItemName, Demand>;

/** An engine as a strategy sees it. */
struct EngineResidency
{
  int memoryMb = 0;
  std::set<ItemName> items; ///< resident or being loaded
};

/** What is loaded in a data centre and what is declared. */
struct Residency
{
  std::map<base::UpstreamName, EngineResidency> engines;
  Declarations declared;
};

using Desired = std::map<base::UpstreamName, std::set<ItemName>>;

/** Decides residency; it keeps what it has seen of the demand. */
class Strategy
{
public:
  virtual ~Strategy() = default;

  /**
   * @param aDemand demand since the last call
   * @param aResidency what is loaded and declared
   * @param aNow current time
   * @return items for each engine; they fit into its memory
   */
  virtual Desired plan(const DemandByItem& aDemand,
                       const Residency& aResidency,
                       base::TimePoint aNow) = 0;
};

/**
 * @param aName static, lru or forecast
 * @return the strategy, or SettingsInvalid
 */
base::Result<std::unique_ptr<Strategy>>
makeStrategy(std::string_view aName);

} // namespace marigold::placement
