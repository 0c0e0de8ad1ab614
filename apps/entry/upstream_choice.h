/** @file Chooses the upstream for a request. */
#pragma once

#include "apps/entry/caller_request.h"
#include "apps/entry/upstream_table.h"

#include <set>

namespace marigold::entry {

/** Chooses among the upstreams that can serve a request, in turn. */
class UpstreamChoice
{
public:
  /** @param aTable upstreams @param aDataCentre this VM's data centre */
  UpstreamChoice(const UpstreamTable& aTable, base::DataCentre aDataCentre);

  /**
   * @param aCaller request
   * @param aExcluded upstreams that have failed for it already
   * @param aNow current time
   * @return an upstream, or NoUpstream
   */
  base::Result<base::UpstreamName> choose(
    const CallerRequest& aCaller,
    const std::set<base::UpstreamName>& aExcluded,
    base::TimePoint aNow);

private:
  const UpstreamTable& mTable;
  base::DataCentre mDataCentre;
  std::size_t mTurn = 0;
};

} // namespace marigold::entry
