/** @file Orders to engines by their single owner. */
#pragma once

#include "apps/gateway/fleet.h"
#include "apps/gateway/live_catalog.h"
#include "apps/gateway/plan_report.h"
#include "apps/gateway/upstream_table.h"
#include "http/http.h"
#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/**
 * Plans and gives orders while this VM owns them. Each order names the order
 * count that the engine must still have, so that a late one takes effect only
 * on the state for which it was planned.
 */
class OrderBook
{
public:
  OrderBook(http::Client& aClient,
            const Settings& aSettings,
            Fleet& aFleet,
            const CatalogHolder& aCatalog,
            UpstreamTable& aUpstreams,
            observe::Metrics& aMetrics);

  /** Takes the orders over or gives them up, as the ownership tells.
   * @return true if this VM may plan now */
  bool followOwnership();

  /** Plans and sends what may be sent now; only after followOwnership().
   * @param aDemand demand of the whole fleet */
  void run(const residency::DemandTable& aDemand);

  /** Stops for good, because the VM leaves. */
  void stop() { mStopped = true; }

  /** @return true while this VM gives orders */
  bool active() const { return mActive; }

  /** @return adapters that the engines hold and models that leave them */
  peers::PlacementTable places() const;

  /** @return ages of the loads from the weights store that still count */
  std::vector<base::Duration> loadAges(base::TimePoint aNow) const
  {
    return mStoreLoads.loadAges(aNow);
  }

  /** Another VM is the owner and ordered these loads.
   * @param aAges time since each load @param aNow time */
  void noteLoads(const std::vector<base::Duration>& aAges,
                 base::TimePoint aNow);

  /** Emitted when places() changed. */
  sigc::signal<void()>& changed() { return mChanged; }

private:
  /** What the owner knows of an engine beyond its record. */
  struct Engine
  {
    std::uint64_t startedAt = 0;
    base::Address address;
    bool reported = false; ///< a report was read since the takeover
    bool calling = false;  ///< a report or an order is under way
    bool unclear = false;  ///< the count may have changed unseen
    std::uint64_t orderCount = 0;
    std::map<base::ModelName, std::set<std::string>> adapters;
    /** Models of the last report, which may be newer than the record. */
    std::set<base::ModelName> reportedModels;
    std::map<catalog::ModelRef, base::TimePoint> adapterLoadedAt;
    std::optional<base::ModelName> loading;
    base::TimePoint loadStarted{};
    std::optional<base::ModelName> unloading;
    base::TimePoint unloadStarted{};
    base::TimePoint retryAt{};
    std::unique_ptr<http::Call> call;
  };

  void takeOver();
  void release();
  void syncEngines(const catalog::Service& aService, base::TimePoint aNow);
  void settleModels(Engine& aEngine,
                    const catalog::UpstreamRecord& aRecord,
                    base::TimePoint aNow);
  void fetchReport(const base::UpstreamName& aName, Engine& aEngine);
  void onReport(const base::UpstreamName& aName, const std::string& aBody);
  residency::PlanInput situation(const catalog::Service& aService,
                                 const residency::DemandTable& aDemand,
                                 base::TimePoint aNow);
  void give(const residency::PlannedOrder& aStep);
  void onReply(const residency::PlannedOrder& aStep,
               http::CallEnd aEnd,
               int aStatus);
  void applyDone(Engine& aEngine, const residency::PlannedOrder& aStep);

  http::Client& mClient;
  const Settings& mSettings;
  Fleet& mFleet;
  const CatalogHolder& mCatalog;
  UpstreamTable& mUpstreams;
  observe::Metrics& mMetrics;
  std::map<base::UpstreamName, Engine> mEngines;
  residency::StoreLoadLimiter mStoreLoads;
  PlanReport mPlanReport;
  residency::UnservedTracker mAbsences;
  std::uint64_t mFence = 0;
  bool mActive = false;
  bool mStopped = false;
  sigc::signal<void()> mChanged;
};

} // namespace marigold::gateway
