/** @file Which request is sent when: fixed before the first one is sent. */
#pragma once

#include "apps/load/scenario.h"

#include <string>
#include <vector>

namespace marigold::load {

/** A request that will be sent at its time, whatever became of earlier ones. */
struct Planned
{
  base::Duration at = base::Duration::zero(); ///< since the start
  std::size_t team = 0;
  std::size_t work = 0; ///< position in the team's mix
  std::size_t entry = 0;
  std::string reference; ///< the upstream repeats it in the answer
  std::string idempotencyKey;
  int prefix = 0;
  int target = 0; ///< pod or bin that a service call is about
};

/**
 * @param aScenario scenario
 * @return the requests in order of time; equal scenarios give equal plans
 */
std::vector<Planned>
makePlan(const Scenario& aScenario);

/** @param aScenario scenario @param aPlanned request of its plan
 * @return the request as it is sent to an entry VM */
http::Request
requestOf(const Scenario& aScenario, const Planned& aPlanned);

} // namespace marigold::load
