#include "peers/placement_announcer.h"

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Period of announcements with all engines. */
constexpr base::Duration kWholePeriod = 1200ms;

} // namespace

PlacementUpdate
PlacementAnnouncer::nextUpdate(const PlacementTable& aPlaces,
                               std::uint64_t aFence,
                               base::TimePoint aNow)
{
  if (aFence != mFence) {
    mFence = aFence;
    mWholeAt = {};
  }
  PlacementUpdate news;
  news.fencingToken = aFence;
  news.sequence = ++mSequence;
  for (const auto& [name, place] : aPlaces) {
    const auto known = mKnown.find(name);
    if (known == mKnown.end() || !(known->second == place)) {
      mChangedAt[name] = aNow;
    }
  }
  for (const auto& [name, place] : mKnown) {
    if (!aPlaces.contains(name)) {
      mChangedAt[name] = aNow;
    }
  }
  mKnown = aPlaces;
  news.complete =
    mWholeAt == base::TimePoint{} || aNow - mWholeAt > kWholePeriod;
  if (news.complete) {
    mWholeAt = aNow;
    news.engines = aPlaces;
    return news;
  }
  // A change is repeated until the next whole announcement.
  std::erase_if(mChangedAt, [aNow](const auto& aItem) {
    return aNow - aItem.second > kWholePeriod;
  });
  for (const auto& [name, changedAt] : mChangedAt) {
    const auto place = aPlaces.find(name);
    news.engines[name] =
      place == aPlaces.end() ? EnginePlacement{} : place->second;
  }
  return news;
}

} // namespace marigold::peers
