#include "limits/share.h"

#include "limits/policy.h"

#include <algorithm>

namespace marigold::limits {

double
Share::lentRate() const
{
  double sum = 0;
  for (const auto& [id, loan] : mLent) {
    sum += loan.rate;
  }
  return sum;
}

double
Share::lentCapacity() const
{
  double sum = 0;
  for (const auto& [id, loan] : mLent) {
    sum += loan.capacity;
  }
  return sum;
}

void
Share::resize()
{
  // A lower limit or a lost slot can leave less than what is lent.
  double rate = std::max(0.0, ownRate() - lentRate());
  double capacity = std::max(0.0, ownCapacity() - lentCapacity());
  for (const auto& [id, loan] : mBorrowed) {
    rate += loan.rate;
    capacity += loan.capacity;
  }
  mBucket.resize(rate, capacity);
}

void
Share::setLimit(double aRate,
                double aCapacity,
                double aBurst,
                base::TimePoint aNow)
{
  advance(aNow);
  mSlotRate = aRate;
  mSlotCapacity = aCapacity;
  mBurst = aBurst;
  resize();
}

void
Share::setSlot(const std::optional<SlotTerm>& aSlot, base::TimePoint aNow)
{
  advance(aNow);
  mSlot = aSlot;
  mShareValid = aSlot && aSlot->settledAt <= aNow && aNow < aSlot->validUntil;
  resize();
}

std::optional<base::TimePoint>
Share::nextBoundary() const
{
  std::optional<base::TimePoint> next;
  const auto consider = [&next](base::TimePoint aAt) {
    if (!next || aAt < *next) {
      next = aAt;
    }
  };
  for (const auto& [id, loan] : mBorrowed) {
    consider(loan.until);
  }
  for (const auto& [id, loan] : mLent) {
    consider(loan.reclaimAt);
  }
  if (mSlot) {
    consider(mShareValid ? mSlot->validUntil : mSlot->settledAt);
  }
  return next;
}

void
Share::applyBoundary(base::TimePoint aAt)
{
  std::erase_if(mBorrowed,
                [aAt](const auto& aLoan) { return aLoan.second.until <= aAt; });
  std::erase_if(
    mLent, [aAt](const auto& aLoan) { return aLoan.second.reclaimAt <= aAt; });
  if (mSlot && mSlot->validUntil <= aAt) {
    mSlot.reset();
    mShareValid = false;
  }
  if (mSlot && mSlot->settledAt <= aAt) {
    mShareValid = true;
  }
  resize();
}

void
Share::advance(base::TimePoint aNow)
{
  for (auto next = nextBoundary(); next && *next <= aNow;
       next = nextBoundary()) {
    mBucket.fill(*next);
    applyBoundary(*next);
  }
  mBucket.fill(aNow);
}

std::optional<Charge>
Share::admit(double aCost, base::TimePoint aNow)
{
  advance(aNow);
  mDemand.add(aCost, aNow);
  // Requests that already wait go first.
  if (!mWaiting.empty() || !mBucket.take(aCost)) {
    return std::nullopt;
  }
  ++mCounts.admitted;
  return Charge{ mTeam, aCost, aNow };
}

void
Share::wait(Ticket aTicket, double aCost, base::TimePoint aNow)
{
  ++mCounts.waited;
  mWaiting.push_back({ aTicket, aCost, aNow + kHold });
}

double
Share::refund(const Charge& aCharge, double aUnused, base::TimePoint aNow)
{
  advance(aNow);
  const double back = mBucket.refund(aCharge.at, aUnused);
  mDemand.add(-back, aNow);
  return back;
}

double
Share::waitingCost() const
{
  double sum = 0;
  for (const Waiter& waiter : mWaiting) {
    sum += waiter.cost;
  }
  return sum;
}

void
Share::settleWaiting(base::TimePoint aNow, Actions& aOut)
{
  advance(aNow);
  while (!mWaiting.empty() && mBucket.take(mWaiting.front().cost)) {
    const Waiter& first = mWaiting.front();
    ++mCounts.admitted;
    aOut.decided.push_back({ first.ticket, true, { mTeam, first.cost, aNow } });
    mWaiting.pop_front();
  }
  const bool pending = answersPending(aNow);
  double ahead = 0;
  std::erase_if(mWaiting, [&](const Waiter& aWaiter) {
    const double earned =
      mBucket.rate() * base::inSeconds(aWaiter.deadline - aNow);
    const bool hopeful =
      pending || mBucket.level() + earned >= ahead + aWaiter.cost;
    if (aNow < aWaiter.deadline && hopeful) {
      ahead += aWaiter.cost;
      return false;
    }
    ++mCounts.refused;
    aOut.decided.push_back({ aWaiter.ticket, false, {} });
    return true;
  });
}

} // namespace marigold::limits
