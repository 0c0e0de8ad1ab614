/** @file Finds out whether a process listens at the address of an upstream. */
#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <functional>
#include <map>

namespace marigold::gateway {

/** Result of connecting to an upstream. */
enum class ProbeResult : std::uint8_t
{
  Accepted,
  Refused, ///< no process listens at the address
  NoAnswer,
};

/**
 * Connects to upstreams without sending a request. A connection that broke may
 * be the only one of this VM for seconds, while requests that crash upstreams
 * have to be recognised after the first few crashes.
 */
class ReachabilityProbe
{
public:
  using Callback = std::function<void(const wire::UpstreamKey&, ProbeResult)>;

  /** @param aLoop event loop @param aOnResult runs at the end of each probe */
  ReachabilityProbe(http::Loop& aLoop, Callback aOnResult)
    : mLoop(aLoop)
    , mOnResult(std::move(aOnResult))
  {
  }

  /** Connects to an upstream unless a probe of it is running or due.
   * @param aUpstream upstream @param aDelay time until the probe starts
   * @return false if one is running or due */
  bool start(const wire::UpstreamKey& aUpstream, base::Duration aDelay = {});

private:
  struct Probe
  {
    std::unique_ptr<wire::Transport> transport;
    http::InputTimer timer; ///< of the start, then of the connection
  };
  void connect(const wire::UpstreamKey& aUpstream);
  void end(const wire::UpstreamKey& aUpstream, ProbeResult aResult);

  http::Loop& mLoop;
  Callback mOnResult;
  std::map<wire::UpstreamKey, Probe> mProbes;
};

} // namespace marigold::gateway
