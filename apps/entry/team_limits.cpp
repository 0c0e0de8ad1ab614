#include "apps/entry/team_limits.h"

#include <algorithm>

namespace marigold::entry {

void
TeamLimits::fill(Bucket& aBucket, base::TimePoint aNow)
{
  const double elapsed = base::inSeconds(aNow - aBucket.filledAt);
  aBucket.tokens =
    std::min(aBucket.burst, aBucket.tokens + aBucket.rate * elapsed);
  aBucket.filledAt = aNow;
}

void
TeamLimits::update(const config::Manifest& aManifest, base::TimePoint aNow)
{
  int slots = 0;
  for (const config::DataCentreInfo& dataCentre : aManifest.dataCentres) {
    slots += dataCentre.entrySlots;
  }
  std::map<base::TeamName, Bucket> buckets;
  for (const config::Team& team : aManifest.teams) {
    Bucket bucket = mBuckets[team.name];
    if (bucket.filledAt == base::TimePoint{}) {
      bucket.filledAt = aNow;
    }
    fill(bucket, aNow);
    bucket.rate = team.rate / slots;
    bucket.burst = team.burst / slots;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    buckets[team.name] = bucket;
  }
  mBuckets = std::move(buckets);
}

void
TeamLimits::admit(const base::TeamName& aTeam,
                  double aCost,
                  base::TimePoint aNow,
                  const Admitted& aDone)
{
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    aDone(base::Code::TeamNotAllowed, {});
    return;
  }
  Bucket& bucket = found->second;
  fill(bucket, aNow);
  if (aCost > bucket.tokens) {
    aDone(base::Code::RateExceeded, {});
    return;
  }
  bucket.tokens -= aCost;
  aDone(base::Code::Ok, { aTeam, aCost, aNow });
}

void
TeamLimits::refund(const Charge& aCharge, double aUnused, base::TimePoint aNow)
{
  const auto found = mBuckets.find(aCharge.team);
  if (found == mBuckets.end()) {
    return;
  }
  fill(found->second, aNow);
  found->second.tokens =
    std::min(found->second.burst, found->second.tokens + aUnused);
}

} // namespace marigold::entry
