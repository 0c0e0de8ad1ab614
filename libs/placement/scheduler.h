/** @file Turns desired residency into the next loads and unloads. */
#pragma once

#include "placement/strategy.h"
#include "placement/types.h"

#include <map>
#include <set>
#include <vector>

namespace marigold::placement {

/** An engine as the scheduler sees it. */
struct EngineView
{
  bool ready = false;           ///< its memory account is known
  int memoryMb = 0;             ///< capacity
  int freeMb = 0;               ///< capacity less the account
  std::map<Item, int> resident; ///< memory in MB
  std::set<Item> loading;
  /** Memory in MB that the account already holds for loads that were given up
   * and may be given again. */
  std::map<Item, int> reserved;
  std::set<Item> draining; ///< will be unloaded
};

using EngineViews = std::map<base::UpstreamName, EngineView>;

/** How many loads may start now. */
struct LoadBudget
{
  int models = 0;   ///< from the weights store
  int adapters = 0; ///< from the adapter limit
};

/** An item on an engine. */
struct Place
{
  base::UpstreamName engine;
  Item item;

  auto operator<=>(const Place&) const = default;
};

/** What to start now. */
struct Schedule
{
  std::vector<Place> loads;
  std::set<Place> unloads; ///< to drain and then unload
};

/**
 * @param aViews engines; a load that is scheduled lowers freeMb
 * @param aDesired result of a strategy
 * @param aDeclared manifest
 * @param aDemand latest demand
 * @param aBudget how many loads may start
 * @return loads that fit, and unloads that make room or follow the manifest
 */
Schedule
schedule(EngineViews aViews,
         const Desired& aDesired,
         const Declarations& aDeclared,
         const DemandByItem& aDemand,
         LoadBudget aBudget);

} // namespace marigold::placement
