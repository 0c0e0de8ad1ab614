/** @file Detects requests that crash upstreams ("poison" requests). */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::dispatch {

/**
 * Counts upstream crashes per request fingerprint and blocks a request after
 * several. A single crash affects every request that was running and proves
 * nothing. A broken connection counts as a crash only after its upstream is
 * found to be gone, because connections also break under harmless requests.
 */
class CrashTracker
{
public:
  /** Records that the connection to an upstream broke during the request. */
  void onConnectionBroken(const std::string& aFingerprint,
                          const base::UpstreamName& aUpstream,
                          base::TimePoint aNow);

  /** Confirms a crash: the upstream is unreachable, was replaced or is no
   * longer listed. */
  void onUpstreamGone(const base::UpstreamName& aUpstream,
                      base::TimePoint aNow);

  /** Rules out a crash: the upstream answered a request that was sent after the
   * connection broke. @param aSentAt when that request was sent */
  void onUpstreamAlive(const base::UpstreamName& aUpstream,
                       base::TimePoint aSentAt);

  /** Clears the local count of a request that succeeded. */
  void onSuccess(const std::string& aFingerprint);

  /** Replaces the counts received from a peer.
   * @param aPeer VM or data centre
   * @param aCrashes all of its counts, by fingerprint */
  void onPeerCounts(const base::VmName& aPeer,
                    const std::map<std::string, std::uint32_t>& aCrashes,
                    base::TimePoint aNow);

  /** @return true if the request must not be sent to another upstream */
  bool blocked(const std::string& aFingerprint) const;

  /** @return crashes observed by this VM, by fingerprint, to send to peers */
  std::map<std::string, std::uint32_t> localCounts() const;

  /** Drops expired counts and broken connections. */
  void expire(base::TimePoint aNow);

private:
  struct CrashCount
  {
    std::uint32_t count = 0;
    base::TimePoint latest{};
  };
  /** A broken connection whose cause is not known yet. */
  struct BrokenConnection
  {
    std::string fingerprint;
    base::UpstreamName upstream;
    base::TimePoint at{};
  };
  using ByFingerprint = std::map<std::string, CrashCount>;
  void recordCrash(const std::string& aFingerprint, base::TimePoint aNow);

  std::vector<BrokenConnection> mBrokenConnections;

  ByFingerprint mLocal;
  std::map<base::VmName, ByFingerprint> mPeers;
};

} // namespace marigold::dispatch
