#include "peers/placement_announcer.h"

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Period of announcements with all engines; changes are repeated as long. */
constexpr base::Duration kCompletePeriod = 1200ms;

} // namespace

PlacementUpdate
PlacementAnnouncer::nextUpdate(const PlacementTable& aPlacements,
                               std::uint64_t aFencingToken,
                               base::TimePoint aNow)
{
  if (aFencingToken != mFencingToken) {
    mFencingToken = aFencingToken;
    mLastCompleteAt = {};
  }
  PlacementUpdate update;
  update.fencingToken = aFencingToken;
  update.sequence = ++mSequence;
  for (const auto& [name, placement] : aPlacements) {
    const auto announced = mAnnounced.find(name);
    if (announced == mAnnounced.end() || !(announced->second == placement)) {
      mChangedAt[name] = aNow;
    }
  }
  for (const auto& [name, placement] : mAnnounced) {
    if (!aPlacements.contains(name)) {
      mChangedAt[name] = aNow;
    }
  }
  mAnnounced = aPlacements;
  update.complete = mLastCompleteAt == base::TimePoint{} ||
                    aNow - mLastCompleteAt > kCompletePeriod;
  if (update.complete) {
    mLastCompleteAt = aNow;
    update.engines = aPlacements;
    return update;
  }
  // A change is repeated until the next complete announcement.
  std::erase_if(mChangedAt, [aNow](const auto& aItem) {
    return aNow - aItem.second > kCompletePeriod;
  });
  for (const auto& [name, changedAt] : mChangedAt) {
    const auto placement = aPlacements.find(name);
    update.engines[name] =
      placement == aPlacements.end() ? EnginePlacement{} : placement->second;
  }
  return update;
}

} // namespace marigold::peers
