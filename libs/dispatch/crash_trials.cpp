#include "dispatch/crash_trials.h"

#include "dispatch/crash_limits.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Within this time a trial that crashes its upstream is known to have. */
constexpr base::Duration kTrialInterval = kConfirmTimeout;
/** Trials of a trait within the lifetime of a verdict, if none gives a result.
 */
constexpr std::size_t kMaxTrials = 2;
/** Bound of memory. */
constexpr std::size_t kMaxKept = 64;

bool
intersects(const peers::TraitSet& aLeft, const peers::TraitSet& aRight)
{
  return std::any_of(
    aLeft.begin(), aLeft.end(), [&aRight](peers::RequestTrait aTrait) {
      return aRight.contains(aTrait);
    });
}

} // namespace

bool
CrashTrials::allows(const peers::TraitSet& aSuspects,
                    base::TimePoint aNow) const
{
  std::size_t earlier = 0;
  for (const Trial& trial : mTrials) {
    if (!intersects(trial.suspects, aSuspects)) {
      continue;
    }
    if (trial.broken || aNow - trial.begunAt < kTrialInterval) {
      return false;
    }
    ++earlier;
  }
  return earlier < kMaxTrials && mTrials.size() < kMaxKept;
}

void
CrashTrials::begin(const peers::TraitSet& aRequest,
                   const peers::TraitSet& aSuspects,
                   base::TimePoint aNow)
{
  mTrials.push_back({ aRequest, aSuspects, aNow });
}

bool
CrashTrials::contains(const peers::TraitSet& aRequest) const
{
  return std::any_of(
    mTrials.begin(), mTrials.end(), [&aRequest](const Trial& aTrial) {
      return aTrial.open && aTrial.request == aRequest;
    });
}

void
CrashTrials::onBroken(const peers::TraitSet& aRequest)
{
  for (Trial& trial : mTrials) {
    if (trial.request == aRequest) {
      trial.open = false;
      trial.broken = true;
    }
  }
}

void
CrashTrials::expire(base::TimePoint aNow)
{
  std::erase_if(mTrials, [aNow](const Trial& aTrial) {
    return aNow - aTrial.begunAt > kCertainLifetime;
  });
  for (Trial& trial : mTrials) {
    trial.open = trial.open && aNow - trial.begunAt < kTrialInterval;
  }
}

} // namespace marigold::dispatch
