/** @file Rate and concurrency of the weights store, without a clock. */
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
  double loadsPerSecond = 1; ///< starts of model fetches
  int concurrent = 10;       ///< model fetches at once
  base::Duration fetchTime = std::chrono::seconds(1);
  int adapterLimit = 90; ///< adapter fetches above which each is slower
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
  std::size_t highestRequested = 0;     ///< model fetches asked for at once
  std::size_t highestRunning = 0;       ///< model fetches served at once
  std::size_t highestAdapters = 0;      ///< adapter fetches at once
  std::size_t highestAskedInSecond = 0; ///< model fetches asked for in a second
};

/** Queues model fetches above its limits; adapters never wait in the queue. */
class WeightsStore
{
public:
  explicit WeightsStore(WeightsSettings aSettings)
    : mSettings(aSettings)
  {
  }

  /** @param aFetch what is asked for @param aNow time */
  void ask(const Fetch& aFetch, base::TimePoint aNow);

  /** @param aNow time @return serials of fetches that are delivered now */
  std::vector<std::uint64_t> advance(base::TimePoint aNow);

  /** @param aSerial fetch whose caller has gone @param aNow time */
  void cancel(std::uint64_t aSerial, base::TimePoint aNow);

  /** @return when advance() has to run next, absent if nothing is asked for */
  std::optional<base::TimePoint> due() const;

  const WeightsStats& stats() const { return mStats; }

private:
  struct Running
  {
    std::uint64_t serial = 0;
    base::TimePoint end{};
  };

  void start(base::TimePoint aNow);
  bool mayStart() const;

  WeightsSettings mSettings;
  WeightsStats mStats;
  std::deque<std::uint64_t> mQueue;
  std::vector<Running> mModels;
  std::vector<Running> mAdapters;
  std::deque<base::TimePoint> mAsked; ///< within the last second
  base::TimePoint mNextStart{};
};

} // namespace marigold::standin
