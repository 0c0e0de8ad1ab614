/** @file Routes, services, models and teams. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::catalog {

using ServiceName = std::string;

/** Execution semantics of a request and form of its response. */
enum class RequestKind : std::uint8_t
{
  Idempotent, ///< may be executed more than once
  AtMostOnce, ///< must not be executed twice
  Stream,     ///< event stream; at most once unless the route is resumable
};

/** @param aKind request kind @return its name in logs and metrics */
std::string_view
kindName(RequestKind aKind);

/** A service that receives a weighted share of a route's requests. */
struct RouteTarget
{
  ServiceName service;
  double weight = 1;
};

/** Routing and limits of requests by host and path prefix. */
struct Route
{
  std::string name;
  std::string host;
  std::string prefix; ///< starts and ends with a slash
  RequestKind kind = RequestKind::AtMostOnce;
  std::vector<RouteTarget> targets;
  base::Duration timeout{};        ///< maximum time until the final response
  base::Duration targetLatency{};  ///< latency objective
  base::Duration targetEventGap{}; ///< objective for the time between events
  unsigned maxAttempts = 1; ///< upstreams that one request may be sent to
  int priority = 0;         ///< 0 is the highest priority
  bool isPublic = false;    ///< requires no API key
  bool resumable = false;   ///< a stream may resume at another upstream

  /** @return true if another upstream may continue a stream */
  bool resumableStream() const
  {
    return kind == RequestKind::Stream && resumable;
  }

  /** @return true if a request may safely be executed again */
  bool retryable() const
  {
    return kind == RequestKind::Idempotent || resumableStream();
  }
};

/** A model that the engines of a service can load. */
struct Model
{
  base::ModelName name;
  double weightsMb = 0;
  std::vector<std::string> adapters; ///< names of its adapters
  double adapterMb = 0;
  base::Duration storeLoadTime{};  ///< load time from the weights store
  base::Duration diskLoadTime{};   ///< load time from the engine's disk
  base::Duration memoryLoadTime{}; ///< load time from host memory
};

/** Properties that all engines of a service share. */
struct EngineSpec
{
  unsigned slots = 1;         ///< requests processed concurrently
  std::uint64_t kvTokens = 0; ///< capacity of the KV cache
  double weightsMb = 0;       ///< memory for weights and adapters
  unsigned adapterSlots = 0;  ///< adapters loaded at the same time
  double storeLoadsPerSecond = 0;
  double hostMemoryMb = 0;
  double diskMb = 0;
  std::map<base::ModelName, Model> models;
};

/** A group of interchangeable upstreams. */
struct Service
{
  ServiceName name;
  unsigned maxConnections = 0; ///< to one upstream, over all VMs
  std::optional<EngineSpec> engine;
};

/** A team with its API keys and quota. */
struct Team
{
  base::TeamName name;
  std::set<std::string> keyDigests; ///< SHA-256 digests, hexadecimal
  std::optional<int> priority;      ///< overrides the route's priority
  double rate = 0;                  ///< units per second; 0: unlimited
  double burst = 0;                 ///< units
  bool countsTokens = false;        ///< a unit is a token, otherwise a request
  double defaultCost = 1; ///< units of a request that declares no token counts
};

/** Limits on requests and connections of callers. */
struct CallerLimits
{
  std::size_t headerBytes = 16UL * 1024;
  std::size_t bodyBytes = 4UL * 1024 * 1024;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
};

using Routes = std::vector<Route>;
using Services = std::map<ServiceName, Service>;
using Teams = std::vector<Team>;

/** A version of the complete configuration. Versions share the parts that they
 * have in common. */
struct Catalog
{
  std::uint64_t version = 0;
  std::shared_ptr<const Routes> routes = std::make_shared<Routes>();
  std::shared_ptr<const Services> services = std::make_shared<Services>();
  std::shared_ptr<const Teams> teams = std::make_shared<Teams>();
  bool requiresApiKeys = false;
  CallerLimits callerLimits;
};

} // namespace marigold::catalog
