/** @file One team's budget at one VM: share, loans, waiting requests. */
#pragma once

#include "limits/bucket.h"
#include "limits/demand.h"
#include "limits/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace marigold::limits {

/** A slot that a VM holds. */
struct SlotTerm
{
  base::TimePoint settledAt;  ///< the share counts from here
  base::TimePoint validUntil; ///< and until here
};

/** A loan as its lender sees it. */
struct Lent
{
  base::VmName to;
  double rate = 0;
  double capacity = 0;
  base::TimePoint reclaimAt;
  base::TimePoint recalledAt; ///< time of the last recall
};

/** A loan as its borrower sees it. */
struct Borrowed
{
  base::VmName from;
  double rate = 0;
  double capacity = 0;
  base::TimePoint since;
  base::TimePoint until;
  std::uint32_t renewal = 0; ///< number of the last renewal
  base::TimePoint renewalSentAt;
  bool renewing = false;
};

/** A request for a loan that has no answer yet. */
struct Asked
{
  base::VmName peer;
  base::TimePoint sentAt;
  bool lost = false; ///< no answer within kAnswerTimeout
};

/** Counts for metrics and measurements. */
struct ShareCounts
{
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t waited = 0;
  std::uint64_t asked = 0;
  std::uint64_t granted = 0; ///< loans given
};

/**
 * The budget of one team at one VM. The bucket's rate and capacity are the own
 * share without what is lent, plus what is borrowed. The sums over all VMs stay
 * within the team's limit, because a lender deducts before it sends and a
 * borrower's term ends before the lender reclaims.
 */
class Share
{
public:
  /** @param aTeam team */
  explicit Share(base::TeamName aTeam)
    : mTeam(std::move(aTeam))
  {
  }

  /** @param aRate rate of a slot @param aCapacity burst of a slot
   * @param aBurst burst of the whole team @param aNow current time */
  void setLimit(double aRate,
                double aCapacity,
                double aBurst,
                base::TimePoint aNow);

  /** @param aSlot slot held, if any @param aNow current time */
  void setSlot(const std::optional<SlotTerm>& aSlot, base::TimePoint aNow);

  /** Applies every expiry up to now in order of time. @param aNow time */
  void advance(base::TimePoint aNow);

  /** @param aCost tokens @param aNow current time @return the charge */
  std::optional<Charge> admit(double aCost, base::TimePoint aNow);

  /** @param aTicket ticket @param aCost tokens @param aNow current time */
  void wait(Ticket aTicket, double aCost, base::TimePoint aNow);

  /** @param aCharge charge @param aUnused tokens @param aNow current time
   * @return tokens that came back */
  double refund(const Charge& aCharge, double aUnused, base::TimePoint aNow);

  /** Admits or refuses waiting requests. @param aNow time @param aOut result */
  void settleWaiting(base::TimePoint aNow, Actions& aOut);

  /** Asks peers if the budget does not cover the demand.
   * @param aPrefix first part of new loan ids @param aNext number of the next
   * @param aPeers alive peers, nearest first @param aNow current time
   * @param aOut gets the requests */
  void borrow(const std::string& aPrefix,
              std::uint64_t& aNext,
              const std::vector<base::VmName>& aPeers,
              base::TimePoint aNow,
              Actions& aOut);

  /** Renews loans that are needed and returns the others. */
  void tendLoans(base::TimePoint aNow, Actions& aOut);

  /** Returns every loan and offers the own share to a peer, for a planned
   * stop. @param aNow current time @param aHeir peer @param aOut messages */
  void handOver(base::TimePoint aNow, const base::VmName& aHeir, Actions& aOut);

  /** @param aFrom borrower @param aRequest its request @param aAll true if
   * nothing is kept back @param aNow current time @param aOut gets the answer
   */
  void onRequest(const base::VmName& aFrom,
                 const LoanRequest& aRequest,
                 bool aAll,
                 base::TimePoint aNow,
                 Actions& aOut);
  void onGrant(const base::VmName& aFrom,
               const LoanGrant& aGrant,
               base::TimePoint aNow,
               Actions& aOut);
  void onReturn(const base::VmName& aFrom,
                const LoanReturn& aReturn,
                base::TimePoint aNow);
  void onRecall(const base::VmName& aFrom,
                const LoanRecall& aRecall,
                base::TimePoint aNow,
                Actions& aOut);
  void onOffer(const base::VmName& aFrom,
               const LoanOffer& aOffer,
               LoanId aId,
               base::TimePoint aNow,
               Actions& aOut);

  const base::TeamName& team() const { return mTeam; }
  const Bucket& bucket() const { return mBucket; }
  double burst() const { return mBurst; }
  const std::map<LoanId, Lent>& lent() const { return mLent; }
  const std::map<LoanId, Borrowed>& borrowed() const { return mBorrowed; }
  const std::map<LoanId, Asked>& asked() const { return mAsked; }
  std::size_t waiting() const { return mWaiting.size(); }
  const ShareCounts& counts() const { return mCounts; }

  /** @param aNow current time @return tokens per second of the last second */
  double demand(base::TimePoint aNow) const { return mDemand.perSecond(aNow); }

protected:
  struct Waiter
  {
    Ticket ticket = 0;
    double cost = 0;
    base::TimePoint deadline;
  };
  struct PeerMood
  {
    base::TimePoint dryUntil;
    base::Duration backoff{};
  };
  struct Shortage
  {
    double tokens = 0;
    double rate = 0;
  };

  double ownRate() const { return mShareValid ? mSlotRate : 0.0; }
  double ownCapacity() const { return mShareValid ? mSlotCapacity : 0.0; }
  double lentRate() const;
  double lentCapacity() const;
  double lastingRate(base::TimePoint aNow) const;
  std::optional<base::TimePoint> nextBoundary() const;
  void applyBoundary(base::TimePoint aAt);
  void resize();
  void noteDry(const base::VmName& aPeer,
               base::Duration aLeast,
               base::TimePoint aNow);
  void forgetLostRequests(base::TimePoint aNow);
  bool answersPending(base::TimePoint aNow) const;
  double waitingCost() const;
  Shortage shortage(base::TimePoint aNow) const;
  std::vector<base::VmName> choosePeers(const std::vector<base::VmName>& aPeers,
                                        base::TimePoint aNow);
  void recall(base::TimePoint aNow, Actions& aOut);
  void prolong(const LoanRequest& aRequest,
               base::TimePoint aNow,
               Actions& aOut);
  LoanGrant offer(const LoanRequest& aRequest,
                  bool aAll,
                  base::TimePoint aNow) const;
  bool needed(const Borrowed& aLoan,
              double aMargin,
              base::TimePoint aNow) const;
  void giveBack(LoanId aId, Actions& aOut);

  base::TeamName mTeam;
  Bucket mBucket;
  Demand mDemand;
  double mSlotRate = 0;
  double mSlotCapacity = 0;
  double mBurst = 0;
  std::optional<SlotTerm> mSlot;
  bool mShareValid = false;
  std::map<LoanId, Lent> mLent;
  std::map<LoanId, Borrowed> mBorrowed;
  std::map<LoanId, Asked> mAsked;
  std::map<base::VmName, PeerMood> mMoods;
  std::deque<Waiter> mWaiting;
  base::TimePoint mAskedAt;
  std::size_t mRotation = 0;
  std::size_t mAskNext = 0; ///< peers to ask in the next round
  ShareCounts mCounts;
};

} // namespace marigold::limits
