#include "dispatch/outlier_detector.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Weight of the newest outcome in the failure rate: about the last seven. */
constexpr double kOutcomeWeight = 0.15;
/** An upstream that fails more than this part of its requests is avoided. */
constexpr double kEjectAbove = 0.35;
/** First pause; it doubles up to the longest one while failures continue. */
constexpr base::Duration kFirstEjection = 1s;
constexpr base::Duration kLongestEjection = 4s;

} // namespace

void
OutlierDetector::eject(State& aState, base::TimePoint aNow)
{
  const base::Duration pause = std::min(
    kLongestEjection, kFirstEjection * (1U << std::min(aState.ejections, 4U)));
  aState.ejectedUntil = aNow + pause;
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
  state.unreachableInARow = 0;
  if (state.failureRate < kOutcomeWeight && aNow > state.ejectedUntil) {
    state.ejections = 0;
  }
}

void
OutlierDetector::onUnreachable(const base::UpstreamName& aName,
                               base::TimePoint aNow)
{
  State& state = mStates[aName];
  ++state.unreachableInARow;
  eject(state, aNow);
}

void
OutlierDetector::onFailure(const base::UpstreamName& aName,
                           base::TimePoint aNow)
{
  State& state = mStates[aName];
  state.failureRate += kOutcomeWeight * (1 - state.failureRate);
  if (state.failureRate > kEjectAbove && aNow >= state.ejectedUntil) {
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
