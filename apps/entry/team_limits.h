/** @file Charges of teams at this VM. */
#pragma once

#include "base/base.h"
#include "config/config.h"
#include "http/http.h"

#include <functional>
#include <map>

namespace marigold::entry {

/** What was charged for a request; needed to refund the unused part. */
struct Charge
{
  base::TeamName team;
  double cost = 0; ///< tokens
  base::TimePoint at;
};

/**
 * Admits requests within this VM's part of each team's limit.
 *
 * Until shares move between VMs, the part is rate and burst divided by all
 * entry slots.
 */
class TeamLimits
{
public:
  using Admitted = std::function<void(base::Code, const Charge&)>;

  /** @param aManifest manifest in force @param aNow current time */
  void update(const config::Manifest& aManifest, base::TimePoint aNow);

  /**
   * @param aTeam team @param aCost tokens @param aNow current time
   * @param aDone gets Ok, RateExceeded or CostAboveBurst
   */
  void admit(const base::TeamName& aTeam,
             double aCost,
             base::TimePoint aNow,
             const Admitted& aDone);

  /** @param aCharge charge @param aUnused tokens that were not used
   * @param aNow current time */
  void refund(const Charge& aCharge, double aUnused, base::TimePoint aNow);

private:
  struct Bucket
  {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    base::TimePoint filledAt;
  };

  static void fill(Bucket& aBucket, base::TimePoint aNow);

  std::map<base::TeamName, Bucket> mBuckets;
};

} // namespace marigold::entry
