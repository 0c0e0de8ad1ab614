#include "apps/entry/upstream_choice.h"

#include <algorithm>

namespace marigold::entry {
namespace {

bool
canServe(const Upstream& aUpstream, const CallerRequest& aCaller)
{
  if (aCaller.isChat) {
    return aUpstream.vm.role == membership::Role::Engine &&
           aUpstream.resident.contains(aCaller.model);
  }
  const auto& serves = aUpstream.vm.serves;
  return aUpstream.vm.role == membership::Role::Service &&
         std::find(serves.begin(), serves.end(), aCaller.serviceName) !=
           serves.end();
}

} // namespace

UpstreamChoice::UpstreamChoice(const UpstreamTable& aTable,
                               base::DataCentre aDataCentre)
  : mTable(aTable)
  , mDataCentre(std::move(aDataCentre))
{
}

base::Result<base::UpstreamName>
UpstreamChoice::choose(const CallerRequest& aCaller,
                       const std::set<base::UpstreamName>& aExcluded,
                       base::TimePoint aNow)
{
  std::vector<base::UpstreamName> near;
  std::vector<base::UpstreamName> far;
  for (const auto& [name, upstream] : mTable.all()) {
    const bool usable = canServe(upstream, aCaller) && !upstream.leaving &&
                        upstream.ejectedUntil <= aNow &&
                        !aExcluded.contains(name);
    if (usable) {
      (upstream.vm.dataCentre == mDataCentre ? near : far).push_back(name);
    }
  }
  const auto& candidates = near.empty() ? far : near;
  if (candidates.empty()) {
    return base::fail(base::Code::NoUpstream,
                      "no upstream can serve this request now");
  }
  return candidates[mTurn++ % candidates.size()];
}

} // namespace marigold::entry
