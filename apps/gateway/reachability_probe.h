/** @file Finds out whether an upstream is gone whose connection broke. */
#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <functional>
#include <map>

namespace marigold::gateway {

/**
 * Connects to upstreams without sending a request. A connection that broke may
 * be the only one of this VM for seconds, while requests that crash upstreams
 * have to be recognised after the first few crashes.
 */
class ReachabilityProbe
{
public:
  /** @param aLoop event loop
   * @param aOnUnreachable runs if an upstream accepts no connection */
  ReachabilityProbe(
    http::Loop& aLoop,
    std::function<void(const base::UpstreamName&)> aOnUnreachable)
    : mLoop(aLoop)
    , mOnUnreachable(std::move(aOnUnreachable))
  {
  }

  /** Connects to an upstream unless a probe of it is running.
   * @param aUpstream upstream */
  void start(const wire::UpstreamKey& aUpstream);

private:
  struct Probe
  {
    std::unique_ptr<wire::Transport> transport;
    http::EventHandle timeout;
  };
  void end(const wire::UpstreamKey& aUpstream, bool aReachable);

  http::Loop& mLoop;
  std::function<void(const base::UpstreamName&)> mOnUnreachable;
  std::map<wire::UpstreamKey, Probe> mProbes;
};

} // namespace marigold::gateway
