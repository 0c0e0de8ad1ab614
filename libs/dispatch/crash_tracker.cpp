#include "dispatch/crash_tracker.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Crashes, as counted by all VMs, from which on a request is refused. */
constexpr std::uint32_t kBlockThreshold = 2;
/** Lifetime of a count; longer than the intervals at which callers retry. */
constexpr base::Duration kCountLifetime = 120s;
/** Time within which a crashed upstream is found unreachable, by the next
 * request to it or by three missed heartbeats of its record. */
constexpr base::Duration kConfirmTimeout = 5s;
/** Limits the size of the status message to peers. */
constexpr std::size_t kMaxFingerprints = 64;

} // namespace

void
CrashTracker::onConnectionBroken(const std::string& aFingerprint,
                                 const base::UpstreamName& aUpstream,
                                 base::TimePoint aNow)
{
  mBrokenConnections.push_back({ aFingerprint, aUpstream, aNow });
}

void
CrashTracker::onUpstreamGone(const base::UpstreamName& aUpstream,
                             base::TimePoint aNow)
{
  for (const BrokenConnection& connection : mBrokenConnections) {
    if (connection.upstream == aUpstream &&
        aNow - connection.at < kConfirmTimeout) {
      recordCrash(connection.fingerprint, aNow);
    }
  }
  std::erase_if(mBrokenConnections,
                [&aUpstream](const BrokenConnection& aConnection) {
                  return aConnection.upstream == aUpstream;
                });
}

void
CrashTracker::onUpstreamAlive(const base::UpstreamName& aUpstream,
                              base::TimePoint aSentAt)
{
  std::erase_if(mBrokenConnections, [&](const BrokenConnection& aConnection) {
    return aConnection.upstream == aUpstream && aConnection.at < aSentAt;
  });
}

void
CrashTracker::recordCrash(const std::string& aFingerprint, base::TimePoint aNow)
{
  CrashCount& crashCount = mLocal[aFingerprint];
  ++crashCount.count;
  crashCount.latest = aNow;
  if (mLocal.size() > kMaxFingerprints) {
    mLocal.erase(std::min_element(
      mLocal.begin(), mLocal.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.latest < aRight.second.latest;
      }));
  }
}

void
CrashTracker::onSuccess(const std::string& aFingerprint)
{
  mLocal.erase(aFingerprint);
}

void
CrashTracker::onPeerCounts(const base::VmName& aPeer,
                           const std::map<std::string, std::uint32_t>& aCrashes,
                           base::TimePoint aNow)
{
  ByFingerprint& counts = mPeers[aPeer];
  // The peer no longer reports a request that succeeded there.
  std::erase_if(counts, [&aCrashes](const auto& aItem) {
    return !aCrashes.contains(aItem.first);
  });
  for (const auto& [fingerprint, crashes] : aCrashes) {
    CrashCount& crashCount = counts[fingerprint];
    if (crashes != crashCount.count) {
      crashCount = { crashes, aNow };
    }
  }
}

bool
CrashTracker::blocked(const std::string& aFingerprint) const
{
  std::uint32_t total = 0;
  const auto add = [&](const ByFingerprint& aCounts) {
    const auto found = aCounts.find(aFingerprint);
    total += found == aCounts.end() ? 0 : found->second.count;
  };
  add(mLocal);
  for (const auto& [peer, counts] : mPeers) {
    add(counts);
  }
  return total >= kBlockThreshold;
}

std::map<std::string, std::uint32_t>
CrashTracker::localCounts() const
{
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [fingerprint, crashCount] : mLocal) {
    counts[fingerprint] = crashCount.count;
  }
  return counts;
}

void
CrashTracker::expire(base::TimePoint aNow)
{
  const auto isExpired = [aNow](const auto& aItem) {
    return aNow - aItem.second.latest > kCountLifetime;
  };
  std::erase_if(mLocal, isExpired);
  std::erase_if(mBrokenConnections,
                [aNow](const BrokenConnection& aConnection) {
                  return aNow - aConnection.at > kConfirmTimeout;
                });
  for (auto& [peer, counts] : mPeers) {
    std::erase_if(counts, isExpired);
  }
}

} // namespace marigold::dispatch
