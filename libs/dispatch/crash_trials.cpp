#include "dispatch/crash_trials.h"

#include "dispatch/crash_limits.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

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

peers::TraitSet
CrashTrials::onBroken(const peers::TraitSet& aRequest)
{
  peers::TraitSet suspects;
  for (Trial& trial : mTrials) {
    if (trial.request == aRequest) {
      trial.open = false;
      trial.broken = true;
      suspects.insert(trial.suspects.begin(), trial.suspects.end());
    }
  }
  return suspects;
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
