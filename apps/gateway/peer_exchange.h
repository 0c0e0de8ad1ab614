/** @file Exchange of load, demand, quota and placements between VMs. */
#pragma once

#include "apps/gateway/coalesced_callback.h"
#include "apps/gateway/fleet.h"
#include "apps/gateway/order_controller.h"
#include "apps/gateway/peer_socket.h"
#include "apps/gateway/request_context.h"

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
               RequestContext& aContext,
               Fleet& aFleet,
               OrderController& aOrders,
               base::Incarnation aIncarnation);

  /** Starts to send and receive. @return SettingsInvalid if the peer address
   * cannot be bound */
  base::Result<void> listen();

  /** Recomputes relays and periods after the registered VMs have changed. */
  void onFleetChanged();

  /** Sends a status to the owner of orders soon, because requests wait for a
   * model. */
  void reportToOwner();

  /** Sends the crashes that this VM has seen to the VM that collects them,
   * which knows the parts that crash upstreams before the periodic reports
   * tell. */
  void reportCrashes();

  /** Tells some VMs of streams that began at this VM, so that they outlive its
   * process. @param aOrigins streams */
  void announceStreams(const std::vector<peers::StreamOrigin>& aOrigins);

  /** Asks the VMs that may know for the origin of streams.
   * @param aStreams streams @param aScope which VMs to ask */
  void askForStreams(const std::vector<peers::StreamId>& aStreams,
                     StreamRegistry::Scope aScope);

  /** Announces changed placements after a short delay, which coalesces several
   * changes. */
  void announcePlacements();

  /** Informs all VMs that this VM admits no more requests. */
  void announceDraining();

  /** Removes peers that sent nothing for a while, and the placements of an
   * owner that sent nothing for a while. */
  void expire();

  /** @param aHost numeric address @return true if a VM of the data centre has
   * it whose registration has lapsed and that still reports */
  bool isLapsedMember(const std::string& aHost) const;

  /** @return the VM that this VM considers the relay of its data centre */
  base::VmName relay() const;

  /** @return VMs of the data centre through which it reads the store, by
   * preference */
  std::vector<base::VmName> storeReaders() const;

  /** @return number of VMs in this data centre */
  std::size_t dataCentreSize() const;

  /** @return true if the data centre is large enough for its VMs to send their
   * status to the relay only */
  bool usesRelay() const;

  /** @return true if this VM keeps what must outlive the others: it owns the
   * orders or, if no VM does, is ranked first */
  bool isCollector() const;

  /** Emitted with the name of a VM that has a newer configuration version. */
  sigc::signal<void(base::VmName)>& newerCatalog() { return mNewerCatalog; }

  /** Emitted when placements were received from the owner of orders. */
  sigc::signal<void()>& placementsReceived() { return mPlacementsReceived; }

  /** Emitted on the owner of orders when requests wait for a model. */
  sigc::signal<void()>& waitingDemandReceived()
  {
    return mWaitingDemandReceived;
  }

private:
  void receive(const std::string& aBytes);
  void mergeCrashes(const peers::CrashTable& aCrashes, base::TimePoint aNow);
  void probeCrashed(const peers::CrashTable& aCrashes);
  void merge(const peers::Gossip& aGossip, base::TimePoint aNow);
  void mergeDraining(
    const std::map<base::UpstreamName, std::uint32_t>& aDraining);
  void handle(peers::Status& aStatus, const std::string& aBytes);
  void handle(peers::Summary& aSummary, const std::string& aBytes);
  void handle(peers::PlacementUpdate& aUpdate, const std::string& aBytes);
  void handle(peers::CrashReport& aReport, const std::string& aBytes);
  void handle(peers::StreamReport& aReport, const std::string& aBytes);
  void handle(peers::StreamQuery& aQuery, const std::string& aBytes);
  void forwardToDataCentre(const std::string& aBytes);
  void send();
  void sendStatus();
  void sendSummaries();
  std::string summary();
  void sendPlacements();
  void sendOwnerReport();
  void sendCrashReport();
  base::VmName collectorName() const;
  std::optional<base::Address> collector() const;
  std::vector<base::Address> successors() const;
  std::vector<base::Address> withCollector(
    std::vector<base::Address> aAddresses) const;
  void sendStreams(const std::vector<peers::StreamOrigin>& aOrigins,
                   const std::vector<base::Address>& aTargets);
  /** Creates a status with the next sequence number and keeps a copy, because
   * a later summary may include it. */
  peers::Status nextStatus();
  void signalWaitingDemand(const peers::DemandTable& aDemand);
  bool isRelay() const { return relay() == mContext.settings.vm; }
  bool handleOwnSummary(peers::Summary aSummary, base::TimePoint aNow);
  std::vector<base::Address> dataCentreAddresses() const;
  void noteLapsedMembers();
  std::vector<base::Address> relayAddresses(
    const base::DataCentre& aOther) const;

  http::Loop& mLoop;
  RequestContext& mContext;
  Fleet& mFleet;
  OrderController& mOrders;
  base::Incarnation mIncarnation;
  PeerSocket mSocket;
  peers::SummaryBuilder mSummaries;
  peers::PlacementAnnouncer mPlacementAnnouncer;
  peers::ReportSchedule mSchedule;
  peers::PeriodicTimer mPlacementTimer;
  std::uint64_t mSequence = 0;
  std::deque<peers::Status> mSentStatuses; ///< most recent ones, newest last
  bool mDraining = false;
  std::map<base::DataCentre, std::vector<base::VmName>> mRelayRanking;
  using Addresses = std::map<base::VmName, base::Address>;
  Addresses mRegistered; ///< other VMs of this data centre
  /** Former ones that may still report. */
  Addresses mLapsed;
  std::uint64_t mPlacementFencingToken = 0;
  std::uint64_t mPlacementSequence = 0;
  base::TimePoint mPlacementsReceivedAt{};
  CoalescedCallback mOwnerReport;
  base::TimePoint mOwnerReportedAt{};
  CoalescedCallback mCrashReport;
  base::TimePoint mCrashReportedAt{};
  http::EventHandle mAnnouncementTimer;
  http::EventHandle mStatusTimer;
  sigc::signal<void(base::VmName)> mNewerCatalog;
  sigc::signal<void()> mPlacementsReceived;
  sigc::signal<void()> mWaitingDemandReceived;
};

} // namespace marigold::gateway
