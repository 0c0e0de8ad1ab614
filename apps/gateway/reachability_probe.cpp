#include "apps/gateway/reachability_probe.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** A healthy connection is established within two round trips between regions.
 */
constexpr base::Duration kProbeTimeout = 400ms;

} // namespace

void
ReachabilityProbe::start(const wire::UpstreamKey& aUpstream)
{
  const auto [found, isNew] = mProbes.try_emplace(aUpstream);
  if (!isNew) {
    return;
  }
  Probe& probe = found->second;
  probe.transport = std::make_unique<wire::Transport>(mLoop, aUpstream.address);
  probe.transport->setEvents(
    { [this, aUpstream] { end(aUpstream, true); },
      {},
      {},
      [this, aUpstream](wire::TransportEnd) { end(aUpstream, false); } });
  probe.timeout =
    mLoop.after(kProbeTimeout, [this, aUpstream] { end(aUpstream, false); });
}

void
ReachabilityProbe::end(const wire::UpstreamKey& aUpstream, bool aReachable)
{
  // Destroys the callback that runs, so its captures must not be used later.
  const base::UpstreamName name = aUpstream.name;
  mProbes.erase(aUpstream);
  if (!aReachable) {
    mOnUnreachable(name);
  }
}

} // namespace marigold::gateway
