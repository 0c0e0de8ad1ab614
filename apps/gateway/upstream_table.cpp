#include "apps/gateway/upstream_table.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

std::uint32_t
processTag(const catalog::UpstreamRecord& aRecord)
{
  return static_cast<std::uint32_t>(aRecord.startedAt);
}

} // namespace

UpstreamTable::Change
UpstreamTable::apply(const catalog::UpstreamRecord& aRecord)
{
  std::shared_ptr<Upstream>& upstream = mUpstreams[aRecord.name];
  if (!upstream) {
    upstream = std::make_shared<Upstream>();
    upstream->record = aRecord;
    return Change::Added;
  }
  const bool restarted = upstream->record.startedAt != aRecord.startedAt ||
                         upstream->record.address != aRecord.address;
  if (restarted) {
    // Requests at the previous process keep their reference to its entry.
    upstream = std::make_shared<Upstream>();
    upstream->record = aRecord;
    mPlacements.erase(aRecord.name);
    mUnloadingModels.erase(aRecord.name);
    return Change::Restarted;
  }
  const bool left = slot->usable() && aRecord.draining;
  const bool modelsChanged = slot->record.models != aRecord.models;
  if (modelsChanged) {
    upstream->refusedModels.clear();
  }
  // A process that is leaving never comes back.
  const bool stillLeaving = slot->record.draining;
  slot->record = aRecord;
  slot->record.draining = aRecord.draining || stillLeaving;
  slot->gone = false;
  if (left) {
    return Change::Left;
  }
  return modelsChanged ? Change::ModelsChanged : Change::None;
}

bool
UpstreamTable::remove(const base::UpstreamName& aName)
{
  const auto found = mUpstreams.find(aName);
  if (found == mUpstreams.end()) {
    return false;
  }
  found->second->removed = true;
  mUpstreams.erase(found);
  return true;
}

void
UpstreamTable::markDraining(
  const std::map<base::UpstreamName, std::uint32_t>& aDraining)
{
  for (const auto& [name, tag] : aDraining) {
    const auto found = mUpstreams.find(name);
    if (found != mUpstreams.end() && processTag(found->second->record) == tag) {
      found->second->record.draining = true;
    }
  }
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
UpstreamTable::usePlaces(const peers::PlacementUpdate& aPlaces)
{
  const bool follows = mHasPlaces && mPlacesFence == aPlaces.fencingToken;
  if (!aPlaces.complete && !follows) {
    return;
  }
  if (aPlaces.complete) {
    mPlaces.clear();
    mRetiring.clear();
  }
  mHasPlaces = true;
  mPlacesFence = aPlaces.fencingToken;
  for (const auto& [name, place] : aPlaces.engines) {
    setPlacement(name, place);
  }
}

void
UpstreamTable::setPlace(const base::UpstreamName& aName,
                        const peers::EnginePlacement& aPlace)
{
  std::set<catalog::ModelRef> refs;
  for (const auto& [model, adapters] : aPlace.adapters) {
    for (const std::string& adapter : adapters) {
      refs.insert({ model, adapter });
    }
  }
  mPlaces[aName] = std::move(refs);
  mRetiring[aName] = { aPlace.unloading.begin(), aPlace.unloading.end() };
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
  const auto places = mPlacements.find(aUpstream.record.name);
  return places != mPlacements.end() && places->second.contains(aRef);
}

bool
UpstreamTable::anyCanServe(const catalog::ModelRef& aRef,
                           base::TimePoint aNow) const
{
  return std::any_of(
    mUpstreams.begin(), mUpstreams.end(), [&](const auto& aItem) {
      return aItem.second->usable() && canServe(*aItem.second, aRef, aNow);
    });
}

std::shared_ptr<Upstream>
UpstreamTable::find(const base::UpstreamName& aName) const
{
  const auto found = mUpstreams.find(aName);
  return found == mUpstreams.end() ? nullptr : found->second;
}

} // namespace marigold::gateway
