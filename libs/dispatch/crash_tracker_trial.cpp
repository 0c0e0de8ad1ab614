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

/** @return true if one of the requests at a crash had one of the traits */
bool
isSuspected(const peers::TraitSet& aTraits,
            const std::set<peers::TraitSet>& aSuspects)
{
  return std::any_of(aSuspects.begin(),
                     aSuspects.end(),
                     [&aTraits](const peers::TraitSet& aRequest) {
                       return !commonTraits(aTraits, aRequest).empty();
                     });
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
  return !suspects.empty() && mTrials.allows(suspects, aNow) &&
         !triedElsewhere(suspects, aNow);
}

/** @return true if the fleet has tried one of the traits so lately or so often
 * that there must be no further trial */
bool
CrashTracker::triedElsewhere(const peers::TraitSet& aTraits,
                             base::TimePoint aNow) const
{
  return std::any_of(
    aTraits.begin(), aTraits.end(), [&](peers::RequestTrait aTrait) {
      const auto tried = mTried.find(aTrait);
      return tried != mTried.end() &&
             (tried->second.count >= kMaxTrials ||
              aNow - tried->second.at < kTrialInterval);
    });
}

/** Notes a trial, for the next owner of orders. @param aTraits traits on trial
 * @param aTrials number of trials that it counts for @param aNow time */
void
CrashTracker::countTrial(const peers::TraitSet& aTraits,
                         std::uint32_t aTrials,
                         base::TimePoint aNow)
{
  for (const peers::RequestTrait trait : aTraits) {
    Tried& tried = mTried[trait];
    tried = { std::min(tried.count + aTrials, kMaxTrials), aNow };
  }
  for (auto& [tag, crash] : mCrashes) {
    if (isSuspected(aTraits, crash.suspects)) {
      crash.changedAt = aNow;
    }
  }
}

/** A message makes a trial look later than it was, so the time of a trial that
 * is known here stays. @return true if it tells of another trial */
bool
CrashTracker::mergeTrials(const peers::CrashEvidence& aEvidence,
                          base::TimePoint aNow)
{
  bool changed = false;
  for (const auto& [trait, reported] : aEvidence.trials) {
    if (reported.age > kCertainLifetime) {
      continue;
    }
    Tried& tried = mTried[trait];
    const std::uint32_t count = std::min(reported.count, kMaxTrials);
    if (count > tried.count) {
      tried = { count, aNow - reported.age };
      changed = true;
    }
  }
  return changed;
}

peers::CrashEvidence
CrashTracker::evidence(const Crash& aCrash, base::TimePoint aNow) const
{
  const auto age = [aNow](base::TimePoint aAt) {
    return std::max(aNow - aAt, base::Duration::zero());
  };
  peers::CrashEvidence evidence{
    age(aCrash.at), aCrash.suspects, aCrash.cleared, {}, finishedTraits(aCrash)
  };
  for (const peers::TraitSet& traits : aCrash.suspects) {
    for (const peers::RequestTrait trait : traits) {
      const auto tried = mTried.find(trait);
      if (tried != mTried.end()) {
        evidence.trials[trait] = { tried->second.count, age(tried->second.at) };
      }
    }
  }
  return evidence;
}

bool
CrashTracker::beginTrial(const peers::TraitSet& aTraits, base::TimePoint aNow)
{
  if (!mayTry(aTraits, aNow)) {
    return false;
  }
  const peers::TraitSet suspects = trialSuspects(aTraits, aNow);
  mTrials.begin(aTraits, suspects, aNow);
  countTrial(suspects, 1, aNow);
  return true;
}

} // namespace marigold::dispatch
