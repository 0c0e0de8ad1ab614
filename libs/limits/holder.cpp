#include "limits/holder.h"

#include "limits/policy.h"

#include <algorithm>

namespace marigold::limits {
namespace {

bool
declares(const FleetLimits& aLimits, const base::TeamName& aTeam)
{
  return std::any_of(
    aLimits.teams.begin(),
    aLimits.teams.end(),
    [&aTeam](const TeamLimit& aLimit) { return aLimit.team == aTeam; });
}

} // namespace

Holder::Holder(const base::VmName& aSelf, base::Incarnation aIncarnation)
  : mPrefix(aSelf + "/" + std::to_string(aIncarnation) + "/")
{
}

void
Holder::setLimits(const FleetLimits& aLimits, base::TimePoint aNow)
{
  const double slots = std::max(1, aLimits.slots);
  // A team that left the manifest stays with nothing, until its loans end. The
  // others must not pass through a capacity of 0, which would take their
  // tokens.
  for (auto& [name, share] : mShares) {
    if (!declares(aLimits, name)) {
      share.setLimit(0, 0, 0, aNow);
    }
  }
  for (const TeamLimit& limit : aLimits.teams) {
    const auto [share, isNew] = mShares.try_emplace(limit.team, limit.team);
    if (isNew) {
      share->second.setSlot(mSlot, aNow);
    }
    share->second.setLimit(limit.rate * kClockMargin / slots,
                           limit.burst / slots,
                           limit.burst,
                           aNow);
  }
}

void
Holder::setSlot(const std::optional<SlotTerm>& aSlot, base::TimePoint aNow)
{
  mSlot = aSlot;
  for (auto& [name, share] : mShares) {
    share.setSlot(aSlot, aNow);
  }
}

void
Holder::setPeers(std::vector<base::VmName> aPeers)
{
  mPeers = std::move(aPeers);
}

Admission
Holder::admit(const base::TeamName& aTeam,
              double aCost,
              base::TimePoint aNow,
              Actions& aOut)
{
  const auto found = mShares.find(aTeam);
  if (found == mShares.end()) {
    return { Verdict::UnknownTeam, {}, 0 };
  }
  Share& share = found->second;
  if (aCost > share.burst()) {
    return { Verdict::CostAboveBurst, {}, 0 };
  }
  if (const auto charge = share.admit(aCost, aNow)) {
    share.borrow(mPrefix, mNextLoan, mPeers, aNow, aOut);
    return { Verdict::Admitted, *charge, 0 };
  }
  const Ticket ticket = ++mNextTicket;
  share.wait(ticket, aCost, aNow);
  share.borrow(mPrefix, mNextLoan, mPeers, aNow, aOut);
  share.settleWaiting(aNow, aOut);
  const auto own = std::find_if(
    aOut.decided.begin(), aOut.decided.end(), [ticket](const Decided& aEnd) {
      return aEnd.ticket == ticket;
    });
  if (own == aOut.decided.end()) {
    return { Verdict::Waiting, {}, ticket };
  }
  const Decided decided = *own;
  aOut.decided.erase(own);
  return { decided.admitted ? Verdict::Admitted : Verdict::Refused,
           decided.charge,
           0 };
}

double
Holder::refund(const Charge& aCharge,
               double aUnused,
               base::TimePoint aNow,
               Actions& aOut)
{
  const auto found = mShares.find(aCharge.team);
  if (found == mShares.end()) {
    return 0;
  }
  const double back = found->second.refund(aCharge, aUnused, aNow);
  found->second.settleWaiting(aNow, aOut);
  return back;
}

Actions
Holder::onMessage(const base::VmName& aFrom,
                  const Message& aMessage,
                  base::TimePoint aNow)
{
  Actions out;
  const auto& team = std::visit(
    [](const auto& aAny) -> const base::TeamName& { return aAny.team; },
    aMessage);
  const auto found = mShares.find(team);
  if (found == mShares.end()) {
    return out;
  }
  Share& share = found->second;
  if (const auto* request = std::get_if<LoanRequest>(&aMessage)) {
    share.onRequest(aFrom, *request, mStopping, aNow, out);
  } else if (const auto* grant = std::get_if<LoanGrant>(&aMessage)) {
    share.onGrant(aFrom, *grant, aNow, out);
  } else if (const auto* returned = std::get_if<LoanReturn>(&aMessage)) {
    share.onReturn(aFrom, *returned, aNow);
    share.settleWaiting(aNow, out);
  } else if (const auto* recall = std::get_if<LoanRecall>(&aMessage)) {
    share.onRecall(aFrom, *recall, aNow, out);
  } else if (const auto* offer = std::get_if<LoanOffer>(&aMessage)) {
    share.onOffer(
      aFrom, *offer, mPrefix + std::to_string(++mNextLoan), aNow, out);
  }
  return out;
}

Actions
Holder::tick(base::TimePoint aNow)
{
  Actions out;
  for (auto& [name, share] : mShares) {
    share.advance(aNow);
    share.settleWaiting(aNow, out);
    if (!mStopping) {
      share.borrow(mPrefix, mNextLoan, mPeers, aNow, out);
      share.tendLoans(aNow, out);
    }
  }
  return out;
}

Actions
Holder::stop(base::TimePoint aNow)
{
  mStopping = true;
  Actions out;
  for (auto& [name, share] : mShares) {
    share.handOver(aNow, mPeers.empty() ? "" : mPeers.front(), out);
  }
  return out;
}

} // namespace marigold::limits
