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
/** Without an answer to any VM for this long, one more request is let through
 * to ask for the limit. */
constexpr base::Duration kAskInterval = 1500ms;
/** The same for low limits, in the time that the upstream takes one request. */
constexpr double kAskPart = 0.5;
/** Requests to ask that may exceed the limit in a window. */
constexpr double kMaxAsks = 2;
/** Rounding of the window must not cost the one request that it allows. */
constexpr double kTolerance = 1e-6;
/** A statement is reported for this long, because UDP may lose messages, and
 * not for longer, because the upstream may name a limit again. */
constexpr base::Duration kStatementReportTime = 5s;
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
  const bool ended = change.limit && !aNotice.requestsPerSecond;
  state.requestsPerSecond = aNotice.requestsPerSecond;
  if (ended) {
    endLimit(state, aNow);
  }
  const bool hasJustEnded =
    state.limitEndedAt && aNow - *state.limitEndedAt < kStatementReportTime;
  if (aNotice.requestsPerSecond || hasJustEnded) {
    mStatements[aProcess] = { aNow, !aNotice.requestsPerSecond };
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
  // Nothing is added to what the VMs have already sent beyond the limit.
  const bool asks =
    left > 1 - kMaxAsks - kTolerance && asksAgain(aProcess, state, aNow);
  if (left < 1 - kTolerance && !asks) {
    return Admission::LimitReached;
  }
  const double part = std::max(left * kAdmittedPart, asks ? kUnreported : 0);
  const auto admission = admit(state, aPeers, part, aChance, aNow);
  if (admission == Admission::Admitted) {
    state.sends.push_back(aNow);
  }
  return admission;
}

/** @return true if nobody is known to have asked the upstream for some time */
bool
UpstreamNotices::asksAgain(peers::ProcessTag aProcess,
                           const State& aState,
                           base::TimePoint aNow) const
{
  const base::Duration interval = std::max(
    kAskInterval,
    base::fromSeconds(kAskPart / effectiveLimit(*aState.requestsPerSecond)));
  const auto latest = mStatements.find(aProcess);
  const base::TimePoint heardAt =
    latest == mStatements.end() ? aState.heardAt : latest->second.at;
  const bool sent =
    !aState.sends.empty() && aNow - aState.sends.back() < interval;
  return !sent && aNow - heardAt >= interval;
}

/** Divides requests between the VMs by their wants that all know. A VM with
 * none can't tell whether the others have some that it does not know yet.
 * @param aPeers use by the peers
 * @param aPart requests that all VMs together may send in the report delay */
Admission
UpstreamNotices::admit(const State& aState,
                       const peers::LimitUse& aPeers,
                       double aPart,
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
  const double competing = std::max(newWants, 1.0) + aPeers.recentWants;
  const double share = aPart * reportedWants / (reportedWants + aPeers.wants);
  const bool admitted =
    newSends < std::ceil(share) && aChance * competing < aPart;
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
UpstreamNotices::endLimit(State& aState, base::TimePoint aNow)
{
  aState.requestsPerSecond.reset();
  aState.limitEndedAt = aNow;
  aState.sends.clear();
  aState.wants.clear();
}

peers::LimitStatements
UpstreamNotices::statements(base::TimePoint aNow) const
{
  peers::LimitStatements statements;
  for (const auto& [process, statement] : mStatements) {
    if (aNow - statement.at < kStatementReportTime) {
      statements[process] = { aNow - statement.at, statement.ended };
    }
  }
  return statements;
}

/** A report makes a statement look later than it was, by the report delay at
 * most. One that may be older than what is known here is therefore ignored, and
 * VMs do not keep each other's statements alive. */
std::vector<peers::ProcessTag>
UpstreamNotices::merge(const peers::LimitStatements& aStatements,
                       base::TimePoint aNow)
{
  std::vector<peers::ProcessTag> ended;
  for (const auto& [process, reported] : aStatements) {
    const base::TimePoint at = aNow - reported.age;
    const auto known = mStatements.find(process);
    if (reported.age >= kStatementReportTime ||
        (known != mStatements.end() && at <= known->second.at + mReportDelay)) {
      continue;
    }
    mStatements[process] = { at, reported.ended };
    const auto state = mStates.find(process);
    if (reported.ended && state != mStates.end() &&
        state->second.requestsPerSecond) {
      endLimit(state->second, aNow);
      ended.push_back(process);
    }
  }
  return ended;
}

void
UpstreamNotices::expire(base::TimePoint aNow)
{
  std::erase_if(mStatements, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kNoticeLifetime;
  });
  std::erase_if(mStates, [aNow](const auto& aItem) {
    return aNow - aItem.second.heardAt > kNoticeLifetime &&
           aNow > aItem.second.turnsAwayUntil;
  });
}

} // namespace marigold::dispatch
