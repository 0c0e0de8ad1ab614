/** @file Finds the traits of requests that crash upstreams. */
#pragma once

#include "peers/crash_evidence.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace marigold::dispatch {

/** Explanation of several crashes. */
struct CrashVerdict
{
  /** Requests that have all traits of one of these are held responsible. */
  std::set<peers::TraitSet> alternatives;
  std::set<peers::ProcessTag> crashes;

  /** @return true if further crashes would tell nothing new */
  bool certain() const;

  /** @param aTraits traits of a request @return true if it is responsible */
  bool covers(const peers::TraitSet& aTraits) const;

  bool operator==(const CrashVerdict&) const = default;
};

/** The suspects of each crash. */
using SuspectsByCrash = std::map<peers::ProcessTag, std::set<peers::TraitSet>>;

/**
 * Explains crashes by as few traits as possible. The trait that was present at
 * most of them comes first, and crashes that it explains do not count against
 * other traits. Of traits that were present at the same crashes, a part with
 * which no request has finished is the likeliest cause. If several remain, only
 * requests with the same ones of them as a suspect are held responsible, so
 * that other requests can show which of them is sound.
 * @param aSuspects suspects
 * @param aHasFinished returns whether a request with the trait has finished
 * recently
 * @return verdicts on the traits that were present at enough crashes
 */
std::vector<CrashVerdict>
explainCrashes(const SuspectsByCrash& aSuspects,
               const std::function<bool(peers::RequestTrait)>& aHasFinished);

} // namespace marigold::dispatch
