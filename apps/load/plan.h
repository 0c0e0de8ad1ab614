/** @file Open-loop request schedule, computed before the run starts. */
#pragma once

#include "apps/load/scenario.h"

#include <string>
#include <vector>

namespace marigold::load {

/** A request sent at a fixed time, independent of earlier results. */
struct PlannedRequest
{
  base::Duration at = base::Duration::zero(); ///< since the start
  std::size_t team = 0;
  std::size_t requestClass = 0; ///< position in the team's mix
  std::size_t entry = 0;
  std::string reference; ///< echoed by the upstream in the answer
  std::string idempotencyKey;
  int prefix = 0;
  int target = 0; ///< resource number of a service call
};

/**
 * @param aScenario scenario
 * @return the requests in order of time; equal scenarios give equal plans
 */
std::vector<PlannedRequest>
makePlan(const Scenario& aScenario);

/** @param aScenario scenario @param aPlanned request of its plan
 * @return the HTTP request for the entry VM */
http::Request
buildRequest(const Scenario& aScenario, const PlannedRequest& aPlanned);

} // namespace marigold::load
