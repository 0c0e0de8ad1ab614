/** @file Responses that a VM makes itself, in place of an upstream. */
#pragma once

#include "base/code.h"
#include "wire/caller_connection.h"

#include <string_view>

namespace marigold::gateway {

/** @param aCode why the VM answers @param aOutcome what it knows of the request
 * @param aId of the request, may be empty @return headers that tell of these */
http::Headers
outcomeHeaders(base::Code aCode, base::Outcome aOutcome, std::string_view aId);

/** @param aId of the request, may be empty
 * @return response to a request that may have run */
wire::FallbackResponse
unknownOutcomeResponse(std::string_view aId);

} // namespace marigold::gateway
