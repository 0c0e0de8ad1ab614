#include "routing/strategy.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace marigold::routing {
namespace {

/** After this age a report says little about the load of other VMs. */
constexpr double kReportTrustSeconds = 5;

/** Weight of the newest report; at two reports a second the mean spans about
 * ten seconds. */
constexpr double kReportWeight = 0.05;

/** Assumed time of a request as long as none has ended there. */
constexpr double kDefaultServiceSeconds = 1;

/** An upstream counts as slow from this multiple of the fastest one's time on;
 * smaller differences come from the requests and not from the upstream. */
constexpr double kSlowFactor = 1.5;

/** Part of a request's time that the prompt takes and a cached prefix saves. */
constexpr double kPrefixSaving = 0.5;

/** Loading an adapter takes a few to 20 ms, and it evicts another one. */
constexpr double kAdapterLoadSeconds = 0.02;

/** Traffic between data centres is paid by volume, so that a remote upstream
 * must be faster by this much beyond the link's own time. */
constexpr double kRemoteSeconds = 0.1;

/** Upstreams whose cost is this close count as equal and are chosen at random:
 * VMs with the same old report would otherwise all choose the same one. */
constexpr double kEqualFactor = 1.0;

/** Takes the upstreams in turn, those of the own data centre first. */
class RoundRobin : public Strategy
{
public:
  std::optional<std::size_t> choose(const RequestView& /*aRequest*/,
                                    std::span<const UpstreamView> aViews,
                                    base::TimePoint /*aNow*/) override
  {
    std::vector<std::size_t> candidates;
    const bool anyNear =
      std::any_of(aViews.begin(), aViews.end(), [](const UpstreamView& aView) {
        return aView.near;
      });
    for (std::size_t index = 0; index < aViews.size(); ++index) {
      if (aViews[index].near || !anyNear) {
        candidates.push_back(index);
      }
    }
    if (candidates.empty()) {
      return {};
    }
    return candidates[mTurn++ % candidates.size()];
  }

private:
  std::size_t mTurn = 0;
};

/** Takes the upstream with the fewest requests of this VM. */
class LeastConnections : public Strategy
{
public:
  std::optional<std::size_t> choose(const RequestView& /*aRequest*/,
                                    std::span<const UpstreamView> aViews,
                                    base::TimePoint /*aNow*/) override
  {
    std::optional<std::size_t> best;
    // Starts at another place each time, so that equal ones take turns.
    const std::size_t start = mTurn++;
    for (std::size_t step = 0; step < aViews.size(); ++step) {
      const std::size_t index = (start + step) % aViews.size();
      if (!best || aViews[index].inflight < aViews[*best].inflight) {
        best = index;
      }
    }
    return best;
  }

private:
  std::size_t mTurn = 0;
};

/** Takes the upstream where the request is expected to end first. */
class Marigold : public Strategy
{
public:
  explicit Marigold(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::optional<std::size_t> choose(const RequestView& aRequest,
                                    std::span<const UpstreamView> aViews,
                                    base::TimePoint /*aNow*/) override
  {
    if (aViews.empty()) {
      return {};
    }
    std::vector<double> costs;
    costs.reserve(aViews.size());
    const double scale = fleetScale(aViews);
    const double usual = usualSeconds(aViews);
    for (const UpstreamView& view : aViews) {
      const double load =
        scale > 0 ? view.inflight * scale : estimatedLoad(view);
      costs.push_back(cost(aRequest, view, load, usual));
    }
    const double least = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> best;
    for (std::size_t index = 0; index < costs.size(); ++index) {
      if (costs[index] <= least * kEqualFactor) {
        best.push_back(index);
      }
    }
    return best[mRandom.below(best.size())];
  }

private:
  /**
   * The reports of all upstreams together tell how many requests of the fleet
   * stand behind one of this VM. Per upstream they would not do: VMs that all
   * avoid what was busy some time ago make it idle and then busy again.
   * @return requests of the fleet for each of this VM, 0 if it has none
   */
  static double fleetScale(std::span<const UpstreamView> aViews)
  {
    double own = 0;
    double all = 0;
    for (const UpstreamView& view : aViews) {
      own += view.inflight;
      all += estimatedLoad(view);
    }
    return own > 0 ? all / own : 0;
  }

  /** @return mean time of a request at the fastest upstream */
  static double usualSeconds(std::span<const UpstreamView> aViews)
  {
    double least = 0;
    for (const UpstreamView& view : aViews) {
      const double mean = base::inSeconds(view.meanTime);
      if (mean > 0 && (least == 0 || mean < least)) {
        least = mean;
      }
    }
    return least > 0 ? least : kDefaultServiceSeconds;
  }

  /** @return expected seconds until the answer is complete, with penalties */
  static double cost(const RequestView& aRequest,
                     const UpstreamView& aView,
                     double aLoad,
                     double aUsualSeconds)
  {
    const double mean = base::inSeconds(aView.meanTime);
    const double service =
      mean > kSlowFactor * aUsualSeconds ? mean : aUsualSeconds;
    const double load = aLoad / std::max(1, aView.capacity);
    // Below capacity a batch slows each of its requests; above it they wait.
    const double wait = service * std::max(0.0, load - 1);
    double seconds = service * (1 + std::min(load, 1.0)) + wait;
    seconds -= service * kPrefixSaving * aView.prefixMatch;
    if (aRequest.wantsAdapter && !aView.adapterResident) {
      seconds += kAdapterLoadSeconds;
    }
    if (!aView.near) {
      seconds += 2 * base::inSeconds(aView.linkTime) + kRemoteSeconds;
    }
    return seconds;
  }

  base::Random mRandom;
};

} // namespace

void
OthersLoad::onReport(int aReported, int aInflight)
{
  const double others = std::max(0, aReported - aInflight);
  mMean = mKnown ? mMean + kReportWeight * (others - mMean) : others;
  mKnown = true;
}

double
estimatedLoad(const UpstreamView& aView)
{
  if (!aView.reported) {
    return aView.inflight;
  }
  const double trust =
    std::exp(-base::inSeconds(aView.reportAge) / kReportTrustSeconds);
  return aView.inflight + trust * aView.othersLoad;
}

std::unique_ptr<Strategy>
makeStrategy(StrategyKind aKind, std::uint64_t aSeed)
{
  switch (aKind) {
    case StrategyKind::RoundRobin:
      return std::make_unique<RoundRobin>();
    case StrategyKind::LeastConnections:
      return std::make_unique<LeastConnections>();
    case StrategyKind::Marigold:
      break;
  }
  return std::make_unique<Marigold>(aSeed);
}

std::optional<StrategyKind>
strategyKind(std::string_view aName)
{
  if (aName == "marigold") {
    return StrategyKind::Marigold;
  }
  if (aName == "round-robin") {
    return StrategyKind::RoundRobin;
  }
  if (aName == "least-connections") {
    return StrategyKind::LeastConnections;
  }
  return {};
}

} // namespace marigold::routing
