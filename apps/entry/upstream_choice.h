/** @file Chooses the upstream for a request. */
#pragma once

#include "apps/entry/caller_request.h"
#include "apps/entry/upstream_table.h"
#include "routing/routing.h"

#include <memory>
#include <optional>
#include <set>

namespace marigold::entry {

/** Result of a choice. */
struct Chosen
{
  base::UpstreamName name; ///< empty if there is none now
  bool full = false;       ///< one is usable but has no room
};

/** Chooses among the upstreams that can serve a request, by a strategy. */
class UpstreamChoice
{
public:
  /** @param aTable upstreams @param aDataCentre this VM's data centre
   * @param aKind strategy @param aSeed start of its random sequence */
  UpstreamChoice(UpstreamTable& aTable,
                 base::DataCentre aDataCentre,
                 routing::StrategyKind aKind,
                 std::uint64_t aSeed);

  /**
   * @param aCaller request
   * @param aExcluded upstreams that must not get it
   * @param aNow current time
   * @return an upstream with room for the request
   */
  Chosen choose(const CallerRequest& aCaller,
                const std::set<base::UpstreamName>& aExcluded,
                base::TimePoint aNow);

  /** @param aCaller request @return true if any engine holds its model and
   * adapter */
  bool isResident(const CallerRequest& aCaller) const;

  /** @param aModel model @param aAdapter adapter or empty @param aNow current
   * time @return true if an engine that holds both has room */
  bool hasRoom(const base::ModelName& aModel,
               const std::string& aAdapter,
               base::TimePoint aNow) const;

  /** @param aCaller request @return shortest time in which it could be served,
   * zero if unknown */
  base::Duration leastTime(const CallerRequest& aCaller) const;

  /** Notes that a request was sent. @param aCaller request
   * @param aUpstream where */
  void onSent(const CallerRequest& aCaller,
              const base::UpstreamName& aUpstream);

private:
  routing::UpstreamView view(const Upstream& aUpstream,
                             const CallerRequest* aCaller,
                             base::TimePoint aNow) const;

  UpstreamTable& mTable;
  base::DataCentre mDataCentre;
  std::unique_ptr<routing::Strategy> mStrategy;
};

} // namespace marigold::entry
