/**
 * @file
 * Public header of the platform library: an asynchronous client for the
 * platform's key-value store (compare-and-swap, leases, watches).
 * docs/protocols.md describes the protocol.
 */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "platform/backoff.h"
#include "platform/call_record.h"
#include "platform/json_scanner.h"
#include "platform/mirror.h"
#include "platform/shared_text.h"
#include "platform/text_patch.h"
#include "platform/untrusted_json.h"
#include "platform/view_age.h"
#include "platform/wire_protocol.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace marigold::platform {

/** Receives the value of a call or the error with which it failed. */
template<typename Value>
using Callback = std::function<void(const base::Captured<Value>&)>;

/** Calls that a client has made. The platform limits the rate of calls. */
struct CallCounts
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/**
 * Asynchronous client. Every call ends with exactly one callback, which gets a
 * value or one of these errors: PlatformUnreachable (not executed),
 * PlatformTimeout, PlatformRateLimited, RevisionConflict, NotFound,
 * ValueTooLarge, LeaseLost or WriteOutcomeUnknown (a write whose answer was
 * lost, so that it may have taken effect). An answer of an era before that of
 * an earlier answer counts as lost, because the store has forgotten what it
 * says. Destroying the client cancels all pending calls without a callback.
 */
class Client
{
public:
  /**
   * @param aLoop event loop that runs the calls and callbacks
   * @param aAddress address of the platform
   * @param aTimeout timeout of every call except watches
   * @param aProtocol wire protocol that the platform uses
   */
  Client(http::Loop& aLoop,
         http::Address aAddress,
         base::Duration aTimeout,
         const WireProtocol& aProtocol = nativeProtocol());

  /** Reads a key. @param aKey key @param aDone gets its entry or NotFound */
  void read(const std::string& aKey, Callback<Entry> aDone);

  /**
   * Reads all pages of the keys with a prefix. The pages are read one after the
   * other and don't form a consistent snapshot. The returned revision is that
   * of the first page, so that a watch that starts there misses no change.
   * @param aPrefix prefix of the keys
   * @param aDone gets the entries
   * @param aCause why, for callEnded()
   */
  void list(const std::string& aPrefix,
            Callback<Snapshot> aDone,
            const std::string& aCause = {});

  /**
   * Writes a key if it still has the expected revision (compare-and-swap).
   * @param aKey key
   * @param aValue value, at most 1 MB
   * @param aExpected expected revision; 0: the key must not exist
   * @param aLease lease to which the key is bound, or empty
   * @param aDone gets the new revision or RevisionConflict
   */
  void write(const std::string& aKey,
             const std::string& aValue,
             Revision aExpected,
             const std::string& aLease,
             Callback<Revision> aDone);

  /**
   * Deletes a key if it still has the expected revision.
   * @param aKey key
   * @param aExpected expected revision
   * @param aDone gets 0 or an error
   */
  void remove(const std::string& aKey,
              Revision aExpected,
              Callback<Revision> aDone);

  /**
   * Waits for changes (long polling). The platform counts it as one read. If
   * the answer is overdue, the store is asked again on a new connection.
   * @param aPrefix prefix of the keys
   * @param aAfter last point of the history that the caller has seen
   * @param aWait maximum time to wait for a change
   * @param aDone gets the changed entries (none if aWait has passed), or
   * HistoryCompacted if the platform no longer has the changes after aAfter
   * @param aCause why, for callEnded()
   */
  void watch(const std::string& aPrefix,
             Position aAfter,
             base::Duration aWait,
             Callback<Snapshot> aDone,
             const std::string& aCause = {});

  /**
   * Reads the changes up to now.
   * @param aPrefix prefix of the keys
   * @param aAfter last point of the history that the caller has seen
   * @param aDone gets the changed entries, or HistoryCompacted
   * @param aCause why, for callEnded()
   */
  void changes(const std::string& aPrefix,
               Position aAfter,
               Callback<Snapshot> aDone,
               const std::string& aCause = {});

  /** Requests a lease. @param aTerm time to live of the lease
   * @param aDone gets its id
   * @param aName what the lease is for, for callEnded() */
  void grantLease(base::Duration aTerm,
                  Callback<std::string> aDone,
                  const std::string& aName = {});

  /** Renews a lease on a connection kept for renewals, so that these also show
   * whether open connections still work. If the answer is overdue, the renewal
   * is sent again on a new connection.
   * @param aLease id of the lease @param aDone gets the id or LeaseLost
   * @param aName what the lease is for, for callEnded() */
  void renewLease(const std::string& aLease,
                  Callback<std::string> aDone,
                  const std::string& aName = {});

  /** Ends a lease. @param aLease id of the lease
   * @param aDone gets the id or LeaseLost
   * @param aName what the lease is for, for callEnded() */
  void revokeLease(const std::string& aLease,
                   Callback<std::string> aDone,
                   const std::string& aName = {});

  /** Simulates a lost connection, for failure tests: no call is sent, answers
   * to pending calls are dropped, and the calls fail as timed out.
   * @param aActive true to start the outage, false to end it */
  void simulateOutage(bool aActive) { mOutageSimulated = aActive; }

  /** Records an era that another VM has learned from the store, as an answer
   * would. @param aEra era */
  void learnEra(Era aEra);

  /** @return the latest era that an answer named, 0 if none did */
  Era era() const { return mEra.value_or(0); }

  /** Emitted when an answer shows that the store was restored from an older
   * copy, before the callback of that answer. */
  sigc::signal<void()>& restored() { return mRestored; }

  /** Emitted when a call was answered on a new connection, but not on an older
   * one: open connections have gone silent. The argument is when the new
   * connection was opened. Idle connections are closed before. */
  sigc::signal<void(base::TimePoint)>& silenceFound() { return mSilenceFound; }

  /** Emitted once for each call, repetitions included, when it has ended. */
  sigc::signal<void(const CallRecord&)>& callEnded() { return mCallEnded; }

  /** @return calls since the client was created */
  const CallCounts& counts() const { return mCounts; }

private:
  struct Pending;
  using ResponseCallback =
    std::function<void(const base::Captured<http::Response>&)>;
  using Calls = std::list<std::unique_ptr<http::Call>>;

  /** How a call is sent. */
  struct Options
  {
    base::Duration timeout{};
    bool isWrite = false;
    http::Client* connections = nullptr;
    bool reuse = true; ///< an idle connection
    CallKind kind = CallKind::Read;
    CallReason reason;
  };

  /** A call that is sent again on a new connection if its answer is overdue. */
  struct HedgedCall
  {
    http::Request request;
    http::Request repeated;
    Options options;
    base::Duration repeatedTimeout{};
    bool repeatAfterLoss = false; ///< if the kept connection was closed
    /** Gets the answer, and with which options the answered call was sent. */
    std::function<void(const base::Captured<http::Response>&, const Options&)>
      done;
    std::optional<Calls::iterator> original{}; ///< while it is pending
    std::optional<Calls::iterator> repetition{};
    base::TimePoint startedAt{};
    base::TimePoint expectedAt{}; ///< of a store that is not slow
    base::TimePoint repeatedAt{};
    http::EventHandle timer{};
  };
  using HedgedId = std::uint64_t;

  base::Captured<Snapshot> readChanges(
    const base::Captured<http::Response>& aResponse,
    const Options& aAnswered);
  void send(const http::Request& aRequest,
            CallKind aKind,
            CallReason aReason,
            ResponseCallback aDone);
  void recordEnd(const Options& aOptions, CallOutcome aOutcome);
  Calls::iterator sendWith(const http::Request& aRequest,
                           const Options& aOptions,
                           ResponseCallback aDone);
  void sendHedged(HedgedCall aCall, base::Duration aExpectedWithin);
  void onOverdue(HedgedId aId);
  base::Duration patience() const;
  void recordLateness(const HedgedCall& aCall, const base::Error* aError);
  void repeat(HedgedId aId);
  void onOriginal(HedgedId aId,
                  const base::Captured<http::Response>& aResponse);
  void onRepetition(HedgedId aId,
                    const base::Captured<http::Response>& aResponse);
  static Options repetitionOptions(const HedgedCall& aCall);
  void finish(HedgedId aId,
              const base::Captured<http::Response>& aResponse,
              const Options& aAnswered);
  void reportSilence(base::TimePoint aSince);
  bool recordEra(const http::Headers& aHeaders);
  void failAfterTimeout(base::Duration aTimeout,
                        bool aIsWrite,
                        ResponseCallback aDone);
  void listFrom(const std::string& aPrefix,
                const std::shared_ptr<Snapshot>& aPartial,
                const std::string& aCause,
                Callback<Snapshot> aDone);

  http::Loop& mLoop;
  http::Address mAddress;
  base::Duration mTimeout;
  const WireProtocol& mProtocol;
  http::Client mClient;
  CallCounts mCounts;
  std::optional<Era> mEra;
  sigc::signal<void()> mRestored;
  http::Client mRenewalClient; ///< keeps the connection of renewals
  bool mRenewalKept = false;   ///< the latest renewal left a connection
  Calls mCalls;
  std::map<HedgedId, HedgedCall> mHedgedCalls; ///< pending
  HedgedId mNextHedgedId = 0;
  /** By how much the latest answer was overdue or nearly so; zero if it came
   * in time or was lost. */
  base::Duration mLateness{};
  /** Calls that were sent again although their answers were only late, since
   * the latest answer in time. */
  unsigned mWastedRepetitions = 0;
  /** When the connection was opened that showed the latest silence. */
  base::TimePoint mSilenceFoundAt = base::TimePoint::min();
  sigc::signal<void(base::TimePoint)> mSilenceFound;
  sigc::signal<void(const CallRecord&)> mCallEnded;
  http::EventHandle mSilenceTimer;
  std::list<http::EventHandle> mDroppedCalls; ///< calls made during an outage
  bool mOutageSimulated = false;
};

} // namespace marigold::platform
