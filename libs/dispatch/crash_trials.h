/** @file Limits trials of requests that a verdict on crashes blocks. */
#pragma once

#include "peers/crash_evidence.h"

#include <vector>

namespace marigold::dispatch {

/** Requests that were let through to show whether a blocked part is sound. */
class CrashTrials
{
public:
  /** @param aSuspects traits that the trial would clear @param aNow time
   * @return true if no trial of one of them failed, or has not had time to */
  bool allows(const peers::TraitSet& aSuspects, base::TimePoint aNow) const;

  /** Begins a trial. @param aRequest all traits of the request
   * @param aSuspects traits that the trial would clear @param aNow time */
  void begin(const peers::TraitSet& aRequest,
             const peers::TraitSet& aSuspects,
             base::TimePoint aNow);

  /** @param aRequest traits of a request
   * @return true if it is on trial, so that verdicts do not apply to it */
  bool contains(const peers::TraitSet& aRequest) const;

  /** The connection broke before the upstream began to answer the request.
   * @param aRequest its traits
   * @return traits that its trial would have cleared, if it was on trial */
  peers::TraitSet onBroken(const peers::TraitSet& aRequest);

  /** Ends trials after the time that they have, and forgets those that are
   * longer ago than verdicts last. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  struct Trial
  {
    peers::TraitSet request;
    peers::TraitSet suspects;
    base::TimePoint begunAt{};
    bool open = true; ///< verdicts do not apply to the request
    bool broken = false;
  };
  std::vector<Trial> mTrials;
};

} // namespace marigold::dispatch
