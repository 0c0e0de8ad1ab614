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
  double othersLoad = 0;      ///< requests of other VMs, see OthersLoad
  int capacity = 1;           ///< requests that run at once
  int inflight = 0;           ///< requests of this VM now
  base::Duration meanTime{};  ///< of recent requests there; zero if unknown
  bool adapterResident = false;
  double prefixMatch = 0; ///< probability that the prompt prefix is cached
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
 * Follows what other VMs contribute to the load of an upstream. Reports lag by
 * an unknown time, so that a single one cannot be corrected by what this VM
 * has sent since; the mean of several does not depend on the lag.
 */
class OthersLoad
{
public:
  /** @param aReported running and queued requests of all VMs, some time ago
   * @param aInflight requests of this VM now */
  void onReport(int aReported, int aInflight);

  /** @return mean number of requests of other VMs */
  double value() const { return mMean; }

private:
  bool mKnown = false;
  double mMean = 0;
};

/**
 * @param aView upstream
 * @return requests that run or wait there: those of this VM, and those of
 * others as far as the report can still be trusted
 */
double
estimatedLoad(const UpstreamView& aView);

} // namespace marigold::routing
