/** @file Requests that crash the upstreams that run them. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::dispatch {

/**
 * Counts crashes per request fingerprint. One crash can hit any request that
 * was running, so a single one proves nothing; the same request under several
 * crashes does. A broken connection counts as a crash only once its upstream is
 * seen to be gone, because links and answers break under sound requests too.
 */
class CrashTracker
{
public:
  /** The connection to an upstream broke under the request. */
  void onConnectionBroken(const std::string& aFingerprint,
                          const base::UpstreamName& aUpstream,
                          base::TimePoint aNow);

  /** An upstream cannot be reached, was replaced or is no longer listed. */
  void onUpstreamGone(const base::UpstreamName& aUpstream,
                      base::TimePoint aNow);

  /** An upstream answered. @param aSentAt when the request was sent */
  void onUpstreamAlive(const base::UpstreamName& aUpstream,
                       base::TimePoint aSentAt);

  /** The request ended well, so it did not cause the crashes. */
  void onSuccess(const std::string& aFingerprint);

  /** @param aPeer VM or data centre @param aCrashes all that it saw */
  void onPeerCounts(const base::VmName& aPeer,
                    const std::map<std::string, std::uint32_t>& aCrashes,
                    base::TimePoint aNow);

  /** @return true if the request must not reach another upstream */
  bool blocked(const std::string& aFingerprint) const;

  /** @return crashes that this VM saw itself, for its peers */
  std::map<std::string, std::uint32_t> localCounts() const;

  /** Drops what is too old. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  struct Seen
  {
    std::uint32_t count = 0;
    base::TimePoint latest{};
  };
  /** A connection that broke, while it is not known why. */
  struct Broken
  {
    std::string fingerprint;
    base::UpstreamName upstream;
    base::TimePoint at{};
  };
  using ByFingerprint = std::map<std::string, Seen>;
  void count(const std::string& aFingerprint, base::TimePoint aNow);

  std::vector<Broken> mBroken;

  ByFingerprint mOwn;
  std::map<base::VmName, ByFingerprint> mPeers;
};

} // namespace marigold::dispatch
