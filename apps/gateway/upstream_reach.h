/** @file Which upstreams this VM reaches, and why it doesn't reach others. */
#pragma once

#include "apps/gateway/reachability_probe.h"
#include "apps/gateway/upstream_table.h"
#include "base/base.h"
#include "dispatch/dispatch.h"

#include <functional>
#include <map>
#include <set>

namespace marigold::gateway {

/**
 * Judges failed connects. While this VM may have lost its path to all
 * upstreams, they are no evidence against an upstream until a peer has tried to
 * reach it, too.
 */
class UpstreamReach
{
public:
  using ResultHandler = ReachabilityProbe::Callback;
  /** Gets true if the peer has reached the upstream, nothing if no peer could
   * tell. */
  using PeerResult = std::function<void(std::optional<bool>)>;
  using PeerCheck = std::function<void(const Upstream&, PeerResult)>;

  /** @param aLoop event loop @param aUpstreams upstreams
   * @param aRandom random numbers @param aOnResult gets the results that count
   * for or against an upstream */
  UpstreamReach(http::Loop& aLoop,
                UpstreamTable& aUpstreams,
                base::Random& aRandom,
                ResultHandler aOnResult);

  /** @param aCallback runs when the path was lost or is back */
  void onPathChanged(std::function<void()> aCallback)
  {
    mOnPathChanged = std::move(aCallback);
  }

  /** @param aCheck asks a peer to reach an upstream */
  void onPeerCheck(PeerCheck aCheck) { mPeerCheck = std::move(aCheck); }

  /** @param aAny whether there are other VMs */
  void setHasPeers(bool aAny);

  /** Finds out whether an upstream can be reached, unless that is under way.
   * @param aUpstream upstream @param aDelay time until the probe starts */
  void probe(const wire::UpstreamKey& aUpstream, base::Duration aDelay = {});

  /** An upstream does not acknowledge a request. @param aUpstream upstream */
  void suspect(const wire::UpstreamKey& aUpstream);

  /** A call has established a connection. @param aUpstream upstream */
  void onConnected(const wire::UpstreamKey& aUpstream);

  /** A call could not establish a connection. @param aUpstream upstream */
  void onConnectFailed(const wire::UpstreamKey& aUpstream);

  /** A peer could not reach the upstream, either. @param aUpstream upstream */
  void onGone(const wire::UpstreamKey& aUpstream);

  /** Bytes have come straight from an upstream. @param aNow time */
  void noteInput(base::TimePoint aNow) { mLastInputAt = aNow; }

  /** @return when bytes last came straight from any upstream */
  base::TimePoint lastInputAt() const { return mLastInputAt; }

  /** @return true if the path to the upstreams is lost */
  bool pathLost() const { return mPath.state() == dispatch::PathState::Lost; }

  /** @return true if an upstream can be reached straight */
  bool anyDirect() const { return mPath.anyDirect(); }

  /** @return true if the path may be lost */
  bool pathInDoubt() const
  {
    return mPath.state() == dispatch::PathState::InDoubt;
  }

  /** @param aUpstream upstream @return true if requests can go to it straight
   */
  bool isDirect(const wire::UpstreamKey& aUpstream) const
  {
    return mPath.isDirect(aUpstream.name);
  }

private:
  void onProbe(const wire::UpstreamKey& aUpstream, ProbeResult aResult);
  bool isRefusing(const wire::UpstreamKey& aUpstream) const;
  void askAboutRefusing();
  void judge(const wire::UpstreamKey& aUpstream, ProbeResult aResult);
  void askPeer(const wire::UpstreamKey& aUpstream, ProbeResult aResult);
  void follow();
  void tick();
  void startProbes();

  http::Loop& mLoop;
  UpstreamTable& mUpstreams;
  base::Random& mRandom;
  ResultHandler mOnResult;
  std::function<void()> mOnPathChanged;
  PeerCheck mPeerCheck;
  ReachabilityProbe mProbe;
  dispatch::PathMonitor mPath;
  dispatch::PathState mFollowed = dispatch::PathState::Open;
  /** Failed connects that are not judged yet. */
  std::map<wire::UpstreamKey, ProbeResult> mHeld;
  std::set<wire::UpstreamKey> mAskedPeers;
  /** Probes that only tell of the path. */
  std::set<wire::UpstreamKey> mPathProbes;
  base::TimePoint mLastInputAt{};
  http::EventHandle mTimer;
};

} // namespace marigold::gateway
