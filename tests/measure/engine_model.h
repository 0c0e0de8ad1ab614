/** @file Small model of an engine in virtual time. */
#pragma once

#include "base/base.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace marigold::measure {

/** Requests that an engine of the model runs at once. */
inline constexpr int kCapacity = 8;

struct Job
{
  std::uint64_t id = 0;
  int prefix = 0;
  int adapter = 0; ///< 0 is none
  double tokens = 0;
  double prefillLeft = 0; ///< seconds
  double produced = 0;
};

/** Batches up to kCapacity requests; its tokens per second fall with load. */
class EngineModel
{
public:
  /** @param aSlowness 1 is normal; 4 is four times slower */
  explicit EngineModel(double aSlowness = 1)
    : mSlowness(aSlowness)
  {
  }

  void add(Job aJob) { mQueue.push_back(aJob); }

  void cancel(std::uint64_t aId)
  {
    const auto same = [aId](const Job& aJob) { return aJob.id == aId; };
    std::erase_if(mQueue, same);
    std::erase_if(mRunning, same);
  }

  int load() const { return static_cast<int>(mQueue.size() + mRunning.size()); }

  /** @param aSeconds step @return ids of the requests that ended */
  std::vector<std::uint64_t> step(double aSeconds)
  {
    while (mRunning.size() < kCapacity && !mQueue.empty()) {
      mRunning.push_back(begin(mQueue.front()));
      mQueue.pop_front();
    }
    constexpr double kTokensPerSecond = 60;
    constexpr double kBatchCost = 0.6;
    const double others = static_cast<double>(mRunning.size()) - 1;
    const double rate =
      kTokensPerSecond / mSlowness / (1 + kBatchCost * others / kCapacity);
    std::vector<std::uint64_t> ended;
    for (Job& job : mRunning) {
      if (job.prefillLeft > 0) {
        job.prefillLeft -= aSeconds / mSlowness;
      } else {
        job.produced += rate * aSeconds;
      }
      if (job.produced >= job.tokens) {
        ended.push_back(job.id);
      }
    }
    std::erase_if(mRunning,
                  [](const Job& aJob) { return aJob.produced >= aJob.tokens; });
    return ended;
  }

private:
  Job begin(Job aJob)
  {
    constexpr double kPrefillSeconds = 0.8;
    constexpr double kCachedSeconds = 0.1;
    constexpr double kAdapterSeconds = 0.02;
    constexpr std::size_t kPrefixes = 24;
    constexpr std::size_t kAdapters = 8;
    aJob.prefillLeft = touch(mPrefixes, aJob.prefix, kPrefixes)
                         ? kCachedSeconds
                         : kPrefillSeconds;
    if (aJob.adapter != 0 && !touch(mAdapters, aJob.adapter, kAdapters)) {
      aJob.prefillLeft += kAdapterSeconds;
    }
    return aJob;
  }

  /** Least recently used. @return true if the item was held */
  static bool touch(std::list<int>& aItems, int aItem, std::size_t aSize)
  {
    const auto found = std::find(aItems.begin(), aItems.end(), aItem);
    const bool held = found != aItems.end();
    if (held) {
      aItems.erase(found);
    }
    aItems.push_front(aItem);
    if (aItems.size() > aSize) {
      aItems.pop_back();
    }
    return held;
  }

  double mSlowness;
  std::deque<Job> mQueue;
  std::vector<Job> mRunning;
  std::list<int> mPrefixes;
  std::list<int> mAdapters;
};

} // namespace marigold::measure
