/** @file Rate and concurrency limits of the weights store; callers pass the
 * time. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace marigold::standin {

struct WeightsSettings
{
  double fetchesPerSecond = 1; ///< model fetches started per second
  int maxConcurrent = 10;      ///< concurrent model fetches
  base::Duration fetchTime = std::chrono::seconds(1);
  int adapterLimit =
    90; ///< concurrent adapter fetches above which they slow down
};

struct Fetch
{
  std::uint64_t serial = 0;
  std::string adapter; ///< empty for a model
};

struct WeightsStats
{
  std::uint64_t models = 0;
  std::uint64_t adapters = 0;
  std::size_t highestRequested = 0; ///< peak of queued and active model fetches
  std::size_t highestRunning = 0;   ///< peak of active model fetches
  std::size_t highestAdapters = 0;  ///< peak of active adapter fetches
  std::size_t highestAskedInSecond =
    0; ///< peak of model fetches requested in 1 s
};

/** Queues model fetches above its limits; adapter fetches are never queued. */
class WeightsStore
{
public:
  explicit WeightsStore(WeightsSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** @param aFetch requested fetch @param aNow time */
  void requestFetch(const Fetch& aFetch, base::TimePoint aNow);

  /** @param aNow time @return serials of completed fetches */
  std::vector<std::uint64_t> advance(base::TimePoint aNow);

  /** @param aSerial fetch whose caller disconnected @param aNow time */
  void cancel(std::uint64_t aSerial, base::TimePoint aNow);

  /** @return time of the next advance(), absent if nothing is pending */
  std::optional<base::TimePoint> nextDueTime() const;

  const WeightsStats& stats() const { return mStats; }

private:
  struct ActiveFetch
  {
    std::uint64_t serial = 0;
    base::TimePoint completion{};
  };

  void startQueuedFetches(base::TimePoint aNow);
  bool canStartFetch() const;

  WeightsSettings mSettings;
  WeightsStats mStats;
  std::deque<std::uint64_t> mQueue;
  std::vector<ActiveFetch> mModelFetches;
  std::vector<ActiveFetch> mAdapterFetches;
  std::deque<base::TimePoint>
    mRecentRequests; ///< model fetches of the last second
  base::TimePoint mNextStart{};
};

} // namespace marigold::standin
