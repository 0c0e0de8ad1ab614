/** @file The lender's side of loans. */
#include "limits/policy.h"
#include "limits/share.h"

#include <algorithm>

namespace marigold::limits {
namespace {

/** Loans below this part of the lender's share are not worth their messages. */
constexpr double kLeastPart = 0.01;

} // namespace

LoanGrant
Share::offer(const LoanRequest& aRequest, bool aAll, base::TimePoint aNow) const
{
  LoanGrant grant{ aRequest.id, mTeam, 0, 0, 0, kLoanTerm, 0 };
  const double demand = aAll ? 0.0 : mDemand.perSecond(aNow);
  const double freeRate = std::max(0.0, ownRate() - lentRate());
  const double freeCapacity = std::max(0.0, ownCapacity() - lentCapacity());
  const double spareRate = std::max(0.0, freeRate - demand * kLendMargin);
  const double reserve =
    demand * (aRequest.urgent ? kUrgentReserve : kTokenReserve);
  const double spareTokens = std::max(0.0, mBucket.level() - reserve);
  const double tokens =
    std::min({ aRequest.tokens, spareTokens, freeCapacity });
  const double rate = std::min(aRequest.rate, spareRate);
  const bool worthIt = tokens > mSlotCapacity * kLeastPart ||
                       tokens >= aRequest.tokens ||
                       rate > mSlotRate * kLeastPart;
  if (!mWaiting.empty() || !worthIt || (tokens <= 0 && rate <= 0)) {
    return grant;
  }
  // Capacity goes along with the rate, so that the borrower can save up, but
  // the lender keeps room for the tokens that stay.
  const double along = mSlotRate > 0 ? mSlotCapacity * rate / mSlotRate : 0.0;
  const double room =
    std::max(tokens, freeCapacity - (mBucket.level() - tokens));
  grant.tokens = tokens;
  grant.rate = rate;
  grant.capacity = std::min({ std::max(tokens, along), room, freeCapacity });
  return grant;
}

void
Share::onRequest(const base::VmName& aFrom,
                 const LoanRequest& aRequest,
                 bool aAll,
                 base::TimePoint aNow,
                 Actions& aOut)
{
  advance(aNow);
  if (aRequest.renewal > 0) {
    prolong(aRequest, aNow, aOut);
    return;
  }
  if (mLent.contains(aRequest.id)) {
    return; // a duplicate of a request that was granted
  }
  const LoanGrant grant = offer(aRequest, aAll, aNow);
  if (grant.rate > 0 || grant.capacity > 0) {
    // Deducted before it is sent: until it is reclaimed, the budget exists
    // either in the message or at the borrower.
    mBucket.take(grant.tokens);
    mLent[aRequest.id] = { aFrom,
                           grant.rate,
                           grant.capacity,
                           aNow + base::fromSeconds(base::inSeconds(kLoanTerm) *
                                                    kReclaimFactor),
                           {} };
    resize();
    ++mCounts.granted;
  }
  aOut.send.push_back({ aFrom, grant });
}

void
Share::prolong(const LoanRequest& aRequest, base::TimePoint aNow, Actions& aOut)
{
  const auto loan = mLent.find(aRequest.id);
  if (loan == mLent.end()) {
    return;
  }
  const double keep = std::max(0.0, ownRate() - lentRate());
  const bool needsIt =
    !mWaiting.empty() || mDemand.perSecond(aNow) > keep * kLendMargin;
  // After a cut of the limit a loan of the old size must end with its term.
  const bool overlent =
    lentRate() > ownRate() || lentCapacity() > ownCapacity();
  if (needsIt || overlent) {
    aOut.send.push_back({ loan->second.to, LoanRecall{ aRequest.id, mTeam } });
    return;
  }
  // A later reclaim is always safe, so a renewal needs no answer to be sound.
  loan->second.reclaimAt = std::max(
    loan->second.reclaimAt,
    aNow + base::fromSeconds(base::inSeconds(kLoanTerm) * kReclaimFactor));
  aOut.send.push_back(
    { loan->second.to,
      LoanGrant{ aRequest.id, mTeam, 0, 0, 0, kLoanTerm, aRequest.renewal } });
}

void
Share::onReturn(const base::VmName& aFrom,
                const LoanReturn& aReturn,
                base::TimePoint aNow)
{
  advance(aNow);
  const auto loan = mLent.find(aReturn.id);
  // Tokens of a loan that was reclaimed meanwhile are void: its capacity is
  // in use again.
  if (loan == mLent.end() || loan->second.to != aFrom) {
    return;
  }
  const double tokens = std::min(aReturn.tokens, loan->second.capacity);
  mLent.erase(loan);
  resize();
  mBucket.add(std::max(0.0, tokens));
}

void
Share::recall(base::TimePoint aNow, Actions& aOut)
{
  for (auto& [id, loan] : mLent) {
    if (aNow - loan.recalledAt >= kRenewRetry) {
      loan.recalledAt = aNow;
      aOut.send.push_back({ loan.to, LoanRecall{ id, mTeam } });
    }
  }
}

} // namespace marigold::limits
