/** @file What all requests of a gateway share. */
#pragma once

#include "apps/gateway/demand_meter.h"
#include "apps/gateway/live_catalog.h"
#include "apps/gateway/request_log.h"
#include "apps/gateway/settings.h"
#include "apps/gateway/upstream_table.h"
#include "apps/gateway/waiting_room.h"
#include "dispatch/dispatch.h"
#include "quota/quota.h"

#include <optional>
#include <set>

namespace marigold::gateway {

/** Shared state of the request path; the node owns all of it. */
struct RequestPath
{
  http::Loop& loop;
  const Settings& settings;
  CatalogHolder& catalog;
  UpstreamTable& upstreams;
  peers::Table& peers;
  quota::FleetQuota& quota;
  wire::ConnectionPool& pool;
  dispatch::Health& health;
  dispatch::WorkModel& work;
  dispatch::PrefixMemory& prefixes;
  dispatch::RetryBudget& retries;
  dispatch::CrashRecord& crashes;
  DemandMeter& demand;
  WaitingRoom& waiting;
  RequestLog& log;
  base::Random& random;
  std::size_t fleetSize = 1;
  /** Requests at upstreams by model and adapter. */
  std::map<catalog::ModelRef, unsigned> runningByModel;
  /** Requests that have not ended; the set keeps them alive. */
  std::set<std::shared_ptr<Waiter>> open;
  /** Set while the process is being stopped: requests end before it. */
  std::optional<base::TimePoint> stopsAt;
  /** Set with it: a request that is read later goes to another process. */
  std::optional<base::TimePoint> refusesFrom;
};

} // namespace marigold::gateway
