/** @file Queue of requests that wait until a model or adapter is loaded. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"

#include <functional>
#include <map>
#include <memory>

namespace marigold::gateway {

/** A request that has not ended and may have to wait for an upstream. */
class PendingRequest
{
public:
  PendingRequest() = default;
  PendingRequest(const PendingRequest&) = delete;
  PendingRequest& operator=(const PendingRequest&) = delete;
  virtual ~PendingRequest() = default;

  /** Dispatches the request again. */
  virtual void retry() = 0;

  /** Ends the request now because the process is stopping. */
  virtual void shutdown() = 0;

  /** Ends the request if it has come to be known as one that crashes upstreams.
   */
  virtual void endIfBlocked() = 0;
};

/** Holds the waiting requests by model and counts them as demand. */
class ModelWaitQueue
{
public:
  /** @param aRef model or adapter that is not loaded
   * @param aRequest request that waits for it */
  void add(const catalog::ModelRef& aRef,
           const std::shared_ptr<PendingRequest>& aRequest)
  {
    mRequests[aRef].push_back(aRequest);
    if (mOnAdd) {
      mOnAdd();
    }
  }

  /** Retries all requests; those that still lack their model are added again.
   */
  void retryAll()
  {
    retryIf([](const catalog::ModelRef&) { return true; });
  }

  /** Retries the requests whose model can be served now.
   * @param aIsServed predicate: true if an upstream serves this model or
   * adapter
   */
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

  /** @return number of waiting requests by missing model or adapter */
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

  /** @param aCallback runs when a request starts to wait; not for one that a
   * retry adds again */
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
    // Drops requests that ended while they waited.
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
