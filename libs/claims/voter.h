/** @file The claims that one VM holds as a voter. */
#pragma once

#include "claims/types.h"

#include <deque>
#include <map>

namespace marigold::claims {

/** Limits of a voter, so that claims stay within a VM's memory. */
struct VoterLimits
{
  std::size_t claims = 40'000; ///< at 583 bytes each about 23 MB
  std::size_t answerBytes = 8UL * 1024 * 1024;
};

/** Votes for at most one attempt for each key. */
class Voter
{
public:
  explicit Voter(Terms aTerms, VoterLimits aLimits = {});

  /**
   * @param aKey key @param aAttempt attempt that wants to run
   * @param aEpoch epoch that the coordinator knows
   * @param aDeadline time until the attempt is over
   * @param aNow current time
   * @return Granted if the key is free or held by this attempt
   */
  Vote request(const ClaimKey& aKey,
               const AttemptId& aAttempt,
               Epoch aEpoch,
               base::Duration aDeadline,
               base::TimePoint aNow);

  /**
   * Records how an attempt ended. It had a quorum, so it replaces a vote for
   * another attempt.
   * @param aClaim claim that is done or unknown @param aNow current time
   */
  void settle(const Claim& aClaim, base::TimePoint aNow);

  /** Frees a key. @param aKey key @param aAttempt attempt that did not run and
   * never will; a key that another attempt holds stays */
  void release(const ClaimKey& aKey, const AttemptId& aAttempt);

  /** Adds a copied claim; what is known already stays, but for an outcome that
   * is now known. @param aClaim claim @param aNow current time */
  void merge(const Claim& aClaim, base::TimePoint aNow);

  /** Starts to vote. @param aEpoch epoch
   * @param aConfirmed when the read of the record that shows it started */
  void install(Epoch aEpoch, base::TimePoint aConfirmed);

  /** Extends the right to vote. @param aConfirmed start of the read */
  void confirm(base::TimePoint aConfirmed);

  /** Stops voting until a later epoch is installed. */
  void seal() { mSealed = true; }

  /** @param aUntil until then unknown keys count as possibly executed */
  void markLost(base::TimePoint aUntil);

  /** Forgets claims that are older than the lifetime.
   * @param aNow current time */
  void expire(base::TimePoint aNow);

  /** @return claims forgotten since the last call that may have a record at the
   * platform, which is to be removed */
  std::vector<Claim> takeExpired();

  /** @return all claims, sorted by key; @param aNow current time */
  std::vector<Claim> claims(base::TimePoint aNow) const;

  /** @param aNow current time @return true if it would vote */
  bool votes(base::TimePoint aNow) const;

  /** @return epoch that was installed last, 0 if none */
  Epoch epoch() const { return mEpoch; }

  /** @return true while sealed */
  bool sealed() const { return mSealed; }

  /** @return end of the time in which unknown keys are not voted for */
  base::TimePoint lostUntil() const { return mLostUntil; }

  /** @return claims held */
  std::size_t size() const { return mClaims.size(); }

  /** @return bytes of stored answers */
  std::size_t answerBytes() const { return mAnswerBytes; }

private:
  struct Held
  {
    Claim claim;
    base::TimePoint deadline; ///< of the attempt
    std::uint64_t serial = 0; ///< tells apart claims of one key over time
  };
  struct Expiry
  {
    base::TimePoint at;
    ClaimKey key;
    std::uint64_t serial;
  };

  static ClaimState stateOf(const Held& aHeld, base::TimePoint aNow);
  VoteKind kindFor(const Held& aHeld,
                   const AttemptId& aAttempt,
                   base::TimePoint aNow) const;
  Held& insert(const Claim& aClaim,
               base::TimePoint aDeadline,
               base::TimePoint aNow);
  void erase(std::map<ClaimKey, Held>::iterator aPlace);
  void store(Held& aHeld, const Claim& aClaim);

  Terms mTerms;
  VoterLimits mLimits;
  std::map<ClaimKey, Held> mClaims;
  std::deque<Expiry> mExpiries; ///< in the order of time
  std::vector<Claim> mExpired;
  std::uint64_t mSerial = 0;
  std::size_t mAnswerBytes = 0;
  Epoch mEpoch = 0;
  bool mSealed = false;
  base::TimePoint mConfirmed;
  base::TimePoint mLostUntil;
};

} // namespace marigold::claims
