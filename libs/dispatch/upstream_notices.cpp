#include "dispatch/upstream_notices.h"

#include <algorithm>
#include <cmath>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Shortest time over which the requests to a limited upstream are counted. */
constexpr base::Duration kMinWindow = 4s;
/** A lower limit is raised to this, because only an answer shows that the limit
 * has ended. */
constexpr double kMinRequestsPerSecond = 0.1;
/** Part of what is left that the VMs admit during the report delay. With more,
 * they would exceed the limit before they know of each other's requests. */
constexpr double kAdmittedPart = 0.35;
/** Requests that the VMs together may send before they know of each other's. */
constexpr double kUnreported = 1;
/** Bounds the memory for an upstream that many requests ask for. */
constexpr std::size_t kMaxWants = 1000;
/** Lifetime of what an upstream said without another answer. */
constexpr base::Duration kNoticeLifetime = 10min;

double
effectiveLimit(double aRequestsPerSecond)
{
  return std::max(aRequestsPerSecond, kMinRequestsPerSecond);
}

double
countSince(const std::deque<base::TimePoint>& aTimes, base::TimePoint aSince)
{
  return static_cast<double>(
    aTimes.end() - std::upper_bound(aTimes.begin(), aTimes.end(), aSince));
}

} // namespace

/** @return the time over which requests are counted; at least one is allowed */
base::Duration
UpstreamNotices::window(const State& aState)
{
  return std::max(
    kMinWindow,
    base::fromSeconds(1 / effectiveLimit(*aState.requestsPerSecond)));
}

void
UpstreamNotices::dropExpired(State& aState, base::TimePoint aNow)
{
  const base::TimePoint since = aNow - window(aState);
  for (auto* times : { &aState.sends, &aState.wants }) {
    while (!times->empty() && times->front() <= since) {
      times->pop_front();
    }
  }
}

NoticeChange
UpstreamNotices::onAnswer(peers::ProcessTag aProcess,
                          const catalog::UpstreamNotice& aNotice,
                          base::TimePoint aNow)
{
  const bool says =
    aNotice.requestsPerSecond || aNotice.leaving || aNotice.turnsAwayFor;
  if (!says && !mStates.contains(aProcess)) {
    return {};
  }
  State& state = mStates[aProcess];
  NoticeChange change;
  change.limit = state.requestsPerSecond.has_value() !=
                 aNotice.requestsPerSecond.has_value();
  change.leaving = aNotice.leaving && !state.leaving;
  state.requestsPerSecond = aNotice.requestsPerSecond;
  if (!aNotice.requestsPerSecond) {
    state.sends.clear();
    state.wants.clear();
  }
  state.leaving = state.leaving || aNotice.leaving;
  if (aNotice.turnsAwayFor) {
    onTurnedAway(aProcess, *aNotice.turnsAwayFor, aNow);
  }
  state.heardAt = aNow;
  return change;
}

void
UpstreamNotices::onTurnedAway(peers::ProcessTag aProcess,
                              base::Duration aTime,
                              base::TimePoint aNow)
{
  State& state = mStates[aProcess];
  state.turnsAwayUntil = std::max(state.turnsAwayUntil, aNow + aTime);
  state.heardAt = aNow;
}

base::TimePoint
UpstreamNotices::acceptsFrom(peers::ProcessTag aProcess) const
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end()) {
    return {};
  }
  return found->second.leaving ? base::TimePoint::max()
                               : found->second.turnsAwayUntil;
}

std::optional<double>
UpstreamNotices::limit(peers::ProcessTag aProcess) const
{
  const auto found = mStates.find(aProcess);
  return found == mStates.end() ? std::nullopt
                                : found->second.requestsPerSecond;
}

Admission
UpstreamNotices::tryAdmit(peers::ProcessTag aProcess,
                          const peers::LimitUse& aPeers,
                          double aChance,
                          base::TimePoint aNow,
                          bool aRepeated)
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end() || !found->second.requestsPerSecond) {
    return Admission::Admitted;
  }
  State& state = found->second;
  dropExpired(state, aNow);
  if (!aRepeated && state.wants.size() < kMaxWants) {
    state.wants.push_back(aNow);
  }
  const double left =
    effectiveLimit(*state.requestsPerSecond) * base::inSeconds(window(state)) -
    static_cast<double>(state.sends.size()) - aPeers.sends;
  // Rounding of the window must not cost the one request that it allows.
  constexpr double kTolerance = 1e-6;
  if (left < 1 - kTolerance) {
    return Admission::LimitReached;
  }
  const auto admission = admit(state, aPeers, left, aChance, aNow);
  if (admission == Admission::Admitted) {
    state.sends.push_back(aNow);
  }
  return admission;
}

/** Divides what is left between the VMs by their wants that all know. A VM with
 * none can't tell whether the others have some that it does not know yet.
 * @param aPeers use by the peers @param aLeft requests that are left */
Admission
UpstreamNotices::admit(const State& aState,
                       const peers::LimitUse& aPeers,
                       double aLeft,
                       double aChance,
                       base::TimePoint aNow) const
{
  const double newWants = countSince(aState.wants, aNow - mReportDelay);
  const double newSends = countSince(aState.sends, aNow - mReportDelay);
  const double reportedWants =
    static_cast<double>(aState.wants.size()) - newWants;
  if (reportedWants == 0) {
    const double share = kUnreported / static_cast<double>(mVms);
    const bool admitted = newSends == 0 && aChance * newWants < share;
    return admitted ? Admission::Admitted : Admission::AskAgain;
  }
  if (aPeers.wants == 0) {
    return Admission::Admitted;
  }
  const double part = aLeft * kAdmittedPart;
  const double competing = std::max(newWants, 1.0) + aPeers.recentWants;
  const double share = part * reportedWants / (reportedWants + aPeers.wants);
  const bool admitted =
    newSends < std::ceil(share) && aChance * competing < part;
  return admitted ? Admission::Admitted : Admission::LimitReached;
}

peers::LimitUse
UpstreamNotices::use(peers::ProcessTag aProcess, base::TimePoint aNow)
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end() || !found->second.requestsPerSecond) {
    return {};
  }
  dropExpired(found->second, aNow);
  const State& state = found->second;
  return { static_cast<std::uint32_t>(state.sends.size()),
           static_cast<std::uint32_t>(state.wants.size()),
           static_cast<std::uint32_t>(
             countSince(state.wants, aNow - mReportDelay)) };
}

void
UpstreamNotices::expire(base::TimePoint aNow)
{
  std::erase_if(mStates, [aNow](const auto& aItem) {
    return aNow - aItem.second.heardAt > kNoticeLifetime &&
           aNow > aItem.second.turnsAwayUntil;
  });
}

} // namespace marigold::dispatch
