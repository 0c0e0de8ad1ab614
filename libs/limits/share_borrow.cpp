/** @file The borrower's side of loans. */
#include "limits/policy.h"
#include "limits/share.h"

#include <algorithm>

namespace marigold::limits {

double
Share::lastingRate(base::TimePoint aNow) const
{
  double rate = std::max(0.0, ownRate() - lentRate());
  for (const auto& [id, loan] : mBorrowed) {
    rate += loan.until - aNow > kReturnAhead ? loan.rate : 0.0;
  }
  return rate;
}

bool
Share::answersPending(base::TimePoint aNow) const
{
  return std::any_of(mAsked.begin(), mAsked.end(), [aNow](const auto& aEntry) {
    return aNow - aEntry.second.sentAt < kAnswerTimeout;
  });
}

void
Share::noteDry(const base::VmName& aPeer,
               base::Duration aLeast,
               base::TimePoint aNow)
{
  PeerMood& mood = mMoods[aPeer];
  mood.backoff = std::clamp(mood.backoff * 2, aLeast, kDryMax);
  mood.dryUntil = aNow + mood.backoff;
}

void
Share::forgetLostRequests(base::TimePoint aNow)
{
  for (auto entry = mAsked.begin(); entry != mAsked.end();) {
    const base::Duration age = aNow - entry->second.sentAt;
    if (age >= kAnswerTimeout && !entry->second.lost) {
      entry->second.lost = true;
      noteDry(entry->second.peer, kDryMin, aNow);
    }
    // A grant that arrives after the term is worth nothing.
    entry = age >= kLoanTerm ? mAsked.erase(entry) : std::next(entry);
  }
}

Share::Shortage
Share::shortage(base::TimePoint aNow) const
{
  const double demand = mDemand.perSecond(aNow);
  const double queued = waitingCost();
  const double level = mBucket.level() - queued;
  Shortage missing;
  missing.rate = std::max(0.0, demand * kRateMargin - lastingRate(aNow));
  const double target = std::min(mBurst, demand * kTokenTarget);
  missing.tokens = std::max(0.0, target - level);
  // A gap in the rate is no reason to ask while there are tokens.
  const bool low = level < std::min(mBurst, demand * kLowLevel);
  return queued > 0 || low ? missing : Shortage{};
}

std::vector<base::VmName>
Share::choosePeers(const std::vector<base::VmName>& aPeers,
                   base::TimePoint aNow)
{
  std::vector<base::VmName> chosen;
  const auto open = static_cast<std::size_t>(
    std::count_if(mAsked.begin(), mAsked.end(), [](const auto& aEntry) {
      return !aEntry.second.lost;
    }));
  const std::size_t most = std::min(mAskNext, kMostAsked);
  for (std::size_t step = 0;
       step < aPeers.size() && chosen.size() + open < most;
       ++step) {
    // The nearest peer comes first. The others take turns, so that in a large
    // fleet each of them is asked.
    const std::size_t turn =
      step == 0 ? 0 : 1 + (mRotation + step) % (aPeers.size() - 1);
    const base::VmName& peer = aPeers[turn];
    const auto mood = mMoods.find(peer);
    const bool dry = mood != mMoods.end() && aNow < mood->second.dryUntil;
    const bool busy =
      std::any_of(mAsked.begin(), mAsked.end(), [&peer](const auto& aEntry) {
        return aEntry.second.peer == peer && !aEntry.second.lost;
      });
    if (!dry && !busy) {
      chosen.push_back(peer);
    }
  }
  mRotation += chosen.size();
  return chosen;
}

void
Share::borrow(const std::string& aPrefix,
              std::uint64_t& aNext,
              const std::vector<base::VmName>& aPeers,
              base::TimePoint aNow,
              Actions& aOut)
{
  advance(aNow);
  forgetLostRequests(aNow);
  const Shortage missing = shortage(aNow);
  if (missing.tokens <= 0 && missing.rate <= 0) {
    mAskNext = 0;
    return;
  }
  if (aNow - mAskedAt < kAskPeriod) {
    return;
  }
  mAskNext =
    std::max(mAskNext * 2, mWaiting.empty() ? kFirstAsked : kFirstAskedUrgent);
  mAskNext = std::min(mAskNext, kMostAsked);
  recall(aNow, aOut);
  const std::vector<base::VmName> peers = choosePeers(aPeers, aNow);
  if (peers.empty()) {
    return;
  }
  mAskedAt = aNow;
  // Each peer is asked for twice its part, because some lend nothing.
  const double part = std::min(1.0, 2.0 / static_cast<double>(peers.size()));
  for (const base::VmName& peer : peers) {
    const LoanId id = aPrefix + std::to_string(++aNext);
    mAsked[id] = { peer, aNow, false };
    ++mCounts.asked;
    aOut.send.push_back({ peer,
                          LoanRequest{ id,
                                       mTeam,
                                       missing.tokens * part,
                                       missing.rate * part,
                                       0,
                                       !mWaiting.empty() } });
  }
}

void
Share::onGrant(const base::VmName& aFrom,
               const LoanGrant& aGrant,
               base::TimePoint aNow,
               Actions& aOut)
{
  advance(aNow);
  if (aGrant.renewal > 0) {
    const auto loan = mBorrowed.find(aGrant.id);
    if (loan != mBorrowed.end() && loan->second.renewing &&
        loan->second.renewal == aGrant.renewal) {
      loan->second.renewing = false;
      loan->second.until = loan->second.renewalSentAt + aGrant.term;
    }
    return;
  }
  // Each request takes one grant: a duplicate finds it gone.
  const auto asked = mAsked.find(aGrant.id);
  if (asked == mAsked.end() || asked->second.peer != aFrom) {
    return;
  }
  const base::TimePoint until = asked->second.sentAt + aGrant.term;
  const base::TimePoint sentAt = asked->second.sentAt;
  mAsked.erase(asked);
  const bool empty = aGrant.rate <= 0 && aGrant.capacity <= 0;
  if (empty || until <= aNow) {
    noteDry(aFrom, kDryMin, aNow);
    settleWaiting(aNow, aOut);
    return;
  }
  mMoods.erase(aFrom);
  mBorrowed[aGrant.id] = { aFrom,  aGrant.rate, aGrant.capacity,
                           sentAt, until,       0,
                           {},     false };
  resize();
  mBucket.add(std::min(aGrant.tokens, aGrant.capacity));
  settleWaiting(aNow, aOut);
}

bool
Share::needed(const Borrowed& aLoan, double aMargin, base::TimePoint aNow) const
{
  const double demand = mDemand.perSecond(aNow);
  const double rateLeft = mBucket.rate() - aLoan.rate;
  const double capacityLeft = mBucket.capacity() - aLoan.capacity;
  return !mWaiting.empty() || rateLeft < demand * aMargin ||
         capacityLeft < std::min(mBurst, demand * kTokenTarget);
}

void
Share::giveBack(LoanId aId, Actions& aOut)
{
  const auto found = mBorrowed.find(aId);
  if (found == mBorrowed.end()) {
    return;
  }
  const Borrowed loan = found->second;
  const double part = mBucket.capacity() > 0
                        ? std::min(1.0, loan.capacity / mBucket.capacity())
                        : 0.0;
  const double tokens = mBucket.level() * part;
  // Deducted before it is sent, like a grant.
  mBorrowed.erase(found);
  mBucket.take(tokens);
  resize();
  aOut.send.push_back(
    { loan.from, LoanReturn{ std::move(aId), mTeam, tokens } });
}

void
Share::tendLoans(base::TimePoint aNow, Actions& aOut)
{
  advance(aNow);
  std::vector<LoanId> ids;
  for (const auto& [id, loan] : mBorrowed) {
    ids.push_back(id);
  }
  for (const LoanId& id : ids) {
    Borrowed& loan = mBorrowed.at(id);
    const base::Duration left = loan.until - aNow;
    const bool keep =
      aNow - loan.since < kLeastKept || needed(loan, kReturnMargin, aNow);
    if (left < kReturnAhead || !keep) {
      giveBack(id, aOut);
      continue;
    }
    if (left < kRenewAhead && aNow - loan.renewalSentAt >= kRenewRetry &&
        needed(loan, kRenewMargin, aNow)) {
      loan.renewalSentAt = aNow;
      loan.renewing = true;
      ++loan.renewal;
      aOut.send.push_back(
        { loan.from, LoanRequest{ id, mTeam, 0, 0, loan.renewal, false } });
    }
  }
}

void
Share::handOver(base::TimePoint aNow, const base::VmName& aHeir, Actions& aOut)
{
  advance(aNow);
  while (!mBorrowed.empty()) {
    giveBack(mBorrowed.begin()->first, aOut);
  }
  if (!aHeir.empty() && mBucket.level() > 0) {
    aOut.send.push_back(
      { aHeir, LoanOffer{ mTeam, mBucket.level(), mBucket.rate() } });
  }
}

void
Share::onOffer(const base::VmName& aFrom,
               const LoanOffer& aOffer,
               LoanId aId,
               base::TimePoint aNow,
               Actions& aOut)
{
  mAsked[aId] = { aFrom, aNow, false };
  aOut.send.push_back(
    { aFrom,
      LoanRequest{
        std::move(aId), mTeam, aOffer.tokens, aOffer.rate, 0, false } });
}

void
Share::onRecall(const base::VmName& aFrom,
                const LoanRecall& aRecall,
                base::TimePoint aNow,
                Actions& aOut)
{
  advance(aNow);
  const auto loan = mBorrowed.find(aRecall.id);
  if (loan != mBorrowed.end() && loan->second.from == aFrom) {
    giveBack(aRecall.id, aOut);
  }
}

} // namespace marigold::limits
