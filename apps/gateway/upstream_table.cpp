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
  std::shared_ptr<Upstream>& slot = mUpstreams[aRecord.name];
  if (!slot) {
    slot = std::make_shared<Upstream>();
    slot->record = aRecord;
    return Change::Added;
  }
  const bool restarted = slot->record.startedAt != aRecord.startedAt ||
                         slot->record.address != aRecord.address;
  if (restarted) {
    // Requests at the previous process keep their reference to its entry.
    slot = std::make_shared<Upstream>();
    slot->record = aRecord;
    mPlaces.erase(aRecord.name);
    mRetiring.erase(aRecord.name);
    return Change::Restarted;
  }
  const bool left = slot->usable() && aRecord.leaving;
  const bool modelsChanged = slot->record.models != aRecord.models;
  if (modelsChanged) {
    slot->missing.clear();
  }
  // Draining is final for a process.
  const bool stillLeaving = slot->record.leaving;
  slot->record = aRecord;
  slot->record.leaving = aRecord.leaving || stillLeaving;
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
  found->second->gone = true;
  mUpstreams.erase(found);
  return true;
}

void
UpstreamTable::markLeaving(
  const std::map<base::UpstreamName, std::uint32_t>& aLeaving)
{
  for (const auto& [name, tag] : aLeaving) {
    const auto found = mUpstreams.find(name);
    if (found != mUpstreams.end() && processTag(found->second->record) == tag) {
      found->second->record.leaving = true;
    }
  }
}

std::map<base::UpstreamName, std::uint32_t>
UpstreamTable::leaving() const
{
  std::map<base::UpstreamName, std::uint32_t> names;
  for (const auto& [name, upstream] : mUpstreams) {
    if (upstream->record.leaving) {
      names[name] = processTag(upstream->record);
    }
  }
  return names;
}

void
UpstreamTable::usePlaces(const peers::Places& aPlaces)
{
  const bool follows = mHasPlaces && mPlacesFence == aPlaces.fence;
  if (!aPlaces.whole && !follows) {
    return;
  }
  if (aPlaces.whole) {
    mPlaces.clear();
    mRetiring.clear();
  }
  mHasPlaces = true;
  mPlacesFence = aPlaces.fence;
  for (const auto& [name, place] : aPlaces.engines) {
    setPlace(name, place);
  }
}

void
UpstreamTable::setPlace(const base::UpstreamName& aName,
                        const peers::EnginePlace& aPlace)
{
  std::set<catalog::ModelRef> refs;
  for (const auto& [model, adapters] : aPlace.adapters) {
    for (const std::string& adapter : adapters) {
      refs.insert({ model, adapter });
    }
  }
  mPlaces[aName] = std::move(refs);
  mRetiring[aName] = { aPlace.retiring.begin(), aPlace.retiring.end() };
}

void
UpstreamTable::clearPlaces()
{
  mHasPlaces = false;
  mPlaces.clear();
  mRetiring.clear();
}

bool
UpstreamTable::holds(const Upstream& aUpstream,
                     const catalog::ModelRef& aRef,
                     base::TimePoint aNow) const
{
  const auto refused = aUpstream.missing.find(aRef);
  if (refused != aUpstream.missing.end() && aNow < refused->second) {
    return false;
  }
  const auto model = aUpstream.record.models.find(aRef.model);
  if (model == aUpstream.record.models.end()) {
    return false;
  }
  const auto retiring = mRetiring.find(aUpstream.record.name);
  if (retiring != mRetiring.end() && retiring->second.contains(aRef.model)) {
    return false;
  }
  if (aRef.adapter.empty()) {
    return true;
  }
  if (!mHasPlaces) {
    return model->second.contains(aRef.adapter);
  }
  const auto places = mPlaces.find(aUpstream.record.name);
  return places != mPlaces.end() && places->second.contains(aRef);
}

bool
UpstreamTable::served(const catalog::ModelRef& aRef, base::TimePoint aNow) const
{
  return std::any_of(
    mUpstreams.begin(), mUpstreams.end(), [&](const auto& aItem) {
      return aItem.second->usable() && holds(*aItem.second, aRef, aNow);
    });
}

std::shared_ptr<Upstream>
UpstreamTable::find(const base::UpstreamName& aName) const
{
  const auto found = mUpstreams.find(aName);
  return found == mUpstreams.end() ? nullptr : found->second;
}

} // namespace marigold::gateway
