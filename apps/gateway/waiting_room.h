/** @file Requests that wait for a model or an adapter to be loaded. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::gateway {

/** A request that may have to wait for an upstream. */
class Waiter
{
public:
  Waiter() = default;
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  virtual ~Waiter() = default;

  /** Tries again. */
  virtual void retry() = 0;

  /** Ends now, because the process stops. */
  virtual void shutdown() = 0;
};

/** Holds waiting requests and the demand that they show. */
class WaitingRoom
{
public:
  /** @param aRef what is missing @param aWaiter who waits */
  void enter(const catalog::ModelRef& aRef,
             const std::shared_ptr<Waiter>& aWaiter)
  {
    mWaiters[aRef].push_back(aWaiter);
    if (mOnEnter) {
      mOnEnter();
    }
  }

  /** Lets everybody try again; who still lacks its model enters again. */
  void wake()
  {
    wakeIf([](const catalog::ModelRef&) { return true; });
  }

  /** Lets those try again whose model can be served now.
   * @param aServed tells of a model or adapter whether an upstream has it */
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

  /** @return requests that wait, by what they lack */
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

  /** @param aCallback runs when somebody begins to wait */
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
    // A request that ended while it waited is not counted any more.
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
