#include "dispatch/path_monitor.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** The failure of one upstream raises no doubt for this long after another one
 * was reached. */
constexpr base::Duration kReachedValidity = 300ms;
/** Results older than this don't count. */
constexpr base::Duration kResultValidity = 1s;
/** A connect takes 400 ms to fail. */
constexpr base::Duration kMaxDoubt = 700ms;
/** Upstreams that have to fail before the path counts as lost. */
constexpr std::size_t kMinFailures = 3;
/** Probes that have to end before a lost path counts as open. */
constexpr std::size_t kMinProbesToOpen = 3;
/** It is open if one of this many probes succeeds. */
constexpr std::size_t kProbesForSuccess = 2;
constexpr std::size_t kProbesOnSuspicion = 3;
constexpr std::size_t kProbesInDoubt = 4;
constexpr std::size_t kProbesIfLost = 2;
constexpr base::Duration kProbePeriod = 300ms;

} // namespace

void
PathMonitor::setHasPeers(bool aAny)
{
  mHasPeers = aAny;
  if (!mHasPeers) {
    setState(PathState::Open);
  }
}

void
PathMonitor::setState(PathState aState)
{
  mState = aState;
  mProbes.clear();
  mDoubtProbed = false;
  if (aState == PathState::Open) {
    mLinks.clear();
  }
}

void
PathMonitor::onReached(const base::UpstreamName& aName, base::TimePoint aNow)
{
  mLastReachedAt = aNow;
  record(aName, true, aNow);
}

void
PathMonitor::onFailed(const base::UpstreamName& aName, base::TimePoint aNow)
{
  if (!mHasPeers) {
    return;
  }
  record(aName, false, aNow);
  if (mState != PathState::Open) {
    return;
  }
  std::erase_if(mLinks, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kResultValidity;
  });
  if (mLinks.size() > 1 || aNow - mLastReachedAt >= kReachedValidity) {
    setState(PathState::InDoubt);
    mDoubtedAt = aNow;
    mDoubtProbed = !mProbesUnderWay.empty(); // Those of a suspicion.
  }
}

void
PathMonitor::onProbed(const base::UpstreamName& aName,
                      bool aReached,
                      base::TimePoint aNow)
{
  if (mProbesUnderWay.erase(aName) > 0 && mState != PathState::Open) {
    mProbes[aName] = { aReached, aNow };
  }
  if (aReached) {
    onReached(aName, aNow);
  } else {
    onFailed(aName, aNow);
  }
  evaluate(aNow);
}

void
PathMonitor::record(const base::UpstreamName& aName,
                    bool aReached,
                    base::TimePoint aNow)
{
  if (mState == PathState::Open && aReached) {
    mLinks.clear();
    return;
  }
  mLinks[aName] = { aReached, aNow };
}

bool
PathMonitor::onSuspicion(base::TimePoint aNow)
{
  mSuspected =
    mHasPeers && mState == PathState::Open && aNow - mProbedAt >= kProbePeriod;
  return mSuspected;
}

void
PathMonitor::update(base::TimePoint aNow)
{
  evaluate(aNow);
}

PathMonitor::Counts
PathMonitor::recentProbes(base::TimePoint aNow) const
{
  Counts counts;
  for (const auto& [name, probe] : mProbes) {
    if (aNow - probe.at <= kResultValidity) {
      ++(probe.reached ? counts.reached : counts.failed);
    }
  }
  return counts;
}

/** @return number of upstreams whose latest connect failed */
std::size_t
PathMonitor::failures() const
{
  return static_cast<std::size_t>(
    std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aItem) {
      return !aItem.second.reached;
    }));
}

void
PathMonitor::evaluate(base::TimePoint aNow)
{
  const Counts probes = recentProbes(aNow);
  if (mState == PathState::InDoubt) {
    const bool late = aNow - mDoubtedAt > kMaxDoubt;
    const bool allFailed =
      failures() >= std::clamp<std::size_t>(mUpstreamCount, 1, kMinFailures);
    if (probes.reached > 0 || (late && !allFailed)) {
      setState(PathState::Open);
    } else if (allFailed &&
               (late || (mDoubtProbed && mProbesUnderWay.empty()))) {
      setState(PathState::Lost);
    }
  } else if (mState == PathState::Lost) {
    const std::size_t ended = probes.reached + probes.failed;
    const std::size_t enough =
      std::clamp<std::size_t>(mUpstreamCount, 1, kMinProbesToOpen);
    if (ended >= enough && probes.reached * kProbesForSuccess >= ended) {
      setState(PathState::Open);
    }
  }
}

bool
PathMonitor::isDirect(const base::UpstreamName& aName) const
{
  if (mState != PathState::Lost) {
    return true;
  }
  const auto found = mLinks.find(aName);
  return found != mLinks.end() && found->second.reached;
}

bool
PathMonitor::anyDirect() const
{
  return mState != PathState::Lost || failures() < mLinks.size();
}

std::size_t
PathMonitor::wantedProbes(base::TimePoint aNow) const
{
  switch (mState) {
    case PathState::Open:
      return mSuspected ? kProbesOnSuspicion : 0;
    case PathState::InDoubt:
      return mDoubtProbed ? 0 : kProbesInDoubt;
    case PathState::Lost:
      return aNow - mProbedAt >= kProbePeriod ? kProbesIfLost : 0;
  }
  return 0;
}

std::vector<base::UpstreamName>
PathMonitor::nextProbes(const std::vector<base::UpstreamName>& aKnown,
                        std::uint64_t aRandom,
                        base::TimePoint aNow)
{
  const std::size_t wanted = wantedProbes(aNow);
  std::vector<base::UpstreamName> chosen;
  if (wanted == 0) {
    return chosen;
  }
  mSuspected = false;
  if (mState != PathState::Lost) {
    mProbesUnderWay.clear();
  }
  mDoubtProbed = mState == PathState::InDoubt;
  mProbedAt = aNow;
  for (std::size_t step = 0; step < aKnown.size() && chosen.size() < wanted;
       ++step) {
    const auto& name = aKnown[(aRandom + step) % aKnown.size()];
    // In doubt, the failed ones have told what they can.
    if (mState == PathState::Lost || !mLinks.contains(name)) {
      chosen.push_back(name);
      mProbesUnderWay.insert(name);
    }
  }
  return chosen;
}

} // namespace marigold::dispatch
