/** @file Model of a batching inference engine in virtual time. */
#pragma once

#include "base/base.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <utility>
#include <vector>

namespace marigold::measure {

/** Maximum batch size of an engine. */
inline constexpr int kEngineCapacity = 8;

/** Prompt of a request; all but the last part may be cached. */
inline constexpr std::uint32_t kCacheableTokens = 700;
inline constexpr std::uint32_t kOwnTokens = 100;

/** One request on an engine. */
struct Job
{
  std::uint64_t id = 0;
  int prefix = 0;
  int adapter = 0; ///< 0: the base model without an adapter
  double tokens = 0;
  double remainingPrefillSeconds = 0;
  double producedTokens = 0;
  bool begun = false; ///< its first token was produced
};

/** Runs up to kEngineCapacity requests in a batch and queues the others. A
 * larger batch yields fewer tokens per second for each request. */
class EngineModel
{
public:
  /** @param aSlowdown factor on service times; 1 is normal speed */
  explicit EngineModel(double aSlowdown = 1)
    : mSlowdown(aSlowdown)
  {
  }

  void enqueue(Job aJob) { mQueue.push_back(aJob); }

  void cancel(std::uint64_t aId)
  {
    const auto hasId = [aId](const Job& aJob) { return aJob.id == aId; };
    std::erase_if(mQueue, hasId);
    std::erase_if(mRunning, hasId);
  }

  int load() const { return static_cast<int>(mQueue.size() + mRunning.size()); }

  /** Requests that produced their first token, and that completed, in a step.
   */
  struct Progress
  {
    std::vector<std::uint64_t> begun;
    std::vector<std::uint64_t> completed;
  };

  /** Advances virtual time. @param aStepSeconds length of the step */
  Progress step(double aStepSeconds)
  {
    while (mRunning.size() < kEngineCapacity && !mQueue.empty()) {
      mRunning.push_back(startPrefill(mQueue.front()));
      mQueue.pop_front();
    }
    constexpr double kTokensPerSecond = 60;
    constexpr double kFullBatchSlowdown = 0.6;
    const double otherRequests = static_cast<double>(mRunning.size()) - 1;
    const double tokensPerSecond =
      kTokensPerSecond / mSlowdown /
      (1 + kFullBatchSlowdown * otherRequests / kEngineCapacity);
    Progress progress;
    for (Job& job : mRunning) {
      if (job.remainingPrefillSeconds > 0) {
        job.remainingPrefillSeconds -= aStepSeconds / mSlowdown;
      } else {
        job.producedTokens += tokensPerSecond * aStepSeconds;
        if (!std::exchange(job.begun, true)) {
          progress.begun.push_back(job.id);
        }
      }
      if (job.producedTokens >= job.tokens) {
        progress.completed.push_back(job.id);
      }
    }
    std::erase_if(mRunning, [](const Job& aJob) {
      return aJob.producedTokens >= aJob.tokens;
    });
    return progress;
  }

private:
  /** @return the job with its prefill time set from the caches */
  Job startPrefill(Job aJob)
  {
    constexpr double kUncachedPrefillSeconds = 0.8;
    constexpr double kCachedPrefillSeconds = 0.1;
    constexpr double kAdapterLoadSeconds = 0.02;
    constexpr std::size_t kPrefixCacheEntries = 24;
    constexpr std::size_t kAdapterSlots = 8;
    aJob.remainingPrefillSeconds =
      touchLru(mCachedPrefixes, aJob.prefix, kPrefixCacheEntries)
        ? kCachedPrefillSeconds
        : kUncachedPrefillSeconds;
    if (aJob.adapter != 0 &&
        !touchLru(mResidentAdapters, aJob.adapter, kAdapterSlots)) {
      aJob.remainingPrefillSeconds += kAdapterLoadSeconds;
    }
    return aJob;
  }

  /** Moves an item to the front of an LRU list and evicts the last entry if
   * the list is too long. @return true if the item was cached */
  static bool touchLru(std::list<int>& aItems,
                       int aItem,
                       std::size_t aMaxEntries)
  {
    const auto found = std::find(aItems.begin(), aItems.end(), aItem);
    const bool cached = found != aItems.end();
    if (cached) {
      aItems.erase(found);
    }
    aItems.push_front(aItem);
    if (aItems.size() > aMaxEntries) {
      aItems.pop_back();
    }
    return cached;
  }

  double mSlowdown;
  std::deque<Job> mQueue;
  std::vector<Job> mRunning;
  std::list<int> mCachedPrefixes;
  std::list<int> mResidentAdapters;
};

} // namespace marigold::measure
