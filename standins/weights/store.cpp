#include "standins/weights/store.h"

#include "standins/common/adapter_time.h"

#include <algorithm>

namespace marigold::standin {
namespace {

constexpr base::Duration kRequestRateWindow = std::chrono::seconds(1);

} // namespace

void
WeightsStore::requestFetch(const Fetch& aFetch, base::TimePoint aNow)
{
  if (!aFetch.adapter.empty()) {
    ++mStats.adapters;
    const auto inFlight = static_cast<int>(mAdapterFetches.size()) + 1;
    mAdapterFetches.push_back(
      { aFetch.serial,
        aNow +
          adapterLoadTime(aFetch.adapter, inFlight, mSettings.adapterLimit) });
    mStats.highestAdapters =
      std::max(mStats.highestAdapters, mAdapterFetches.size());
    return;
  }
  ++mStats.models;
  mRecentRequests.push_back(aNow);
  while (mRecentRequests.front() + kRequestRateWindow <= aNow) {
    mRecentRequests.pop_front();
  }
  mStats.highestAskedInSecond =
    std::max(mStats.highestAskedInSecond, mRecentRequests.size());
  mQueue.push_back(aFetch.serial);
  mStats.highestRequested =
    std::max(mStats.highestRequested, mQueue.size() + mModelFetches.size());
  startQueuedFetches(aNow);
}

bool
WeightsStore::canStartFetch() const
{
  return !mQueue.empty() && mModelFetches.size() <
                              static_cast<std::size_t>(mSettings.maxConcurrent);
}

void
WeightsStore::startQueuedFetches(base::TimePoint aNow)
{
  while (canStartFetch() && mNextStart <= aNow) {
    mModelFetches.push_back({ mQueue.front(), aNow + mSettings.fetchTime });
    mQueue.pop_front();
    mStats.highestRunning =
      std::max(mStats.highestRunning, mModelFetches.size());
    mNextStart = std::max(mNextStart, aNow) +
                 base::fromSeconds(1.0 / mSettings.fetchesPerSecond);
  }
}

std::vector<std::uint64_t>
WeightsStore::advance(base::TimePoint aNow)
{
  std::vector<std::uint64_t> delivered;
  for (std::vector<ActiveFetch>* running :
       { &mModelFetches, &mAdapterFetches }) {
    std::erase_if(*running, [&](const ActiveFetch& aFetch) {
      if (aFetch.completion > aNow) {
        return false;
      }
      delivered.push_back(aFetch.serial);
      return true;
    });
  }
  startQueuedFetches(aNow);
  return delivered;
}

void
WeightsStore::cancel(std::uint64_t aSerial, base::TimePoint aNow)
{
  const auto same = [aSerial](const ActiveFetch& aFetch) {
    return aFetch.serial == aSerial;
  };
  std::erase(mQueue, aSerial);
  std::erase_if(mModelFetches, same);
  std::erase_if(mAdapterFetches, same);
  startQueuedFetches(aNow);
}

std::optional<base::TimePoint>
WeightsStore::nextDueTime() const
{
  std::optional<base::TimePoint> earliest;
  const auto updateEarliest = [&](base::TimePoint aTime) {
    earliest = earliest ? std::min(*earliest, aTime) : aTime;
  };
  for (const ActiveFetch& running : mModelFetches) {
    updateEarliest(running.completion);
  }
  for (const ActiveFetch& running : mAdapterFetches) {
    updateEarliest(running.completion);
  }
  if (canStartFetch()) {
    updateEarliest(mNextStart);
  }
  return earliest;
}

} // namespace marigold::standin
