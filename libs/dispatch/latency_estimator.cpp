#include "dispatch/latency_estimator.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Used until a first token of the model was seen; large models of today's
 * engines read about twenty tokens a millisecond. */
constexpr double kDefaultMsPerToken = 0.05;
constexpr double kFastestMsPerToken = 0.002;
constexpr double kSlowestMsPerToken = 0.5;
/** Weight of one observation. */
constexpr double kLearning = 0.1;
/** Part of a first token's time that does not depend on the prompt: a round
 * trip and the step that is under way. */
constexpr double kFixedMs = 25;
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
  const double takenMs =
    std::max(1.0, static_cast<double>(base::inMilliseconds(aTaken)) - kFixedMs);
  // The whole queue is scaled alike, because it is estimated the same way.
  const double scale = takenMs / (ownMs + aQueuedMs);
  const double observed =
    std::clamp(current * scale, kFastestMsPerToken, kSlowestMsPerToken);
  mMsPerToken[aModel] = current + kLearning * (observed - current);
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
    current + base::fromSeconds(kLearning * base::inSeconds(aTaken - current));
}

} // namespace marigold::dispatch
