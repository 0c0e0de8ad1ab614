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
constexpr double kMaxAsks = 4;
/** Offers to ask that the VMs together make in the report delay. More would
 * hold requests in vain. */
constexpr double kOffers = 6;
/** An offer stands for this many report delays, in which its request waits and
 * is answered. Then others may offer to ask. */
constexpr int kOfferLifetime = 4;
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

/** @return true if the first of two offers has precedence */
bool
isBefore(const peers::LimitAsk& aOne, const peers::LimitAsk& aOther)
{
  return aOne.statement != aOther.statement ? aOne.statement > aOther.statement
                                            : aOne.silence < aOther.silence;
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
    Statement& latest = mStatements[aProcess];
    latest = { latest.number + 1, aNow, !aNotice.requestsPerSecond };
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
  auto admission =
    left < 1 - kTolerance
      ? Admission::LimitReached
      : admit(state, aPeers, left * kAdmittedPart, aChance, aNow, aRepeated);
  if (admission != Admission::Admitted && left > 1 - kMaxAsks - kTolerance) {
    if (aRepeated && mayAsk(aProcess, state, aNow)) {
      admission = Admission::Admitted;
    } else if (!aRepeated &&
               offerToAsk(aProcess, state, aPeers, aChance, aNow)) {
      admission = Admission::AskAgain;
    }
  }
  if (admission == Admission::Admitted) {
    state.sends.push_back(aNow);
  }
  return admission;
}

/** @return true if the request of an offer may still be sent or answered */
bool
UpstreamNotices::isOpen(peers::ProcessTag aProcess,
                        const peers::LimitAsk& aAsk,
                        base::TimePoint aNow) const
{
  const auto latest = mStatements.find(aProcess);
  return latest != mStatements.end() &&
         aAsk.statement >= latest->second.number &&
         aNow - latest->second.at - aAsk.silence <
           kOfferLifetime * mReportDelay;
}

/** Offers to ask with a request that is held until the peers' offers are known.
 * @return true if the request is to be held */
bool
UpstreamNotices::offerToAsk(peers::ProcessTag aProcess,
                            State& aState,
                            const peers::LimitUse& aPeers,
                            double aChance,
                            base::TimePoint aNow)
{
  const auto latest = mStatements.find(aProcess);
  const auto known = mFirstAsks.find(aProcess);
  if (latest == mStatements.end() ||
      (known != mFirstAsks.end() && isOpen(aProcess, known->second, aNow))) {
    return false;
  }
  // Reports make the latest answer look later than it was.
  const base::Duration interval =
    std::max({ kAskInterval,
               2 * mReportDelay,
               base::fromSeconds(kAskPart /
                                 effectiveLimit(*aState.requestsPerSecond)) });
  base::TimePoint askedAt = latest->second.at;
  if (!aState.sends.empty()) {
    askedAt = std::max(askedAt, aState.sends.back());
  }
  const double newWants = countSince(aState.wants, aNow - mReportDelay);
  const bool demandIsKnown =
    aPeers.wants > 0 || static_cast<double>(aState.wants.size()) > newWants;
  const double competing = std::max(newWants, 1.0) + aPeers.recentWants;
  if (aNow + mReportDelay < askedAt + interval || !demandIsKnown ||
      aChance * competing >= kOffers) {
    return false;
  }
  aState.offer = { { latest->second.number, aNow - latest->second.at }, aNow };
  mFirstAsks[aProcess] = aState.offer->ask;
  return true;
}

/** @return true if this VM has made the first of the known offers, and the
 * others can have heard of it */
bool
UpstreamNotices::mayAsk(peers::ProcessTag aProcess,
                        const State& aState,
                        base::TimePoint aNow) const
{
  const auto first = mFirstAsks.find(aProcess);
  return aState.offer && first != mFirstAsks.end() &&
         first->second == aState.offer->ask &&
         aNow - aState.offer->at >= mReportDelay &&
         isOpen(aProcess, aState.offer->ask, aNow) &&
         (aState.sends.empty() || aState.sends.back() < aState.offer->at);
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
                       base::TimePoint aNow,
                       bool aRepeated) const
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
  if (const auto admission =
        admitInOrder(aState, aPeers, reportedWants, aNow, aRepeated)) {
    return *admission;
  }
  const double competing = std::max(newWants, 1.0) + aPeers.recentWants;
  const double share = aPart * reportedWants / (reportedWants + aPeers.wants);
  const bool admitted =
    newSends < std::ceil(share) && aChance * competing < aPart;
  return admitted ? Admission::Admitted : Admission::LimitReached;
}

/** Admits the first requests of a demand that has just begun everywhere. The
 * number of those that compete is not known yet, but a request that was held
 * for the report delay knows how many came before it.
 * @return nothing if the demand has lasted longer */
std::optional<Admission>
UpstreamNotices::admitInOrder(const State& aState,
                              const peers::LimitUse& aPeers,
                              double aReportedWants,
                              base::TimePoint aNow,
                              bool aRepeated) const
{
  const double wants = static_cast<double>(aState.wants.size());
  const bool hasJustBegun =
    aPeers.wants <= aPeers.recentWants &&
    countSince(aState.wants, aNow - 2 * mReportDelay) == wants;
  if (!hasJustBegun) {
    return std::nullopt;
  }
  const double allowed = effectiveLimit(*aState.requestsPerSecond) *
                           base::inSeconds(window(aState)) +
                         kTolerance;
  const double position = aPeers.wants + (aRepeated ? aReportedWants : wants);
  if (position > allowed) {
    return Admission::LimitReached;
  }
  return aRepeated ? Admission::Admitted : Admission::AskAgain;
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
  aState.offer.reset();
}

peers::LimitStatements
UpstreamNotices::statements(base::TimePoint aNow) const
{
  peers::LimitStatements statements;
  for (const auto& [process, statement] : mStatements) {
    if (aNow - statement.at < kStatementReportTime) {
      statements[process] = { statement.number,
                              aNow - statement.at,
                              statement.ended };
    }
  }
  return statements;
}

/** A report makes a statement look later than it was, by the report delay at
 * most. An end that may be older than what is known here is therefore ignored.
 */
std::vector<peers::ProcessTag>
UpstreamNotices::merge(const peers::LimitStatements& aStatements,
                       base::TimePoint aNow)
{
  std::vector<peers::ProcessTag> ended;
  for (const auto& [process, reported] : aStatements) {
    const base::TimePoint at = aNow - reported.age;
    const auto known = mStatements.find(process);
    const bool isNew =
      known == mStatements.end() ||
      (reported.number > known->second.number &&
       (!reported.ended || at > known->second.at + mReportDelay));
    if (reported.age >= kStatementReportTime || !isNew) {
      continue;
    }
    mStatements[process] = { reported.number, at, reported.ended };
    const auto state = mStates.find(process);
    if (reported.ended && state != mStates.end() &&
        state->second.requestsPerSecond) {
      endLimit(state->second, aNow);
      ended.push_back(process);
    }
  }
  return ended;
}

peers::LimitAsks
UpstreamNotices::asks(base::TimePoint aNow) const
{
  peers::LimitAsks asks = mFirstAsks;
  std::erase_if(asks, [this, aNow](const auto& aItem) {
    return !isOpen(aItem.first, aItem.second, aNow);
  });
  return asks;
}

void
UpstreamNotices::merge(const peers::LimitAsks& aAsks, base::TimePoint aNow)
{
  for (const auto& [process, ask] : aAsks) {
    const auto known = mFirstAsks.find(process);
    const bool isFirst = known == mFirstAsks.end() ||
                         !isOpen(process, known->second, aNow) ||
                         isBefore(ask, known->second);
    if (isFirst && isOpen(process, ask, aNow)) {
      mFirstAsks[process] = ask;
    }
  }
}

void
UpstreamNotices::expire(base::TimePoint aNow)
{
  std::erase_if(mFirstAsks, [this, aNow](const auto& aItem) {
    return !isOpen(aItem.first, aItem.second, aNow);
  });
  std::erase_if(mStatements, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kNoticeLifetime;
  });
  std::erase_if(mStates, [aNow](const auto& aItem) {
    return aNow - aItem.second.heardAt > kNoticeLifetime &&
           aNow > aItem.second.turnsAwayUntil;
  });
}

} // namespace marigold::dispatch
