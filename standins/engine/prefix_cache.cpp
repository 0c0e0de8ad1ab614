#include "standins/engine/prefix_cache.h"

#include "base/hash.h"

#include <cstdio>

namespace marigold::standin {
namespace {

std::string
prefixName(const std::string& aModel, std::string_view aPrefix)
{
  const std::uint64_t hash = base::hash64(aPrefix, base::hash64(aModel));
  char digits[17];
  std::snprintf(
    digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(hash));
  return digits;
}

} // namespace

std::size_t
PrefixCache::use(const std::string& aModel,
                 std::string_view aPrompt,
                 base::TimePoint aNow)
{
  std::size_t cached = 0;
  bool whole = true;
  for (std::size_t end = kBlockBytes; end <= aPrompt.size();
       end += kBlockBytes) {
    const std::string name = prefixName(aModel, aPrompt.substr(0, end));
    const auto found = mBlocks.find(name);
    if (found != mBlocks.end()) {
      mOrder.splice(mOrder.begin(), mOrder, found->second);
      cached = whole ? end : cached;
      continue;
    }
    whole = false;
    mOrder.push_front({ aModel, name });
    mBlocks[name] = mOrder.begin();
    publish(true, name, aNow);
  }
  while (mOrder.size() > mSettings.blocks) {
    publish(false, mOrder.back().prefix, aNow);
    mBlocks.erase(mOrder.back().prefix);
    mOrder.pop_back();
  }
  return cached;
}

void
PrefixCache::drop(const std::string& aModel, base::TimePoint aNow)
{
  for (auto block = mOrder.begin(); block != mOrder.end();) {
    if (block->model != aModel) {
      ++block;
      continue;
    }
    publish(false, block->prefix, aNow);
    mBlocks.erase(block->prefix);
    block = mOrder.erase(block);
  }
}

void
PrefixCache::publish(bool aAdd,
                     const std::string& aPrefix,
                     base::TimePoint aNow)
{
  // A lost event still takes its sequence number, which shows the gap.
  const std::uint64_t sequence = ++mSequence;
  if (mRandom.chance(mSettings.eventLoss)) {
    return;
  }
  mEvents.push_back({ sequence, aAdd, aPrefix, aNow + mSettings.eventLag });
  if (mEvents.size() > kKeptEvents) {
    mEvents.pop_front();
  }
}

std::vector<CacheEvent>
PrefixCache::events(std::uint64_t aAfter, base::TimePoint aNow) const
{
  std::vector<CacheEvent> visible;
  for (const CacheEvent& event : mEvents) {
    if (event.sequence > aAfter && event.visibleAt <= aNow) {
      visible.push_back(event);
    }
  }
  return visible;
}

} // namespace marigold::standin
