/** @file Follows a request through the logs of several VMs. */
#pragma once

#include "apps/ctl/log_lines.h"

#include <optional>
#include <string>

namespace marigold::ctl {

/**
 * Tells the story of a request: on each VM that handled it what the VM believed
 * when it arrived and how old that was, the steps of the request with the last
 * news of the upstreams that they name, and what else happened on the VM
 * meanwhile.
 * @param aLogs lines in order of time
 * @param aId request
 * @return text, or NotFound if no line names the request
 */
base::Result<std::string>
explainRequest(const Logs& aLogs, const std::string& aId);

/** Which ended requests a list contains; all of the conditions apply. */
struct RequestFilter
{
  std::optional<std::size_t> slowest; ///< only so many, the slowest first
  bool refused = false;               ///< only refused and failed ones
  std::optional<std::string> team;
};

/** @param aLogs lines in order of time @param aFilter conditions
 * @return one line of text for each request */
std::string
listRequests(const Logs& aLogs, const RequestFilter& aFilter);

} // namespace marigold::ctl
