/** @file The gateway process. */
#pragma once

#include "apps/gateway/coalesced.h"
#include "apps/gateway/exchange.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/loop_meter.h"
#include "apps/gateway/order_book.h"
#include "apps/gateway/peer_exchange.h"
#include "apps/gateway/record_relay.h"
#include "observe/observe.h"

namespace marigold::gateway {

/** Joins all parts of the process and runs its loop. */
class Node
{
public:
  /** @param aSettings settings @param aFile where they were read */
  Node(Settings aSettings, std::string aFile);

  /** Runs until the process is stopped. @return an address that is taken */
  base::Result<void> run();

private:
  // Configuration and records.
  void applyCatalog(const std::string& aText, const char* aSource);
  void applyUpstream(const platform::Entry& aEntry);
  void applyUpstreams(const platform::Snapshot& aSnapshot);
  void removeUpstream(const base::UpstreamName& aName, const char* aReason);
  void sweepAbsent();
  void fetchCatalogFrom(const base::VmName& aPeer);

  // Peers.
  void fleetChanged();
  void usePlaces();
  residency::DemandTable fleetDemand();

  // Orders and the requests that wait for them.
  void planSoon();
  void plan();
  void wakeSoon();

  // Life of the process.
  void tick();
  bool ready() const;
  void beginDrain();
  void continueDrain();
  void stopListening();
  void endOpenRequests();
  void reloadSettings();
  void serveReady(const std::shared_ptr<http::Responder>& aResponder);
  void addDumps();

  Settings mSettings;
  std::string mFile;
  base::Incarnation mIncarnation;
  http::Loop mLoop;
  observe::Metrics mMetrics;
  LoopMeter mLoopMeter;
  base::Random mRandom;
  http::Client mClient;
  platform::Client mPlatform;
  CatalogHolder mCatalog;
  UpstreamTable mUpstreams;
  peers::Table mPeers;
  quota::FleetQuota mQuota;
  wire::ConnectionPool mPool;
  dispatch::Health mHealth;
  dispatch::WorkModel mWork;
  dispatch::PrefixMemory mPrefixes;
  dispatch::RetryBudget mRetries;
  dispatch::CrashRecord mCrashes;
  DemandMeter mDemand;
  WaitingRoom mWaiting;
  RequestLog mRequestLog;
  RequestPath mPath;
  Fleet mFleet;
  PrefixWatch mCatalogWatch;
  PrefixWatch mUpstreamWatch;
  OrderBook mOrders;
  PeerExchange mExchange;
  wire::CallerServer mCallers;
  http::Server mReadyServer;
  observe::OperatorServer mOperator;
  RecordRelay mRelay;
  residency::PlanSchedule mPlans;
  Coalesced mPlan;
  Coalesced mUsePlaces;
  Coalesced mWake;
  std::unique_ptr<http::Call> mCatalogCall;
  /** Records that were absent when the store came back, with the time until
   * which their upstreams may still write them again. */
  std::map<base::UpstreamName, base::TimePoint> mAbsent;
  base::TimePoint mStoreRegained{};
  base::TimePoint mPeersKnownAt{};
  bool mUpstreamsKnown = false;
  bool mDraining = false;
  bool mStopped = false;
  std::vector<http::EventHandle> mWatches;
};

} // namespace marigold::gateway
