#include "dispatch/latency_estimator.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Initial estimate of a model: engines process about twenty prompt tokens of a
 * large model per millisecond. */
constexpr double kDefaultMsPerToken = 0.05;
constexpr double kFastestMsPerToken = 0.002;
constexpr double kSlowestMsPerToken = 0.5;
/** Weight of one observation in the moving average. */
constexpr double kSmoothing = 0.1;
/** Part of the time to the first token that does not depend on the prompt: a
 * round trip and the engine's current step. */
constexpr double kFixedOverheadMs = 25;
constexpr base::Duration kDefaultServiceTime = 20ms;

} // namespace

double
LatencyEstimator::msPerToken(const std::string& aModel) const
{
  const auto found = mMsPerToken.find(aModel);
  return found == mMsPerToken.end() ? kDefaultMsPerToken : found->second;
}

void
LatencyEstimator::onFirstToken(const std::string& aModel,
                               double aTokens,
                               double aQueuedMs,
                               base::Duration aTaken)
{
  const double current = msPerToken(aModel);
  const double ownMs = current * std::max(1.0, aTokens);
  const double takenMs = std::max(
    1.0, static_cast<double>(base::inMilliseconds(aTaken)) - kFixedOverheadMs);
  // The observed time covers the queue too, which was estimated with the same
  // speed, so one scale applies to both.
  const double scale = takenMs / (ownMs + aQueuedMs);
  const double observed =
    std::clamp(current * scale, kFastestMsPerToken, kSlowestMsPerToken);
  mMsPerToken[aModel] = current + kSmoothing * (observed - current);
}

base::Duration
LatencyEstimator::serviceTime(const std::string& aService) const
{
  const auto found = mServiceTime.find(aService);
  return found == mServiceTime.end() ? kDefaultServiceTime : found->second;
}

void
LatencyEstimator::onAnswer(const std::string& aService, base::Duration aTaken)
{
  const base::Duration current = serviceTime(aService);
  mServiceTime[aService] =
    current + base::fromSeconds(kSmoothing * base::inSeconds(aTaken - current));
}

} // namespace marigold::dispatch
