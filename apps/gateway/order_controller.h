/** @file Plans and sends load and unload orders to engines. */
#pragma once

#include "apps/gateway/catalog_snapshot.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/plan_statistics.h"
#include "apps/gateway/upstream_table.h"
#include "dispatch/dispatch.h"
#include "http/http.h"
#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/**
 * Plans and sends orders while this VM holds the order ownership. Each order
 * carries the order count that the engine must still have, so that a delayed
 * order takes effect only on the state for which it was planned.
 */
class OrderController
{
public:
  OrderController(http::Client& aClient,
                  const Settings& aSettings,
                  Fleet& aFleet,
                  const CatalogHolder& aCatalog,
                  UpstreamTable& aUpstreams,
                  dispatch::UpstreamNotices& aNotices,
                  observe::Metrics& aMetrics);

  /** Starts or stops sending orders when the ownership has changed.
   * @return true if this VM may plan now */
  bool updateOwnership();

  /** Plans for all services and sends the resulting orders. Call it only if
   * updateOwnership() returned true. @param aDemand demand of the whole fleet
   * @param aImpaired engines whose answers do not serve their callers */
  void run(const residency::DemandTable& aDemand,
           const std::set<base::UpstreamName>& aImpaired);

  /** Stops sending orders permanently because the VM leaves the fleet. */
  void stop() { mStopped = true; }

  /** @return when this VM sent its latest order */
  base::TimePoint lastOrderAt() const { return mLastOrderAt; }

  /** @return true while this VM sends orders */
  bool active() const { return mActive; }

  /** @return adapters that engines hold and models that they are unloading */
  peers::PlacementTable placements() const;

  /** @return ages of the weights store loads that the rate limit still counts
   */
  std::vector<base::Duration> loadAges(base::TimePoint aNow) const
  {
    return mStoreLoads.loadAges(aNow);
  }

  /** Records the weights store loads that the owner, another VM, ordered.
   * @param aAges time since each load @param aNow time */
  void recordOwnerLoads(const std::vector<base::Duration>& aAges,
                        base::TimePoint aNow);

  /** Adds what a peer has heard from the owner, which matters only if this VM
   * does not know it. @param aReport report @param aNow time */
  void mergeOwnerLoads(const peers::StoreLoadReport& aReport,
                       base::TimePoint aNow);

  /** @param aNow time @return what this VM has heard from the owner lately */
  std::optional<peers::StoreLoadReport> ownerLoads(base::TimePoint aNow) const;

  /** Emitted when placements() may have changed. */
  sigc::signal<void()>& changed() { return mChanged; }

private:
  /** State that the owner keeps for an engine beyond its record. */
  struct Engine
  {
    std::uint64_t startedAt = 0;
    base::Address address;
    residency::EngineOrders orders;
    bool impaired = false; ///< as residency::Engine has it
    std::unique_ptr<http::Call> call;
  };

  void takeOver();
  void release();
  void syncEngines(const catalog::Service& aService, base::TimePoint aNow);
  void updateImpaired(const std::set<base::UpstreamName>& aImpaired);
  bool isQuiet(const Upstream& aUpstream, base::TimePoint aNow) const;
  void recordRefusal(const base::UpstreamName& aName,
                     const Engine& aEngine,
                     const http::Response& aAnswer);
  void fetchReport(const base::UpstreamName& aName, Engine& aEngine);
  void onReport(const base::UpstreamName& aName, const std::string& aBody);
  residency::PlanInput planInput(const catalog::Service& aService,
                                 const residency::DemandTable& aDemand,
                                 base::TimePoint aNow);
  void sendOrder(const residency::PlannedOrder& aOrder);
  void onReply(const residency::PlannedOrder& aOrder,
               http::CallEnd aEnd,
               const http::Response& aAnswer);

  http::Client& mClient;
  const Settings& mSettings;
  Fleet& mFleet;
  const CatalogHolder& mCatalog;
  UpstreamTable& mUpstreams;
  dispatch::UpstreamNotices& mNotices;
  observe::Metrics& mMetrics;
  std::map<base::UpstreamName, Engine> mEngines;
  residency::StoreLoadLimiter mStoreLoads;
  PlanStatistics mPlanStatistics;
  residency::UnservedTracker mUnservedTracker;
  std::uint64_t mFencingToken = 0;
  bool mActive = false;
  bool mStopped = false;
  base::TimePoint mLastOrderAt{};
  sigc::signal<void()> mChanged;
};

} // namespace marigold::gateway
