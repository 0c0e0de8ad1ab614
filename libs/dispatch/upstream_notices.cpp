#include "dispatch/upstream_notices.h"

#include <algorithm>

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
constexpr double kAdmittedPart = 0.4;
/** Bounds the memory for an upstream that many requests ask for. */
constexpr std::size_t kMaxWants = 1000;
/** Lifetime of what an upstream said without another answer. */
constexpr base::Duration kNoticeLifetime = 10min;

double
effectiveLimit(double aRequestsPerSecond)
{
  return std::max(aRequestsPerSecond, kMinRequestsPerSecond);
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
    state.turnsAwayUntil =
      std::max(state.turnsAwayUntil, aNow + *aNotice.turnsAwayFor);
  }
  state.heardAt = aNow;
  return change;
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

bool
UpstreamNotices::tryAdmit(peers::ProcessTag aProcess,
                          const peers::LimitUse& aPeers,
                          double aChance,
                          base::TimePoint aNow)
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end() || !found->second.requestsPerSecond) {
    return true;
  }
  State& state = found->second;
  dropExpired(state, aNow);
  if (state.wants.size() < kMaxWants) {
    state.wants.push_back(aNow);
  }
  const double seconds = base::inSeconds(window(state));
  const double left = effectiveLimit(*state.requestsPerSecond) * seconds -
                      static_cast<double>(state.sends.size()) - aPeers.sends;
  // Rounding of the window must not cost the one request that it allows.
  constexpr double kTolerance = 1e-6;
  if (left < 1 - kTolerance) {
    return false;
  }
  const double wantedMeanwhile =
    (static_cast<double>(state.wants.size()) + aPeers.wants) / seconds *
    base::inSeconds(mReportDelay);
  if (aPeers.wants > 0 && aChance * wantedMeanwhile >= left * kAdmittedPart) {
    return false;
  }
  state.sends.push_back(aNow);
  return true;
}

peers::LimitUse
UpstreamNotices::use(peers::ProcessTag aProcess, base::TimePoint aNow)
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end() || !found->second.requestsPerSecond) {
    return {};
  }
  dropExpired(found->second, aNow);
  return { static_cast<std::uint32_t>(found->second.sends.size()),
           static_cast<std::uint32_t>(found->second.wants.size()) };
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
