/** @file Strategies that choose an upstream. */
#pragma once

#include "base/base.h"

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace marigold::routing {

/** What a strategy knows of a request. */
struct RequestView
{
  int priority = 1; ///< 0 is most urgent
  base::TimePoint deadline;
  bool wantsAdapter = false;
};

/** What this VM knows of an upstream that could serve the request. */
struct UpstreamView
{
  base::UpstreamName name;
  bool near = true;           ///< in the data centre of this VM
  base::Duration linkTime{};  ///< one way; zero in the own data centre
  bool reported = false;      ///< false for plain services
  base::Duration reportAge{}; ///< includes the lag that the upstream states
  int reportedLoad = 0;       ///< running and queued, of all VMs
  int capacity = 1;           ///< requests that run at once
  int inflight = 0;           ///< requests of this VM now
  int inflightAtReport = 0;   ///< requests of this VM when the report was made
  base::Duration meanTime{};  ///< of recent requests there; zero if unknown
  bool adapterResident = false;
  double prefixMatch = 0; ///< probability that the prompt prefix is cached
  bool runsSuspect = false;
};

/** Chooses one of several usable upstreams. */
class Strategy
{
public:
  Strategy() = default;
  virtual ~Strategy() = default;
  Strategy(const Strategy&) = delete;
  Strategy& operator=(const Strategy&) = delete;

  /**
   * @param aRequest request
   * @param aViews usable upstreams, sorted by name
   * @param aNow current time
   * @return index into aViews, or nothing if aViews is empty
   */
  virtual std::optional<std::size_t> choose(
    const RequestView& aRequest,
    std::span<const UpstreamView> aViews,
    base::TimePoint aNow) = 0;
};

/** The strategies that a setting can name. */
enum class StrategyKind : std::uint8_t
{
  Marigold,
  RoundRobin,
  LeastConnections,
};

/**
 * @param aKind strategy
 * @param aSeed start of its pseudo-random sequence
 */
std::unique_ptr<Strategy>
makeStrategy(StrategyKind aKind, std::uint64_t aSeed);

/** @param aName marigold, round-robin or least-connections
 * @return the strategy of that name, or nothing */
std::optional<StrategyKind>
strategyKind(std::string_view aName);

/**
 * Estimates the load of an upstream: the last report, corrected by what this VM
 * has started and ended since. The part that other VMs contribute fades with
 * the age of the report towards the share that this VM sees itself.
 * @param aView upstream
 * @return requests that run or wait there
 */
double
estimatedLoad(const UpstreamView& aView);

} // namespace marigold::routing
