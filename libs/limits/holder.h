/** @file The limits of all teams at one VM. */
#pragma once

#include "limits/share.h"

#include <map>
#include <string>
#include <vector>

namespace marigold::limits {

/** A team's limit for the whole fleet. */
struct TeamLimit
{
  base::TeamName team;
  double rate = 0;  ///< tokens per second
  double burst = 0; ///< tokens
};

/** The limits of all teams and the number of slots that share them. */
struct FleetLimits
{
  int slots = 1;
  std::vector<TeamLimit> teams;
};

/** What becomes of a request at once. */
enum class Verdict : std::uint8_t
{
  Admitted,
  Waiting,        ///< decided later under its ticket
  Refused,        ///< the team is above its rate
  CostAboveBurst, ///< no bucket of the team can ever hold the cost
  UnknownTeam,
};

/** Answer to Holder::admit. */
struct Admission
{
  Verdict verdict = Verdict::Refused;
  Charge charge;     ///< if admitted
  Ticket ticket = 0; ///< if waiting
};

/** Decides for all teams of one VM. Every event returns what has to be sent
 * and which waiting requests are decided. */
class Holder
{
public:
  /** @param aSelf this VM @param aIncarnation number of this run */
  Holder(const base::VmName& aSelf, base::Incarnation aIncarnation);

  /** @param aLimits limits of the manifest in force @param aNow time */
  void setLimits(const FleetLimits& aLimits, base::TimePoint aNow);

  /** @param aSlot slot held, if any @param aNow current time */
  void setSlot(const std::optional<SlotTerm>& aSlot, base::TimePoint aNow);

  /** @param aPeers alive peers, nearest first */
  void setPeers(std::vector<base::VmName> aPeers);

  /** @param aTeam team @param aCost tokens @param aNow current time
   * @param aOut gets requests to peers @return the verdict */
  Admission admit(const base::TeamName& aTeam,
                  double aCost,
                  base::TimePoint aNow,
                  Actions& aOut);

  /** @param aCharge charge @param aUnused unused tokens @param aNow time
   * @param aOut gets decisions @return tokens that came back */
  double refund(const Charge& aCharge,
                double aUnused,
                base::TimePoint aNow,
                Actions& aOut);

  /** @param aFrom sender @param aMessage message @param aNow current time
   * @return what to do */
  Actions onMessage(const base::VmName& aFrom,
                    const Message& aMessage,
                    base::TimePoint aNow);

  /** Runs every kTickPeriod, and at the end of a request's wait.
   * @param aNow current time @return what to do */
  Actions tick(base::TimePoint aNow);

  /** Starts a planned stop: loans go back, the nearest peer is offered the
   * share, and everything is lent to peers that ask. @param aNow current time
   * @return what to do */
  Actions stop(base::TimePoint aNow);

  /** @return the shares by team */
  const std::map<base::TeamName, Share>& shares() const { return mShares; }

protected:
  std::string mPrefix;
  std::uint64_t mNextLoan = 0;
  Ticket mNextTicket = 0;
  bool mStopping = false;
  std::optional<SlotTerm> mSlot;
  std::vector<base::VmName> mPeers;
  std::map<base::TeamName, Share> mShares;
};

} // namespace marigold::limits
