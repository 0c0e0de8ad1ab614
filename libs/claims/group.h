/** @file How a VM becomes and stays a voter of its data centre. */
#pragma once

#include "claims/types.h"
#include "claims/voter.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marigold::claims {

/** What this VM wants to be done for its claim group. */
struct GroupActions
{
  bool readRecord = false; ///< answer with onRecord()
  /** Write the record if it still has the revision; answer with onRecord()
   * after a read, whatever became of the write. */
  std::optional<GroupRecord> propose;
  std::uint64_t expectedRevision = 0;
  bool listClaims = false;        ///< list the platform's claims; onListed()
  std::vector<base::VmName> seal; ///< ask these members to seal recordEpoch()
};

/** What is heard of the VMs of the data centre. */
struct PeerView
{
  base::Incarnation incarnation = 0;
  base::TimePoint heardAt;
};

/** The way of one VM into the claim group of its data centre, and out of it. */
class GroupMember
{
public:
  /** @param aSelf this VM @param aIncarnation its run @param aVoter its table
   * @param aTerms periods @param aNow start of this run */
  GroupMember(base::VmName aSelf,
              base::Incarnation aIncarnation,
              Voter& aVoter,
              Terms aTerms,
              base::TimePoint aNow);

  /** To be called a few times a second.
   * @param aPeers what was heard of other VMs @param aNow current time */
  GroupActions onTick(const std::map<base::VmName, PeerView>& aPeers,
                      base::TimePoint aNow);

  /**
   * @param aRecord record, an epoch of 0 if there is none
   * @param aRevision its revision, 0 if there is none
   * @param aReadAt when the read started
   * @param aNow current time
   */
  GroupActions onRecord(const GroupRecord& aRecord,
                        std::uint64_t aRevision,
                        base::TimePoint aReadAt,
                        base::TimePoint aNow);

  /** @param aEpoch epoch that was shown when the list was started
   * @param aClaims claims at the platform @param aNow current time */
  void onListed(Epoch aEpoch,
                const std::vector<Claim>& aClaims,
                base::TimePoint aNow);

  /** A joiner asks for a copy. @param aEpoch epoch that it replaces
   * @param aNow current time @return true if the copy may be sent; this VM has
   * stopped to vote in the epoch then */
  bool onSeal(Epoch aEpoch, base::TimePoint aNow);

  /** @param aFrom sealed member @param aEpoch sealed epoch
   * @param aClaims all its claims @param aLostFor rest of its loss window
   * @param aNow current time */
  GroupActions onCopy(const base::VmName& aFrom,
                      Epoch aEpoch,
                      const std::vector<Claim>& aClaims,
                      base::Duration aLostFor,
                      base::TimePoint aNow);

  /** @return record as read last */
  const GroupRecord& record() const { return mRecord; }

private:
  bool isMember() const;
  bool membersHeard(base::TimePoint aNow) const;
  bool isHeard(const base::VmName& aVm,
               const Member& aMember,
               base::Duration aWithin,
               base::TimePoint aNow) const;
  GroupActions join(base::TimePoint aNow);
  GroupActions propose(GroupRecord aRecord, base::TimePoint aNow);

  base::VmName mSelf;
  base::Incarnation mIncarnation;
  Voter& mVoter;
  Terms mTerms;
  base::TimePoint mStarted;
  std::map<base::VmName, PeerView> mPeers;
  GroupRecord mRecord;
  std::uint64_t mRevision = 0;
  base::TimePoint mReadAt;  ///< start of the last read that succeeded
  base::TimePoint mAskedAt; ///< last request for a read
  base::TimePoint mSealedAt;
  base::TimePoint mRequestedAt; ///< last request for a copy
  base::TimePoint mProposedAt;
  /** Epoch whose claims this VM copied from a sealed member, or which it
   * declared lost; it may take part in the next epoch only. */
  std::optional<Epoch> mCopied;
  bool mLoss = false; ///< mCopied was declared lost
  bool mRead = false;
  bool mProposed = false;
};

} // namespace marigold::claims
