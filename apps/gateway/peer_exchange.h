/** @file What this VM tells its peers and learns from them. */
#pragma once

#include "apps/gateway/coalesced.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/order_book.h"
#include "apps/gateway/peer_link.h"
#include "apps/gateway/request_path.h"

#include <deque>

namespace marigold::gateway {

/**
 * The VMs of a data centre report to one of them, the relay, which sends the
 * summary to all of them and to the relays of the other data centres, and
 * passes theirs on. So links between regions carry each figure once, and the
 * messages of a VM do not grow with the fleet. A few VMs report to each other
 * directly.
 */
class PeerExchange
{
public:
  PeerExchange(http::Loop& aLoop,
               RequestContext& aContext,
               Fleet& aFleet,
               OrderController& aOrders,
               base::Incarnation aIncarnation);

  /** @return SettingsInvalid if the peer address is taken */
  base::Result<void> listen();

  /** The registered VMs changed. */
  void onFleetChanged();

  /** Reports to the owner of orders soon, because requests wait. */
  void reportToOwner();

  /** The engines' places changed; announced soon, once for several changes. */
  void announcePlacements();

  /** This VM admits nothing more; tells everybody. */
  void announceDraining();

  /** Forgets silent peers and the places of a silent owner. */
  void expire();

  /** @return the relay of this data centre as includeRemoteRegions as known */
  base::VmName relay() const;

  /** @return true if the VMs of this data centre report to the relay and read
   * the store through it */
  bool usesRelay() const;

  /** Emitted with the name of a VM that has a newer configuration. */
  sigc::signal<void(base::VmName)>& newerCatalog() { return mNewerCatalog; }

  /** Emitted when the owner's view of the engines came. */
  sigc::signal<void()>& placementsReceived() { return mPlacementsReceived; }

  /** Emitted when a peer's requests wait for the owner's orders. */
  sigc::signal<void()>& waitingDemandReceived()
  {
    return mWaitingDemandReceived;
  }

private:
  void receive(const std::string& aBytes);
  void handle(peers::Status& aStatus, const std::string& aBytes);
  void handle(peers::Summary& aSummary, const std::string& aBytes);
  void handle(peers::PlacementUpdate& aPlaces, const std::string& aBytes);
  void forwardToDataCentre(const std::string& aBytes);
  void send();
  void sendStatus();
  void sendSummaries();
  std::string summary();
  void sendPlacements();
  void sendOwnerReport();
  /** Numbers and remembers a status, because a summary may contain it. */
  peers::Status nextStatus();
  void signalWaitingDemand(const peers::DemandTable& aDemand);
  bool isRelay() const { return relay() == mContext.settings.vm; }
  std::size_t dataCentreSize() const;
  bool handleOwnSummary(peers::Summary aSummary, base::TimePoint aNow);
  std::vector<base::Address> dataCentreAddresses() const;
  std::vector<base::Address> relayAddresses(
    const base::DataCentre& aOther) const;

  http::Loop& mLoop;
  RequestContext& mContext;
  Fleet& mFleet;
  OrderController& mOrders;
  base::Incarnation mIncarnation;
  PeerSocket mSocket;
  peers::SummaryBuilder mSummaries;
  peers::PlacementAnnouncer mPlaceNews;
  peers::ReportSchedule mSchedule;
  peers::PeriodicTimer mPlacesTurn;
  std::uint64_t mSequence = 0;
  std::deque<peers::Status> mSentStatuses; ///< latest statuses, newest last
  bool mDraining = false;
  std::map<base::DataCentre, std::vector<base::VmName>> mRelayRanking;
  std::uint64_t mPlacementFencingToken = 0;
  std::uint64_t mPlacementSequence = 0;
  base::TimePoint mPlacementsReceivedAt{};
  CoalescedCallback mOwnerReport;
  base::TimePoint mOwnerReportedAt{};
  http::EventHandle mAnnouncementTimer;
  http::EventHandle mStatusTimer;
  sigc::signal<void(base::VmName)> mNewerCatalog;
  sigc::signal<void()> mPlacementsReceived;
  sigc::signal<void()> mWaitingDemandReceived;
};

} // namespace marigold::gateway
