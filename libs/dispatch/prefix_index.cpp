#include "dispatch/prefix_index.h"

namespace marigold::dispatch {
namespace {

/** Entries per upstream: more sessions than an engine's KV cache holds, and
 * about a hundred kilobytes at a few hundred upstreams. */
constexpr std::size_t kMaxEntries = 400;

/** Chains the hash of a part to that of the parts before it, because an engine
 * reuses a cached part only behind the same prefix of the same model. */
std::uint64_t
chainHash(std::uint64_t aPrefixHash, std::uint64_t aPartId)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 29;
  std::uint64_t mixed = (aPrefixHash ^ aPartId) * kMultiplier;
  mixed ^= mixed >> kShift;
  return mixed * kMultiplier;
}

} // namespace

void
PrefixIndex::recordPrompt(const base::UpstreamName& aUpstream,
                          const std::string& aModel,
                          const std::vector<catalog::PromptPart>& aPrompt)
{
  PrefixSet& prefixes = mUpstreams[aUpstream];
  std::uint64_t hash = base::hash64(aModel);
  for (const catalog::PromptPart& part : aPrompt) {
    hash = chainHash(hash, part.id);
    const auto known = prefixes.entries.find(hash);
    if (known != prefixes.entries.end()) {
      prefixes.recency.erase(known->second);
    }
    prefixes.recency.push_front(hash);
    prefixes.entries[hash] = prefixes.recency.begin();
  }
  while (prefixes.recency.size() > kMaxEntries) {
    prefixes.entries.erase(prefixes.recency.back());
    prefixes.recency.pop_back();
  }
}

std::uint32_t
PrefixIndex::cachedTokens(const base::UpstreamName& aUpstream,
                          const std::string& aModel,
                          const std::vector<catalog::PromptPart>& aPrompt) const
{
  const auto found = mUpstreams.find(aUpstream);
  if (found == mUpstreams.end()) {
    return 0;
  }
  std::uint32_t tokens = 0;
  std::uint64_t hash = base::hash64(aModel);
  for (const catalog::PromptPart& part : aPrompt) {
    hash = chainHash(hash, part.id);
    if (!found->second.entries.contains(hash)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

} // namespace marigold::dispatch
