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
  /** Requests with these traits used to finish. */
  bool usedToFinish = false;

  /** @return true if further crashes would tell nothing new */
  bool certain() const;

  /** @return all traits to blame, if a request had them all, so that it
   * certainly had the cause; nullptr otherwise */
  const peers::TraitSet* proven() const;

  /** @param aTraits traits of a request @return true if it is responsible */
  bool covers(const peers::TraitSet& aTraits) const;

  bool operator==(const CrashVerdict&) const = default;
};

/** A crash and the requests that the upstream had not begun to answer. */
struct CrashSuspects
{
  base::TimePoint at{};
  std::set<peers::TraitSet> requests;
};

using SuspectsByCrash = std::map<peers::ProcessTag, CrashSuspects>;

/**
 * Explains crashes by as few traits as possible. The trait that was present at
 * most of them comes first, and crashes that it explains do not count against
 * other traits. Of traits that were present at the same crashes, a part with
 * which no request has finished is the likeliest cause. If several remain, only
 * requests with the same ones of them as a suspect are held responsible, so
 * that other requests can show which of them is sound. A trait with which
 * requests used to finish may have been at many upstreams that ended together,
 * so it is the last explanation: only crashes at several moments, or crashes
 * since which no answer with it has begun for a while, count against it.
 * @param aSuspects crashes, without the traits that are cleared
 * @param aHasFinished returns whether a request with the trait has finished
 * recently
 * @param aNow time
 * @return verdicts on the traits that were present at enough crashes
 */
std::vector<CrashVerdict>
explainCrashes(const SuspectsByCrash& aSuspects,
               const std::function<bool(peers::RequestTrait)>& aHasFinished,
               base::TimePoint aNow);

} // namespace marigold::dispatch
