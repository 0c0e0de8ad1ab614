#include "claims/coordinator.h"

#include <algorithm>
#include <utility>

namespace marigold::claims {

Coordinator::Coordinator(Terms aTerms, base::TimePoint aNow)
  : mTerms(aTerms)
  , mStarted(aNow)
{
}

void
Coordinator::adopt(const GroupRecord& aRecord)
{
  if (mRecord && aRecord.epoch <= mRecord->epoch) {
    return;
  }
  mRecord = aRecord;
  mVotes.clear();
}

void
Coordinator::ask(CoordinatorActions& aActions, base::TimePoint aNow)
{
  mAskedAt = aNow;
  if (!mRecord) {
    return;
  }
  for (const auto& [vm, member] : mRecord->members) {
    const auto vote = mVotes.find(vm);
    if (vote == mVotes.end() || vote->second.kind == VoteKind::NotVoting) {
      aActions.ask.push_back(vm);
      mAsked.insert(vm);
    }
  }
}

CoordinatorActions
Coordinator::start(const std::optional<GroupRecord>& aRecord,
                   const std::set<base::VmName>& aSilent,
                   base::TimePoint aNow)
{
  mSilent = aSilent;
  if (aRecord) {
    adopt(*aRecord);
  }
  CoordinatorActions actions = evaluate(aNow);
  ask(actions, aNow);
  if (!mRecord && !mReading) {
    mReading = true;
    actions.readRecord = true;
  }
  return actions;
}

CoordinatorActions
Coordinator::onVote(const base::VmName& aFrom,
                    const Vote& aVote,
                    base::TimePoint aNow)
{
  if (mDecided) {
    return {};
  }
  if (aVote.record && (!mRecord || aVote.record->epoch > mRecord->epoch)) {
    adopt(*aVote.record);
    CoordinatorActions learnt = evaluate(aNow);
    ask(learnt, aNow);
    return learnt;
  }
  if (!mRecord || !mRecord->members.contains(aFrom)) {
    return {};
  }
  CoordinatorActions actions;
  if (aVote.kind == VoteKind::Done || aVote.epoch == mRecord->epoch) {
    mVotes[aFrom] = aVote;
    return evaluate(aNow);
  }
  if (aVote.epoch > mRecord->epoch && !mReading) {
    mReading = true;
    actions.readRecord = true;
  }
  return actions;
}

CoordinatorActions
Coordinator::onPlatform(PlatformVote aVote, base::TimePoint aNow)
{
  if (mDecided) {
    return {};
  }
  mPlatform = aVote;
  // A read that is under way started too early to confirm this vote.
  mReading = false;
  return evaluate(aNow);
}

CoordinatorActions
Coordinator::onRecord(const std::optional<GroupRecord>& aRecord,
                      bool aAfterPlatform,
                      base::TimePoint aNow)
{
  if (mDecided) {
    return {};
  }
  mReading = false;
  if (!aRecord) {
    return {};
  }
  const bool isNew = !mRecord || aRecord->epoch > mRecord->epoch;
  adopt(*aRecord);
  if (aAfterPlatform && mPlatform == PlatformVote::Granted) {
    mConfirmedEpoch = std::max(mConfirmedEpoch, aRecord->epoch);
  }
  CoordinatorActions actions = evaluate(aNow);
  if (isNew && !mDecided) {
    ask(actions, aNow);
  }
  return actions;
}

CoordinatorActions
Coordinator::onTick(base::TimePoint aNow)
{
  if (mDecided) {
    return {};
  }
  CoordinatorActions actions = evaluate(aNow);
  if (!mDecided && aNow - mAskedAt >= mTerms.resend) {
    ask(actions, aNow);
    // The members may have been replaced by VMs that nobody here knows.
    const bool refresh = !mRecord || !std::exchange(mRefreshed, true);
    if (refresh && !mReading) {
      mReading = true;
      actions.readRecord = true;
    }
  }
  return actions;
}

std::size_t
Coordinator::count(VoteKind aKind) const
{
  return static_cast<std::size_t>(
    std::count_if(mVotes.begin(), mVotes.end(), [aKind](const auto& aVote) {
      return aVote.second.kind == aKind;
    }));
}

bool
Coordinator::membersAnswered() const
{
  return mRecord && mVotes.size() == mRecord->members.size() &&
         count(VoteKind::NotVoting) == 0;
}

std::vector<base::VmName>
Coordinator::unanswered() const
{
  std::vector<base::VmName> vms;
  if (mRecord) {
    for (const auto& [vm, member] : mRecord->members) {
      if (!mVotes.contains(vm)) {
        vms.push_back(vm);
      }
    }
  }
  return vms;
}

Verdict
Coordinator::negativeVerdict() const
{
  if (count(VoteKind::Unknown) > 0 || count(VoteKind::Done) > 0) {
    return Verdict::Unknown;
  }
  if (count(VoteKind::InProgress) > 0) {
    return Verdict::InProgress;
  }
  return mPlatform == PlatformVote::Taken ? Verdict::Unknown
                                          : Verdict::NoQuorum;
}

std::optional<Decision>
Coordinator::decideFromAnswers() const
{
  bool ran = false;
  for (const auto& [vm, vote] : mVotes) {
    if (vote.kind == VoteKind::Done && vote.answer) {
      return Decision{ Verdict::Repeat, vote.answer };
    }
    ran = ran || vote.kind == VoteKind::Done;
  }
  const std::size_t granted = count(VoteKind::Granted);
  const bool platform =
    mPlatform == PlatformVote::Granted && mConfirmedEpoch == epoch();
  if (!ran && granted + (platform ? 1 : 0) >= mTerms.quorum) {
    return Decision{ Verdict::Granted, {} };
  }
  const bool platformRefused =
    mPlatform == PlatformVote::Taken || mPlatform == PlatformVote::Failed;
  if (membersAnswered() && (granted == 0 || platformRefused)) {
    return Decision{ negativeVerdict(), {} };
  }
  return std::nullopt;
}

bool
Coordinator::decide(CoordinatorActions& aActions, const Decision& aDecision)
{
  mDecided = true;
  mGranted = aDecision.verdict == Verdict::Granted;
  aActions.decision = aDecision;
  return true;
}

CoordinatorActions
Coordinator::evaluate(base::TimePoint aNow)
{
  CoordinatorActions actions;
  if (const auto decision = decideFromAnswers()) {
    decide(actions, *decision);
    return actions;
  }
  if (aNow >= mStarted + mTerms.voteTimeout) {
    decide(actions, { negativeVerdict(), {} });
    return actions;
  }
  const bool aMemberIsSilent =
    mRecord &&
    (mRecord->members.size() < kGroupMembers ||
     std::any_of(
       mRecord->members.begin(), mRecord->members.end(), [&](const auto& aRow) {
         return mSilent.contains(aRow.first);
       }));
  const bool hedge =
    aMemberIsSilent || membersAnswered() || aNow >= mStarted + mTerms.hedge;
  // Without the vote of a member the platform's is of no use, and its record
  // would make later attempts look like repeats.
  if (hedge && count(VoteKind::Granted) > 0 && !mPlatformAsked) {
    mPlatformAsked = true;
    actions.askPlatform = true;
  }
  const bool unconfirmed =
    mPlatform == PlatformVote::Granted && mConfirmedEpoch != epoch();
  if (unconfirmed && count(VoteKind::Granted) > 0 && !mReading) {
    mReading = true;
    actions.readRecord = true;
  }
  return actions;
}

} // namespace marigold::claims
