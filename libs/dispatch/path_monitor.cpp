#include "dispatch/path_monitor.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** A failed connect raises no doubt for this long after a successful one. */
constexpr base::Duration kReachedValidity = 300ms;
/** Results older than this don't count. */
constexpr base::Duration kResultValidity = 1s;
/** A connect takes 400 ms to fail. */
constexpr base::Duration kMaxDoubt = 700ms;
/** Upstreams that have to fail before the path counts as lost. */
constexpr std::size_t kMinFailures = 3;
/** Upstreams that have to be reached before it counts as open. */
constexpr std::size_t kMinReached = 2;
constexpr std::size_t kProbesOnSuspicion = 2;
constexpr std::size_t kProbesInDoubt = 4;
constexpr std::size_t kProbesIfLost = 2;
constexpr base::Duration kProbePeriod = 300ms;
/** Failures for each upstream that is reached on a path that counts as lost. */
constexpr std::size_t kFailuresIfLost = 4;
/** Reached upstreams for each that fails on a path that counts as open. */
constexpr std::size_t kReachedIfOpen = 3;

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
  if (aState == PathState::Open) {
    mLinks.clear();
  }
}

void
PathMonitor::onReached(const base::UpstreamName& aName, base::TimePoint aNow)
{
  mLastReachedAt = aNow;
  if (mState == PathState::Open) {
    mLinks.erase(aName);
    return;
  }
  mLinks[aName] = { true, aNow };
  evaluate(aNow);
}

void
PathMonitor::onFailed(const base::UpstreamName& aName, base::TimePoint aNow)
{
  if (!mHasPeers) {
    return;
  }
  mLinks[aName] = { false, aNow };
  if (mState == PathState::Open) {
    std::erase_if(mLinks, [aNow](const auto& aItem) {
      return aNow - aItem.second.at > kResultValidity;
    });
    if (aNow - mLastReachedAt < kReachedValidity) {
      return;
    }
    setState(PathState::InDoubt);
    mDoubtedAt = aNow;
    mDoubtProbed = false;
  }
  evaluate(aNow);
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
PathMonitor::recent(base::TimePoint aNow) const
{
  Counts counts;
  for (const auto& [name, link] : mLinks) {
    if (aNow - link.at <= kResultValidity) {
      ++(link.reached ? counts.reached : counts.failed);
    }
  }
  return counts;
}

void
PathMonitor::evaluate(base::TimePoint aNow)
{
  const Counts counts = recent(aNow);
  const std::size_t enoughReached =
    std::clamp<std::size_t>(mUpstreamCount, 1, kMinReached);
  const std::size_t enoughFailed =
    std::clamp<std::size_t>(mUpstreamCount, 1, kMinFailures);
  if (mState == PathState::InDoubt) {
    const bool failed = counts.failed >= enoughFailed;
    if (counts.reached >= enoughReached) {
      setState(PathState::Open);
    } else if (failed && counts.reached == 0) {
      setState(PathState::Lost);
    } else if (aNow - mDoubtedAt > kMaxDoubt) {
      const bool lost =
        failed && counts.reached * kFailuresIfLost <= counts.failed;
      setState(lost ? PathState::Lost : PathState::Open);
    }
  } else if (mState == PathState::Lost) {
    if (counts.reached >= enoughReached &&
        counts.reached >= kReachedIfOpen * counts.failed) {
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
  mDoubtProbed = mState == PathState::InDoubt;
  mProbedAt = aNow;
  for (std::size_t step = 0; step < aKnown.size() && chosen.size() < wanted;
       ++step) {
    const auto& name = aKnown[(aRandom + step) % aKnown.size()];
    // In doubt, the failed ones have told what they can.
    if (mState == PathState::Lost || !mLinks.contains(name)) {
      chosen.push_back(name);
    }
  }
  return chosen;
}

} // namespace marigold::dispatch
