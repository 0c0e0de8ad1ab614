#include "apps/gateway/lease.h"

#include "observe/log.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kInitialBackoff = 150ms;
/** Longest pause between two calls in an outage; a lease is back this soon
 * after its end. */
constexpr base::Duration kMaxBackoff = 1200ms;

} // namespace

Lease::Lease(platform::Client& aClient,
             std::string aName,
             base::Duration aTerm,
             std::uint64_t aSeed)
  : mClient(aClient)
  , mName(std::move(aName))
  , mTerm(aTerm)
  , mPause(kInitialBackoff, kMaxBackoff, aSeed)
{
}

bool
Lease::mayCall() const
{
  return !mCallPending && mPause.isOver(base::monotonicNow());
}

void
Lease::recordSuccess(base::TimePoint aSentAt)
{
  mRenewedAt = aSentAt;
  mPause.reset();
}

void
Lease::request()
{
  if (held() || mRevoked || !mayCall()) {
    return;
  }
  mCallPending = true;
  mGrantPending = true;
  const base::TimePoint sentAt = base::monotonicNow();
  mClient.grantLease(
    mTerm,
    [this, sentAt](const base::Captured<std::string>& aResult) {
      mCallPending = false;
      mGrantPending = false;
      if (base::errorOf(aResult) != nullptr) {
        mPause.recordFailure(
          base::monotonicNow()); // The watch logs the lost connection.
        return;
      }
      if (mRevoked) {
        revokeAtStore(std::get<std::string>(aResult));
        return;
      }
      mId = std::get<std::string>(aResult);
      recordSuccess(sentAt);
      observe::logInfo("lease granted", { { "lease", mName }, { "id", mId } });
      mGranted.emit();
    },
    mName);
}

void
Lease::renewIfDue(base::Duration aInterval)
{
  const base::TimePoint now = base::monotonicNow();
  if (!held() || now - mRenewedAt <= aInterval || !mayCall()) {
    return;
  }
  mCallPending = true;
  mClient.renewLease(
    mId,
    [this, now, id = mId](const base::Captured<std::string>& aResult) {
      mCallPending = false;
      const base::Error* error = base::errorOf(aResult);
      if (error == nullptr) {
        if (id == mId) {
          recordSuccess(now);
        }
        return;
      }
      if (error->code == base::Code::LeaseLost && id == mId) {
        drop("expired");
        return;
      }
      mPause.recordFailure(base::monotonicNow());
    },
    mName);
}

void
Lease::revoke()
{
  mRevoked = true;
  if (!held()) {
    return;
  }
  revokeAtStore(mId);
  drop("revoked");
}

void
Lease::revokeAtStore(const std::string& aId)
{
  mRevocationPending = true;
  mClient.revokeLease(
    aId,
    [this](const auto& aResult) {
      mRevocationPending = false;
      if (const base::Error* error = base::errorOf(aResult)) {
        // The store ends it after its term.
        observe::logWarn("lease not revoked",
                         { { "lease", mName }, { "error", error->message } });
      }
    },
    mName);
}

void
Lease::drop(const char* aReason)
{
  if (!held()) {
    return;
  }
  observe::logWarn(
    "lease lost", { { "lease", mName }, { "id", mId }, { "reason", aReason } });
  mId.clear();
  mLost.emit();
}

bool
Lease::validFor(base::TimePoint aNow, base::Duration aMargin) const
{
  return aNow + aMargin < endsAt();
}

} // namespace marigold::gateway
