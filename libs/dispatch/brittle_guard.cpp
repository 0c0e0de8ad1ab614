#include "dispatch/brittle_guard.h"

#include <algorithm>
#include <cmath>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Rejections count over this time at the upstream. */
constexpr base::Duration kRejectionWindow = 1s;
/** Part of the survivable rejections up to which the VMs borrow places before
 * they know of each other's borrowing. */
constexpr double kBorrowPart = 0.25;
/** The same of the free places, because reports are old. */
constexpr double kBorrowFreePart = 0.5;
/** Places are taken for idle if so many requests want one of them in the report
 * delay. */
constexpr double kIdleFactor = 2;
/** Part of the survivable rejections at which nothing more is admitted. The
 * rest is for requests that are on their way meanwhile. */
constexpr double kStopPart = 0.5;
/** Upstreams answer all the time; what one of them said long ago may have
 * ended.
 */
constexpr base::Duration kStatementLifetime = 10s;
/** A statement is reported for this long after it was heard. */
constexpr base::Duration kReportTime = 5s;
constexpr base::Duration kStateLifetime = 1min;
/** Bounds the memory for an upstream that many requests ask for. */
constexpr std::size_t kMaxTimes = 1000;

double
countSince(const std::deque<base::TimePoint>& aTimes, base::TimePoint aSince)
{
  return static_cast<double>(
    aTimes.end() - std::upper_bound(aTimes.begin(), aTimes.end(), aSince));
}

void
add(std::deque<base::TimePoint>& aTimes, base::TimePoint aTime)
{
  if (aTimes.size() >= kMaxTimes) {
    aTimes.pop_front();
  }
  aTimes.push_back(aTime);
}

} // namespace

void
BrittleGuard::setFleet(std::size_t aVms, std::size_t aRank)
{
  mVms = std::max<std::size_t>(aVms, 1);
  mRank = std::min(aRank, mVms - 1);
}

bool
BrittleGuard::onAnswer(const catalog::ServiceName& aService,
                       peers::ProcessTag aProcess,
                       std::optional<std::uint32_t> aMaxRejections,
                       base::TimePoint aNow)
{
  const auto service = mServices.find(aService);
  if (!aMaxRejections && service == mServices.end()) {
    return false;
  }
  State& state = mStates[aProcess];
  state.statement = { aMaxRejections, aNow };
  state.changedAt = aNow;
  const bool wasBrittle =
    service != mServices.end() && service->second.maxRejections;
  mServices[aService] = { aMaxRejections, aNow };
  return wasBrittle != aMaxRejections.has_value();
}

void
BrittleGuard::onRejected(peers::ProcessTag aProcess, base::TimePoint aNow)
{
  const auto found = mStates.find(aProcess);
  if (found != mStates.end()) {
    add(found->second.rejections, aNow);
    found->second.changedAt = aNow;
  }
}

std::optional<std::uint32_t>
BrittleGuard::maxRejections(const catalog::ServiceName& aService,
                            peers::ProcessTag aProcess,
                            base::TimePoint aNow) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  const auto state = mStates.find(aProcess);
  if (state != mStates.end() && state->second.statement &&
      aNow - state->second.statement->at < kStatementLifetime) {
    return state->second.statement->maxRejections;
  }
  return aNow - service->second.at < kStatementLifetime
           ? service->second.maxRejections
           : std::nullopt;
}

void
BrittleGuard::dropExpired(State& aState, base::TimePoint aNow) const
{
  const auto drop = [aNow](std::deque<base::TimePoint>& aTimes,
                           base::Duration aAge) {
    while (!aTimes.empty() && aTimes.front() <= aNow - aAge) {
      aTimes.pop_front();
    }
  };
  drop(aState.wants, mReportDelay);
  drop(aState.rejections, kRejectionWindow);
}

/** Deals places out to the VMs one after the other, beginning at one that
 * differs between upstreams. A VM that is dealt a place keeps it if there are
 * more.
 * @return places of this VM; those of all VMs add up to the whole number of
 * places */
double
BrittleGuard::ownPlaces(peers::ProcessTag aProcess, double aPlaces) const
{
  const auto places = static_cast<std::size_t>(std::max(0.0, aPlaces));
  const std::uint64_t first = base::hash64(std::to_string(aProcess)) % mVms;
  const std::size_t position = (mRank + first) % mVms;
  const std::size_t own = places / mVms + (position < places % mVms ? 1 : 0);
  return static_cast<double>(own);
}

/** @return places beyond those of this VM that its requests take */
double
BrittleGuard::borrowed(peers::ProcessTag aProcess,
                       double aPlaces,
                       double aOwn) const
{
  return std::max(0.0, aOwn - ownPlaces(aProcess, aPlaces));
}

/** @return true if the VMs together may borrow places for all requests that
 * want the upstream, or by chance for some of them */
bool
BrittleGuard::mayBorrow(const State& aState,
                        std::uint32_t aMaxRejections,
                        const Places& aPlaces,
                        const peers::BrittleUse& aPeers,
                        double aChance,
                        base::TimePoint aNow) const
{
  const double heardPart =
    std::min(1.0, static_cast<double>(mHeard) / static_cast<double>(mVms));
  const double free = aPlaces.total * heardPart - aPlaces.taken;
  if (free < 1) {
    return false;
  }
  const double most =
    std::min(kBorrowFreePart * free, kBorrowPart * aMaxRejections);
  const double wants =
    std::max(countSince(aState.wants, aNow - mReportDelay), 1.0) + aPeers.wants;
  // With more demand, the owners of the places are about to use them.
  const double idle = std::min(1.0, kIdleFactor * free / wants);
  return aChance * wants < most * idle;
}

Admission
BrittleGuard::tryAdmit(peers::ProcessTag aProcess,
                       std::uint32_t aMaxRejections,
                       const Places& aPlaces,
                       const peers::BrittleUse& aPeers,
                       double aChance,
                       base::TimePoint aNow,
                       bool aRepeated)
{
  State& state = mStates[aProcess];
  state.changedAt = aNow;
  dropExpired(state, aNow);
  if (!aRepeated) {
    add(state.wants, aNow);
  }
  const double rejections =
    static_cast<double>(state.rejections.size()) + aPeers.rejections;
  const double stop = std::max(kStopPart * aMaxRejections, 1.0);
  const double usable = aPlaces.total * std::max(0.0, 1 - rejections / stop);
  state.places = aPlaces.total;
  const double beyond = borrowed(aProcess, aPlaces.total, aPlaces.own);
  // Those that are not heard borrow as much as the others.
  const double byPeers =
    aPeers.borrowed * static_cast<double>(mVms) /
    static_cast<double>(std::clamp<std::size_t>(mHeard, 1, mVms));
  const double part = ownPlaces(aProcess, usable - beyond - byPeers);
  if (aPlaces.own - beyond + 1 <= part && aPlaces.taken + 1 <= aPlaces.total) {
    return Admission::Admitted;
  }
  if (!aRepeated) {
    return Admission::AskAgain;
  }
  const bool borrows =
    rejections == 0 &&
    mayBorrow(state, aMaxRejections, aPlaces, aPeers, aChance, aNow);
  return borrows ? Admission::Admitted : Admission::LimitReached;
}

peers::BrittleUse
BrittleGuard::use(peers::ProcessTag aProcess,
                  std::uint32_t aOwn,
                  base::TimePoint aNow) const
{
  const auto found = mStates.find(aProcess);
  if (found == mStates.end()) {
    return {};
  }
  const State& state = found->second;
  return { static_cast<std::uint32_t>(
             countSince(state.wants, aNow - mReportDelay)),
           static_cast<std::uint32_t>(
             countSince(state.rejections, aNow - kRejectionWindow)),
           static_cast<std::uint32_t>(borrowed(aProcess, state.places, aOwn)) };
}

peers::BrittleServices
BrittleGuard::services(base::TimePoint aNow) const
{
  peers::BrittleServices services;
  for (const auto& [service, statement] : mServices) {
    if (statement.maxRejections && aNow - statement.at < kReportTime) {
      services[service] = { *statement.maxRejections, aNow - statement.at };
    }
  }
  return services;
}

void
BrittleGuard::merge(const peers::BrittleServices& aServices,
                    base::TimePoint aNow)
{
  for (const auto& [service, reported] : aServices) {
    const base::TimePoint at = aNow - reported.age;
    const auto known = mServices.find(service);
    // A report makes a statement look later than it was.
    const bool isNew =
      known == mServices.end() || at > known->second.at + mReportDelay;
    if (isNew && reported.age < kReportTime) {
      mServices[service] = { reported.maxRejections, at };
    }
  }
}

void
BrittleGuard::expire(base::TimePoint aNow)
{
  std::erase_if(mStates, [aNow](const auto& aItem) {
    return aNow - aItem.second.changedAt > kStateLifetime;
  });
  std::erase_if(mServices, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kStateLifetime;
  });
}

} // namespace marigold::dispatch
