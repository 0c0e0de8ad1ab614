/** @file Requests that wait until an upstream has room for them. */
#pragma once

#include "apps/entry/demand_table.h"
#include "apps/entry/upstream_choice.h"
#include "config/config.h"
#include "request/request.h"

#include <functional>
#include <map>
#include <string>

namespace marigold::entry {

/** Requests of one model that may wait at this VM; about a second's work of a
 * large engine, and small in memory. */
inline constexpr std::size_t kQueueCapacity = 512;

/** Holds the queue of each model and wakes its requests in order. */
class WaitingRoom
{
public:
  /** Gets Ok when it is the request's turn, otherwise why it cannot be served
   */
  using Called = std::function<void(base::Code)>;

  WaitingRoom(http::Loop& aLoop,
              UpstreamTable& aUpstreams,
              UpstreamChoice& aChoice);

  /** @param aManifest manifest in force; sets the rates of the teams */
  void update(const config::Manifest& aManifest);

  /**
   * Lets a request wait.
   * @param aCaller request
   * @param aCalled runs once, never inside this function
   */
  void enter(const CallerRequest& aCaller, Called aCalled);

  /** Forgets a request that no longer waits. @param aCaller request */
  void leave(const CallerRequest& aCaller);

  /** @return demand for models, for the placer */
  DemandTable& demand() { return mDemand; }

  /** @return requests that wait, over all models */
  std::size_t size() const { return mGuests.size(); }

private:
  struct Guest
  {
    const CallerRequest* caller = nullptr;
    Called called;
    bool cold = false; ///< counted in the demand table
  };

  request::ModelQueue& queue(const ModelKey& aKey);
  void serve();
  void call(const std::string& aId, base::Code aCode);

  http::Loop& mLoop;
  UpstreamChoice& mChoice;
  DemandTable mDemand;
  std::map<base::TeamName, double> mRates;
  std::map<ModelKey, request::ModelQueue> mQueues;
  std::map<std::string, Guest> mGuests;
  http::EventHandle mSoon;
  http::EventHandle mTick;
};

} // namespace marigold::entry
