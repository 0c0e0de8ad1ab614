/** @file Which upstream probably keeps which leading parts of prompts. */
#pragma once

#include "catalog/request_facts.h"

#include <list>
#include <map>
#include <unordered_map>

namespace marigold::dispatch {

/**
 * Remembers what this VM sent where. Engines drop the least recently used
 * parts, and so does this memory, within a fixed size per VM.
 */
class PrefixIndex
{
public:
  /** Notes that a prompt was read by an upstream. */
  void recordPrompt(const base::UpstreamName& aUpstream,
                    const std::string& aModel,
                    const std::vector<catalog::PromptPart>& aPrompt);

  /** @return leading tokens of the prompt that the upstream probably keeps */
  std::uint32_t cachedTokens(
    const base::UpstreamName& aUpstream,
    const std::string& aModel,
    const std::vector<catalog::PromptPart>& aPrompt) const;

  /** Drops what is known of an upstream that lost its memory. */
  void erase(const base::UpstreamName& aUpstream)
  {
    mUpstreams.erase(aUpstream);
  }

private:
  struct Memory
  {
    std::list<std::uint64_t> order; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> parts;
  };
  std::map<base::UpstreamName, Memory> mUpstreams;
};

} // namespace marigold::dispatch
