/** @file Keeps a request that crashes upstreams from crashing many of them. */
#pragma once

#include "base/base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigold::request {

/** One crash of an upstream while a request was in flight on it. */
struct CrashReport
{
  std::string fingerprint; ///< of the request
  std::string crash;       ///< upstream and the run of it that ended
  base::VmName owner;      ///< VM that alone may grant the one trial
  base::TimePoint at;      ///< when this VM learned of it; not sent

  auto operator<=>(const CrashReport&) const = default;
};

/** What may be done with a request. */
enum class GuardVerdict : std::uint8_t
{
  Free,      ///< nothing is known against it
  Trial,     ///< may run once, on an upstream that runs no other suspect
  AskOwner,  ///< a suspect whose trial another VM may grant
  InTrial,   ///< its trial is running or was used up; it must not run now
  Poisonous, ///< crashed two upstreams; it must not run again
};

/** Crashes after which a request is refused everywhere. */
inline constexpr std::size_t kCrashesToPoison = 2;

/** How long a crash is remembered. */
inline constexpr base::Duration kCrashLifetime = std::chrono::hours(1);

/**
 * Suspects and poisonous requests. Reports of peers are sets of crashes and of
 * cleared crashes; both are merged by union, so that order and repetition of
 * messages do not matter. Only the owner of a suspect, the VM that first
 * reported its crash, grants the single trial; otherwise two VMs that both know
 * of one crash could crash two further upstreams.
 */
class CrashGuard
{
public:
  /** @param aSelf this VM */
  explicit CrashGuard(base::VmName aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /**
   * Notes that an upstream died while it ran a request of this VM.
   * @param aFingerprint request
   * @param aCrash identifies the death, the same on all VMs
   * @param aNow current time
   * @return the report for all peers
   */
  CrashReport onCrash(const std::string& aFingerprint,
                      const std::string& aCrash,
                      base::TimePoint aNow);

  /** @param aReport report of a peer @param aNow time of arrival */
  void merge(const CrashReport& aReport, base::TimePoint aNow);

  /** Merges crashes that a completed run has disproved. @param aFingerprint
   * request @param aCrashes ids of crashes @param aNow current time */
  void mergeCleared(const std::string& aFingerprint,
                    const std::set<std::string>& aCrashes,
                    base::TimePoint aNow);

  /** Clears a suspect that completed. @param aFingerprint request
   * @param aNow current time
   * @return the cleared crashes for all peers; empty if it was no suspect */
  std::set<std::string> onCompleted(const std::string& aFingerprint,
                                    base::TimePoint aNow);

  /** @param aFingerprint request @return what may be done with it */
  GuardVerdict verdict(const std::string& aFingerprint) const;

  /** Takes the one trial of a suspect; only its owner can.
   * @param aFingerprint request @return false if it is not available */
  bool takeTrial(const std::string& aFingerprint);

  /** Gives a trial back that never reached an upstream.
   * @param aFingerprint request */
  void returnTrial(const std::string& aFingerprint);

  /** @param aFingerprint request @return the VM that grants its trial */
  base::VmName owner(const std::string& aFingerprint) const;

  /** Notes where a suspect runs. @param aFingerprint request
   * @param aUpstream upstream, empty when it ended */
  void onTrialAt(const std::string& aFingerprint,
                 const base::UpstreamName& aUpstream);

  /** @param aFingerprint request @return upstreams that run another suspect */
  std::set<base::UpstreamName> occupiedByOthers(
    const std::string& aFingerprint) const;

  /** @return all crashes that are remembered, for a peer that lacks them */
  std::vector<CrashReport> reports() const;

  /** @return cleared crashes by fingerprint, for a peer that lacks them */
  std::map<std::string, std::set<std::string>> cleared() const;

  /** Decides between suspects that chose the same upstream at the same time.
   * @param aFingerprint request @param aUpstream upstream it chose
   * @return true if another suspect there goes first */
  bool mustYield(const std::string& aFingerprint,
                 const base::UpstreamName& aUpstream) const;

  /** Forgets what is older than kCrashLifetime. @param aNow current time */
  void expire(base::TimePoint aNow);

  /** @return number of fingerprints that are remembered */
  std::size_t size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::map<std::string, base::VmName> crashes; ///< to the smallest owner
    std::set<std::string> cleared;
    bool ownedHere = false; ///< reported by this run of the process
    bool trialTaken = false;
    base::UpstreamName trialAt;
    base::TimePoint last;

    std::set<std::string> standing() const;
    base::VmName owner() const;
  };

  const Entry* find(const std::string& aFingerprint) const;

  base::VmName mSelf;
  std::map<std::string, Entry> mEntries;
};

} // namespace marigold::request
