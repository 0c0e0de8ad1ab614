#include "standins/weights/store.h"

#include "standins/common/adapter_time.h"

#include <algorithm>

namespace marigold::standin {
namespace {

constexpr base::Duration kSecond = std::chrono::seconds(1);

} // namespace

void
WeightsStore::ask(const Fetch& aFetch, base::TimePoint aNow)
{
  if (!aFetch.adapter.empty()) {
    ++mStats.adapters;
    const auto inFlight = static_cast<int>(mAdapters.size()) + 1;
    mAdapters.push_back(
      { aFetch.serial,
        aNow +
          adapterLoadTime(aFetch.adapter, inFlight, mSettings.adapterLimit) });
    mStats.highestAdapters = std::max(mStats.highestAdapters, mAdapters.size());
    return;
  }
  ++mStats.models;
  mAsked.push_back(aNow);
  while (mAsked.front() + kSecond <= aNow) {
    mAsked.pop_front();
  }
  mStats.highestAskedInSecond =
    std::max(mStats.highestAskedInSecond, mAsked.size());
  mQueue.push_back(aFetch.serial);
  mStats.highestRequested =
    std::max(mStats.highestRequested, mQueue.size() + mModels.size());
  start(aNow);
}

bool
WeightsStore::mayStart() const
{
  return !mQueue.empty() &&
         mModels.size() < static_cast<std::size_t>(mSettings.concurrent);
}

void
WeightsStore::start(base::TimePoint aNow)
{
  while (mayStart() && mNextStart <= aNow) {
    mModels.push_back({ mQueue.front(), aNow + mSettings.fetchTime });
    mQueue.pop_front();
    mStats.highestRunning = std::max(mStats.highestRunning, mModels.size());
    mNextStart = std::max(mNextStart, aNow) +
                 base::fromSeconds(1.0 / mSettings.loadsPerSecond);
  }
}

std::vector<std::uint64_t>
WeightsStore::advance(base::TimePoint aNow)
{
  std::vector<std::uint64_t> delivered;
  for (std::vector<Running>* running : { &mModels, &mAdapters }) {
    std::erase_if(*running, [&](const Running& aRunning) {
      if (aRunning.end > aNow) {
        return false;
      }
      delivered.push_back(aRunning.serial);
      return true;
    });
  }
  start(aNow);
  return delivered;
}

void
WeightsStore::cancel(std::uint64_t aSerial, base::TimePoint aNow)
{
  const auto same = [aSerial](const Running& aRunning) {
    return aRunning.serial == aSerial;
  };
  std::erase(mQueue, aSerial);
  std::erase_if(mModels, same);
  std::erase_if(mAdapters, same);
  start(aNow);
}

std::optional<base::TimePoint>
WeightsStore::due() const
{
  std::optional<base::TimePoint> earliest;
  const auto consider = [&](base::TimePoint aTime) {
    earliest = earliest ? std::min(*earliest, aTime) : aTime;
  };
  for (const Running& running : mModels) {
    consider(running.end);
  }
  for (const Running& running : mAdapters) {
    consider(running.end);
  }
  if (mayStart()) {
    consider(mNextStart);
  }
  return earliest;
}

} // namespace marigold::standin
