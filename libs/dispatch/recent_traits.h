/** @file Bounded memory of traits with which requests were answered. */
#pragma once

#include "peers/crash_evidence.h"

#include <algorithm>
#include <unordered_map>

namespace marigold::dispatch {

/**
 * Remembers when an answer with each trait last began. Keeps at least the
 * latest kGenerationSize traits and at most twice as many: when the newer
 * generation is full, it replaces the older one.
 */
class RecentTraits
{
public:
  /** @param aTrait trait that upstreams survived @param aBegunAt when the
   * answer began, TimePoint::min() if that is not known */
  void insert(peers::RequestTrait aTrait, base::TimePoint aBegunAt)
  {
    const base::TimePoint latest = std::max(aBegunAt, begunAt(aTrait));
    if (mNewer.size() >= kGenerationSize) {
      mOlder = std::move(mNewer);
      mNewer.clear();
    }
    mNewer[aTrait] = latest;
  }

  /** @param aTrait trait @return true if it was seen recently */
  bool contains(peers::RequestTrait aTrait) const
  {
    return mNewer.contains(aTrait) || mOlder.contains(aTrait);
  }

  /** @param aTrait trait
   * @return when the latest answer with it began, as far as known */
  base::TimePoint begunAt(peers::RequestTrait aTrait) const
  {
    for (const auto* generation : { &mNewer, &mOlder }) {
      const auto found = generation->find(aTrait);
      if (found != generation->end()) {
        return found->second;
      }
    }
    return base::TimePoint::min();
  }

private:
  static constexpr std::size_t kGenerationSize = 4096;

  std::unordered_map<peers::RequestTrait, base::TimePoint> mNewer;
  std::unordered_map<peers::RequestTrait, base::TimePoint> mOlder;
};

} // namespace marigold::dispatch
