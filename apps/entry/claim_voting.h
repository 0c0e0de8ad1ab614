/** @file This VM as a voter: its table, its group and the claim messages. */
#pragma once

#include "apps/entry/claim_store.h"
#include "apps/entry/peer_link.h"
#include "claims/claims.h"
#include "observe/observe.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace marigold::entry {

/** Answers vote requests and keeps this VM in the group of its data centre. */
class ClaimVoting
{
public:
  ClaimVoting(http::Loop& aLoop,
              const Settings& aSettings,
              base::Incarnation aIncarnation,
              const claims::Terms& aTerms,
              PeerLink& aPeers,
              ClaimStore& aStore,
              membership::Membership& aMembership,
              observe::Metrics& aMetrics);

  /** Registers the messages and starts to look after the group. */
  void start();

  /** Sends a claim message; one to this VM is handled a turn later.
   * @param aVm receiver @param aType type @param aBody content */
  void send(const base::VmName& aVm,
            const std::string& aType,
            const nlohmann::json& aBody);

  /** @param aHandler gets the votes and acknowledgements of other voters */
  void onVote(
    std::function<void(const base::VmName&, const nlohmann::json&)> aHandler)
  {
    mOnVote = std::move(aHandler);
  }

  /** @return state for operators */
  nlohmann::json dump() const;

private:
  /** Parts of a copy that is being received. */
  struct Incoming
  {
    std::uint64_t serial = 0;
    std::size_t parts = 0;
    std::vector<claims::Claim> claims;
  };

  void receive(const base::VmName& aFrom,
               const std::string& aType,
               const nlohmann::json& aBody);
  void onVoteRequest(const base::VmName& aFrom, const nlohmann::json& aBody);
  void onClosing(const base::VmName& aFrom,
                 const std::string& aType,
                 const nlohmann::json& aBody);
  void onSync(const base::VmName& aFrom, const nlohmann::json& aBody);
  void sendCopy(const base::VmName& aJoiner, claims::Epoch aEpoch);
  void onCopyPart(const base::VmName& aFrom, const nlohmann::json& aBody);
  void act(const claims::GroupActions& aActions);
  void readRecord();
  void listClaims();
  void tick();

  http::Loop& mLoop;
  const Settings& mSettings;
  PeerLink& mPeers;
  ClaimStore& mStore;
  membership::Membership& mMembership;
  observe::Metrics& mMetrics;
  claims::Voter mVoter;
  claims::GroupMember mMember;
  std::map<base::VmName, Incoming> mIncoming;
  std::uint64_t mSerial; ///< of copies; unique over all runs
  std::function<void(const base::VmName&, const nlohmann::json&)> mOnVote;
  http::EventHandle mTick;
};

} // namespace marigold::entry
