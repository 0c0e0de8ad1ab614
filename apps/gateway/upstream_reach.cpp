#include "apps/gateway/upstream_reach.h"

#include "observe/log.h"

#include <utility>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using dispatch::PathState;

/** Period of the decisions on a path that is not open. */
constexpr base::Duration kPathTick = 100ms;
/** Time between two questions to peers about an upstream that refuses
 * connections. */
constexpr base::Duration kAskAgain = 1s;

} // namespace

UpstreamReach::UpstreamReach(http::Loop& aLoop,
                             UpstreamTable& aUpstreams,
                             base::Random& aRandom,
                             ResultHandler aOnResult)
  : mLoop(aLoop)
  , mUpstreams(aUpstreams)
  , mRandom(aRandom)
  , mOnResult(std::move(aOnResult))
  , mProbe(aLoop,
           [this](const wire::UpstreamKey& aUpstream, ProbeResult aResult) {
             onProbe(aUpstream, aResult);
           })
{
}

void
UpstreamReach::setHasPeers(bool aAny)
{
  mPath.setHasPeers(aAny);
  follow();
}

void
UpstreamReach::probe(const wire::UpstreamKey& aUpstream, base::Duration aDelay)
{
  if (aDelay <= base::Duration::zero() && !isDirect(aUpstream)) {
    askPeer(aUpstream, ProbeResult::NoAnswer);
    return;
  }
  mProbe.start(aUpstream, aDelay);
}

void
UpstreamReach::suspect(const wire::UpstreamKey& aUpstream)
{
  if (mPath.onSuspicion(base::monotonicNow())) {
    probe(aUpstream);
    startProbes();
  }
}

void
UpstreamReach::onConnected(const wire::UpstreamKey& aUpstream)
{
  mPath.onReached(aUpstream.name, base::monotonicNow());
  follow();
}

void
UpstreamReach::onConnectFailed(const wire::UpstreamKey& aUpstream)
{
  mPath.setUpstreamCount(mUpstreams.all().size());
  if (!isRefusing(aUpstream)) {
    mPath.onFailed(aUpstream.name, base::monotonicNow());
  }
  judge(aUpstream, ProbeResult::NoAnswer);
  follow();
  probe(aUpstream);
}

void
UpstreamReach::onGone(const wire::UpstreamKey& aUpstream)
{
  mHeld.erase(aUpstream);
  mOnResult(aUpstream, ProbeResult::NoAnswer);
}

void
UpstreamReach::onProbe(const wire::UpstreamKey& aUpstream, ProbeResult aResult)
{
  const bool ofPath = mPathProbes.erase(aUpstream) > 0;
  const bool reached = aResult == ProbeResult::Accepted;
  const base::TimePoint now = base::monotonicNow();
  mPath.setUpstreamCount(mUpstreams.all().size());
  if (ofPath) {
    mPath.onProbed(aUpstream.name, reached, now);
  } else if (reached) {
    mPath.onReached(aUpstream.name, now);
  } else if (!isRefusing(aUpstream)) {
    mPath.onFailed(aUpstream.name, now);
  }
  if (reached) {
    mHeld.erase(aUpstream);
    mOnResult(aUpstream, aResult);
  } else if (!ofPath) {
    if (aResult == ProbeResult::NoAnswer) {
      observe::logInfo("probe without an answer",
                       { { "upstream", aUpstream.name } });
    }
    judge(aUpstream, aResult);
  }
  follow();
}

/** @return true if the upstream is known to have ended, so that its failures
 * say nothing about the path */
bool
UpstreamReach::isRefusing(const wire::UpstreamKey& aUpstream) const
{
  const auto upstream = mUpstreams.find(aUpstream.name);
  return upstream && upstream->presence == Presence::Refusing;
}

/** Some may have been taken for ended by the first failures of the path. */
void
UpstreamReach::askAboutRefusing()
{
  for (const auto& [name, upstream] : UpstreamTable::Map(mUpstreams.all())) {
    if (upstream->presence == Presence::Refusing) {
      askPeer(upstream->peer(), ProbeResult::Refused);
    }
  }
}

/** Reports a failed connect if it speaks against the upstream. */
void
UpstreamReach::judge(const wire::UpstreamKey& aUpstream, ProbeResult aResult)
{
  switch (mPath.state()) {
    case PathState::Open:
      mOnResult(aUpstream, aResult);
      break;
    case PathState::InDoubt:
      mHeld[aUpstream] = aResult;
      break;
    case PathState::Lost:
      askPeer(aUpstream, aResult);
      break;
  }
}

void
UpstreamReach::askPeer(const wire::UpstreamKey& aUpstream, ProbeResult aResult)
{
  const auto upstream = mUpstreams.find(aUpstream.name);
  if (!upstream || upstream->peer() != aUpstream || !mPeerCheck ||
      !mAskedPeers.insert(aUpstream).second) {
    return;
  }
  mPeerCheck(
    *upstream, [this, aUpstream, aResult](std::optional<bool> aReached) {
      mAskedPeers.erase(aUpstream);
      if (aReached) {
        mOnResult(aUpstream, *aReached ? ProbeResult::Accepted : aResult);
        return;
      }
      const auto asked = mUpstreams.find(aUpstream.name);
      if (asked && asked->presence == Presence::Refusing) {
        mProbe.start(aUpstream, kAskAgain);
      }
    });
}

/** Acts on a change of the path's state. */
void
UpstreamReach::follow()
{
  const PathState state = mPath.state();
  const PathState before = std::exchange(mFollowed, state);
  if (state != PathState::Open && !mTimer) {
    mTimer = mLoop.every(kPathTick, [this] { tick(); });
    startProbes();
  }
  if (state == before) {
    return;
  }
  if (state != PathState::InDoubt) {
    for (const auto& [upstream, result] : std::exchange(mHeld, {})) {
      judge(upstream, result);
    }
  }
  if (state != PathState::Lost && before != PathState::Lost) {
    return;
  }
  if (state == PathState::Lost) {
    askAboutRefusing();
  }
  const char* const event = state == PathState::Lost
                              ? "path to the upstreams lost"
                              : "path to the upstreams is back";
  observe::logWarn(
    event, { { "upstreams", std::to_string(mUpstreams.all().size()) } });
  if (mOnPathChanged) {
    mOnPathChanged();
  }
}

void
UpstreamReach::tick()
{
  mPath.update(base::monotonicNow());
  follow();
  if (mPath.state() == PathState::Open) {
    mTimer.reset();
    return;
  }
  startProbes();
}

void
UpstreamReach::startProbes()
{
  std::vector<base::UpstreamName> known;
  for (const auto& [name, upstream] : mUpstreams.all()) {
    if (upstream->usable()) {
      known.push_back(name);
    }
  }
  for (const auto& name :
       mPath.nextProbes(known, mRandom.bits(), base::monotonicNow())) {
    const auto upstream = mUpstreams.find(name);
    if (upstream && mProbe.start(upstream->peer())) {
      mPathProbes.insert(upstream->peer());
    }
  }
}

} // namespace marigold::gateway
