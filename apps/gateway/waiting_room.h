/** @file Queue of requests that wait until a model or adapter is loaded. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::gateway {

/** A request that has not ended and may have to wait for an upstream. */
class Waiter
{
public:
  Waiter() = default;
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  virtual ~Waiter() = default;

  /** Dispatches the request again. */
  virtual void retry() = 0;

  /** Ends the request now because the process is stopping. */
  virtual void shutdown() = 0;
};

/** Holds the waiting requests by model and counts them as demand. */
class WaitingRoom
{
public:
  /** @param aRef model or adapter that is not loaded
   * @param aWaiter request that waits for it */
  void enter(const catalog::ModelRef& aRef,
             const std::shared_ptr<Waiter>& aWaiter)
  {
    mWaiters[aRef].push_back(aWaiter);
    if (mOnEnter) {
      mOnEnter();
    }
  }

  /** Retries all requests; those that still lack their model are added again.
   */
  void wake()
  {
    wakeIf([](const catalog::ModelRef&) { return true; });
  }

  /** Retries the requests whose model can be served now.
   * @param aServed predicate: true if an upstream serves this model or adapter
   */
  template<typename Served>
  void wakeIf(Served aServed)
  {
    auto waiters = std::move(mWaiters);
    mWaiters.clear();
    mWaking = true;
    for (auto& [ref, group] : waiters) {
      if (!aServed(ref)) {
        stay(ref, std::move(group));
        continue;
      }
      for (const auto& weak : group) {
        if (const auto waiter = weak.lock()) {
          waiter->retry();
        }
      }
    }
    mWaking = false;
  }

  /** @return number of waiting requests by missing model or adapter */
  std::map<catalog::ModelRef, unsigned> counts() const
  {
    std::map<catalog::ModelRef, unsigned> counts;
    for (const auto& [ref, group] : mWaiters) {
      for (const auto& weak : group) {
        counts[ref] += weak.expired() ? 0U : 1U;
      }
    }
    return counts;
  }

  bool empty() const { return mWaiters.empty(); }

  /** @param aCallback runs when a request starts to wait; not for one that a
   * retry adds again */
  void onEnter(std::function<void()> aCallback)
  {
    mOnEnter = [this, aCallback = std::move(aCallback)] {
      if (!mWaking) {
        aCallback();
      }
    };
  }

private:
  using Group = std::vector<std::weak_ptr<Waiter>>;

  void stay(const catalog::ModelRef& aRef, Group aGroup)
  {
    // Drops requests that ended while they waited.
    std::erase_if(aGroup, [](const auto& aWeak) { return aWeak.expired(); });
    if (!aGroup.empty()) {
      auto& group = mWaiters[aRef];
      group.insert(group.end(), aGroup.begin(), aGroup.end());
    }
  }

  std::map<catalog::ModelRef, Group> mWaiters;
  std::function<void()> mOnEnter;
  bool mWaking = false;
};

} // namespace marigold::gateway
