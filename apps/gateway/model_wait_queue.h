/** @file Queue of requests that wait until a model or adapter is loaded. */
#pragma once

#include "base/base.h"
#include "catalog/catalog.h"
#include "peers/peers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

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

  /** Looks for another way if the request does not get to its upstream. */
  virtual void checkProgress() = 0;
};

/** What a request waits for. */
struct AwaitedModel
{
  catalog::ModelRef ref; ///< model or adapter that is not loaded
  /** Of the upstreams that may serve it, if it continues a stream. */
  std::optional<peers::SoftwareTag> software;

  auto operator<=>(const AwaitedModel&) const = default;
};

/** Holds the waiting requests by model and counts them as demand. */
class ModelWaitQueue
{
public:
  /** @param aModel what the request waits for @param aRequest request */
  void add(const AwaitedModel& aModel,
           const std::shared_ptr<PendingRequest>& aRequest)
  {
    mRequests[aModel].push_back(aRequest);
    if (mOnAdd) {
      mOnAdd();
    }
  }

  /** Retries all requests; those that still lack their model are added again.
   */
  void retryAll()
  {
    retryIf([](const AwaitedModel&) { return true; });
  }

  /** Retries the requests whose model can be served now.
   * @param aIsServed predicate: true if an upstream serves what they wait for
   */
  template<typename Predicate>
  void retryIf(Predicate aIsServed)
  {
    auto requests = std::move(mRequests);
    mRequests.clear();
    mRetrying = true;
    for (auto& [model, group] : requests) {
      if (!aIsServed(model)) {
        requeue(model, std::move(group));
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

  /** @return numbers of waiting requests by what they wait for */
  std::map<AwaitedModel, unsigned> counts() const
  {
    std::map<AwaitedModel, unsigned> counts;
    for (const auto& [model, group] : mRequests) {
      const auto alive =
        std::count_if(group.begin(), group.end(), [](const auto& aWeak) {
          return !aWeak.expired();
        });
      if (alive > 0) {
        counts[model] = static_cast<unsigned>(alive);
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

  void requeue(const AwaitedModel& aModel, Group aGroup)
  {
    // Drops requests that ended while they waited.
    std::erase_if(aGroup, [](const auto& aWeak) { return aWeak.expired(); });
    if (!aGroup.empty()) {
      auto& group = mRequests[aModel];
      group.insert(group.end(), aGroup.begin(), aGroup.end());
    }
  }

  std::map<AwaitedModel, Group> mRequests;
  std::function<void()> mOnAdd;
  bool mRetrying = false;
};

} // namespace marigold::gateway
