#include "dispatch/crash_tracker.h"

#include <algorithm>

namespace marigold::dispatch {
namespace {

using namespace std::chrono_literals;

/** Crashes after which a request is refused on every VM. */
constexpr std::uint32_t kBlockAt = 2;
/** Longer than the pauses after which callers send such a request again. */
constexpr base::Duration kRemember = 120s;
/** An upstream that crashed is found unreachable within this: the next request
 * for it, or three missed heartbeats of its record. */
constexpr base::Duration kConfirmWithin = 5s;
/** Bounds the status message. */
constexpr std::size_t kMaxRemembered = 64;

} // namespace

void
CrashTracker::onConnectionBroken(const std::string& aFingerprint,
                                 const base::UpstreamName& aUpstream,
                                 base::TimePoint aNow)
{
  mBroken.push_back({ aFingerprint, aUpstream, aNow });
}

void
CrashTracker::onUpstreamGone(const base::UpstreamName& aUpstream,
                             base::TimePoint aNow)
{
  for (const Broken& broken : mBroken) {
    if (broken.upstream == aUpstream && aNow - broken.at < kConfirmWithin) {
      count(broken.fingerprint, aNow);
    }
  }
  std::erase_if(mBroken, [&aUpstream](const Broken& aBroken) {
    return aBroken.upstream == aUpstream;
  });
}

void
CrashTracker::onUpstreamAlive(const base::UpstreamName& aUpstream,
                              base::TimePoint aSentAt)
{
  std::erase_if(mBroken, [&](const Broken& aBroken) {
    return aBroken.upstream == aUpstream && aBroken.at < aSentAt;
  });
}

void
CrashTracker::count(const std::string& aFingerprint, base::TimePoint aNow)
{
  Seen& seen = mOwn[aFingerprint];
  ++seen.count;
  seen.latest = aNow;
  if (mOwn.size() > kMaxRemembered) {
    mOwn.erase(std::min_element(
      mOwn.begin(), mOwn.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.latest < aRight.second.latest;
      }));
  }
}

void
CrashTracker::onSuccess(const std::string& aFingerprint)
{
  mOwn.erase(aFingerprint);
}

void
CrashTracker::onPeerCounts(const base::VmName& aPeer,
                           const std::map<std::string, std::uint32_t>& aCrashes,
                           base::TimePoint aNow)
{
  ByFingerprint& rows = mPeers[aPeer];
  // A request that ended well there is no longer told.
  std::erase_if(rows, [&aCrashes](const auto& aItem) {
    return !aCrashes.contains(aItem.first);
  });
  for (const auto& [fingerprint, crashes] : aCrashes) {
    Seen& seen = rows[fingerprint];
    if (crashes != seen.count) {
      seen = { crashes, aNow };
    }
  }
}

bool
CrashTracker::blocked(const std::string& aFingerprint) const
{
  std::uint32_t total = 0;
  const auto add = [&](const ByFingerprint& aRows) {
    const auto found = aRows.find(aFingerprint);
    total += found == aRows.end() ? 0 : found->second.count;
  };
  add(mOwn);
  for (const auto& [peer, rows] : mPeers) {
    add(rows);
  }
  return total >= kBlockAt;
}

std::map<std::string, std::uint32_t>
CrashTracker::localCounts() const
{
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [fingerprint, seen] : mOwn) {
    counts[fingerprint] = seen.count;
  }
  return counts;
}

void
CrashTracker::expire(base::TimePoint aNow)
{
  const auto isOld = [aNow](const auto& aItem) {
    return aNow - aItem.second.latest > kRemember;
  };
  std::erase_if(mOwn, isOld);
  std::erase_if(mBroken, [aNow](const Broken& aBroken) {
    return aNow - aBroken.at > kConfirmWithin;
  });
  for (auto& [peer, rows] : mPeers) {
    std::erase_if(rows, isOld);
  }
}

} // namespace marigold::dispatch
