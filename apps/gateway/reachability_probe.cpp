#include "apps/gateway/reachability_probe.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** A healthy connection is established within two round trips between regions.
 */
constexpr base::Duration kProbeTimeout = 400ms;

} // namespace

bool
ReachabilityProbe::start(const wire::UpstreamKey& aUpstream,
                         base::Duration aDelay)
{
  const auto [found, isNew] = mProbes.try_emplace(aUpstream);
  if (!isNew) {
    return false;
  }
  if (aDelay <= base::Duration::zero()) {
    connect(aUpstream);
    return true;
  }
  found->second.timer.start(
    mLoop, aDelay, nullptr, [this, aUpstream] { connect(aUpstream); });
  return true;
}

void
ReachabilityProbe::connect(const wire::UpstreamKey& aUpstream)
{
  // A new start of the timer may destroy the callback that runs.
  const wire::UpstreamKey upstream = aUpstream;
  Probe& probe = mProbes.at(upstream);
  probe.transport = std::make_unique<wire::Transport>(mLoop, upstream.address);
  probe.transport->setEvents(
    { [this, upstream] { end(upstream, ProbeResult::Accepted); },
      {},
      {},
      [this, upstream](wire::TransportEnd aEnd) {
        end(upstream,
            aEnd == wire::TransportEnd::Refused ? ProbeResult::Refused
                                                : ProbeResult::NoAnswer);
      } });
  probe.timer.start(
    mLoop,
    kProbeTimeout,
    [transport = probe.transport.get()] { return transport->inputCount(); },
    [this, upstream] { end(upstream, ProbeResult::NoAnswer); });
}

void
ReachabilityProbe::end(const wire::UpstreamKey& aUpstream, ProbeResult aResult)
{
  // The callback that runs, which owns aUpstream, must live until the end.
  const auto ended = mProbes.extract(aUpstream);
  mOnResult(aUpstream, aResult);
}

} // namespace marigold::gateway
