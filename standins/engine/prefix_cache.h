/** @file Prefix cache of limited size with events that are late and have gaps.
 */
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
  std::size_t blocks = 1024; ///< size
  base::Duration eventLag = std::chrono::milliseconds(200);
  double eventLoss = 0; ///< share of events that are never published
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
 * Keeps prefixes of prompts in blocks of 256 bytes. A prefix is named by the
 * hash of the model and of all bytes from the start to the end of its block.
 */
class PrefixCache
{
public:
  static constexpr std::size_t kBlockBytes = 256;
  /** Events that are kept; older ones are a gap for a slow reader. */
  static constexpr std::size_t kKeptEvents = 4096;

  explicit PrefixCache(PrefixCacheSettings aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.seed)
  {
  }

  /** Looks a prompt up and caches all its blocks.
   * @param aModel model with adapter @param aPrompt text @param aNow time
   * @return bytes at the start of the prompt that were cached */
  std::size_t use(const std::string& aModel,
                  std::string_view aPrompt,
                  base::TimePoint aNow);

  /** Evicts all blocks of a model. @param aModel model with adapter
   * @param aNow time */
  void drop(const std::string& aModel, base::TimePoint aNow);

  /** @param aAfter sequence @param aNow time @return visible later events */
  std::vector<CacheEvent> events(std::uint64_t aAfter,
                                 base::TimePoint aNow) const;

  std::size_t size() const { return mOrder.size(); }

private:
  struct Block
  {
    std::string model;
    std::string prefix;
  };

  void publish(bool aAdd, const std::string& aPrefix, base::TimePoint aNow);

  PrefixCacheSettings mSettings;
  base::Random mRandom;
  std::list<Block> mOrder; ///< most recently used first
  std::map<std::string, std::list<Block>::iterator> mBlocks;
  std::deque<CacheEvent> mEvents;
  std::uint64_t mSequence = 0;
};

} // namespace marigold::standin
