#include "apps/entry/claim_store.h"

#include "apps/entry/claim_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigold::entry {
namespace {

using base::Code;
using claims::PlatformVote;

/** Removals that one call starts, so that they do not come in one burst. */
constexpr std::size_t kRemovalsPerCall = 2;

/** Part of the budget that removals leave to claims. */
constexpr double kRemovalReserve = 0.4;

/** Removals that wait; further ones are dropped, because a claim that stays
 * only costs space until its group lists it again. */
constexpr std::size_t kMostRemovals = 10'000;

/** The budget saves up this many seconds for a burst. */
constexpr double kBurstSeconds = 2;

std::string
groupPlace(const base::DataCentre& aHome)
{
  return "claim-group/" + aHome;
}

std::string
claimPrefix(const base::DataCentre& aHome)
{
  return "claims/" + aHome + "/";
}

ClaimStore::RecordRead
readOf(const base::Captured<platform::Entry>& aEntry, base::TimePoint aStart)
{
  ClaimStore::RecordRead read;
  read.startedAt = aStart;
  if (const base::Error* error = base::errorOf(aEntry)) {
    read.ok = error->code == Code::NotFound;
    return read;
  }
  const auto& entry = std::get<platform::Entry>(aEntry);
  try {
    read.record = decodeGroupRecord(entry.value.value_or(""));
    read.revision = entry.revision;
    read.ok = true;
  } catch (const nlohmann::json::exception&) {
    read.ok = false;
  }
  return read;
}

} // namespace

ClaimStore::ClaimStore(platform::Client& aPlatform)
  : mPlatform(aPlatform)
{
}

void
ClaimStore::readRecord(const base::DataCentre& aHome, OnRecord aDone)
{
  Reads& reads = mReads[aHome];
  reads.next.push_back(std::move(aDone));
  if (!reads.running) {
    startRead(aHome);
  }
}

void
ClaimStore::startRead(const base::DataCentre& aHome)
{
  Reads& reads = mReads[aHome];
  reads.running = true;
  const base::TimePoint start = base::monotonicNow();
  mPlatform.read(groupPlace(aHome),
                 [this, aHome, start, waiting = std::exchange(reads.next, {})](
                   const base::Captured<platform::Entry>& aEntry) {
                   Reads& ended = mReads[aHome];
                   ended.running = false;
                   if (!ended.next.empty()) {
                     startRead(aHome);
                   }
                   const RecordRead read = readOf(aEntry, start);
                   for (const OnRecord& done : waiting) {
                     done(read);
                   }
                 });
}

void
ClaimStore::writeRecord(const base::DataCentre& aHome,
                        const claims::GroupRecord& aRecord,
                        platform::Revision aExpected,
                        std::function<void()> aDone)
{
  mPlatform.write(groupPlace(aHome),
                  encodeGroupRecord(aRecord),
                  aExpected,
                  "",
                  [aDone = std::move(aDone)](
                    const base::Captured<platform::Revision>& /*aRevision*/) {
                    // The record is read back, whatever the answer was.
                    aDone();
                  });
}

bool
ClaimStore::withinBudget(double aReserve, base::TimePoint aNow)
{
  const double most = std::max(1.0, mRate * kBurstSeconds);
  mTokens = std::min(most, mTokens + mRate * base::inSeconds(aNow - mFilledAt));
  mFilledAt = aNow;
  if (mTokens < 1 + aReserve * most) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
ClaimStore::vote(const base::DataCentre& aHome,
                 const claims::ClaimKey& aKey,
                 const claims::AttemptId& aAttempt,
                 base::TimePoint aNow,
                 const OnVote& aDone)
{
  if (!withinBudget(0, aNow)) {
    ++mCounts.overBudget;
    aDone(PlatformVote::Failed);
    return;
  }
  ++mCounts.writes;
  const std::string place = claimPrefix(aHome) + aKey;
  mPlatform.write(place,
                  aAttempt,
                  0,
                  "",
                  [this, place, aAttempt, aDone](
                    const base::Captured<platform::Revision>& aRevision) {
                    const base::Error* error = base::errorOf(aRevision);
                    if (error == nullptr) {
                      aDone(PlatformVote::Granted);
                    } else if (error->code == Code::RevisionConflict ||
                               error->code == Code::WriteOutcomeUnknown) {
                      readBack(place, aAttempt, aDone);
                    } else {
                      aDone(PlatformVote::Failed);
                    }
                  });
}

void
ClaimStore::readBack(const std::string& aPlace,
                     const claims::AttemptId& aAttempt,
                     const OnVote& aDone)
{
  mPlatform.read(
    aPlace, [aAttempt, aDone](const base::Captured<platform::Entry>& aEntry) {
      if (base::errorOf(aEntry) != nullptr) {
        aDone(PlatformVote::Failed);
        return;
      }
      const bool mine = std::get<platform::Entry>(aEntry).value == aAttempt;
      aDone(mine ? PlatformVote::Granted : PlatformVote::Taken);
    });
}

void
ClaimStore::remove(const base::DataCentre& aHome,
                   const claims::ClaimKey& aKey,
                   const claims::AttemptId& aAttempt)
{
  if (mRemovals.size() < kMostRemovals) {
    mRemovals.push_back({ claimPrefix(aHome) + aKey, aAttempt });
  }
}

void
ClaimStore::removeSome(base::TimePoint aNow)
{
  for (std::size_t n = 0; n < kRemovalsPerCall && !mRemovals.empty(); ++n) {
    if (!withinBudget(kRemovalReserve, aNow)) {
      return;
    }
    const Removal removal = std::move(mRemovals.front());
    mRemovals.pop_front();
    mPlatform.read(
      removal.place,
      [this, removal](const base::Captured<platform::Entry>& aEntry) {
        if (base::errorOf(aEntry) != nullptr) {
          return;
        }
        const auto& entry = std::get<platform::Entry>(aEntry);
        if (entry.value == removal.attempt) {
          ++mCounts.removed;
          mPlatform.remove(removal.place, entry.revision, [](const auto&) {});
        }
      });
  }
}

void
ClaimStore::list(const base::DataCentre& aHome, const OnClaims& aDone)
{
  const std::string prefix = claimPrefix(aHome);
  mPlatform.list(
    prefix, [prefix, aDone](const base::Captured<platform::Snapshot>& aList) {
      if (const base::Error* error = base::errorOf(aList)) {
        aDone(*error);
        return;
      }
      std::vector<claims::Claim> claims;
      for (const platform::Entry& entry :
           std::get<platform::Snapshot>(aList).entries) {
        if (entry.value) {
          claims.push_back({ entry.key.substr(prefix.size()),
                             *entry.value,
                             claims::ClaimState::InProgress,
                             {},
                             true });
        }
      }
      aDone(claims);
    });
}

} // namespace marigold::entry
