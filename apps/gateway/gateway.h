/** @file The gateway process. */
#pragma once

#include "apps/gateway/carrier.h"
#include "apps/gateway/catalog_loader.h"
#include "apps/gateway/coalesced_callback.h"
#include "apps/gateway/crash_records.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/loop_delay_monitor.h"
#include "apps/gateway/order_controller.h"
#include "apps/gateway/peer_exchange.h"
#include "apps/gateway/request_server.h"
#include "apps/gateway/retry_pause.h"
#include "apps/gateway/store_call_report.h"
#include "apps/gateway/stream_records.h"
#include "apps/gateway/watch_relay.h"
#include "observe/observe.h"

#include <list>

namespace marigold::gateway {

/** Owns and connects all components of the process and runs the event loop. */
class Gateway
{
public:
  /** @param aSettings settings @param aFile file to reload them from */
  Gateway(Settings aSettings, std::string aFile);

  /** Runs until the process is stopped. @return SettingsInvalid if an address
   * cannot be bound */
  base::Result<void> run();

private:
  // Configuration and records.
  void applyCatalog(LoadedCatalog aLoaded);
  enum class RecordSource : std::uint8_t
  {
    Written, ///< just written to the store
    Listed
  };
  void applyUpstream(const platform::Entry& aEntry, RecordSource aSource);
  bool isFromCopy(const catalog::UpstreamRecord& aRecord) const;
  void onStoreRestored();
  void applyUpstreams(const platform::Snapshot& aSnapshot);
  void removeUpstream(const base::UpstreamName& aName, const char* aReason);
  void removeMissingUpstreams();
  void checkProcess(const Upstream& aUpstream, StreamRegistry::Started aDone);
  void fetchCatalogFrom(const base::VmName& aPeer);
  void pauseCatalogPeer();

  // Peers.
  void onFleetChanged();
  void applyPlacements();
  residency::DemandTable fleetDemand();

  // Orders and the requests that wait for them.
  void schedulePlan();
  void plan();
  void scheduleRetries();
  void endBlockedRequests();
  void onProbe(const wire::UpstreamKey& aUpstream, ProbeResult aResult);
  void onPathChanged();
  void checkProgress();
  void askPeer(const Upstream& aUpstream, UpstreamReach::PeerResult aDone);
  std::vector<CarrierPeer> carrierPeers() const;
  bool isPeer(const std::string& aHost) const;

  // Process lifecycle.
  void tick();
  bool ready() const;
  void beginDrain();
  void continueDrain();
  void reloadSettings();
  void serveReady(const std::shared_ptr<http::Responder>& aResponder);
  void registerDumps();

  Settings mSettings;
  std::string mFile;
  base::Incarnation mIncarnation;
  http::Loop mLoop;
  observe::Metrics mMetrics;
  LoopDelayMonitor mLoopDelayMonitor;
  base::Random mRandom;
  http::Client mClient;
  http::Client mEngineClient;
  platform::Client mPlatform;
  StoreCallReport mStoreCalls;
  CatalogHolder mCatalog;
  UpstreamTable mUpstreams;
  peers::PeerTable mPeers;
  quota::FleetQuota mQuota;
  base::MemoryBudget mMemory;
  wire::ConnectionPool mPool;
  dispatch::OutlierDetector mOutliers;
  dispatch::LatencyEstimator mLatencyEstimator;
  dispatch::PrefixIndex mPrefixIndex;
  dispatch::RetryBudget mRetries;
  dispatch::CrashTracker mCrashes;
  dispatch::UpstreamNotices mNotices;
  StreamRegistry mStreams;
  UpstreamReach mReach;
  UpstreamCalls mCalls;
  DemandMeter mDemand;
  ModelWaitQueue mWaitQueue;
  RequestLog mRequestLog;
  RequestContext mContext;
  Fleet mFleet;
  CrashRecords mCrashRecords;
  StreamRecords mStreamRecords;
  CatalogLoader mCatalogLoader;
  PrefixWatch mCatalogWatch;
  PrefixWatch mUpstreamWatch;
  OrderController mOrders;
  PeerExchange mPeerExchange;
  RequestServer mRequests;
  Carrier mCarrier;
  http::Server mReadyServer;
  observe::OperatorServer mOperator;
  WatchRelay mRelay;
  residency::PlanSchedule mPlanSchedule;
  CoalescedCallback mPlanCallback;
  CoalescedCallback mApplyPlacements;
  CoalescedCallback mRetryWaiting;
  CoalescedCallback mEndBlocked;
  std::unique_ptr<http::Call> mCatalogCall; ///< to a peer
  base::VmName mCatalogPeer;                ///< the peer that was asked last
  std::map<base::VmName, RetryPause> mCatalogPauses; ///< of calls to each peer
  std::list<std::unique_ptr<http::Call>> mProcessChecks;
  /** Upstreams whose records were missing after the store became reachable
   * again, with the time until which they may write them again. */
  std::map<base::UpstreamName, base::TimePoint> mMissingRecords;
  base::TimePoint mStoreReachedAt{};
  std::optional<base::TimePoint> mStoreRestoredAt;
  base::TimePoint mFleetKnownAt{};
  bool mUpstreamsKnown = false;
  std::vector<http::EventHandle> mWatches;
};

} // namespace marigold::gateway
