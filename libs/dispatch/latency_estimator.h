/** @file Learned prompt speed of models and response time of services. */
#pragma once

#include "base/base.h"

#include <map>
#include <string>

namespace marigold::dispatch {

/**
 * Estimates the time to the first token per model from observed requests. The
 * models of a service differ in speed by several times, and the configuration
 * does not specify it.
 */
class LatencyEstimator
{
public:
  /** @param aModel model @return milliseconds per prompt token */
  double msPerToken(const std::string& aModel) const;

  /**
   * Updates the estimate from an observed first token.
   * @param aModel model
   * @param aTokens prompt tokens of the request
   * @param aQueuedMs estimated work that was queued before it at the upstream
   * @param aTaken time to the first token
   */
  void onFirstToken(const std::string& aModel,
                    double aTokens,
                    double aQueuedMs,
                    base::Duration aTaken);

  /** @param aService service without engines
   * @return typical response time */
  base::Duration serviceTime(const std::string& aService) const;

  /** Updates the response time of a service.
   * @param aService service without engines
   * @param aTaken response time of a request */
  void onAnswer(const std::string& aService, base::Duration aTaken);

private:
  std::map<std::string, double> mMsPerToken;
  std::map<std::string, base::Duration> mServiceTime;
};

} // namespace marigold::dispatch
