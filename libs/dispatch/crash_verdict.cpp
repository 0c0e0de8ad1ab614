#include "dispatch/crash_verdict.h"

#include "dispatch/crash_limits.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

/** Crashes from which on a trait is held responsible. One crash affects all
 * requests at the upstream and proves nothing. */
constexpr std::size_t kMinCrashes = 2;
/** The same for a trait with which requests used to finish, and the number of
 * moments at which they happened. */
constexpr std::size_t kMinCrashesOfFinished = 4;
/** Crashes at which a trait, or traits that go together, are hardly present by
 * chance. */
constexpr std::size_t kCertainCrashes = 3;

/** What is known about a trait apart from the crashes, likeliest causes first.
 */
enum class History : std::uint8_t
{
  NewPart,
  WholeRequest,
  Finished,
};

struct Suspect
{
  History history = History::NewPart;
  std::set<peers::ProcessTag> crashes;
};

using SuspectTable = std::map<peers::RequestTrait, Suspect>;

SuspectTable
listTraits(const SuspectsByCrash& aSuspects,
           const std::function<bool(peers::RequestTrait)>& aHasFinished)
{
  SuspectTable table;
  for (const auto& [tag, crash] : aSuspects) {
    for (const peers::TraitSet& traits : crash.requests) {
      for (const peers::RequestTrait trait : traits) {
        table[trait].crashes.insert(tag);
      }
    }
  }
  for (auto& [trait, suspect] : table) {
    if (aHasFinished(trait)) {
      suspect.history = History::Finished;
    } else if (peers::isWholeRequest(trait)) {
      suspect.history = History::WholeRequest;
    }
  }
  return table;
}

/** @param aTimes times of crashes, in order
 * @return number of moments at which they happened */
std::size_t
countMoments(const std::vector<base::TimePoint>& aTimes)
{
  std::size_t moments = 0;
  base::TimePoint begin{};
  for (const base::TimePoint at : aTimes) {
    if (moments == 0 || at - begin >= kCrashMoment) {
      begin = at;
      ++moments;
    }
  }
  return moments;
}

/** @return true if the crashes count against a trait with which requests used
 * to finish */
bool
outweighsHistory(const std::set<peers::ProcessTag>& aCrashes,
                 const SuspectsByCrash& aSuspects,
                 base::TimePoint aNow)
{
  if (aCrashes.size() < kMinCrashesOfFinished) {
    return false;
  }
  std::vector<base::TimePoint> times;
  times.reserve(aCrashes.size());
  for (const peers::ProcessTag crash : aCrashes) {
    times.push_back(aSuspects.at(crash).at);
  }
  std::sort(times.begin(), times.end());
  return aNow - times[kMinCrashesOfFinished - 1] >= kSurvivalTime ||
         countMoments(times) >= kMinCrashesOfFinished;
}

/** @return true if the first suspect is the likelier cause */
bool
isStronger(const Suspect& aOne, const Suspect& aOther)
{
  const bool finished = aOne.history == History::Finished;
  if (finished != (aOther.history == History::Finished)) {
    return !finished;
  }
  return aOne.crashes.size() != aOther.crashes.size()
           ? aOne.crashes.size() > aOther.crashes.size()
           : aOne.history < aOther.history;
}

/** @return the likeliest cause of the most crashes, or nullptr */
const Suspect*
strongest(const SuspectTable& aTable,
          const SuspectsByCrash& aSuspects,
          base::TimePoint aNow)
{
  const Suspect* best = nullptr;
  for (const auto& [trait, suspect] : aTable) {
    const bool responsible =
      suspect.history == History::Finished
        ? outweighsHistory(suspect.crashes, aSuspects, aNow)
        : suspect.crashes.size() >= kMinCrashes;
    if (responsible && (best == nullptr || isStronger(suspect, *best))) {
      best = &suspect;
    }
  }
  return best;
}

/** @return the traits of each suspect that belong to the group, if any */
std::set<peers::TraitSet> restrict(const SuspectsByCrash& aSuspects,
                                   const std::set<peers::ProcessTag>& aCrashes,
                                   const peers::TraitSet& aGroup)
{
  std::set<peers::TraitSet> alternatives;
  for (const peers::ProcessTag crash : aCrashes) {
    for (const peers::TraitSet& traits : aSuspects.at(crash).requests) {
      peers::TraitSet common;
      std::set_intersection(traits.begin(),
                            traits.end(),
                            aGroup.begin(),
                            aGroup.end(),
                            std::inserter(common, common.end()));
      if (!common.empty()) {
        alternatives.insert(std::move(common));
      }
    }
  }
  return alternatives;
}

} // namespace

bool
CrashVerdict::certain() const
{
  return alternatives.size() == 1 && proven() != nullptr;
}

const peers::TraitSet*
CrashVerdict::proven() const
{
  peers::TraitSet blamed;
  for (const peers::TraitSet& alternative : alternatives) {
    blamed.insert(alternative.begin(), alternative.end());
  }
  // Parts that used to be sound, as those of a system prompt, are together at
  // all upstreams that end for another cause.
  if (crashes.size() < kCertainCrashes || (usedToFinish && blamed.size() > 1)) {
    return nullptr;
  }
  const auto found = alternatives.find(blamed);
  return found == alternatives.end() ? nullptr : &*found;
}

bool
CrashVerdict::covers(const peers::TraitSet& aTraits) const
{
  return std::any_of(alternatives.begin(),
                     alternatives.end(),
                     [&aTraits](const peers::TraitSet& aAlternative) {
                       return std::includes(aTraits.begin(),
                                            aTraits.end(),
                                            aAlternative.begin(),
                                            aAlternative.end());
                     });
}

std::vector<CrashVerdict>
explainCrashes(const SuspectsByCrash& aSuspects,
               const std::function<bool(peers::RequestTrait)>& aHasFinished,
               base::TimePoint aNow)
{
  SuspectTable table = listTraits(aSuspects, aHasFinished);
  std::vector<CrashVerdict> verdicts;
  while (const Suspect* found = strongest(table, aSuspects, aNow)) {
    const Suspect cause = *found;
    peers::TraitSet group;
    for (auto& [trait, suspect] : table) {
      if (suspect.crashes == cause.crashes &&
          suspect.history == cause.history) {
        group.insert(trait);
      }
      std::erase_if(suspect.crashes, [&cause](peers::ProcessTag aCrash) {
        return cause.crashes.contains(aCrash);
      });
    }
    verdicts.push_back({ restrict(aSuspects, cause.crashes, group),
                         cause.crashes,
                         cause.history == History::Finished });
  }
  return verdicts;
}

} // namespace marigold::dispatch
