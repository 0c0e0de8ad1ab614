/** @file Attempts of one request, and what its caller may be told. */
#pragma once

#include "base/base.h"
#include "request/retry_budget.h"

#include <set>

namespace marigold::request {

/** How an attempt at an upstream ended. */
enum class AttemptEnd : std::uint8_t
{
  NotSent,     ///< no byte left this VM
  NotResident, ///< the engine answered that it does not hold the model
  Broken,      ///< the connection ended after the first byte
  TimedOut,    ///< bytes may have left, no complete answer
  Crossed,     ///< the answer belongs to another request
  Truncated,   ///< the answer is not whole
};

/** What happens after an attempt that did not succeed. */
enum class NextStep : std::uint8_t
{
  Retry,    ///< from the start, on another upstream
  Resume,   ///< continue a stream after the delivered tokens
  Refuse,   ///< the caller gets a refusal with `code`
  EndError, ///< the stream has started: an error event ends it
};

struct Decision
{
  NextStep step = NextStep::Refuse;
  base::Code code = base::Code::Ok;
};

/** What decides on retries of a request. */
struct Traits
{
  bool idempotent = true;
  bool streamed = false;
  base::TimePoint deadline;
};

/** Attempts for one request; each further one costs upstreams capacity. */
inline constexpr int kMostAttempts = 3;

/** The life of one request from its first attempt to its outcome. */
class Lifecycle
{
public:
  explicit Lifecycle(Traits aTraits)
    : mTraits(aTraits)
  {
  }

  /** @param aUpstream upstream that the next attempt goes to */
  void onAttempt(const base::UpstreamName& aUpstream);

  /**
   * Decides what follows on a failed attempt. A retry is taken from the budget.
   * @param aEnd how the attempt ended
   * @param aDelivered true once a part of the answer went to the caller
   * @param aAnother true if another upstream could take the request
   * @param aNow current time
   * @param aBudget retry budget of this VM
   */
  Decision onAttemptEnded(AttemptEnd aEnd,
                          bool aDelivered,
                          bool aAnother,
                          base::TimePoint aNow,
                          RetryBudget& aBudget);

  /** Notes that an engine refused because it does not hold the model; it may
   * be tried again when it does. @param aUpstream engine */
  void onNotResident(const base::UpstreamName& aUpstream);

  /**
   * Corrects a code that says "not run" when an earlier attempt may have run.
   * @param aCode why the request ends
   * @return the code that is true for the request as a whole
   */
  base::Code truthful(base::Code aCode) const;

  /** @return true if any attempt may have been executed */
  bool mayHaveRun() const { return mMayHaveRun; }

  /** @return upstreams that got an attempt */
  const std::set<base::UpstreamName>& tried() const { return mTried; }

  /** Notes that the current attempt may have been executed. */
  void markMayHaveRun() { mMayHaveRun = true; }

private:
  bool mayRetry(AttemptEnd aEnd, base::TimePoint aNow) const;

  Traits mTraits;
  std::set<base::UpstreamName> mTried;
  int mAttempts = 0;
  bool mMayHaveRun = false;
};

/** @param aEnd end of an attempt @return the code that describes it */
base::Code
codeOf(AttemptEnd aEnd);

/** @param aEnd end of an attempt @return true if it proves that the request
 * was not executed */
constexpr bool
provesNotRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::NotSent || aEnd == AttemptEnd::NotResident;
}

} // namespace marigold::request
