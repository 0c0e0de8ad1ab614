/** @file Exchange of load, demand, quota and placements between VMs. */
#pragma once

#include "apps/gateway/coalesced.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/order_book.h"
#include "apps/gateway/peer_link.h"
#include "apps/gateway/request_path.h"

#include <deque>

namespace marigold::gateway {

/**
 * The VMs of a data centre send their status to one of them, the relay. The
 * relay sends a summary to all of them and to the relays of the other data
 * centres, and forwards the summaries that it receives from those. This way
 * the links between regions carry each value once, and the messages of a VM do
 * not grow with the fleet. In a small data centre the VMs send their status to
 * each other directly.
 */
class PeerExchange
{
public:
  PeerExchange(http::Loop& aLoop,
               RequestPath& aPath,
               Fleet& aFleet,
               OrderBook& aOrders,
               base::Incarnation aIncarnation);

  /** Starts to send and receive. @return SettingsInvalid if the peer address
   * cannot be bound */
  base::Result<void> listen();

  /** Recomputes relays and periods after the registered VMs have changed. */
  void fleetChanged();

  /** Sends a status to the owner of orders soon, because requests wait for a
   * model. */
  void reportToOwner();

  /** Announces changed placements after a short delay, which coalesces several
   * changes. */
  void announcePlaces();

  /** Informs all VMs that this VM admits no more requests. */
  void depart();

  /** Removes peers that sent nothing for a while, and the placements of an
   * owner that sent nothing for a while. */
  void expire();

  /** @return the VM that this VM considers the relay of its data centre */
  base::VmName relay() const;

  /** @return true if the data centre is large enough for its VMs to send their
   * status to the relay and to read the store through it */
  bool throughRelay() const;

  /** Emitted with the name of a VM that has a newer configuration version. */
  sigc::signal<void(base::VmName)>& newerCatalog() { return mNewerCatalog; }

  /** Emitted when placements were received from the owner of orders. */
  sigc::signal<void()>& placesHeard() { return mPlacesHeard; }

  /** Emitted on the owner of orders when requests wait for a model. */
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
  /** Creates a status with the next sequence number and keeps a copy, because
   * a later summary may include it. */
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
  std::deque<peers::Status> mSent; ///< most recent statuses, newest last
  bool mDeparting = false;
  std::map<base::DataCentre, std::vector<base::VmName>> mRelayOrders;
  std::uint64_t mPlacesFence = 0;
  std::uint64_t mPlacesSequence = 0;
  base::TimePoint mPlacesHeardAt{};
  Coalesced mOwnerReport;
  base::TimePoint mOwnerReportedAt{};
  http::Watch mAnnouncement;
  http::Watch mTimer;
  sigc::signal<void(base::VmName)> mNewerCatalog;
  sigc::signal<void()> mPlacesHeard;
  sigc::signal<void()> mDemandHeard;
};

} // namespace marigold::gateway
