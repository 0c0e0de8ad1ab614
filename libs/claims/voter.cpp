#include "claims/voter.h"

#include <algorithm>
#include <utility>

namespace marigold::claims {

std::size_t
StoredAnswer::bytes() const
{
  std::size_t total = body.size();
  for (const auto& [name, value] : headers) {
    total += name.size() + value.size();
  }
  return total;
}

Voter::Voter(Terms aTerms, VoterLimits aLimits)
  : mTerms(aTerms)
  , mLimits(aLimits)
{
}

ClaimState
Voter::stateOf(const Held& aHeld, base::TimePoint aNow)
{
  const bool overdue =
    aHeld.claim.state == ClaimState::InProgress && aNow >= aHeld.deadline;
  return overdue ? ClaimState::Unknown : aHeld.claim.state;
}

bool
Voter::votes(base::TimePoint aNow) const
{
  return mEpoch != 0 && !mSealed && aNow < mConfirmed + mTerms.membership();
}

VoteKind
Voter::kindFor(const Held& aHeld,
               const AttemptId& aAttempt,
               base::TimePoint aNow) const
{
  const ClaimState state = stateOf(aHeld, aNow);
  if (state == ClaimState::Done) {
    return VoteKind::Done;
  }
  // While claims are lost, one that was read from the platform is no proof that
  // no other attempt had the votes of two members.
  if (aNow < mLostUntil) {
    return VoteKind::Unknown;
  }
  // A vote stays with its attempt, so the same attempt may be told again.
  if (aHeld.claim.state == ClaimState::InProgress &&
      aHeld.claim.attempt == aAttempt) {
    return VoteKind::Granted;
  }
  return state == ClaimState::Unknown ? VoteKind::Unknown
                                      : VoteKind::InProgress;
}

Vote
Voter::request(const ClaimKey& aKey,
               const AttemptId& aAttempt,
               Epoch aEpoch,
               base::Duration aDeadline,
               base::TimePoint aNow)
{
  expire(aNow);
  Vote vote{ aKey, aAttempt, VoteKind::NotVoting, mEpoch, {}, {} };
  if (aEpoch != mEpoch || !votes(aNow)) {
    return vote;
  }
  const auto held = mClaims.find(aKey);
  if (held != mClaims.end()) {
    vote.kind = kindFor(held->second, aAttempt, aNow);
    if (vote.kind == VoteKind::Done) {
      vote.answer = held->second.claim.answer;
    }
    return vote;
  }
  if (aNow < mLostUntil) {
    vote.kind = VoteKind::Unknown;
    return vote;
  }
  if (mClaims.size() >= mLimits.claims) {
    vote.kind = VoteKind::Full;
    return vote;
  }
  insert(
    { aKey, aAttempt, ClaimState::InProgress, {} }, aNow + aDeadline, aNow);
  vote.kind = VoteKind::Granted;
  return vote;
}

Voter::Held&
Voter::insert(const Claim& aClaim,
              base::TimePoint aDeadline,
              base::TimePoint aNow)
{
  Held& held = mClaims[aClaim.key];
  held = { { aClaim.key, aClaim.attempt, aClaim.state, {} },
           aDeadline,
           ++mSerial };
  mExpiries.push_back({ aNow + mTerms.lifetime, aClaim.key, mSerial });
  store(held, aClaim);
  return held;
}

void
Voter::store(Held& aHeld, const Claim& aClaim)
{
  if (aHeld.claim.answer) {
    mAnswerBytes -= aHeld.claim.answer->bytes();
  }
  aHeld.claim = aClaim;
  if (!aClaim.answer) {
    return;
  }
  const std::size_t bytes = aClaim.answer->bytes();
  if (bytes > StoredAnswer::kMostBytes ||
      mAnswerBytes + bytes > mLimits.answerBytes) {
    aHeld.claim.answer.reset();
    return;
  }
  mAnswerBytes += bytes;
}

void
Voter::settle(const Claim& aClaim, base::TimePoint aNow)
{
  const auto held = mClaims.find(aClaim.key);
  if (held != mClaims.end()) {
    if (held->second.claim.state == ClaimState::Done &&
        held->second.claim.attempt == aClaim.attempt) {
      return;
    }
    // The lifetime starts again, because the vote held may be an older one for
    // another attempt.
    erase(held);
  }
  // The table may exceed its limit by claims that were granted elsewhere;
  // forgetting an execution would be worse.
  insert(aClaim, aNow, aNow);
}

void
Voter::release(const ClaimKey& aKey, const AttemptId& aAttempt)
{
  const auto held = mClaims.find(aKey);
  if (held != mClaims.end() && held->second.claim.attempt == aAttempt &&
      held->second.claim.state == ClaimState::InProgress) {
    erase(held);
  }
}

void
Voter::merge(const Claim& aClaim, base::TimePoint aNow)
{
  const auto held = mClaims.find(aClaim.key);
  if (held == mClaims.end()) {
    // The remaining time of the attempt is not copied; a copied claim that is
    // in progress reads as unknown at once, which is never wrong.
    insert(aClaim, aNow, aNow);
    return;
  }
  if (held->second.claim.attempt == aClaim.attempt) {
    if (aClaim.state != ClaimState::InProgress) {
      settle(aClaim, aNow);
    }
    return;
  }
  // Either of the two may have a quorum, so a release of one must not free the
  // key, and the key is kept for the lifetime of the newer one.
  Claim kept = held->second.claim;
  if (kept.state != ClaimState::Done) {
    kept = aClaim;
  }
  if (kept.state != ClaimState::Done) {
    kept.state = ClaimState::Unknown;
  }
  kept.atPlatform = true;
  erase(held);
  insert(kept, aNow, aNow);
}

void
Voter::install(Epoch aEpoch, base::TimePoint aConfirmed)
{
  mEpoch = aEpoch;
  mSealed = false;
  mConfirmed = aConfirmed;
}

void
Voter::confirm(base::TimePoint aConfirmed)
{
  mConfirmed = std::max(mConfirmed, aConfirmed);
}

void
Voter::markLost(base::TimePoint aUntil)
{
  mLostUntil = std::max(mLostUntil, aUntil);
}

void
Voter::erase(std::map<ClaimKey, Held>::iterator aPlace)
{
  if (aPlace->second.claim.answer) {
    mAnswerBytes -= aPlace->second.claim.answer->bytes();
  }
  mClaims.erase(aPlace);
}

void
Voter::expire(base::TimePoint aNow)
{
  while (!mExpiries.empty() && mExpiries.front().at <= aNow) {
    const auto held = mClaims.find(mExpiries.front().key);
    if (held != mClaims.end() &&
        held->second.serial == mExpiries.front().serial) {
      if (held->second.claim.atPlatform) {
        mExpired.push_back(held->second.claim);
      }
      erase(held);
    }
    mExpiries.pop_front();
  }
}

std::vector<Claim>
Voter::takeExpired()
{
  return std::exchange(mExpired, {});
}

std::vector<Claim>
Voter::claims(base::TimePoint aNow) const
{
  std::vector<Claim> all;
  all.reserve(mClaims.size());
  for (const auto& [key, held] : mClaims) {
    all.push_back(held.claim);
    all.back().state = stateOf(held, aNow);
  }
  return all;
}

} // namespace marigold::claims
