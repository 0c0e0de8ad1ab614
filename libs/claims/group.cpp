#include "claims/group.h"

#include <algorithm>

namespace marigold::claims {
namespace {

/** Reads of the record while nothing is to be done. */
constexpr base::Duration kSteadyReadPeriod = std::chrono::seconds(5);

/** A VM that is no member reads seldom while it hears the members, or the calls
 * to the platform would grow with the VMs of a data centre. */
constexpr base::Duration kSpareReadPeriod = std::chrono::seconds(30);
constexpr base::Duration kReadPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kRequestPeriod = std::chrono::milliseconds(500);

} // namespace

GroupMember::GroupMember(base::VmName aSelf,
                         base::Incarnation aIncarnation,
                         Voter& aVoter,
                         Terms aTerms,
                         base::TimePoint aNow)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mVoter(aVoter)
  , mTerms(aTerms)
  , mStarted(aNow)
{
}

bool
GroupMember::isMember() const
{
  const auto member = mRecord.members.find(mSelf);
  return member != mRecord.members.end() &&
         member->second.incarnation == mIncarnation;
}

bool
GroupMember::isHeard(const base::VmName& aVm,
                     const Member& aMember,
                     base::Duration aWithin,
                     base::TimePoint aNow) const
{
  const auto peer = mPeers.find(aVm);
  // A VM that has just started has not had time to hear of anybody.
  const bool early = aNow - mStarted < aWithin;
  if (peer == mPeers.end()) {
    return early && aVm != mSelf;
  }
  return peer->second.incarnation == aMember.incarnation &&
         (early || aNow - peer->second.heardAt < aWithin);
}

bool
GroupMember::membersHeard(base::TimePoint aNow) const
{
  return mRecord.members.size() >= kGroupMembers &&
         std::all_of(mRecord.members.begin(),
                     mRecord.members.end(),
                     [&](const auto& aEntry) {
                       return isHeard(aEntry.first,
                                      aEntry.second,
                                      mTerms.replaceAfter,
                                      aNow);
                     });
}

GroupActions
GroupMember::onTick(const std::map<base::VmName, PeerView>& aPeers,
                    base::TimePoint aNow)
{
  mPeers = aPeers;
  GroupActions actions;
  const bool steady = mRead && isMember() && mVoter.votes(aNow) &&
                      mVoter.epoch() == mRecord.epoch;
  const bool spare = mRead && !isMember() && membersHeard(aNow);
  const base::Duration period = spare    ? kSpareReadPeriod
                                : steady ? kSteadyReadPeriod
                                         : kReadPeriod;
  if (!mRead || aNow - mAskedAt >= period) {
    mAskedAt = aNow;
    actions.readRecord = true;
  }
  return actions;
}

GroupActions
GroupMember::propose(GroupRecord aRecord, base::TimePoint aNow)
{
  GroupActions actions;
  // Every write is followed by a read, which may lead here again.
  if (mProposed && aNow - mProposedAt < kRequestPeriod) {
    return actions;
  }
  mProposed = true;
  mProposedAt = aNow;
  aRecord.epoch = mRecord.epoch + 1;
  actions.propose = std::move(aRecord);
  actions.expectedRevision = mRevision;
  mAskedAt = aNow;
  return actions;
}

GroupActions
GroupMember::onRecord(const GroupRecord& aRecord,
                      std::uint64_t aRevision,
                      base::TimePoint aReadAt,
                      base::TimePoint aNow)
{
  if (aRecord.epoch < mRecord.epoch) {
    return {}; // an answer that was overtaken by a later one
  }
  mRecord = aRecord;
  mRevision = aRevision;
  mReadAt = std::max(mReadAt, aReadAt);
  mRead = true;
  if (!isMember()) {
    return join(aNow);
  }
  if (mVoter.epoch() == mRecord.epoch) {
    if (!mVoter.sealed()) {
      mVoter.confirm(aReadAt);
    } else if (aNow - mSealedAt >= mTerms.sealFor) {
      // The joiner did not finish. Its copy must not be used any more, so the
      // epoch ends here as well.
      return propose(mRecord, aNow);
    }
    return {};
  }
  const Epoch since = mRecord.members.at(mSelf).since;
  const bool wasMemberThroughout =
    mVoter.epoch() != 0 && mVoter.epoch() >= since;
  const bool holdsCopy = mCopied && *mCopied + 1 == since;
  if (!wasMemberThroughout && !holdsCopy) {
    return {};
  }
  GroupActions actions;
  actions.listClaims = true;
  return actions;
}

void
GroupMember::onListed(Epoch aEpoch,
                      const std::vector<Claim>& aClaims,
                      base::TimePoint aNow)
{
  if (aEpoch != mRecord.epoch || mVoter.epoch() == aEpoch || !isMember()) {
    return;
  }
  for (const Claim& claim : aClaims) {
    mVoter.merge(claim, aNow);
  }
  if (mLoss) {
    mVoter.markLost(aNow + mTerms.lossWindow());
    mLoss = false;
  }
  mCopied.reset();
  mVoter.install(aEpoch, mReadAt);
}

GroupActions
GroupMember::join(base::TimePoint aNow)
{
  GroupRecord next = mRecord;
  if (mRecord.epoch == 0) {
    mCopied = 0;
    next.members[mSelf] = { mIncarnation, 1 };
    return propose(next, aNow);
  }
  GroupActions actions;
  bool anyPossible = false;
  for (const auto& [vm, member] : mRecord.members) {
    anyPossible = anyPossible || isHeard(vm, member, mTerms.lossAfter, aNow);
    if (isHeard(vm, member, mTerms.replaceAfter, aNow)) {
      actions.seal.push_back(vm);
    }
  }
  if (actions.seal.size() >= kGroupMembers) {
    return {};
  }
  if (!actions.seal.empty()) {
    if (aNow - mRequestedAt < kRequestPeriod) {
      return {};
    }
    mRequestedAt = aNow;
    return actions;
  }
  if (anyPossible) {
    return {};
  }
  mCopied = mRecord.epoch;
  mLoss = true;
  next.members = { { mSelf, { mIncarnation, mRecord.epoch + 1 } } };
  return propose(next, aNow);
}

bool
GroupMember::onSeal(Epoch aEpoch, base::TimePoint aNow)
{
  if (aEpoch != mVoter.epoch() || aEpoch == 0) {
    return false;
  }
  if (!mVoter.sealed()) {
    mVoter.seal();
    mSealedAt = aNow;
  }
  return true;
}

GroupActions
GroupMember::onCopy(const base::VmName& aFrom,
                    Epoch aEpoch,
                    const std::vector<Claim>& aClaims,
                    base::Duration aLostFor,
                    base::TimePoint aNow)
{
  const auto survivor = mRecord.members.find(aFrom);
  if (aEpoch != mRecord.epoch || isMember() ||
      survivor == mRecord.members.end()) {
    return {};
  }
  for (const Claim& claim : aClaims) {
    mVoter.merge(claim, aNow);
  }
  mVoter.markLost(aNow + aLostFor);
  mCopied = aEpoch;
  mLoss = false;
  GroupRecord next;
  next.members = { { aFrom, survivor->second },
                   { mSelf, { mIncarnation, aEpoch + 1 } } };
  return propose(next, aNow);
}

} // namespace marigold::claims
