#include "quota/quota.h"

#include <cmath>

namespace marigold::quota {
namespace {

/** Names of peers in a log line; a lost data centre may have hundreds. */
constexpr std::size_t kNamedPeers = 3;

std::string
formatUnits(double aUnits)
{
  return std::to_string(std::llround(aUnits));
}

std::string
listPeers(const std::vector<base::VmName>& aPeers)
{
  std::string text;
  for (std::size_t index = 0; index < aPeers.size(); ++index) {
    if (index == kNamedPeers) {
      return text + " and " + std::to_string(aPeers.size() - index) + " more";
    }
    text += (index > 0 ? ", " : "") + aPeers[index];
  }
  return text;
}

} // namespace

Account
FleetQuota::account(const base::TeamName& aTeam) const
{
  Account account;
  account.share = reachableShare();
  for (const auto& [name, peer] : mPeers) {
    if (peer.unreachable) {
      account.unreachable.push_back(name);
    }
  }
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    return account;
  }
  const Limit& limit = found->second.limit;
  account.level = found->second.level;
  account.capacity = limit.burst * account.share;
  for (const auto& [name, peer] : mPeers) {
    const auto reserve = peer.reserves.find(aTeam);
    if (reserve != peer.reserves.end()) {
      account.reserved += reservedUnits(reserve->second, limit);
    }
  }
  return account;
}

std::string
describe(const Account& aAccount)
{
  constexpr double kPercent = 100;
  std::string text = aAccount.level < 0
                       ? "debt " + formatUnits(-aAccount.level)
                       : "level " + formatUnits(aAccount.level);
  text += " of " + formatUnits(aAccount.capacity) + ", refilled at " +
          formatUnits(kPercent * aAccount.share) + "% of the rate";
  if (!aAccount.unreachable.empty() || aAccount.reserved != 0) {
    text += ", " + formatUnits(aAccount.reserved) + " reserved";
  }
  if (!aAccount.unreachable.empty()) {
    text += ", unreachable: " + listPeers(aAccount.unreachable);
  }
  return text;
}

} // namespace marigold::quota
