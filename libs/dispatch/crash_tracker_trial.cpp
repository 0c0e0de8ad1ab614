#include "dispatch/crash_limits.h"
#include "dispatch/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

peers::TraitSet
commonTraits(const peers::TraitSet& aLeft, const peers::TraitSet& aRight)
{
  peers::TraitSet common;
  std::set_intersection(aLeft.begin(),
                        aLeft.end(),
                        aRight.begin(),
                        aRight.end(),
                        std::inserter(common, common.end()));
  return common;
}

/** @return true if upstreams crashed on requests that had all of these traits
 * and other responsible ones */
bool
isPartOfAnAlternative(const peers::TraitSet& aTraits,
                      const CrashVerdict& aVerdict)
{
  return std::any_of(aVerdict.alternatives.begin(),
                     aVerdict.alternatives.end(),
                     [&aTraits](const peers::TraitSet& aAlternative) {
                       return aAlternative.size() > aTraits.size() &&
                              std::includes(aAlternative.begin(),
                                            aAlternative.end(),
                                            aTraits.begin(),
                                            aTraits.end());
                     });
}

} // namespace

/** @return the traits that the request would show to be sound, none if it is
 * likely to crash an upstream or to be lost with one */
peers::TraitSet
CrashTracker::trialSuspects(const peers::TraitSet& aTraits,
                            base::TimePoint aNow) const
{
  peers::TraitSet blamed;
  for (const CrashVerdict& verdict : mVerdicts) {
    if (!verdict.covers(aTraits)) {
      continue;
    }
    // What is sent during a series of crashes may be lost with an upstream.
    const auto latest = mCrashes.find(latestCrash(verdict));
    if (latest != mCrashes.end() &&
        aNow - latest->second.at < kConfirmTimeout) {
      return {};
    }
    peers::TraitSet group;
    for (const peers::TraitSet& alternative : verdict.alternatives) {
      group.insert(alternative.begin(), alternative.end());
    }
    const peers::TraitSet common = commonTraits(aTraits, group);
    const bool isRepeat =
      std::any_of(common.begin(), common.end(), peers::isWholeRequest);
    if (isRepeat ||
        (hasNewPart(common) && !isPartOfAnAlternative(common, verdict))) {
      return {};
    }
    blamed.insert(common.begin(), common.end());
  }
  peers::TraitSet others;
  std::set_difference(aTraits.begin(),
                      aTraits.end(),
                      blamed.begin(),
                      blamed.end(),
                      std::inserter(others, others.end()));
  return maySpreadCrash(others) ? peers::TraitSet() : blamed;
}

bool
CrashTracker::mayTry(const peers::TraitSet& aTraits, base::TimePoint aNow) const
{
  if (!mTrialsEnabled) {
    return false;
  }
  const peers::TraitSet suspects = trialSuspects(aTraits, aNow);
  return !suspects.empty() && mTrials.allows(suspects, aNow);
}

bool
CrashTracker::beginTrial(const peers::TraitSet& aTraits, base::TimePoint aNow)
{
  if (!mayTry(aTraits, aNow)) {
    return false;
  }
  mTrials.begin(aTraits, trialSuspects(aTraits, aNow), aNow);
  return true;
}

} // namespace marigold::dispatch
