#include "routing/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace marigold::routing {
namespace {

/** Caches are small: without a new use a prefix is soon evicted. */
constexpr double kMemorySeconds = 120;

constexpr double kTrustAfterGap = 0.5;

} // namespace

void
PrefixIndex::remember(Cache& aCache,
                      const std::string& aPrefix,
                      base::TimePoint aNow)
{
  aCache.prefixes[aPrefix] = { aNow, 1 };
  if (aCache.prefixes.size() <= kMostPrefixes) {
    return;
  }
  const auto oldest =
    std::min_element(aCache.prefixes.begin(),
                     aCache.prefixes.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.at < aRight.second.at;
                     });
  aCache.prefixes.erase(oldest);
}

void
PrefixIndex::onSent(const base::UpstreamName& aUpstream,
                    const std::string& aPrefix,
                    base::TimePoint aNow)
{
  remember(mCaches[aUpstream], aPrefix, aNow);
}

void
PrefixIndex::onEvents(const base::UpstreamName& aUpstream,
                      std::vector<CacheEvent> aEvents,
                      base::TimePoint aNow)
{
  Cache& cache = mCaches[aUpstream];
  std::sort(aEvents.begin(),
            aEvents.end(),
            [](const CacheEvent& aLeft, const CacheEvent& aRight) {
              return aLeft.sequence < aRight.sequence;
            });
  for (const CacheEvent& event : aEvents) {
    if (event.sequence <= cache.sequence) {
      continue;
    }
    if (cache.sequence != 0 && event.sequence != cache.sequence + 1) {
      for (auto& [prefix, known] : cache.prefixes) {
        known.trust *= kTrustAfterGap;
      }
    }
    cache.sequence = event.sequence;
    if (event.added) {
      remember(cache, event.prefix, aNow);
    } else {
      cache.prefixes.erase(event.prefix);
    }
  }
}

void
PrefixIndex::forget(const base::UpstreamName& aUpstream)
{
  mCaches.erase(aUpstream);
}

std::uint64_t
PrefixIndex::sequence(const base::UpstreamName& aUpstream) const
{
  const auto cache = mCaches.find(aUpstream);
  return cache == mCaches.end() ? 0 : cache->second.sequence;
}

double
PrefixIndex::match(const base::UpstreamName& aUpstream,
                   const std::string& aPrefix,
                   base::TimePoint aNow) const
{
  const auto cache = mCaches.find(aUpstream);
  if (cache == mCaches.end()) {
    return 0;
  }
  const auto known = cache->second.prefixes.find(aPrefix);
  if (known == cache->second.prefixes.end()) {
    return 0;
  }
  const double age = base::inSeconds(aNow - known->second.at);
  return known->second.trust * std::exp(-age / kMemorySeconds);
}

} // namespace marigold::routing
