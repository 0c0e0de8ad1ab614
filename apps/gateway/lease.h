/** @file A lease of this VM at the platform's store. */
#pragma once

#include "apps/gateway/retry_pause.h"
#include "platform/platform.h"

#include <sigc++/sigc++.h>

namespace marigold::gateway {

/** Requests a lease and renews it. While the store fails, calls back off. */
class Lease
{
public:
  /** @param aClient client of the store @param aName name for the log
   * @param aTerm time after which the store ends the lease without renewals
   * @param aSeed seed of the backoff's jitter */
  Lease(platform::Client& aClient,
        std::string aName,
        base::Duration aTerm,
        std::uint64_t aSeed);

  /** Requests a lease if there is none and no call is due to wait. */
  void request();

  /** Renews the lease if the latest renewal is older than the interval.
   * @param aInterval time between two renewals */
  void renewIfDue(base::Duration aInterval);

  /** Ends the lease at the store for good: requests none any more, and ends one
   * that is being granted as soon as it is known. */
  void revoke();

  /** @return true after revoke() while the store may hold the lease and a call
   * is pending that ends it */
  bool revocationPending() const
  {
    return mRevoked && (mGrantPending || mRevocationPending);
  }

  /** Forgets the lease. @param aReason reason for the log */
  void drop(const char* aReason);

  /** @return true if a lease was granted and not lost */
  bool held() const { return !mId.empty(); }

  /** @return its id at the store, empty if none is held */
  const std::string& id() const { return mId; }

  /** @return when the latest successful call was sent */
  base::TimePoint renewedAt() const { return mRenewedAt; }

  /** @return earliest time at which the store may end the lease; the past
   * without a lease */
  base::TimePoint endsAt() const
  {
    return held() ? mRenewedAt + mTerm : base::TimePoint{};
  }

  /** @param aNow time @param aMargin time that must be left
   * @return true if the lease cannot end within the margin */
  bool validFor(base::TimePoint aNow, base::Duration aMargin) const;

  /** Emitted when a lease was granted. */
  sigc::signal<void()>& granted() { return mGranted; }

  /** Emitted when the lease was lost or dropped. */
  sigc::signal<void()>& lost() { return mLost; }

private:
  bool mayCall() const;
  void recordSuccess(base::TimePoint aSentAt);
  void revokeAtStore(const std::string& aId);

  platform::Client& mClient;
  std::string mName;
  base::Duration mTerm;
  RetryPause mPause;
  std::string mId;
  base::TimePoint mRenewedAt{};
  bool mCallPending = false;
  bool mGrantPending = false;
  bool mRevocationPending = false;
  bool mRevoked = false;
  sigc::signal<void()> mGranted;
  sigc::signal<void()> mLost;
};

} // namespace marigold::gateway
