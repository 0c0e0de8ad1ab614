/** @file Detects crashes of upstreams and shares suspects with all VMs. */
#pragma once

#include "apps/entry/peer_link.h"
#include "apps/entry/upstream_table.h"
#include "request/request.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

namespace marigold::entry {

/** Whether a request may be forwarded. */
enum class Permission : std::uint8_t
{
  Free,      ///< nothing is known against it
  Trial,     ///< it holds the one trial of a suspect
  Refused,   ///< a suspect whose trial is not available now
  Poisonous, ///< crashed two upstreams
};

/** The part of an upstream that a crash is attributed to. */
struct UpstreamRun
{
  base::UpstreamName name;
  std::uint64_t incarnation = 0;
};

/**
 * Runs the crash guard of this VM. A connection that broke is no crash yet: the
 * upstream is asked for a report first, and only silence or a new process of it
 * counts.
 */
class CrashWatch
{
public:
  using Checked = std::function<void(Permission)>;
  using Judged = std::function<void(bool)>;

  CrashWatch(http::Loop& aLoop,
             http::Client& aClient,
             PeerLink& aPeers,
             membership::Membership& aMembership,
             UpstreamTable& aUpstreams);

  /** Starts to exchange suspects with peers. */
  void start();

  /** @param aFingerprint request @return true if it must never run again */
  bool isPoisonous(const std::string& aFingerprint) const
  {
    return mGuard.verdict(aFingerprint) == request::GuardVerdict::Poisonous;
  }

  /** Asks whether a request may be forwarded. @param aFingerprint request
   * @param aDone called at once unless another VM has to be asked */
  void check(const std::string& aFingerprint, const Checked& aDone);

  /**
   * Finds out whether an upstream died while it ran a request; if so, all alive
   * peers are told before the result is handed over.
   * @param aRun upstream @param aFingerprint request
   * @param aDone gets true if it died
   */
  void judge(const UpstreamRun& aRun,
             const std::string& aFingerprint,
             Judged aDone);

  /** Notes that a request completed. @param aFingerprint request */
  void completed(const std::string& aFingerprint);

  /** Notes where a trial runs. @param aFingerprint request
   * @param aUpstream upstream */
  void trialAt(const std::string& aFingerprint,
               const base::UpstreamName& aUpstream);

  /** Gives back a trial that did not crash. @param aFingerprint request */
  void returnTrial(const std::string& aFingerprint);

  /** Cancels a request at an upstream. @param aRun upstream @param aId id of
   * the request @param aFingerprint request @param aTrial true if it was a
   * trial, which is given back once the upstream proves to live */
  void cancel(const UpstreamRun& aRun,
              const std::string& aId,
              const std::string& aFingerprint,
              bool aTrial);

  /** @param aFingerprint request @return upstreams that run another suspect */
  std::set<base::UpstreamName> occupiedByOthers(
    const std::string& aFingerprint) const
  {
    return mGuard.occupiedByOthers(aFingerprint);
  }

  /** @param aFingerprint request @param aUpstream upstream it chose
   * @return true if another suspect that chose it as well goes first */
  bool mustYield(const std::string& aFingerprint,
                 const base::UpstreamName& aUpstream) const
  {
    return mGuard.mustYield(aFingerprint, aUpstream);
  }

  /** @return state for the dump */
  nlohmann::json dump() const;

private:
  struct Announcement
  {
    std::set<base::VmName> waitingFor;
    std::function<void()> done;
    http::EventHandle timeout;
  };
  struct Question
  {
    Checked done;
    http::EventHandle timeout;
  };
  struct Probe
  {
    std::unique_ptr<http::Call> call;
    std::vector<Judged> waiting;
  };

  void probe(const UpstreamRun& aRun, const Judged& aDone);
  void announce(const request::CrashReport& aReport,
                std::function<void()> aDone);
  void acknowledged(std::uint64_t aNumber, const base::VmName& aVm);
  void finishAnnouncement(std::uint64_t aNumber);
  void askOwner(const std::string& aFingerprint, const Checked& aDone);
  void onSuspect(const mesh::Envelope& aEnvelope);
  void onQuestion(const mesh::Envelope& aEnvelope);
  void onGrant(const mesh::Envelope& aEnvelope);
  void onSuspects(const mesh::Envelope& aEnvelope);
  void sendAll(const base::VmName& aVm);
  void gossip();
  std::string crashOf(const UpstreamRun& aRun);

  http::Loop& mLoop;
  http::Client& mClient;
  PeerLink& mPeers;
  membership::Membership& mMembership;
  UpstreamTable& mUpstreams;
  request::CrashGuard mGuard;
  std::uint64_t mNumber = 0;
  std::map<std::uint64_t, Announcement> mAnnouncements;
  std::map<std::uint64_t, Question> mQuestions;
  std::map<std::uint64_t, std::unique_ptr<http::Call>> mCancels;
  std::map<std::string, Probe> mProbes;
  std::size_t mGossipTurn = 0;
  bool mSynced = false;
  http::EventHandle mGossip;
};

} // namespace marigold::entry
