/** @file LRU prefix cache with delayed and lossy events. */
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::standin {

struct PrefixCacheSettings
{
  std::size_t blocks = 1024; ///< capacity
  base::Duration eventDelay = std::chrono::milliseconds(200);
  double eventLossRate = 0; ///< fraction of events that are never published
  std::uint64_t seed = 1;
};

struct CacheEvent
{
  std::uint64_t sequence = 0;
  bool add = true; ///< false: evicted
  std::string prefix;
  base::TimePoint visibleAt{};
};

/**
 * Caches prompt prefixes in blocks of 256 bytes. A prefix is identified by the
 * hash of the model and of all bytes from the prompt's start to its block's
 * end.
 */
class PrefixCache
{
public:
  static constexpr std::size_t kBlockBytes = 256;
  /** Maximum number of retained events; a slow reader sees a gap. */
  static constexpr std::size_t kMaxEvents = 4096;

  explicit PrefixCache(PrefixCacheSettings aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.seed)
  {
  }

  /** Looks up a prompt and caches all its blocks.
   * @param aModel model with adapter @param aPrompt text @param aNow time
   * @return length in bytes of the cached prompt prefix */
  std::size_t lookUpAndInsert(const std::string& aModel,
                              std::string_view aPrompt,
                              base::TimePoint aNow);

  /** Evicts all blocks of a model. @param aModel model with adapter
   * @param aNow time */
  void evictModel(const std::string& aModel, base::TimePoint aNow);

  /** @param aAfter sequence number @param aNow time
   * @return visible events with a higher sequence number */
  std::vector<CacheEvent> events(std::uint64_t aAfter,
                                 base::TimePoint aNow) const;

  std::size_t size() const { return mLruList.size(); }

private:
  struct Block
  {
    std::string model;
    std::string prefix;
  };

  void publish(bool aAdd, const std::string& aPrefix, base::TimePoint aNow);

  PrefixCacheSettings mSettings;
  base::Random mRandom;
  std::list<Block> mLruList; ///< most recently used first
  std::map<std::string, std::list<Block>::iterator> mBlocks;
  std::deque<CacheEvent> mEvents;
  std::uint64_t mSequence = 0;
};

} // namespace marigold::standin
