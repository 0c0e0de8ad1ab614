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
               RequestPath& aPath,
               Fleet& aFleet,
               OrderBook& aOrders,
               base::Incarnation aIncarnation);

  /** @return SettingsInvalid if the peer address is taken */
  base::Result<void> listen();

  /** The registered VMs changed. */
  void fleetChanged();

  /** Reports to the owner of orders soon, because requests wait. */
  void reportToOwner();

  /** The engines' places changed; announced soon, once for several changes. */
  void announcePlaces();

  /** This VM admits nothing more; tells everybody. */
  void depart();

  /** Forgets silent peers and the places of a silent owner. */
  void expire();

  /** @return the relay of this data centre as far as known */
  base::VmName relay() const;

  /** @return true if the VMs of this data centre report to the relay and read
   * the store through it */
  bool throughRelay() const;

  /** Emitted with the name of a VM that has a newer configuration. */
  sigc::signal<void(base::VmName)>& newerCatalog() { return mNewerCatalog; }

  /** Emitted when the owner's view of the engines came. */
  sigc::signal<void()>& placesHeard() { return mPlacesHeard; }

  /** Emitted when a peer's requests wait for the owner's orders. */
  sigc::signal<void()>& demandHeard() { return mDemandHeard; }

private:
  void receive(const std::string& aBytes);
  void take(peers::Status& aStatus, const std::string& aBytes);
  void take(peers::Summary& aSummary, const std::string& aBytes);
  void take(peers::Places& aPlaces, const std::string& aBytes);
  void passOn(const std::string& aBytes);
  void send();
  void sendStatus();
  void sendSummaries();
  std::string summary();
  void sendPlaces();
  void sendOwnerReport();
  /** Numbers and remembers a status, because a summary may contain it. */
  peers::Status nextStatus();
  void learn(const peers::DemandTable& aDemand);
  bool isRelay() const { return relay() == mPath.settings.vm; }
  std::size_t vmsOfDataCentre() const;
  bool takeOwn(peers::Summary aSummary, base::TimePoint aNow);
  std::vector<base::Address> neighbours() const;
  std::vector<base::Address> relaysOf(const base::DataCentre& aOther) const;

  http::Loop& mLoop;
  RequestPath& mPath;
  Fleet& mFleet;
  OrderBook& mOrders;
  base::Incarnation mIncarnation;
  PeerLink mLink;
  peers::SummaryMaker mSummaries;
  peers::PlaceNews mPlaceNews;
  peers::ReportSchedule mSchedule;
  peers::Periodic mPlacesTurn;
  std::uint64_t mSequence = 0;
  std::deque<peers::Status> mSent; ///< latest statuses, newest last
  bool mDeparting = false;
  std::map<base::DataCentre, std::vector<base::VmName>> mRelayOrders;
  std::uint64_t mPlacesFence = 0;
  std::uint64_t mPlacesSequence = 0;
  base::TimePoint mPlacesHeardAt{};
  Coalesced mOwnerReport;
  base::TimePoint mOwnerReportedAt{};
  http::EventHandle mAnnouncement;
  http::EventHandle mTimer;
  sigc::signal<void(base::VmName)> mNewerCatalog;
  sigc::signal<void()> mPlacesHeard;
  sigc::signal<void()> mDemandHeard;
};

} // namespace marigold::gateway
