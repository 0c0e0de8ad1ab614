/** @file Requests that crash the upstreams that run them. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>

namespace marigold::dispatch {

/**
 * Counts crashes per request fingerprint. One crash can hit any request that
 * was running, so a single one proves nothing; the same request under several
 * crashes does.
 */
class CrashRecord
{
public:
  /** This VM saw an upstream die under the request. */
  void onCrash(const std::string& aFingerprint, base::TimePoint aNow);

  /** The request ended well, so it did not cause the crashes. */
  void onSuccess(const std::string& aFingerprint);

  /** @param aPeer VM @param aCrashes what it saw itself */
  void onPeer(const base::VmName& aPeer,
              const std::map<std::string, std::uint32_t>& aCrashes,
              base::TimePoint aNow);

  /** @return true if the request must not reach another upstream */
  bool blocked(const std::string& aFingerprint) const;

  /** @return crashes that this VM saw itself, for its peers */
  std::map<std::string, std::uint32_t> own() const;

  /** Drops what is too old. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  struct Seen
  {
    std::uint32_t count = 0;
    base::TimePoint latest{};
  };
  using ByFingerprint = std::map<std::string, Seen>;

  ByFingerprint mOwn;
  std::map<base::VmName, ByFingerprint> mPeers;
};

} // namespace marigold::dispatch
