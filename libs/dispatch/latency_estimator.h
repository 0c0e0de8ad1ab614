/** @file Learned speed of models and services. */
#pragma once

#include "base/base.h"

#include <map>
#include <string>

namespace marigold::dispatch {

/**
 * Estimates how long prompts take before their first token, per model, from
 * observed first tokens. Models of one service differ several times in speed,
 * and the configuration does not tell it.
 */
class LatencyEstimator
{
public:
  /** @param aModel model @return milliseconds for each prompt token */
  double msPerToken(const std::string& aModel) const;

  /**
   * Learns from a first token.
   * @param aModel model
   * @param aTokens prompt tokens of the request
   * @param aQueuedMs work that was ahead of it at the same upstream
   * @param aTaken time until the first token
   */
  void onFirstToken(const std::string& aModel,
                    double aTokens,
                    double aQueuedMs,
                    base::Duration aTaken);

  /** @param aService plain service @return typical time of one answer */
  base::Duration serviceTime(const std::string& aService) const;

  /** @param aService plain service @param aTaken time of one answer */
  void onAnswer(const std::string& aService, base::Duration aTaken);

private:
  std::map<std::string, double> mMsPerToken;
  std::map<std::string, base::Duration> mServiceTime;
};

} // namespace marigold::dispatch
