/** @file Which prompt prefixes the engines have probably cached. */
#pragma once

#include "base/base.h"

#include <map>
#include <string>
#include <vector>

namespace marigold::routing {

/** One event of an engine's cache. */
struct CacheEvent
{
  std::uint64_t sequence = 0;
  bool added = true; ///< false: evicted
  std::string prefix;
};

/** Prefixes that are remembered for each upstream. */
inline constexpr std::size_t kMostPrefixes = 4096;

/**
 * Follows the caches of the engines. Events arrive late and with gaps: after a
 * gap an eviction may have been missed, so everything older counts half.
 */
class PrefixIndex
{
public:
  /** @param aUpstream engine @param aPrefix prefix of a request sent there
   * @param aNow current time */
  void onSent(const base::UpstreamName& aUpstream,
              const std::string& aPrefix,
              base::TimePoint aNow);

  /** @param aUpstream engine @param aEvents its events, in any order
   * @param aNow time of arrival */
  void onEvents(const base::UpstreamName& aUpstream,
                std::vector<CacheEvent> aEvents,
                base::TimePoint aNow);

  /** Forgets an engine, for instance after its restart. */
  void forget(const base::UpstreamName& aUpstream);

  /** @param aUpstream engine @return sequence of its newest known event */
  std::uint64_t sequence(const base::UpstreamName& aUpstream) const;

  /** @param aUpstream engine @param aPrefix prefix @param aNow current time
   * @return probability that the prefix is cached there */
  double match(const base::UpstreamName& aUpstream,
               const std::string& aPrefix,
               base::TimePoint aNow) const;

private:
  struct Known
  {
    base::TimePoint at;
    double trust = 1;
  };

  struct Cache
  {
    std::uint64_t sequence = 0;
    std::map<std::string, Known> prefixes;
  };

  static void remember(Cache& aCache,
                       const std::string& aPrefix,
                       base::TimePoint aNow);

  std::map<base::UpstreamName, Cache> mCaches;
};

} // namespace marigold::routing
