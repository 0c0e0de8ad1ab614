#include "site.h"

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;

observe::Metrics&
metrics()
{
  static observe::Metrics instance;
  return instance;
}

} // namespace

catalog::Route
makeRoute(const std::string& aPrefix, catalog::RequestKind aKind)
{
  catalog::Route route;
  route.name = aPrefix;
  route.host = "h";
  route.prefix = aPrefix;
  route.kind = aKind;
  route.targets = { { "desk", 1 } };
  route.timeout = 8s;
  route.targetLatency = 200ms;
  route.targetEventGap = 400ms;
  route.maxAttempts = 2;
  route.resumable = aKind == catalog::RequestKind::Stream;
  return route;
}

catalog::Team
makeTeam(const std::string& aName)
{
  catalog::Team team;
  team.name = aName;
  team.rate = 100;
  team.burst = 100;
  return team;
}

catalog::Catalog
makeCatalog()
{
  catalog::Catalog catalog;
  catalog.version = 1;
  catalog.routes = std::make_shared<catalog::Routes>(
    catalog::Routes{ makeRoute("/once/", catalog::RequestKind::AtMostOnce),
                     makeRoute("/again/", catalog::RequestKind::Idempotent),
                     makeRoute("/events/", catalog::RequestKind::Stream) });
  catalog::Service service;
  service.name = "desk";
  service.maxConnections = 8;
  catalog.services = std::make_shared<catalog::Services>(
    catalog::Services{ { service.name, service } });
  catalog::Team team = makeTeam("team");
  team.keyDigests = { base::sha256Hex("key") };
  catalog.teams = std::make_shared<catalog::Teams>(catalog::Teams{ team });
  catalog.requiresApiKeys = true;
  return catalog;
}

catalog::UpstreamRecord
makeRecord(const char* aName, std::uint16_t aPort)
{
  catalog::UpstreamRecord record;
  record.name = aName;
  record.service = "desk";
  record.address = { "10.0.0.1", aPort };
  record.dataCentre = "dc";
  record.slots = 4;
  record.startedAt = 1;
  record.softwareVersion = "1";
  return record;
}

Site::Site()
  : peers("dc")
  , pool(loop)
  , streams(loop)
  , random(1)
  , reach(
      loop,
      upstreams,
      random,
      [this](const wire::UpstreamKey& aUpstream, gateway::ProbeResult aResult) {
        if (onProbe) {
          onProbe(aUpstream, aResult);
        }
      })
  , calls(pool, reach, random)
  , log(metrics())
  , context{ loop,   settings, catalog,  upstreams, peers,   quota,   pool,
             health, latency,  prefixes, retries,   crashes, notices, streams,
             reach,  calls,    demand,   waitQueue, log,     random,  memory,
             1,      {},       {},       0,         {},      {} }
  , requests(context)
{
  settings.dataCentre = "dc";
  settings.gracePeriod = 8s;
  retries.setLimits({ 1, 100, 10s });
}

void
Site::apply(const catalog::Catalog& aCatalog)
{
  requests.applyCatalog(std::make_shared<const gateway::CatalogSnapshot>(
    aCatalog,
    std::make_shared<const std::string>(),
    context.catalog.current().get()));
}

} // namespace marigold::explore
