/** @file At-most-once execution: this VM as coordinator and as voter. */
#pragma once

#include "apps/entry/claim_store.h"
#include "apps/entry/claim_voting.h"
#include "apps/entry/configuration.h"
#include "apps/entry/peer_link.h"
#include "apps/entry/settings.h"
#include "claims/claims.h"
#include "observe/observe.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace marigold::entry {

/** A non-idempotent request that wants to run. */
struct ClaimRequest
{
  claims::AttemptId attempt; ///< id of the request
  base::TeamName team;
  std::string route; ///< service, method and path prefix
  std::string idempotencyKey;
  base::TimePoint deadline;
};

/** Collects votes for this VM's requests and reports how they ended. */
class ClaimService
{
public:
  using Decided = std::function<void(const claims::Decision&)>;

  ClaimService(http::Loop& aLoop,
               const Settings& aSettings,
               base::Incarnation aIncarnation,
               PeerLink& aPeers,
               platform::Client& aPlatform,
               membership::Membership& aMembership,
               Configuration& aConfiguration,
               observe::Metrics& aMetrics);

  /** Starts to take part in the claim group of the data centre. */
  void start();

  /** Claims a key. @param aRequest request
   * @param aDecided runs later, once, unless the attempt is closed before */
  void begin(const ClaimRequest& aRequest, Decided aDecided);

  /** @param aAttempt attempt @return whether its forwarding may start now */
  bool mayForward(const claims::AttemptId& aAttempt) const;

  /** The attempt did not run and never will. @param aAttempt attempt */
  void release(const claims::AttemptId& aAttempt);

  /** The attempt was forwarded. @param aAttempt attempt
   * @param aAnswer complete answer, or absent if the outcome is unknown */
  void settle(const claims::AttemptId& aAttempt,
              const std::optional<claims::StoredAnswer>& aAnswer);

  /** Calls back once the voters know how the attempts ended, or soon.
   * @param aDone runs once */
  void finish(std::function<void()> aDone);

  /** @return state for operators */
  nlohmann::json dump() const;

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  /** How an attempt ended, until its voters have acknowledged it. */
  struct Closing
  {
    base::DataCentre home;
    claims::Claim claim;
    bool released = false;
    std::set<base::VmName> waiting;
    int sent = 0;
  };

  void act(const AttemptPtr& aAttempt, const claims::CoordinatorActions& aDo);
  void ask(const AttemptPtr& aAttempt, const base::VmName& aVm);
  void askPlatform(const AttemptPtr& aAttempt);
  void readRecord(const AttemptPtr& aAttempt);
  void onVote(const base::VmName& aFrom, const nlohmann::json& aBody);
  void close(const AttemptPtr& aAttempt, const claims::Claim* aSettled);
  void sendClosing(Closing& aClosing);
  void tick();
  void retryClosing();
  void updateBudget();
  std::set<base::VmName> silentMembers(const base::DataCentre& aHome,
                                       const claims::GroupRecord& aRecord,
                                       base::TimePoint aNow);
  std::vector<base::VmName> someVms(const base::DataCentre& aHome) const;
  base::DataCentre homeOf(const claims::ClaimKey& aKey,
                          const std::string& aIdempotencyKey) const;

  http::Loop& mLoop;
  const Settings& mSettings;
  membership::Membership& mMembership;
  Configuration& mConfiguration;
  observe::Metrics& mMetrics;
  claims::Terms mTerms;
  ClaimStore mStore;
  ClaimVoting mVoting;
  std::map<base::DataCentre, claims::GroupRecord> mGroups;
  std::map<base::VmName, base::TimePoint> mSilentUntil;
  std::map<claims::AttemptId, AttemptPtr> mAttempts;
  std::map<claims::AttemptId, Closing> mClosing;
  http::EventHandle mTick;
  http::EventHandle mRetry;
  std::function<void()> mFinished;
  bool mTicking = false;
};

} // namespace marigold::entry
