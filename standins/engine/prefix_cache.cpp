#include "standins/engine/prefix_cache.h"

#include "base/hash.h"

#include <cstdio>

namespace marigold::standin {
namespace {

std::string
prefixHash(const std::string& aModel, std::string_view aPrefix)
{
  const std::uint64_t hash = base::hash64(aPrefix, base::hash64(aModel));
  char digits[17];
  std::snprintf(
    digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(hash));
  return digits;
}

} // namespace

std::size_t
PrefixCache::lookUpAndInsert(const std::string& aModel,
                             std::string_view aPrompt,
                             base::TimePoint aNow)
{
  std::size_t cached = 0;
  bool contiguous = true;
  for (std::size_t end = kBlockBytes; end <= aPrompt.size();
       end += kBlockBytes) {
    const std::string name = prefixHash(aModel, aPrompt.substr(0, end));
    const auto found = mBlocks.find(name);
    if (found != mBlocks.end()) {
      mLruList.splice(mLruList.begin(), mLruList, found->second);
      cached = contiguous ? end : cached;
      continue;
    }
    contiguous = false;
    mLruList.push_front({ aModel, name });
    mBlocks[name] = mLruList.begin();
    publish(true, name, aNow);
  }
  while (mLruList.size() > mSettings.blocks) {
    publish(false, mLruList.back().prefix, aNow);
    mBlocks.erase(mLruList.back().prefix);
    mLruList.pop_back();
  }
  return cached;
}

void
PrefixCache::evictModel(const std::string& aModel, base::TimePoint aNow)
{
  for (auto block = mLruList.begin(); block != mLruList.end();) {
    if (block->model != aModel) {
      ++block;
      continue;
    }
    publish(false, block->prefix, aNow);
    mBlocks.erase(block->prefix);
    block = mLruList.erase(block);
  }
}

void
PrefixCache::publish(bool aAdd,
                     const std::string& aPrefix,
                     base::TimePoint aNow)
{
  // A lost event consumes a sequence number so that readers detect the gap.
  const std::uint64_t sequence = ++mSequence;
  if (mRandom.chance(mSettings.eventLossRate)) {
    return;
  }
  mEvents.push_back({ sequence, aAdd, aPrefix, aNow + mSettings.eventDelay });
  if (mEvents.size() > kMaxEvents) {
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
