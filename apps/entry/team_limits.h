/** @file Charges of teams at this VM. */
#pragma once

#include "apps/entry/peer_link.h"
#include "apps/entry/slot_sync.h"
#include "limits/limits.h"
#include "observe/observe.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>

namespace marigold::entry {

using Charge = limits::Charge;

/**
 * Admits requests within the fleet-wide limit of their team. It holds a slot
 * through the platform and moves parts of the limit between VMs as loans.
 */
class TeamLimits
{
public:
  using Admitted = std::function<void(base::Code, const Charge&)>;

  TeamLimits(http::Loop& aLoop,
             platform::Client& aPlatform,
             membership::Membership& aMembership,
             PeerLink& aPeers,
             const Configuration& aConfiguration,
             observe::Metrics& aMetrics,
             const Settings& aSettings,
             base::Incarnation aIncarnation);

  /** Starts to claim a slot and to answer peers. */
  void start();

  /** @param aManifest manifest in force @param aNow current time */
  void update(const config::Manifest& aManifest, base::TimePoint aNow);

  /**
   * @param aTeam team @param aCost tokens @param aNow current time
   * @param aDone gets Ok, RateExceeded, CostAboveBurst or TeamNotAllowed, now
   * or within 100 ms
   */
  void admit(const base::TeamName& aTeam,
             double aCost,
             base::TimePoint aNow,
             const Admitted& aDone);

  /** @param aCharge charge @param aUnused tokens that were not used
   * @param aNow current time */
  void refund(const Charge& aCharge, double aUnused, base::TimePoint aNow);

  /** Hands loans, tokens and the slot over, for a planned stop.
   * @param aDone runs once, within a second */
  void handOver(std::function<void()> aDone);

  /** @return state of the slot and of each team for the dump */
  nlohmann::json dump();

private:
  struct Waiting
  {
    Admitted done;
    http::EventHandle deadline;
  };

  void tick();
  void tickSlot();
  void perform(const limits::Actions& aActions);
  void receive(const mesh::Envelope& aEnvelope);
  void report();
  void finishHandOver();

  http::Loop& mLoop;
  membership::Membership& mMembership;
  PeerLink& mPeers;
  observe::Metrics& mMetrics;
  SlotSync mSlot;
  limits::Holder mHolder;
  std::map<limits::Ticket, Waiting> mWaiting;
  http::EventHandle mTick;
  http::EventHandle mSlowTick;
  http::EventHandle mOfferEnd;
  http::EventHandle mReleaseEnd;
  std::function<void()> mHandedOver;
};

} // namespace marigold::entry
