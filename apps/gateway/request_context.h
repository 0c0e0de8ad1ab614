/** @file State that all requests of a gateway share. */
#pragma once

#include "apps/gateway/catalog_snapshot.h"
#include "apps/gateway/demand_meter.h"
#include "apps/gateway/model_wait_queue.h"
#include "apps/gateway/request_log.h"
#include "apps/gateway/settings.h"
#include "apps/gateway/stream_registry.h"
#include "apps/gateway/upstream_calls.h"
#include "apps/gateway/upstream_table.h"
#include "dispatch/dispatch.h"
#include "quota/quota.h"

#include <optional>
#include <set>

namespace marigold::gateway {

/** References to the shared state of all requests; Gateway owns it. */
struct RequestContext
{
  http::Loop& loop;
  const Settings& settings;
  CatalogHolder& catalog;
  UpstreamTable& upstreams;
  peers::PeerTable& peers;
  quota::FleetQuota& quota;
  wire::ConnectionPool& pool;
  dispatch::OutlierDetector& health;
  dispatch::LatencyEstimator& latency;
  dispatch::PrefixIndex& prefixes;
  dispatch::RetryBudget& retries;
  dispatch::CrashTracker& crashes;
  dispatch::UpstreamNotices& notices;
  StreamRegistry& streams;
  UpstreamReach& reach;
  UpstreamCalls& calls;
  DemandMeter& demand;
  ModelWaitQueue& waitQueue;
  RequestLog& log;
  base::Random& random;
  base::MemoryBudget& memory;
  std::size_t fleetSize = 1;
  /** Number of requests at upstreams, by model and adapter. */
  std::map<catalog::ModelRef, unsigned> runningByModel;
  /** Requests that have not ended; this set keeps them alive. */
  std::set<std::shared_ptr<PendingRequest>> openRequests;
  /** Bytes of unfinished answers that are held back until they are complete. */
  std::size_t bufferedAnswerBytes = 0;
  /** Set while the process drains: open requests are ended at this time. */
  std::optional<base::TimePoint> endRequestsAt;
  /** Set while the process drains: requests read after this time are refused,
   * so that the caller sends them to another VM. */
  std::optional<base::TimePoint> refuseAfter;
  dispatch::StartGate startGate{};
  dispatch::BrittleGuard brittle{};
  dispatch::UpstreamErrors errors{};
  dispatch::ServedAnswers answers{};
};

} // namespace marigold::gateway
