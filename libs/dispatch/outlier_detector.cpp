#include "dispatch/outlier_detector.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Weight of the newest outcome in the moving average, which covers about the
 * last seven outcomes. */
constexpr double kOutcomeWeight = 0.15;
/** Failure rate above which an upstream is ejected. */
constexpr double kMaxFailureRate = 0.35;
/** Duration of the first ejection; it doubles up to kMaxEjection while failures
 * continue. */
constexpr base::Duration kMinEjection = 1s;
constexpr base::Duration kMaxEjection = 4s;

} // namespace

void
OutlierDetector::eject(State& aState, base::TimePoint aNow)
{
  const base::Duration duration = std::min(
    kMaxEjection, kMinEjection * (1U << std::min(aState.ejections, 4U)));
  aState.ejectedUntil = aNow + duration;
  ++aState.ejections;
}

void
OutlierDetector::onSuccess(const base::UpstreamName& aName,
                           base::TimePoint aNow)
{
  const auto found = mStates.find(aName);
  if (found == mStates.end()) {
    return;
  }
  State& state = found->second;
  state.failureRate *= 1 - kOutcomeWeight;
  state.consecutiveUnreachable = 0;
  if (state.failureRate < kOutcomeWeight && aNow > state.ejectedUntil) {
    state.ejections = 0;
  }
}

void
OutlierDetector::onUnreachable(const base::UpstreamName& aName,
                               base::TimePoint aNow)
{
  State& state = mStates[aName];
  ++state.consecutiveUnreachable;
  eject(state, aNow);
}

void
OutlierDetector::onFailure(const base::UpstreamName& aName,
                           base::TimePoint aNow)
{
  State& state = mStates[aName];
  state.failureRate += kOutcomeWeight * (1 - state.failureRate);
  if (state.failureRate > kMaxFailureRate && aNow >= state.ejectedUntil) {
    eject(state, aNow);
  }
}

bool
OutlierDetector::ejected(const base::UpstreamName& aName,
                         base::TimePoint aNow) const
{
  const auto found = mStates.find(aName);
  return found != mStates.end() && aNow < found->second.ejectedUntil;
}

double
OutlierDetector::failureRate(const base::UpstreamName& aName) const
{
  const auto found = mStates.find(aName);
  return found == mStates.end() ? 0 : found->second.failureRate;
}

} // namespace marigold::dispatch
