#include "dispatch/crash_tracker.h"

#include "dispatch/crash_limits.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxBrokenConnections = 512;
constexpr std::size_t kMaxReported = 8;
/** Further crashes of which a report tells the cleared parts only, which are
 * few and the same for upstreams that ended together. */
constexpr std::size_t kMaxReportedCleared = 32;
/** A change is reported for this long, because UDP may lose messages. */
constexpr base::Duration kReportTime = 2s;
/** Older evidence is reported in one of kReportTurns turns of this length. */
constexpr base::Duration kReportTurn = 500ms;
constexpr std::uint32_t kReportTurns = 4;

} // namespace

peers::ProcessTag
UpstreamProcess::tag() const
{
  return static_cast<peers::ProcessTag>(base::hash64(name, startedAt));
}

void
CrashTracker::onConnectionBroken(const peers::TraitSet& aTraits,
                                 const UpstreamProcess& aProcess,
                                 base::TimePoint aNow)
{
  countTrial(mTrials.onBroken(aTraits), kMaxTrials, aNow);
  addBrokenConnection(aTraits, aProcess, aNow);
}

void
CrashTracker::onRequestWithdrawn(const peers::TraitSet& aTraits,
                                 const UpstreamProcess& aProcess,
                                 base::TimePoint aNow)
{
  addBrokenConnection(aTraits, aProcess, aNow);
}

void
CrashTracker::addBrokenConnection(const peers::TraitSet& aTraits,
                                  const UpstreamProcess& aProcess,
                                  base::TimePoint aNow)
{
  if (mBrokenConnections.size() >= kMaxBrokenConnections) {
    mBrokenConnections.erase(mBrokenConnections.begin());
  }
  mBrokenConnections.push_back({ aTraits, aProcess, aNow });
  // A peer may already have confirmed the crash.
  confirmIf(
    [this](const BrokenConnection& aConnection) {
      return mCrashes.contains(aConnection.process.tag());
    },
    aNow);
}

void
CrashTracker::onUpstreamGone(const base::UpstreamName& aUpstream,
                             base::TimePoint aNow)
{
  confirmIf(
    [&aUpstream](const BrokenConnection& aConnection) {
      return aConnection.process.name == aUpstream;
    },
    aNow);
}

void
CrashTracker::onUpstreamAlive(const base::UpstreamName& aUpstream,
                              base::TimePoint aSentAt)
{
  std::erase_if(mBrokenConnections, [&](const BrokenConnection& aConnection) {
    return aConnection.process.name == aUpstream && aConnection.at < aSentAt;
  });
}

/** Records a crash for each broken connection that the predicate selects. */
void
CrashTracker::confirmIf(
  const std::function<bool(const BrokenConnection&)>& aIsConfirmed,
  base::TimePoint aNow)
{
  bool changed = false;
  bool seen = false;
  std::erase_if(mBrokenConnections, [&](const BrokenConnection& aConnection) {
    if (!aIsConfirmed(aConnection)) {
      return false;
    }
    if (aNow - aConnection.at < kConfirmTimeout) {
      Crash& crash = mCrashes[aConnection.process.tag()];
      crash.at = crash.at == base::TimePoint{}
                   ? aConnection.at
                   : std::min(crash.at, aConnection.at);
      crash.changedAt = aNow;
      addSuspect(crash, aConnection.traits);
      clearAnswered(crash);
      const bool mayBeCause = hasNewPart(aConnection.traits);
      crash.seenHere = crash.seenHere || mayBeCause;
      seen = seen || mayBeCause;
      changed = true;
    }
    return true;
  });
  if (changed) {
    limitCrashes();
    updateVerdicts(aNow);
  }
  if (seen && mOnCrashSeen) {
    mOnCrashSeen();
  }
}

/** @return true if a part of the prompt may be the cause although no request
 * with it is known to have finished */
bool
CrashTracker::hasNewPart(const peers::TraitSet& aTraits) const
{
  return std::any_of(
    aTraits.begin(), aTraits.end(), [this](peers::RequestTrait aTrait) {
      return !peers::isWholeRequest(aTrait) && !mFinished.contains(aTrait);
    });
}

/** @return true if the suspect was added */
bool
CrashTracker::addSuspect(Crash& aCrash, peers::TraitSet aTraits) const
{
  std::erase_if(aTraits, [&aCrash](peers::RequestTrait aTrait) {
    return aCrash.cleared.contains(aTrait);
  });
  if (aTraits.empty() || aTraits.size() > kMaxTraits) {
    return false;
  }
  if (aCrash.suspects.size() >= kMaxSuspects) {
    const auto other = std::find_if_not(
      aCrash.suspects.begin(),
      aCrash.suspects.end(),
      [this](const peers::TraitSet& aOther) { return hasNewPart(aOther); });
    if (other == aCrash.suspects.end() || !hasNewPart(aTraits)) {
      return false;
    }
    aCrash.suspects.erase(other);
  }
  return aCrash.suspects.insert(std::move(aTraits)).second;
}

/** @return true if the trait was not cleared before */
bool
CrashTracker::clear(Crash& aCrash, peers::RequestTrait aTrait)
{
  if (aCrash.cleared.size() >= kMaxCleared ||
      !aCrash.cleared.insert(aTrait).second) {
    return false;
  }
  std::set<peers::TraitSet> remaining;
  for (peers::TraitSet traits : aCrash.suspects) {
    traits.erase(aTrait);
    if (!traits.empty()) {
      remaining.insert(std::move(traits));
    }
  }
  aCrash.suspects = std::move(remaining);
  return true;
}

/** Evidence may arrive after the answers that refute it.
 * @return true if a trait was not cleared before */
bool
CrashTracker::clearAnswered(Crash& aCrash) const
{
  peers::TraitSet answered;
  for (const peers::TraitSet& traits : aCrash.suspects) {
    std::copy_if(traits.begin(),
                 traits.end(),
                 std::inserter(answered, answered.end()),
                 [&](peers::RequestTrait aTrait) {
                   return mFinished.begunAt(aTrait) > aCrash.at;
                 });
  }
  bool changed = false;
  for (const peers::RequestTrait trait : answered) {
    changed = clear(aCrash, trait) || changed;
  }
  return changed;
}

/** @return traits of the suspects with which requests are known to finish */
peers::TraitSet
CrashTracker::finishedTraits(const Crash& aCrash) const
{
  peers::TraitSet finished;
  for (const peers::TraitSet& traits : aCrash.suspects) {
    std::copy_if(traits.begin(),
                 traits.end(),
                 std::inserter(finished, finished.end()),
                 [this](peers::RequestTrait aTrait) {
                   return mFinished.contains(aTrait);
                 });
  }
  return finished;
}

void
CrashTracker::onSuccess(const peers::TraitSet& aTraits,
                        base::TimePoint aBegunAt,
                        base::TimePoint aNow)
{
  bool changed = false;
  for (const peers::RequestTrait trait : aTraits) {
    mFinished.insert(trait, aBegunAt);
    for (auto& [tag, crash] : mCrashes) {
      const bool suspected =
        crash.at < aBegunAt &&
        std::any_of(crash.suspects.begin(),
                    crash.suspects.end(),
                    [trait](const peers::TraitSet& aSuspect) {
                      return aSuspect.contains(trait);
                    });
      if (suspected && clear(crash, trait)) {
        crash.changedAt = aNow;
        changed = true;
      }
    }
  }
  if (changed) {
    updateVerdicts(aNow);
  }
}

void
CrashTracker::merge(const peers::CrashTable& aTable, base::TimePoint aNow)
{
  bool changed = false;
  for (const auto& [tag, evidence] : aTable) {
    if (evidence.age > kCertainLifetime) {
      continue;
    }
    const base::TimePoint at = aNow - evidence.age;
    const auto [found, isNew] = mCrashes.try_emplace(tag);
    Crash& crash = found->second;
    // A message only makes a crash look later than it was, so the earliest time
    // is the best, and peers do not keep each other's evidence alive.
    crash.at = isNew ? at : std::min(crash.at, at);
    bool crashChanged = isNew;
    for (const peers::RequestTrait trait : evidence.finished) {
      crashChanged = !mFinished.contains(trait) || crashChanged;
      mFinished.insert(trait, base::TimePoint::min());
    }
    for (const peers::RequestTrait trait : evidence.cleared) {
      mFinished.insert(trait, base::TimePoint::min());
      crashChanged = clear(crash, trait) || crashChanged;
    }
    for (const peers::TraitSet& traits : evidence.suspects) {
      crashChanged = addSuspect(crash, traits) || crashChanged;
    }
    crashChanged = clearAnswered(crash) || crashChanged;
    crashChanged = mergeTrials(evidence, aNow) || crashChanged;
    if (crashChanged) {
      crash.changedAt = aNow;
      changed = true;
    }
  }
  if (!changed) {
    return;
  }
  limitCrashes();
  updateVerdicts(aNow);
  confirmIf(
    [this](const BrokenConnection& aConnection) {
      return mCrashes.contains(aConnection.process.tag());
    },
    aNow);
}

peers::CrashTable
CrashTracker::report(base::TimePoint aNow) const
{
  const auto turn = static_cast<std::uint32_t>(aNow.time_since_epoch() /
                                               kReportTurn % kReportTurns);
  std::vector<std::pair<base::TimePoint, peers::ProcessTag>> due;
  for (const auto& [tag, crash] : mCrashes) {
    if (aNow - crash.changedAt < kReportTime || tag % kReportTurns == turn) {
      due.emplace_back(crash.changedAt, tag);
    }
  }
  std::sort(due.rbegin(), due.rend());
  due.resize(std::min(due.size(), kMaxReported + kMaxReportedCleared));
  peers::CrashTable table;
  std::size_t reported = 0;
  for (const auto& [changedAt, tag] : due) {
    const Crash& crash = mCrashes.at(tag);
    if (++reported <= kMaxReported) {
      table[tag] = evidence(crash, aNow);
      continue;
    }
    peers::CrashEvidence cleared;
    cleared.age = std::max(aNow - crash.at, base::Duration::zero());
    std::copy_if(crash.cleared.begin(),
                 crash.cleared.end(),
                 std::inserter(cleared.cleared, cleared.cleared.end()),
                 std::not_fn(peers::isWholeRequest));
    if (!cleared.cleared.empty()) {
      table[tag] = std::move(cleared);
    }
  }
  return table;
}

const CrashVerdict*
CrashTracker::verdictOn(const peers::TraitSet& aTraits) const
{
  const auto found = std::find_if(mVerdicts.begin(),
                                  mVerdicts.end(),
                                  [&aTraits](const CrashVerdict& aVerdict) {
                                    return aVerdict.covers(aTraits);
                                  });
  return found == mVerdicts.end() || mTrials.contains(aTraits) ? nullptr
                                                               : &*found;
}

bool
CrashTracker::maySpreadCrash(const peers::TraitSet& aTraits) const
{
  return std::any_of(mCrashes.begin(), mCrashes.end(), [&](const auto& aItem) {
    const auto& suspects = aItem.second.suspects;
    return std::any_of(
      suspects.begin(), suspects.end(), [&](const peers::TraitSet& aSuspect) {
        peers::TraitSet common;
        std::set_intersection(aTraits.begin(),
                              aTraits.end(),
                              aSuspect.begin(),
                              aSuspect.end(),
                              std::inserter(common, common.end()));
        return hasNewPart(common);
      });
  });
}

bool
CrashTracker::supportsVerdict(peers::ProcessTag aCrash) const
{
  return std::any_of(
    mVerdicts.begin(), mVerdicts.end(), [aCrash](const auto& aVerdict) {
      return aVerdict.crashes.contains(aCrash);
    });
}

/** Keeps the crashes behind verdicts and the latest others. */
void
CrashTracker::limitCrashes()
{
  while (mCrashes.size() > kMaxCrashes) {
    mCrashes.erase(std::min_element(
      mCrashes.begin(),
      mCrashes.end(),
      [this](const auto& aLeft, const auto& aRight) {
        const bool left = supportsVerdict(aLeft.first);
        const bool right = supportsVerdict(aRight.first);
        return left != right ? right : aLeft.second.at < aRight.second.at;
      }));
  }
}

bool
CrashTracker::lapsed(const CrashVerdict& aVerdict, base::TimePoint aNow) const
{
  const auto latest = mCrashes.find(latestCrash(aVerdict));
  return latest == mCrashes.end() ||
         aNow - latest->second.at >
           (aVerdict.certain() ? kCertainLifetime : kUncertainLifetime);
}

/** Of an uncertain verdict stays what is proven: a request with all parts to
 * blame has the cause, whichever it is. */
void
CrashTracker::dropLapsed(std::vector<CrashVerdict>& aVerdicts,
                         base::TimePoint aNow) const
{
  for (CrashVerdict& verdict : aVerdicts) {
    const peers::TraitSet* proven = verdict.proven();
    if (proven != nullptr && lapsed(verdict, aNow)) {
      verdict.alternatives = { peers::TraitSet(*proven) };
    }
  }
  std::erase_if(aVerdicts, [this, aNow](const CrashVerdict& aVerdict) {
    return lapsed(aVerdict, aNow);
  });
}

void
CrashTracker::updateVerdicts(base::TimePoint aNow)
{
  SuspectsByCrash suspects;
  mVerdictsDueAt = base::TimePoint::max();
  for (const auto& [tag, crash] : mCrashes) {
    suspects[tag] = { crash.at, crash.suspects };
    const base::TimePoint dueAt = crash.at + kSurvivalTime;
    if (dueAt > aNow) {
      mVerdictsDueAt = std::min(mVerdictsDueAt, dueAt);
    }
  }
  std::vector<CrashVerdict> verdicts = explainCrashes(
    suspects,
    [this](peers::RequestTrait aTrait) { return mFinished.contains(aTrait); },
    aNow);
  dropLapsed(verdicts, aNow);
  if (verdicts == mVerdicts) {
    return;
  }
  mVerdicts = std::move(verdicts);
  if (mOnVerdicts) {
    mOnVerdicts();
  }
}

void
CrashTracker::expire(base::TimePoint aNow)
{
  mTrials.expire(aNow);
  std::erase_if(mTried, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kCertainLifetime;
  });
  const std::size_t expired =
    std::erase_if(mCrashes, [this, aNow](const auto& aItem) {
      return aNow - aItem.second.at >
             (supportsVerdict(aItem.first) ? kCertainLifetime : kCrashLifetime);
    });
  std::erase_if(mBrokenConnections,
                [aNow](const BrokenConnection& aConnection) {
                  return aNow - aConnection.at > kConfirmTimeout;
                });
  if (expired > 0 || aNow >= mVerdictsDueAt ||
      std::any_of(
        mVerdicts.begin(), mVerdicts.end(), [&](const CrashVerdict& aVerdict) {
          return lapsed(aVerdict, aNow);
        })) {
    updateVerdicts(aNow);
  }
}

} // namespace marigold::dispatch
