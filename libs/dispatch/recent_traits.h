/** @file Bounded memory of traits that were seen recently. */
#pragma once

#include "peers/crash_evidence.h"

#include <unordered_set>

namespace marigold::dispatch {

/**
 * Remembers at least the latest kGenerationSize traits and at most twice as
 * many: when the newer generation is full, it replaces the older one.
 */
class RecentTraits
{
public:
  /** @param aTrait trait that was just seen */
  void insert(peers::RequestTrait aTrait)
  {
    if (mNewer.size() >= kGenerationSize) {
      mOlder = std::move(mNewer);
      mNewer.clear();
    }
    mNewer.insert(aTrait);
  }

  /** @param aTrait trait @return true if it was seen recently */
  bool contains(peers::RequestTrait aTrait) const
  {
    return mNewer.contains(aTrait) || mOlder.contains(aTrait);
  }

private:
  static constexpr std::size_t kGenerationSize = 4096;

  std::unordered_set<peers::RequestTrait> mNewer;
  std::unordered_set<peers::RequestTrait> mOlder;
};

} // namespace marigold::dispatch
