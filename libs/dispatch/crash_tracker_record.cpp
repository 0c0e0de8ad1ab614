#include "dispatch/crash_limits.h"
#include "dispatch/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

std::vector<CrashVerdict>
verdictsOf(const CrashRecord& aRecord)
{
  SuspectsByCrash suspects;
  for (const auto& [tag, evidence] : aRecord.crashes) {
    suspects[tag] = { base::TimePoint{} - evidence.age, evidence.suspects };
  }
  return explainCrashes(
    suspects,
    [&aRecord](peers::RequestTrait aTrait) {
      return aRecord.finished.contains(aTrait);
    },
    base::TimePoint{});
}

/** @return true if the other verdict blocks all that the verdict blocks */
bool
isContained(const CrashVerdict& aVerdict, const CrashVerdict& aOther)
{
  return (aOther.proven() != nullptr || aVerdict.proven() == nullptr) &&
         std::all_of(aVerdict.alternatives.begin(),
                     aVerdict.alternatives.end(),
                     [&aOther](const peers::TraitSet& aAlternative) {
                       return aOther.covers(aAlternative);
                     });
}

bool
tellsOfMoreTrials(const peers::CrashEvidence& aEvidence,
                  const peers::CrashEvidence& aOther)
{
  return std::any_of(aEvidence.trials.begin(),
                     aEvidence.trials.end(),
                     [&aOther](const auto& aItem) {
                       const auto other = aOther.trials.find(aItem.first);
                       return other == aOther.trials.end() ||
                              other->second.count < aItem.second.count;
                     });
}

} // namespace

/** @return true if the verdict blames a trait that is cleared here */
bool
CrashTracker::isRefuted(const CrashVerdict& aVerdict) const
{
  return std::any_of(
    aVerdict.crashes.begin(),
    aVerdict.crashes.end(),
    [&](peers::ProcessTag aTag) {
      const auto crash = mCrashes.find(aTag);
      return crash != mCrashes.end() &&
             std::any_of(aVerdict.alternatives.begin(),
                         aVerdict.alternatives.end(),
                         [&crash](const peers::TraitSet& aTraits) {
                           return std::any_of(
                             aTraits.begin(),
                             aTraits.end(),
                             [&crash](peers::RequestTrait aTrait) {
                               return crash->second.cleared.contains(aTrait);
                             });
                         });
    });
}

CrashRecord
CrashTracker::record(const CrashRecord& aStored, base::TimePoint aNow) const
{
  std::vector<std::pair<base::TimePoint, peers::ProcessTag>> latest;
  for (const auto& [tag, crash] : mCrashes) {
    if ((supportsVerdict(tag) || aStored.crashes.contains(tag)) &&
        aNow - crash.at < kCertainLifetime) {
      latest.emplace_back(crash.at, tag);
    }
  }
  std::sort(latest.rbegin(), latest.rend());
  latest.resize(std::min(latest.size(), kMaxRecordedCrashes));
  CrashRecord record;
  for (const auto& [at, tag] : latest) {
    const Crash& crash = mCrashes.at(tag);
    record.crashes[tag] = evidence(crash, aNow);
    record.finished.merge(finishedTraits(crash));
  }
  return record;
}

bool
CrashTracker::isRecorded(const CrashRecord& aStored, base::TimePoint aNow) const
{
  if (mVerdicts.empty() && aStored.crashes.empty()) {
    return true;
  }
  if (record(aStored, aNow).tellsTheSame(aStored)) {
    return true;
  }
  const bool trialsMissing =
    std::any_of(mCrashes.begin(), mCrashes.end(), [&](const auto& aItem) {
      const auto other = aStored.crashes.find(aItem.first);
      return other != aStored.crashes.end() &&
             tellsOfMoreTrials(evidence(aItem.second, aNow), other->second);
    });
  if (trialsMissing) {
    return false;
  }
  const std::vector<CrashVerdict> stored = verdictsOf(aStored);
  const bool allContained = std::all_of(
    mVerdicts.begin(), mVerdicts.end(), [&](const CrashVerdict& aVerdict) {
      return std::any_of(
        stored.begin(), stored.end(), [&](const CrashVerdict& aOther) {
          return isContained(aVerdict, aOther) &&
                 aOther.crashes.contains(latestCrash(aVerdict));
        });
    });
  return allContained && std::none_of(stored.begin(),
                                      stored.end(),
                                      [this](const CrashVerdict& aVerdict) {
                                        return isRefuted(aVerdict);
                                      });
}

bool
CrashTracker::mustRecordAtOnce(const CrashRecord& aStored) const
{
  const std::vector<CrashVerdict> stored = verdictsOf(aStored);
  return std::any_of(
    mVerdicts.begin(), mVerdicts.end(), [&](const CrashVerdict& aVerdict) {
      const bool isStored = std::any_of(
        stored.begin(), stored.end(), [&aVerdict](const CrashVerdict& aOther) {
          return isContained(aVerdict, aOther);
        });
      return !isStored && std::any_of(aVerdict.crashes.begin(),
                                      aVerdict.crashes.end(),
                                      [this](peers::ProcessTag aTag) {
                                        const auto crash = mCrashes.find(aTag);
                                        return crash != mCrashes.end() &&
                                               (crash->second.seenHere ||
                                                crash->second.adopted);
                                      });
    });
}

peers::CrashTable
CrashTracker::seenCrashes(base::TimePoint aNow) const
{
  peers::CrashTable table;
  for (const auto& [tag, crash] : mCrashes) {
    if (crash.seenHere && aNow - crash.changedAt < kConfirmTimeout &&
        table.size() < kMaxRecordedCrashes) {
      table[tag] = evidence(crash, aNow);
    }
  }
  return table;
}

void
CrashTracker::adopt(const peers::CrashTable& aTable, base::TimePoint aNow)
{
  merge(aTable, aNow);
  for (const auto& [tag, evidence] : aTable) {
    const auto crash = mCrashes.find(tag);
    if (crash != mCrashes.end()) {
      crash->second.adopted = true;
    }
  }
}

/** @return the latest crash behind a verdict, 0 if none is known any more */
peers::ProcessTag
CrashTracker::latestCrash(const CrashVerdict& aVerdict) const
{
  peers::ProcessTag latest = 0;
  // A VM that has just started knows crashes from before its clock began.
  base::TimePoint at = base::TimePoint::min();
  for (const peers::ProcessTag tag : aVerdict.crashes) {
    const auto crash = mCrashes.find(tag);
    if (crash != mCrashes.end() && crash->second.at > at) {
      latest = tag;
      at = crash->second.at;
    }
  }
  return latest;
}

void
CrashTracker::merge(const CrashRecord& aRecord, base::TimePoint aNow)
{
  peers::CrashTable crashes = aRecord.crashes;
  for (auto& [tag, evidence] : crashes) {
    const auto known = mCrashes.find(tag);
    if (known != mCrashes.end()) {
      // The clocks of two VMs may differ, so a time seen here is better.
      evidence.age = aNow - known->second.at;
    }
  }
  for (const peers::RequestTrait trait : aRecord.finished) {
    mFinished.insert(trait, base::TimePoint::min());
  }
  merge(crashes, aNow);
}

} // namespace marigold::dispatch
