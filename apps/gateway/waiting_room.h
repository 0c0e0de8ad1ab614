/** @file Requests that wait for a model or an adapter to be loaded. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::gateway {

/** A request that may have to wait for an upstream. */
class PendingRequest
{
public:
  PendingRequest() = default;
  PendingRequest(const PendingRequest&) = delete;
  PendingRequest& operator=(const PendingRequest&) = delete;
  virtual ~PendingRequest() = default;

  /** Tries again. */
  virtual void retry() = 0;

  /** Ends now, because the process stops. */
  virtual void shutdown() = 0;
};

/** Holds waiting requests and the demand that they show. */
class ModelWaitQueue
{
public:
  /** @param aRef what is missing @param aRequest who waits */
  void add(const catalog::ModelRef& aRef,
           const std::shared_ptr<PendingRequest>& aRequest)
  {
    mRequests[aRef].push_back(aRequest);
    if (mOnAdd) {
      mOnAdd();
    }
  }

  /** Lets everybody try again; who still lacks its model enters again. */
  void retryAll()
  {
    retryIf([](const catalog::ModelRef&) { return true; });
  }

  /** Lets those try again whose model can be served now.
   * @param aIsServed tells of a model or adapter whether an upstream has it */
  template<typename Predicate>
  void retryIf(Predicate aIsServed)
  {
    auto requests = std::move(mRequests);
    mRequests.clear();
    mRetrying = true;
    for (auto& [ref, group] : requests) {
      if (!aIsServed(ref)) {
        requeue(ref, std::move(group));
        continue;
      }
      for (const auto& weak : group) {
        if (const auto request = weak.lock()) {
          request->retry();
        }
      }
    }
    mRetrying = false;
  }

  /** @return requests that wait, by what they lack */
  std::map<catalog::ModelRef, unsigned> counts() const
  {
    std::map<catalog::ModelRef, unsigned> counts;
    for (const auto& [ref, group] : mRequests) {
      for (const auto& weak : group) {
        counts[ref] += weak.expired() ? 0U : 1U;
      }
    }
    return counts;
  }

  bool empty() const { return mRequests.empty(); }

  /** @param aCallback runs when somebody begins to wait */
  void onAdd(std::function<void()> aCallback)
  {
    mOnAdd = [this, aCallback = std::move(aCallback)] {
      if (!mRetrying) {
        aCallback();
      }
    };
  }

private:
  using Group = std::vector<std::weak_ptr<PendingRequest>>;

  void requeue(const catalog::ModelRef& aRef, Group aGroup)
  {
    // A request that ended while it waited is not counted any more.
    std::erase_if(aGroup, [](const auto& aWeak) { return aWeak.expired(); });
    if (!aGroup.empty()) {
      auto& group = mRequests[aRef];
      group.insert(group.end(), aGroup.begin(), aGroup.end());
    }
  }

  std::map<catalog::ModelRef, Group> mRequests;
  std::function<void()> mOnAdd;
  bool mRetrying = false;
};

} // namespace marigold::gateway
