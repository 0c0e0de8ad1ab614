/** @file Routes, services, models and teams. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigold::catalog {

using ServiceName = std::string;

/** How often a request may run, and the form of its answer. */
enum class RequestKind : std::uint8_t
{
  Idempotent, ///< may run more than once
  AtMostOnce, ///< at most one run
  Stream,     ///< an event stream; at most one run unless it is resumable
};

/** @param aKind kind of request @return its name in logs and metrics */
std::string_view
kindName(RequestKind aKind);

/** A service that gets a part of a route's requests. */
struct RouteTarget
{
  ServiceName service;
  double weight = 1;
};

/** Where requests of a host and path prefix go. */
struct Route
{
  std::string name;
  std::string host;
  std::string prefix; ///< begins and ends with a slash
  RequestKind kind = RequestKind::AtMostOnce;
  std::vector<RouteTarget> targets;
  base::Duration timeout{};        ///< longest time without a final answer
  base::Duration targetLatency{};  ///< full value up to here
  base::Duration targetEventGap{}; ///< longest pause between events
  unsigned maxAttempts = 1;        ///< upstreams that one request may reach
  int priority = 0;                ///< 0 is the most urgent
  bool isPublic = false;           ///< needs no key
  bool resumable = false;          ///< a stream may go on at another upstream

  /** @return true if a second run does no harm */
  bool retryable() const
  {
    return kind == RequestKind::Idempotent ||
           (kind == RequestKind::Stream && resumable);
  }
};

/** A model that the engines of a service can hold. */
struct Model
{
  base::ModelName name;
  double weightsMb = 0;
  std::vector<std::string> adapters; ///< names of its adapters
  double adapterMb = 0;
  base::Duration storeLoadTime{};  ///< load from the weights store
  base::Duration diskLoadTime{};   ///< load from the engine's disk
  base::Duration memoryLoadTime{}; ///< load from the host's memory
};

/** Properties that all engines of a service share. */
struct EngineSpec
{
  unsigned slots = 1;
  std::uint64_t kvTokens = 0;
  double weightsMb = 0; ///< room for weights and adapters
  unsigned adapterSlots = 0;
  double storeLoadsPerSecond = 0;
  double hostMemoryMb = 0;
  double diskMb = 0;
  std::map<base::ModelName, Model> models;
};

/** A group of interchangeable upstreams. */
struct Service
{
  ServiceName name;
  unsigned maxConnections = 0; ///< of one upstream, from all callers
  std::optional<EngineSpec> engine;
};

/** A team with its keys and its quota. */
struct Team
{
  base::TeamName name;
  std::set<std::string> keyDigests;
  std::optional<int> priority; ///< takes precedence over the route's
  double rate = 0;             ///< units a second; 0: unlimited
  double burst = 0;
  bool countsTokens = false;
  double defaultCost = 1; ///< cost of a request that declares no tokens
};

/** What callers may send. */
struct CallerLimits
{
  std::size_t headerBytes = 16UL * 1024;
  std::size_t bodyBytes = 4UL * 1024 * 1024;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the whole configuration. */
struct Catalog
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, Service> services;
  std::vector<Team> teams;
  bool requiresApiKeys = false;
  CallerLimits callerLimits;
};

} // namespace marigold::catalog
