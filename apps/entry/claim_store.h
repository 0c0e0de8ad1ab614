/** @file Claims and group records at the platform. */
#pragma once

#include "claims/claims.h"
#include "http/http.h"
#include "platform/platform.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace marigold::entry {

/**
 * Writes claims within a budget of writes and reads group records. Several
 * readers share one read of a record if it starts after all of them asked.
 */
class ClaimStore
{
public:
  /** A read of a group's record. */
  struct RecordRead
  {
    bool ok = false;
    claims::GroupRecord record; ///< epoch 0: there is none
    platform::Revision revision = 0;
    base::TimePoint startedAt;
  };
  using OnRecord = std::function<void(const RecordRead&)>;
  using OnVote = std::function<void(claims::PlatformVote)>;
  using OnClaims =
    std::function<void(const base::Captured<std::vector<claims::Claim>>&)>;

  /** Counts for metrics and dump. */
  struct Counts
  {
    std::uint64_t writes = 0;
    std::uint64_t overBudget = 0;
    std::uint64_t removed = 0;
  };

  explicit ClaimStore(platform::Client& aPlatform);

  /** @param aRate claim writes per second of this VM; the writes of the whole
   * fleet must stay far below what the platform takes */
  void setBudget(double aRate) { mRate = aRate; }

  /** @param aHome data centre @param aDone gets a read that starts later */
  void readRecord(const base::DataCentre& aHome, OnRecord aDone);

  /** @param aHome data centre @param aRecord record
   * @param aExpected revision that must hold @param aDone runs at the end */
  void writeRecord(const base::DataCentre& aHome,
                   const claims::GroupRecord& aRecord,
                   platform::Revision aExpected,
                   std::function<void()> aDone);

  /** Asks for the platform's vote. A lost answer is read back once.
   * @param aHome home of the key @param aKey key @param aAttempt attempt
   * @param aNow current time @param aDone gets the vote */
  void vote(const base::DataCentre& aHome,
            const claims::ClaimKey& aKey,
            const claims::AttemptId& aAttempt,
            base::TimePoint aNow,
            const OnVote& aDone);

  /** Removes a claim later if the attempt holds it.
   * @param aHome home @param aKey key @param aAttempt attempt */
  void remove(const base::DataCentre& aHome,
              const claims::ClaimKey& aKey,
              const claims::AttemptId& aAttempt);

  /** Starts removals that wait, within the budget of writes.
   * @param aNow current time */
  void removeSome(base::TimePoint aNow);

  /** @param aHome home @param aDone gets all claims of the data centre */
  void list(const base::DataCentre& aHome, const OnClaims& aDone);

  /** @return counts so far */
  const Counts& counts() const { return mCounts; }

private:
  struct Reads
  {
    bool running = false;
    std::vector<OnRecord> next; ///< wait for a read that has not started
  };
  struct Removal
  {
    std::string place;
    claims::AttemptId attempt;
  };

  void startRead(const base::DataCentre& aHome);
  void readBack(const std::string& aPlace,
                const claims::AttemptId& aAttempt,
                const OnVote& aDone);
  bool withinBudget(double aReserve, base::TimePoint aNow);

  platform::Client& mPlatform;
  std::map<base::DataCentre, Reads> mReads;
  std::deque<Removal> mRemovals;
  double mRate = 1;
  double mTokens = 0;
  base::TimePoint mFilledAt;
  Counts mCounts;
};

} // namespace marigold::entry
