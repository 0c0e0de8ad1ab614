/** @file Index of the prompt prefixes that upstreams probably have cached. */
#pragma once

#include "catalog/request_metadata.h"

#include <list>
#include <map>
#include <unordered_map>

namespace marigold::dispatch {

/**
 * Records which prompts this VM sent to which upstream, to estimate the prefix
 * cache of each engine. Like the engines it evicts the least recently used
 * parts.
 */
class PrefixIndex
{
public:
  /** Records that an upstream has processed a prompt. */
  void recordPrompt(const base::UpstreamName& aUpstream,
                    const std::string& aModel,
                    const std::vector<catalog::PromptPart>& aPrompt);

  /** @return leading tokens of the prompt that the upstream probably has
   * cached */
  std::uint32_t cachedTokens(
    const base::UpstreamName& aUpstream,
    const std::string& aModel,
    const std::vector<catalog::PromptPart>& aPrompt) const;

  /** Drops the entries of an upstream that lost its cache. */
  void erase(const base::UpstreamName& aUpstream)
  {
    mUpstreams.erase(aUpstream);
  }

private:
  /** LRU set of the prefix hashes of an upstream. */
  struct PrefixSet
  {
    std::list<std::uint64_t> recency; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      entries;
  };
  std::map<base::UpstreamName, PrefixSet> mUpstreams;
};

} // namespace marigold::dispatch
