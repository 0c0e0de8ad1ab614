/** @file Detects requests that crash upstreams ("poison" requests). */
#pragma once

#include "dispatch/crash_record.h"
#include "dispatch/crash_trials.h"
#include "dispatch/crash_verdict.h"
#include "dispatch/recent_traits.h"
#include "dispatch/request_traits.h"

#include <functional>
#include <optional>

namespace marigold::dispatch {

/** One run of an upstream's process. */
struct UpstreamProcess
{
  base::UpstreamName name;
  std::uint64_t startedAt = 0; ///< as in the upstream's record

  /** @return short identification for peers */
  peers::ProcessTag tag() const;
};

/**
 * Collects which traits were present at which crashes, on this VM and on its
 * peers, and blocks requests with a trait that was present at several and with
 * which no request has finished since. A broken connection counts as a crash
 * only after its upstream is found to be gone, because connections also break
 * under harmless requests.
 */
class CrashTracker
{
public:
  /** @param aCallback runs after each change of the verdicts; must not call the
   * tracker */
  void onVerdicts(std::function<void()> aCallback)
  {
    mOnVerdicts = std::move(aCallback);
  }

  /** @param aCallback runs after a crash that a new part may have caused was
   * seen on this VM; must not call the tracker */
  void onCrashSeen(std::function<void()> aCallback)
  {
    mOnCrashSeen = std::move(aCallback);
  }

  /** Records that the connection to an upstream broke before the upstream began
   * to answer the request. @param aTraits traits of the request
   * @param aProcess upstream @param aNow time */
  void onConnectionBroken(const peers::TraitSet& aTraits,
                          const UpstreamProcess& aProcess,
                          base::TimePoint aNow);

  /** Records that a request was withdrawn from an upstream before the upstream
   * began to answer it. If the upstream is found to be gone, that counts as if
   * the connection had broken: it may have begun to work on the request.
   * @param aTraits traits of the request @param aProcess upstream
   * @param aNow time */
  void onRequestWithdrawn(const peers::TraitSet& aTraits,
                          const UpstreamProcess& aProcess,
                          base::TimePoint aNow);

  /** Confirms a crash: the upstream is unreachable, was replaced or is no
   * longer listed. @param aUpstream upstream @param aNow time */
  void onUpstreamGone(const base::UpstreamName& aUpstream,
                      base::TimePoint aNow);

  /** Rules out a crash: the upstream answered a request that was sent after the
   * connection broke. @param aUpstream upstream
   * @param aSentAt when that request was sent */
  void onUpstreamAlive(const base::UpstreamName& aUpstream,
                       base::TimePoint aSentAt);

  /** Clears the traits of a request whose upstream survived the beginning of
   * the answer. @param aTraits its traits @param aBegunAt when its answer began
   * @param aNow time */
  void onSuccess(const peers::TraitSet& aTraits,
                 base::TimePoint aBegunAt,
                 base::TimePoint aNow);

  /** @param aProcess process of an upstream
   * @return true if it is known to have crashed */
  bool knows(peers::ProcessTag aProcess) const
  {
    return mCrashes.contains(aProcess);
  }

  /** Adds evidence from a peer. @param aTable evidence @param aNow time */
  void merge(const peers::CrashTable& aTable, base::TimePoint aNow);

  /** @param aNow time
   * @return evidence to send to peers: all that has changed recently and, in
   * turn, the rest, for peers that do not have it yet */
  peers::CrashTable report(base::TimePoint aNow) const;

  /** @param aNow time @return crashes that were seen on this VM lately and that
   * a new part may have caused */
  peers::CrashTable seenCrashes(base::TimePoint aNow) const;

  /** Adds evidence that a peer asks this VM to record, as if the crashes had
   * been seen here. @param aTable evidence @param aNow time */
  void adopt(const peers::CrashTable& aTable, base::TimePoint aNow);

  /** Adds evidence that a process left in the store. @param aRecord evidence
   * @param aNow time */
  void merge(const CrashRecord& aRecord, base::TimePoint aNow);

  /** @param aStored record in the store @param aNow time
   * @return the record that should replace it: the latest crashes behind
   * verdicts, and those of the stored one that are known here */
  CrashRecord record(const CrashRecord& aStored, base::TimePoint aNow) const;

  /** @param aStored record in the store @param aNow time
   * @return true if a VM that knows nothing else blocks the same requests */
  bool isRecorded(const CrashRecord& aStored, base::TimePoint aNow) const;

  /** @param aStored record in the store
   * @return true if this VM has seen or adopted a crash with a new part and
   * blocks requests for it that a VM which knows nothing else would send */
  bool mustRecordAtOnce(const CrashRecord& aStored) const;

  /** @param aTraits traits of a request
   * @return the verdict because of which it must not be sent, or nullptr; valid
   * until the next change */
  const CrashVerdict* verdictOn(const peers::TraitSet& aTraits) const;

  /** Only one VM of the fleet should begin trials. @param aEnabled whether this
   * one does */
  void setTrialsEnabled(bool aEnabled) { mTrialsEnabled = aEnabled; }

  /**
   * Lets a blocked request through if it can show that the part for which it is
   * blocked is sound, and has nothing else that may have caused the crashes.
   * @param aTraits traits of a request that a verdict covers
   * @param aNow time
   * @return true if verdicts do not apply to the request for a while
   */
  bool beginTrial(const peers::TraitSet& aTraits, base::TimePoint aNow);

  /** @param aTraits traits of a request that a verdict covers @param aNow time
   * @return true if beginTrial() would let it through */
  bool mayTry(const peers::TraitSet& aTraits, base::TimePoint aNow) const;

  /** @param aTraits traits of a request @return true if no request is known to
   * have finished with one of its parts */
  bool hasNewPart(const peers::TraitSet& aTraits) const;

  /** @param aTraits traits of a request that was at a crash
   * @return true if the request may be its cause: it has a part with which no
   * request is known to have finished */
  bool maySpreadCrash(const peers::TraitSet& aTraits) const;

  /** @return verdicts in force */
  const std::vector<CrashVerdict>& verdicts() const { return mVerdicts; }

  /** Drops expired evidence and lapsed verdicts. @param aNow time */
  void expire(base::TimePoint aNow);

private:
  /** A crash of an upstream. */
  struct Crash
  {
    base::TimePoint at{};
    base::TimePoint changedAt{};
    std::set<peers::TraitSet> suspects;
    peers::TraitSet cleared;
    bool seenHere = false; ///< with a request that may be its cause
    bool adopted = false;  ///< a peer asked this VM to record it
  };
  /** Trials of a trait in the whole fleet. */
  struct Tried
  {
    std::uint32_t count = 0; ///< kMaxTrials once one has broken
    base::TimePoint at{};    ///< of the latest
  };
  /** A broken connection whose cause is not known yet. */
  struct BrokenConnection
  {
    peers::TraitSet traits;
    UpstreamProcess process;
    base::TimePoint at{};
  };
  void addBrokenConnection(const peers::TraitSet& aTraits,
                           const UpstreamProcess& aProcess,
                           base::TimePoint aNow);
  void confirmIf(
    const std::function<bool(const BrokenConnection&)>& aIsConfirmed,
    base::TimePoint aNow);
  bool addSuspect(Crash& aCrash, peers::TraitSet aTraits) const;
  bool clearAnswered(Crash& aCrash) const;
  peers::TraitSet finishedTraits(const Crash& aCrash) const;
  static bool clear(Crash& aCrash, peers::RequestTrait aTrait);
  void limitCrashes();
  peers::TraitSet trialSuspects(const peers::TraitSet& aTraits,
                                base::TimePoint aNow) const;
  bool triedElsewhere(const peers::TraitSet& aTraits,
                      base::TimePoint aNow) const;
  void countTrial(const peers::TraitSet& aTraits,
                  std::uint32_t aTrials,
                  base::TimePoint aNow);
  bool mergeTrials(const peers::CrashEvidence& aEvidence, base::TimePoint aNow);
  peers::CrashEvidence evidence(const Crash& aCrash,
                                base::TimePoint aNow) const;
  bool supportsVerdict(peers::ProcessTag aCrash) const;
  peers::ProcessTag latestCrash(const CrashVerdict& aVerdict) const;
  bool isRefuted(const CrashVerdict& aVerdict) const;
  bool lapsed(const CrashVerdict& aVerdict, base::TimePoint aNow) const;
  void dropLapsed(std::vector<CrashVerdict>& aVerdicts,
                  base::TimePoint aNow) const;
  void updateVerdicts(base::TimePoint aNow);

  std::vector<BrokenConnection> mBrokenConnections;
  std::map<peers::ProcessTag, Crash> mCrashes;
  RecentTraits mFinished;
  std::vector<CrashVerdict> mVerdicts;
  /** When the verdicts change although no evidence does. */
  base::TimePoint mVerdictsDueAt = base::TimePoint::max();
  CrashTrials mTrials; ///< of this VM
  std::map<peers::RequestTrait, Tried> mTried;
  bool mTrialsEnabled = false;
  std::function<void()> mOnVerdicts;
  std::function<void()> mOnCrashSeen;
};

} // namespace marigold::dispatch
