/** @file What a caller asks for, read from its HTTP request. */
#pragma once

#include "apps/entry/configuration.h"
#include "base/base.h"
#include "http/http.h"

#include <string>
#include <vector>

namespace marigold::entry {

/** A request that has been read, authenticated and matched to a route. */
struct CallerRequest
{
  std::string id; ///< unique; the upstream echoes it
  base::TeamName team;
  std::string keyId; ///< empty on an open route
  bool isChat = false;
  base::ModelName model;   ///< chat only
  std::string adapter;     ///< chat only, may be empty
  std::string serviceName; ///< plain services only
  bool streamed = false;   ///< server-sent events
  bool idempotent = true;
  int priority = 1;
  double cost = 0; ///< tokens, upper bound
  base::TimePoint deadline;
  std::vector<std::string> prefixes; ///< of the prompt, shortest first
  http::Request forward; ///< what is sent upstream, without the caller's key
};

/**
 * Reads a request. No part of the result contains the caller's key.
 * @param aRequest request of the caller
 * @param aConfiguration configuration in force
 * @param aId unique id for the request
 * @param aNow current time
 * @return the request, or a refusal such as KeyUnknown or RouteUnknown
 */
base::Result<CallerRequest>
readCallerRequest(const http::Request& aRequest,
                  const Configuration& aConfiguration,
                  const std::string& aId,
                  base::TimePoint aNow);

/** @param aRequest request @return the caller's key, empty if there is none */
std::string
callerKey(const http::Request& aRequest);

} // namespace marigold::entry
