#include "dispatch/prefix_index.h"

namespace marigold::dispatch {
namespace {

/** Remembered parts per upstream; a hundred kilobytes at a few hundred
 * upstreams, and more sessions than an engine's memory holds. */
constexpr std::size_t kMaxParts = 400;

/** A part counts only behind the same parts of the same model, because an
 * engine keeps it only there. */
std::uint64_t
chain(std::uint64_t aBefore, std::uint64_t aPart)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 29;
  std::uint64_t mixed = (aBefore ^ aPart) * kMultiplier;
  mixed ^= mixed >> kShift;
  return mixed * kMultiplier;
}

} // namespace

void
PrefixIndex::recordPrompt(const base::UpstreamName& aUpstream,
                          const std::string& aModel,
                          const std::vector<catalog::PromptPart>& aPrompt)
{
  Memory& memory = mUpstreams[aUpstream];
  std::uint64_t hash = base::hash64(aModel);
  for (const catalog::PromptPart& part : aPrompt) {
    hash = chain(hash, part.id);
    const auto known = memory.parts.find(hash);
    if (known != memory.parts.end()) {
      memory.order.erase(known->second);
    }
    memory.order.push_front(hash);
    memory.parts[hash] = memory.order.begin();
  }
  while (memory.order.size() > kMaxParts) {
    memory.parts.erase(memory.order.back());
    memory.order.pop_back();
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
    hash = chain(hash, part.id);
    if (!found->second.parts.contains(hash)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

} // namespace marigold::dispatch
