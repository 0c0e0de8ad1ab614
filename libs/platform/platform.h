/**
 * @file
 * Public header of the platform library: client of the platform's key-value
 * service with compare-and-swap, leases and watches, and of its list of VMs.
 * docs/protocols.md describes the protocol.
 */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "membership/membership.h"
#include "platform/mirror.h"
#include "platform/wire_form.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigold::platform {

template<typename Value>
using Callback = std::function<void(const base::Captured<Value>&)>;

/**
 * @param aText list of VMs as the platform answers it
 * @return the list, or DocumentInvalid
 */
base::Result<membership::VmList>
decodeVmList(const std::string& aText);

/** Counts the calls of a process, because the platform limits them. */
struct CallCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/**
 * Asynchronous client. Every call ends with exactly one callback, with a value
 * or with one of PlatformUnreachable (nothing was sent), PlatformTimeout,
 * PlatformRateLimited, RevisionConflict, NotFound, ValueTooLarge, LeaseLost or,
 * for writes whose answer was lost, WriteOutcomeUnknown. Destroying the client
 * drops the calls that are still open.
 */
class Client
{
public:
  /**
   * @param aLoop loop that runs the calls
   * @param aAddress address of the platform
   * @param aTimeout time until a call fails
   * @param aForm protocol of the platform
   */
  Client(http::Loop& aLoop,
         http::Address aAddress,
         base::Duration aTimeout,
         const WireForm& aForm = productForm());

  /** @param aKey key @param aDone gets its entry or NotFound */
  void read(const std::string& aKey, Callback<Entry> aDone);

  /** Reads all pages; they are no snapshot, and the revision is that of the
   * first page, from which a watch misses nothing.
   * @param aPrefix first part of the keys @param aDone gets the entries */
  void list(const std::string& aPrefix, Callback<Snapshot> aDone);

  /**
   * Writes if the key still has a revision.
   * @param aKey key
   * @param aValue value, at most 1 MB
   * @param aExpected revision that must hold; 0: the key must not exist
   * @param aLease lease that the key is bound to, or empty
   * @param aDone gets the new revision or RevisionConflict
   */
  void write(const std::string& aKey,
             const std::string& aValue,
             Revision aExpected,
             const std::string& aLease,
             Callback<Revision> aDone);

  /** Deletes a key if it has a revision. @param aKey key
   * @param aExpected revision @param aDone gets 0 or an error */
  void remove(const std::string& aKey,
              Revision aExpected,
              Callback<Revision> aDone);

  /**
   * Waits for a change; the platform counts a waiting watch as a read.
   * @param aPrefix first part of the keys
   * @param aAfter revision that is already known
   * @param aWait longest wait
   * @param aDone gets the changed entries, none after the longest wait, or
   * HistoryCompacted if the changes are no longer known
   */
  void watch(const std::string& aPrefix,
             Revision aAfter,
             base::Duration aWait,
             Callback<Snapshot> aDone);

  /** @param aTerm length of the lease @param aDone gets its id */
  void grantLease(base::Duration aTerm, Callback<std::string> aDone);

  /** @param aLease lease @param aDone gets its id or LeaseLost */
  void renewLease(const std::string& aLease, Callback<std::string> aDone);

  /** @param aLease lease to end @param aDone gets its id or LeaseLost */
  void revokeLease(const std::string& aLease, Callback<std::string> aDone);

  /** @param aDone gets the lagging list of VMs as text for decodeVmList */
  void listVms(Callback<std::string> aDone);

  /** Loses every call and answer, as a broken link would. For failure tests.
   * @param aCut true until the link works again */
  void cut(bool aCut) { mCut = aCut; }

  /** @return calls so far */
  const CallCounts& counts() const { return mCounts; }

private:
  struct Pending;
  using Finish = std::function<void(const base::Captured<http::Response>&)>;
  void send(const http::Request& aRequest,
            base::Duration aTimeout,
            bool aIsWrite,
            Finish aDone);
  void lose(base::Duration aTimeout, bool aIsWrite, Finish aDone);
  void listFrom(const std::string& aPrefix,
                const std::shared_ptr<Snapshot>& aSoFar,
                Callback<Snapshot> aDone);

  http::Loop& mLoop;
  http::Address mAddress;
  base::Duration mTimeout;
  const WireForm& mForm;
  http::Client mClient;
  CallCounts mCounts;
  std::list<std::unique_ptr<http::Call>> mCalls;
  std::list<http::EventHandle> mLost; ///< calls that were started while cut off
  bool mCut = false;
};

} // namespace marigold::platform
