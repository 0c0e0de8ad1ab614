/** @file A configuration, upstreams and what a gateway owns for its requests.
 */
#pragma once

#include "apps/gateway/request_server.h"

namespace marigold::explore {

/** The shortest idle timeout of a configuration here: for less, a caller may
 * pause without losing an answer. */
inline constexpr base::Duration kShortIdle = std::chrono::seconds(2);
inline constexpr base::Duration kLongIdle = std::chrono::seconds(30);

/** @return a configuration with a route for each kind of request */
catalog::Catalog
makeCatalog();

/** @return a route for requests under a prefix */
catalog::Route
makeRoute(const std::string& aPrefix, catalog::RequestKind aKind);

/** @return a team without keys */
catalog::Team
makeTeam(const std::string& aName);

/** @return record of an upstream for all routes */
catalog::UpstreamRecord
makeRecord(const char* aName, std::uint16_t aPort);

/** What gateway::Gateway owns on behalf of the requests. */
struct Site
{
  Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /** @param aCatalog configuration to put in force */
  void apply(const catalog::Catalog& aCatalog);

  http::Loop loop;
  gateway::Settings settings;
  gateway::CatalogHolder catalog;
  gateway::UpstreamTable upstreams;
  peers::PeerTable peers;
  quota::FleetQuota quota;
  base::MemoryBudget memory;
  wire::ConnectionPool pool;
  dispatch::OutlierDetector health;
  dispatch::LatencyEstimator latency;
  dispatch::PrefixIndex prefixes;
  dispatch::RetryBudget retries;
  dispatch::CrashTracker crashes;
  dispatch::UpstreamNotices notices;
  gateway::StreamRegistry streams;
  base::Random random;
  gateway::UpstreamReach reach;
  gateway::UpstreamCalls calls;
  gateway::DemandMeter demand;
  gateway::ModelWaitQueue waitQueue;
  gateway::RequestLog log;
  gateway::RequestContext context;
  gateway::RequestServer requests;
  /** Gets the results of probes, if it is set. */
  gateway::ReachabilityProbe::Callback onProbe;
};

} // namespace marigold::explore
