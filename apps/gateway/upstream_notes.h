/** @file What the answers of upstreams say of themselves. */
#pragma once

#include "apps/gateway/request_context.h"

namespace marigold::gateway {

class LoadReservation;

/** Keeps what an answer says of its upstream: limit, leaving, and for how
 * long it wants no requests.
 * @param aContext state of this VM @param aUpstream upstream
 * @param aId id of the request @param aAnswer decoded headers */
void
recordNotice(RequestContext& aContext,
             Upstream& aUpstream,
             const std::string& aId,
             const boundary::AnswerMetadata& aAnswer);

/** Counts an answer, or that there is none.
 * @param aContext state of this VM @param aReservation of the request that was
 * sent, may be null @param aService what the answer was to the caller */
void
recordService(RequestContext& aContext,
              const LoadReservation* aReservation,
              dispatch::Service aService);

/** @param aContext state of this VM
 * @return recent answers to this VM, for its peers; none of a service of which
 * no VM has told a failure, since all of its upstreams serve */
std::map<base::UpstreamName, peers::AnswerCounts>
answersToReport(const RequestContext& aContext);

/** @param aContext state of this VM
 * @return engines that serve few callers of all VMs, although others serve */
std::set<base::UpstreamName>
impairedUpstreams(const RequestContext& aContext);

} // namespace marigold::gateway
