#include "apps/entry/upstream_choice.h"

#include <algorithm>

namespace marigold::entry {
namespace {

/** Time to the nearest other region, one way; the manifest states none. */
constexpr base::Duration kLinkTime = std::chrono::milliseconds(12);

bool
holds(const Upstream& aUpstream,
      const base::ModelName& aModel,
      const std::string& aAdapter)
{
  const auto found = aUpstream.resident.find(aModel);
  if (aUpstream.vm.role != membership::Role::Engine ||
      found == aUpstream.resident.end()) {
    return false;
  }
  const auto& adapters = found->second.adapters;
  return aAdapter.empty() ||
         std::find(adapters.begin(), adapters.end(), aAdapter) !=
           adapters.end();
}

bool
canServe(const Upstream& aUpstream, const CallerRequest& aCaller)
{
  if (aCaller.isChat) {
    return holds(aUpstream, aCaller.model, aCaller.adapter);
  }
  const auto& serves = aUpstream.vm.serves;
  return aUpstream.vm.role == membership::Role::Service &&
         std::find(serves.begin(), serves.end(), aCaller.serviceName) !=
           serves.end();
}

/**
 * An engine has room up to its capacity: what waits there is ordered by strict
 * priority, so that less urgent requests would starve. Each VM may use its own
 * part of the capacity whatever the report says; otherwise the VMs whose
 * requests end there learn first of a free place and keep the others out.
 */
bool
hasRoomFor(const routing::UpstreamView& aView, int aEntryVms)
{
  const bool manyVms = aView.capacity * 2 < aEntryVms;
  const int part = manyVms ? 0 : std::max(1, aView.capacity / aEntryVms);
  return !aView.reported || aView.inflight < part ||
         routing::estimatedLoad(aView) < aView.capacity;
}

} // namespace

UpstreamChoice::UpstreamChoice(UpstreamTable& aTable,
                               base::DataCentre aDataCentre,
                               routing::StrategyKind aKind,
                               std::uint64_t aSeed)
  : mTable(aTable)
  , mDataCentre(std::move(aDataCentre))
  , mStrategy(routing::makeStrategy(aKind, aSeed))
{
}

routing::UpstreamView
UpstreamChoice::view(const Upstream& aUpstream,
                     const CallerRequest* aCaller,
                     base::TimePoint aNow) const
{
  routing::UpstreamView view;
  view.name = aUpstream.vm.name;
  view.near = aUpstream.vm.dataCentre == mDataCentre;
  view.linkTime = view.near ? base::Duration::zero() : kLinkTime;
  view.reported = aUpstream.reported;
  view.reportAge = aNow - aUpstream.reportedAt;
  view.othersLoad = aUpstream.others.value();
  view.capacity = aUpstream.capacity;
  view.inflight = aUpstream.inflight;
  view.meanTime = aUpstream.meanTime;
  view.adapterResident = true; // others cannot serve the request
  if (aCaller != nullptr && !aCaller->prefixes.empty()) {
    // The longest known prefix counts, as a share of the prompt's blocks.
    for (std::size_t count = aCaller->prefixes.size(); count > 0; --count) {
      const double known =
        mTable.prefixes().match(view.name, aCaller->prefixes[count - 1], aNow);
      if (known > 0) {
        view.prefixMatch = known * static_cast<double>(count) /
                           static_cast<double>(aCaller->prefixes.size());
        break;
      }
    }
  }
  return view;
}

Chosen
UpstreamChoice::choose(const CallerRequest& aCaller,
                       const std::set<base::UpstreamName>& aExcluded,
                       base::TimePoint aNow)
{
  Chosen chosen;
  std::vector<routing::UpstreamView> views;
  for (const auto& [name, upstream] : mTable.all()) {
    if (!canServe(upstream, aCaller) || !upstream.health.usable(aNow) ||
        aExcluded.contains(name)) {
      continue;
    }
    routing::UpstreamView candidate = view(upstream, &aCaller, aNow);
    if (hasRoomFor(candidate, mTable.entryVms())) {
      views.push_back(std::move(candidate));
    } else {
      chosen.full = true;
    }
  }
  const routing::RequestView wanted{ aCaller.priority,
                                     aCaller.deadline,
                                     !aCaller.adapter.empty() };
  if (const auto index = mStrategy->choose(wanted, views, aNow)) {
    chosen.name = views[*index].name;
  }
  return chosen;
}

bool
UpstreamChoice::isResident(const CallerRequest& aCaller) const
{
  return std::any_of(
    mTable.all().begin(), mTable.all().end(), [&](const auto& aItem) {
      return canServe(aItem.second, aCaller);
    });
}

bool
UpstreamChoice::hasRoom(const base::ModelName& aModel,
                        const std::string& aAdapter,
                        base::TimePoint aNow) const
{
  return std::any_of(
    mTable.all().begin(), mTable.all().end(), [&](const auto& aItem) {
      return holds(aItem.second, aModel, aAdapter) &&
             aItem.second.health.usable(aNow) &&
             hasRoomFor(view(aItem.second, nullptr, aNow), mTable.entryVms());
    });
}

base::Duration
UpstreamChoice::leastTime(const CallerRequest& aCaller) const
{
  double least = 0;
  for (const auto& [name, upstream] : mTable.all()) {
    if (!canServe(upstream, aCaller) || upstream.meanCost <= 0) {
      continue;
    }
    // A request that is cheaper than usual also needs less time.
    const double share = std::min(1.0, aCaller.cost / upstream.meanCost);
    const double seconds = base::inSeconds(upstream.meanTime) * share;
    if (least == 0 || seconds < least) {
      least = seconds;
    }
  }
  return base::fromSeconds(least * request::kLeastTimeShare);
}

void
UpstreamChoice::onSent(const CallerRequest& aCaller,
                       const base::UpstreamName& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  for (const std::string& prefix : aCaller.prefixes) {
    mTable.prefixes().onSent(aUpstream, prefix, now);
  }
}

} // namespace marigold::entry
