#include "request/model_queue.h"

#include <algorithm>
#include <tuple>

namespace marigold::request {
namespace {

/** Seconds of a team's rate that it may use at once before it counts as above
 * its rate; shorter spans would punish requests that arrive in pairs. */
constexpr double kCreditSeconds = 2;

bool
canStillBeMet(const Waiting& aWaiting, base::TimePoint aNow)
{
  return aNow + aWaiting.leastTime <= aWaiting.deadline;
}

} // namespace

void
ModelQueue::setRate(const base::TeamName& aTeam, double aRate)
{
  const auto [place, added] = mCredits.try_emplace(aTeam);
  Credit& credit = place->second;
  if (added || credit.rate <= 0) {
    credit.tokens = aRate * kCreditSeconds;
  }
  credit.rate = aRate;
}

bool
ModelQueue::aboveRate(const base::TeamName& aTeam, base::TimePoint aNow)
{
  const auto found = mCredits.find(aTeam);
  if (found == mCredits.end()) {
    return false;
  }
  Credit& credit = found->second;
  if (aNow > credit.filledAt) {
    const double added = credit.rate * base::inSeconds(aNow - credit.filledAt);
    credit.tokens =
      std::min(credit.rate * kCreditSeconds, credit.tokens + added);
    credit.filledAt = aNow;
  }
  return credit.tokens < 0;
}

bool
ModelQueue::before(const Waiting& aLeft,
                   const Waiting& aRight,
                   base::TimePoint aNow)
{
  const auto key = [&](const Waiting& aWaiting) {
    return std::tuple(aboveRate(aWaiting.team, aNow),
                      aWaiting.deadline + aWaiting.priority * kPriorityStep,
                      std::string_view(aWaiting.id));
  };
  return key(aLeft) < key(aRight);
}

Offered
ModelQueue::offer(const Waiting& aWaiting, base::TimePoint aNow)
{
  if (!canStillBeMet(aWaiting, aNow)) {
    return { base::Code::DeadlineUnreachable, {} };
  }
  if (mWaiting.size() < mCapacity) {
    mWaiting.push_back(aWaiting);
    return {};
  }
  std::map<base::TeamName, std::size_t> counts;
  for (const Waiting& waiting : mWaiting) {
    ++counts[waiting.team];
  }
  ++counts[aWaiting.team];
  // The team with the most places gives one up; a team that fills the queue
  // can then never keep another one out.
  const auto less = [&](const Waiting& aLeft, const Waiting& aRight) {
    const auto key = [&](const Waiting& aItem) {
      return std::tuple(aboveRate(aItem.team, aNow), counts[aItem.team]);
    };
    return key(aLeft) != key(aRight) ? key(aLeft) < key(aRight)
                                     : before(aLeft, aRight, aNow);
  };
  const auto last = std::max_element(mWaiting.begin(), mWaiting.end(), less);
  if (last == mWaiting.end() || !less(aWaiting, *last)) {
    return { base::Code::Overloaded, {} };
  }
  Offered offered{ base::Code::Ok, *last };
  *last = aWaiting;
  return offered;
}

std::vector<Waiting>
ModelQueue::shed(base::TimePoint aNow)
{
  std::vector<Waiting> removed;
  std::erase_if(mWaiting, [&](const Waiting& aWaiting) {
    if (canStillBeMet(aWaiting, aNow)) {
      return false;
    }
    removed.push_back(aWaiting);
    return true;
  });
  return removed;
}

std::optional<Waiting>
ModelQueue::take(base::TimePoint aNow)
{
  std::optional<std::size_t> best;
  for (std::size_t place = 0; place < mWaiting.size(); ++place) {
    const bool better =
      canStillBeMet(mWaiting[place], aNow) &&
      (!best || before(mWaiting[place], mWaiting[*best], aNow));
    if (better) {
      best = place;
    }
  }
  if (!best) {
    return {};
  }
  Waiting taken = mWaiting[*best];
  mWaiting.erase(mWaiting.begin() + static_cast<std::ptrdiff_t>(*best));
  if (const auto credit = mCredits.find(taken.team); credit != mCredits.end()) {
    credit->second.tokens -= taken.cost;
  }
  return taken;
}

void
ModelQueue::remove(const std::string& aId)
{
  std::erase_if(mWaiting,
                [&](const Waiting& aWaiting) { return aWaiting.id == aId; });
}

std::optional<base::TimePoint>
ModelQueue::earliestDeadline() const
{
  std::optional<base::TimePoint> earliest;
  for (const Waiting& waiting : mWaiting) {
    if (!earliest || waiting.deadline < *earliest) {
      earliest = waiting.deadline;
    }
  }
  return earliest;
}

} // namespace marigold::request
