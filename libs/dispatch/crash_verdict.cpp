#include "dispatch/crash_verdict.h"

#include <algorithm>
#include <iterator>

namespace marigold::dispatch {
namespace {

/** Crashes from which on a trait is held responsible. One crash affects all
 * requests at the upstream and proves nothing. */
constexpr std::size_t kMinCrashes = 2;
/** The same for a part with which requests used to finish: several upstreams
 * that fail together have many requests with a popular part. */
constexpr std::size_t kMinCrashesOfFinished = 4;
/** Crashes at which a single remaining trait is hardly present by chance. */
constexpr std::size_t kCertainCrashes = 3;

/** What is known about a trait apart from the crashes, likeliest causes first.
 */
enum class History : std::uint8_t
{
  NewPart,
  WholeRequest,
  FinishedPart,
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
  for (const auto& [crash, requests] : aSuspects) {
    for (const peers::TraitSet& traits : requests) {
      for (const peers::RequestTrait trait : traits) {
        table[trait].crashes.insert(crash);
      }
    }
  }
  for (auto& [trait, suspect] : table) {
    if (peers::isWholeRequest(trait)) {
      suspect.history = History::WholeRequest;
    } else if (aHasFinished(trait)) {
      suspect.history = History::FinishedPart;
    }
  }
  return table;
}

bool
isResponsible(const Suspect& aSuspect)
{
  return aSuspect.crashes.size() >= (aSuspect.history == History::FinishedPart
                                       ? kMinCrashesOfFinished
                                       : kMinCrashes);
}

/** @return the likeliest cause of the most crashes, or nullptr */
const Suspect*
strongest(const SuspectTable& aTable)
{
  const Suspect* best = nullptr;
  for (const auto& [trait, suspect] : aTable) {
    const bool stronger = best == nullptr ||
                          suspect.crashes.size() > best->crashes.size() ||
                          (suspect.crashes.size() == best->crashes.size() &&
                           suspect.history < best->history);
    if (isResponsible(suspect) && stronger) {
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
    for (const peers::TraitSet& traits : aSuspects.at(crash)) {
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
  return alternatives.size() == 1 && alternatives.begin()->size() == 1 &&
         crashes.size() >= kCertainCrashes;
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
               const std::function<bool(peers::RequestTrait)>& aHasFinished)
{
  SuspectTable table = listTraits(aSuspects, aHasFinished);
  std::vector<CrashVerdict> verdicts;
  while (const Suspect* found = strongest(table)) {
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
    verdicts.push_back(
      { restrict(aSuspects, cause.crashes, group), cause.crashes });
  }
  return verdicts;
}

} // namespace marigold::dispatch
