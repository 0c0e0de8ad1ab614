/** @file The coordinator of one attempt to run a non-idempotent request. */
#pragma once

#include "claims/types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marigold::claims {

/** What came out of asking the voters. */
enum class Verdict : std::uint8_t
{
  Granted,    ///< a quorum; the request may be forwarded until the grant ends
  Repeat,     ///< another attempt ran, and its answer is known
  InProgress, ///< another attempt holds the key
  Unknown,    ///< another attempt may have run
  NoQuorum,   ///< too few votes, and no sign of another attempt
};

/** A verdict with the stored answer of a repeat. */
struct Decision
{
  Verdict verdict = Verdict::NoQuorum;
  std::optional<StoredAnswer> answer;
};

/** Answer of the platform to the create-only write of the claim. */
enum class PlatformVote : std::uint8_t
{
  Granted,
  Taken,  ///< another attempt wrote it first
  Failed, ///< no answer, or nobody knows what became of the write
};

/** What the coordinator wants to be done. */
struct CoordinatorActions
{
  std::vector<base::VmName> ask; ///< send a vote request for epoch()
  bool askPlatform = false;      ///< write the claim, create-only
  /** Read the group's record and answer with onRecord(). The read must start
   * after the platform granted the claim. */
  bool readRecord = false;
  std::optional<Decision> decision; ///< at most once
};

/**
 * Collects votes of the members of a group and of the platform. Two votes of
 * members count together only if they were given under the same epoch. The vote
 * of a member and that of the platform count together only if a read of the
 * record that started after the platform's vote still shows the epoch of the
 * member's vote: then every later epoch finds the claim at the platform.
 */
class Coordinator
{
public:
  Coordinator(Terms aTerms, base::TimePoint aNow);

  /**
   * @param aRecord group of the key's home data centre as far as it is known
   * @param aSilent members that are probably dead; they only cost no wait
   * @param aNow current time
   */
  CoordinatorActions start(const std::optional<GroupRecord>& aRecord,
                           const std::set<base::VmName>& aSilent,
                           base::TimePoint aNow);

  /** @param aFrom voter @param aVote its answer @param aNow current time */
  CoordinatorActions onVote(const base::VmName& aFrom,
                            const Vote& aVote,
                            base::TimePoint aNow);

  /** @param aVote answer of the platform @param aNow current time */
  CoordinatorActions onPlatform(PlatformVote aVote, base::TimePoint aNow);

  /** @param aRecord record that was read, absent if the read failed
   * @param aAfterPlatform whether the read started after the platform's vote
   * @param aNow current time */
  CoordinatorActions onRecord(const std::optional<GroupRecord>& aRecord,
                              bool aAfterPlatform,
                              base::TimePoint aNow);

  /** To be called at least every resend period until the decision. */
  CoordinatorActions onTick(base::TimePoint aNow);

  /** @param aNow current time @return whether forwarding may start now */
  bool mayForward(base::TimePoint aNow) const
  {
    return mGranted && aNow < mStarted + mTerms.grant;
  }

  /** @return true once there is a decision */
  bool decided() const { return mDecided; }

  /** @return epoch to ask the members for */
  Epoch epoch() const { return mRecord ? mRecord->epoch : 0; }

  /** @return members of the group that have not answered */
  std::vector<base::VmName> unanswered() const;

  /** @return members that may hold a vote for this attempt */
  const std::set<base::VmName>& asked() const { return mAsked; }

private:
  void adopt(const GroupRecord& aRecord);
  void ask(CoordinatorActions& aActions, base::TimePoint aNow);
  CoordinatorActions evaluate(base::TimePoint aNow);
  std::size_t count(VoteKind aKind) const;
  std::optional<Decision> decideFromAnswers() const;
  Verdict negativeVerdict() const;
  bool membersAnswered() const;
  bool decide(CoordinatorActions& aActions, const Decision& aDecision);

  Terms mTerms;
  base::TimePoint mStarted;
  base::TimePoint mAskedAt;
  std::optional<GroupRecord> mRecord;
  std::set<base::VmName> mAsked;
  std::set<base::VmName> mSilent;
  std::map<base::VmName, Vote> mVotes; ///< under the epoch of mRecord
  std::optional<PlatformVote> mPlatform;
  bool mPlatformAsked = false;
  bool mReading = false;
  bool mRefreshed = false; ///< the record was read for lack of votes
  Epoch mConfirmedEpoch = 0;
  bool mGranted = false;
  bool mDecided = false;
};

} // namespace marigold::claims
