/** @file What the answers of upstreams say of themselves. */
#pragma once

#include "apps/gateway/request_context.h"

namespace marigold::gateway {

/** Keeps what an answer says of its upstream: limit, leaving, and for how
 * long it wants no requests.
 * @param aContext state of this VM @param aUpstream upstream
 * @param aId id of the request @param aAnswer decoded headers */
void
recordNotice(RequestContext& aContext,
             Upstream& aUpstream,
             const std::string& aId,
             const boundary::AnswerMetadata& aAnswer);

} // namespace marigold::gateway
