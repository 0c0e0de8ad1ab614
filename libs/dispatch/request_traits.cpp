#include "dispatch/request_traits.h"

namespace marigold::dispatch {
namespace {

peers::RequestTrait
shorten(std::uint64_t aHash, bool aIsWhole)
{
  const auto trait = static_cast<peers::RequestTrait>(aHash);
  return aIsWhole ? trait | 1U : trait & ~1U;
}

} // namespace

peers::TraitSet
makeTraits(std::string aIdentity,
           const std::vector<catalog::PromptPart>& aPrompt)
{
  for (const catalog::PromptPart& part : aPrompt) {
    aIdentity += "\n" + std::to_string(part.id);
  }
  peers::TraitSet traits{ shorten(base::hash64(aIdentity), true) };
  for (std::size_t part = 0; part + 1 < aPrompt.size(); ++part) {
    traits.insert(
      shorten(base::hash64(std::to_string(aPrompt[part].id)), false));
  }
  return traits;
}

} // namespace marigold::dispatch
