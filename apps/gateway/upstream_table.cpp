#include "apps/gateway/upstream_table.h"

#include <algorithm>
#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Copies from which the store is restored are seconds old. */
constexpr base::Duration kRemovedRetention = 60s;
std::uint32_t
processTag(const catalog::UpstreamRecord& aRecord)
{
  return static_cast<std::uint32_t>(aRecord.startedAt);
}

} // namespace

void
Upstream::onAnswer(bool aMisdirected, bool aByOther, base::TimePoint aNow)
{
  if (!aMisdirected) {
    presence = Presence::Present;
  } else if (aByOther || presence == Presence::Doubtful) {
    presence = Presence::Replaced;
    replacedAt = aNow;
  }
}

UpstreamTable::Change
UpstreamTable::apply(const catalog::UpstreamRecord& aRecord)
{
  std::shared_ptr<Upstream>& upstream = mUpstreams[aRecord.name];
  if (!upstream) {
    upstream = std::make_shared<Upstream>();
    upstream->record = aRecord;
    upstream->software = dispatch::softwareTag(aRecord);
    return Change::Added;
  }
  const bool restarted = upstream->record.startedAt != aRecord.startedAt ||
                         upstream->record.address != aRecord.address;
  if (restarted) {
    // Requests at the previous process keep their reference to its entry.
    upstream = std::make_shared<Upstream>();
    upstream->record = aRecord;
    upstream->software = dispatch::softwareTag(aRecord);
    mPlacements.erase(aRecord.name);
    mUnloadingModels.erase(aRecord.name);
    return Change::Restarted;
  }
  const bool startedDraining = !upstream->record.draining && aRecord.draining;
  const bool modelsChanged = upstream->record.models != aRecord.models;
  if (modelsChanged) {
    upstream->refusedModels.clear();
  }
  // Draining is final for a process.
  const bool wasDraining = upstream->record.draining;
  if (upstream->record.softwareVersion != aRecord.softwareVersion) {
    upstream->software = dispatch::softwareTag(aRecord);
  }
  upstream->record = aRecord;
  upstream->record.draining = aRecord.draining || wasDraining;
  upstream->removed = false;
  if (startedDraining || modelsChanged) {
    upstream->presence = Presence::Present; // Its process has written that.
  }
  if (startedDraining) {
    return Change::Draining;
  }
  return modelsChanged ? Change::ModelsChanged : Change::None;
}

std::shared_ptr<Upstream>
UpstreamTable::applyProbe(const wire::UpstreamKey& aUpstream,
                          ProbeResult aResult,
                          base::TimePoint aNow)
{
  const auto upstream = find(aUpstream.name);
  if (!upstream || upstream->peer() != aUpstream) {
    return nullptr;
  }
  const bool wasUsable = upstream->usable();
  if (aResult == ProbeResult::Refused) {
    upstream->doubtSoftware(aNow);
  }
  if (aResult == ProbeResult::Refused &&
      upstream->presence != Presence::Replaced) {
    upstream->presence = Presence::Refusing;
  } else if (aResult == ProbeResult::Accepted &&
             upstream->presence == Presence::Refusing) {
    upstream->presence = Presence::Doubtful;
  }
  return upstream->usable() != wasUsable ? upstream : nullptr;
}

void
UpstreamTable::reconsiderReplaced(base::TimePoint aNow)
{
  for (const auto& [name, upstream] : mUpstreams) {
    if (upstream->presence == Presence::Replaced &&
        aNow - upstream->replacedAt > kRecordLifetime) {
      upstream->presence = Presence::Doubtful;
    }
  }
}

bool
UpstreamTable::remove(const base::UpstreamName& aName, base::TimePoint aNow)
{
  const auto found = mUpstreams.find(aName);
  if (found == mUpstreams.end()) {
    return false;
  }
  const catalog::UpstreamRecord& record = found->second->record;
  mRemoved[aName] = { record.startedAt, record.heartbeats, aNow };
  found->second->removed = true;
  mUpstreams.erase(found);
  return true;
}

bool
UpstreamTable::isOutdated(const catalog::UpstreamRecord& aRecord) const
{
  const auto isBefore = [&](std::uint64_t aStartedAt,
                            std::uint64_t aHeartbeats) {
    return aRecord.startedAt < aStartedAt || (aRecord.startedAt == aStartedAt &&
                                              aRecord.heartbeats < aHeartbeats);
  };
  const auto known = mUpstreams.find(aRecord.name);
  if (known != mUpstreams.end()) {
    const catalog::UpstreamRecord& latest = known->second->record;
    return isBefore(latest.startedAt, latest.heartbeats);
  }
  const auto removed = mRemoved.find(aRecord.name);
  return removed != mRemoved.end() &&
         isBefore(removed->second.startedAt, removed->second.heartbeats + 1);
}

void
UpstreamTable::expireRemoved(base::TimePoint aNow)
{
  std::erase_if(mRemoved, [aNow](const auto& aItem) {
    return aNow - aItem.second.removedAt > kRemovedRetention;
  });
}

std::vector<base::UpstreamName>
UpstreamTable::markDraining(
  const std::map<base::UpstreamName, std::uint32_t>& aDraining)
{
  std::vector<base::UpstreamName> marked;
  for (const auto& [name, tag] : aDraining) {
    const auto found = mUpstreams.find(name);
    if (found != mUpstreams.end() && processTag(found->second->record) == tag &&
        !std::exchange(found->second->record.draining, true)) {
      marked.push_back(name);
    }
  }
  return marked;
}

std::map<base::UpstreamName, std::uint32_t>
UpstreamTable::draining() const
{
  std::map<base::UpstreamName, std::uint32_t> names;
  for (const auto& [name, upstream] : mUpstreams) {
    if (upstream->record.draining) {
      names[name] = processTag(upstream->record);
    }
  }
  return names;
}

void
UpstreamTable::applyPlacements(const peers::PlacementUpdate& aUpdate)
{
  const bool follows =
    mHasPlacements && mPlacementFencingToken == aUpdate.fencingToken;
  if (!aUpdate.complete && !follows) {
    return;
  }
  if (aUpdate.complete) {
    mPlacements.clear();
    mUnloadingModels.clear();
  }
  mHasPlacements = true;
  mPlacementFencingToken = aUpdate.fencingToken;
  for (const auto& [name, placement] : aUpdate.engines) {
    setPlacement(name, placement);
  }
}

void
UpstreamTable::setPlacement(const base::UpstreamName& aName,
                            const peers::EnginePlacement& aPlacement)
{
  std::set<catalog::ModelRef> refs;
  for (const auto& [model, adapters] : aPlacement.adapters) {
    for (const std::string& adapter : adapters) {
      refs.insert({ model, adapter });
    }
  }
  mPlacements[aName] = std::move(refs);
  mUnloadingModels[aName] = { aPlacement.unloading.begin(),
                              aPlacement.unloading.end() };
}

void
UpstreamTable::clearPlacements()
{
  mHasPlacements = false;
  mPlacements.clear();
  mUnloadingModels.clear();
}

bool
UpstreamTable::canServe(const Upstream& aUpstream,
                        const catalog::ModelRef& aRef,
                        base::TimePoint aNow) const
{
  const auto refused = aUpstream.refusedModels.find(aRef);
  if (refused != aUpstream.refusedModels.end() && aNow < refused->second) {
    return false;
  }
  const auto model = aUpstream.record.models.find(aRef.model);
  if (model == aUpstream.record.models.end()) {
    return false;
  }
  const auto unloading = mUnloadingModels.find(aUpstream.record.name);
  if (unloading != mUnloadingModels.end() &&
      unloading->second.contains(aRef.model)) {
    return false;
  }
  if (aRef.adapter.empty()) {
    return true;
  }
  if (!mHasPlacements) {
    return model->second.contains(aRef.adapter);
  }
  const auto placement = mPlacements.find(aUpstream.record.name);
  return placement != mPlacements.end() && placement->second.contains(aRef);
}

bool
UpstreamTable::anyCanServe(const catalog::ModelRef& aRef,
                           base::TimePoint aNow,
                           std::optional<peers::SoftwareTag> aSoftware) const
{
  return std::any_of(
    mUpstreams.begin(), mUpstreams.end(), [&](const auto& aItem) {
      const Upstream& upstream = *aItem.second;
      return upstream.usable() &&
             (!aSoftware || upstream.software == *aSoftware) &&
             canServe(upstream, aRef, aNow);
    });
}

std::shared_ptr<Upstream>
UpstreamTable::findProcess(peers::ProcessTag aTag) const
{
  const auto found = std::find_if(
    mUpstreams.begin(), mUpstreams.end(), [aTag](const auto& aItem) {
      return aItem.second->usable() && aItem.second->process().tag() == aTag;
    });
  return found == mUpstreams.end() ? nullptr : found->second;
}

std::shared_ptr<Upstream>
UpstreamTable::find(const base::UpstreamName& aName) const
{
  const auto found = mUpstreams.find(aName);
  return found == mUpstreams.end() ? nullptr : found->second;
}

} // namespace marigold::gateway
