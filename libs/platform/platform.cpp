#include "platform/platform.h"

#include "platform/answer_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::platform {
namespace {

using base::Captured;
using base::Code;
using base::Error;
using nlohmann::json;
using namespace std::chrono_literals;

/** Wait of a watch that is sent again: its answer shows at once whether the
 * store responds. */
constexpr base::Duration kRepeatedWait = 100ms;
/** Calls that are sent again in vain before a store counts as slow. */
constexpr unsigned kMaxWastedRepetitions = 3;

Error
transportError(http::CallEnd aEnd, bool aIsWrite)
{
  if (aEnd == http::CallEnd::NotSent) {
    return { Code::PlatformUnreachable, "the platform cannot be reached" };
  }
  // The platform may have executed a write although its answer was lost.
  if (aIsWrite) {
    return { Code::WriteOutcomeUnknown,
             "the platform's answer to a write was lost" };
  }
  return { Code::PlatformTimeout, "the platform did not answer in time" };
}

/** Parses a response as JSON. Its content is untrusted, so that malformed
 * content becomes an error. */
template<typename Value, typename Reader>
Captured<Value>
readResponse(const Captured<http::Response>& aResponse, Reader aReader)
{
  if (const Error* error = base::errorOf(aResponse)) {
    return *error;
  }
  const auto content = parseAnswer(std::get<http::Response>(aResponse).body);
  try {
    return aReader(content);
  } catch (const json::exception& exception) {
    return Error{ Code::PlatformUnreachable,
                  std::string("malformed answer from the platform: ") +
                    exception.what() };
  }
}

/** @return true if the answer to a call was lost */
bool
isLost(const Error* aError)
{
  return aError != nullptr && (aError->code == Code::PlatformTimeout ||
                               aError->code == Code::WriteOutcomeUnknown);
}

/** @return true if the server did nothing about the call, or its answer was
 * lost */
bool
isRefusedOrLost(const Error* aError)
{
  return isLost(aError) ||
         (aError != nullptr && (aError->code == Code::PlatformUnreachable ||
                                aError->code == Code::PlatformRateLimited));
}

/** Reads the answer to a write. If the platform accepted the write but its
 * answer is malformed, the new revision and thus the outcome is unknown. */
Captured<Revision>
readWriteResult(const WireProtocol& aProtocol,
                const Captured<http::Response>& aResponse)
{
  const auto revision =
    readResponse<Revision>(aResponse, aProtocol.readRevision);
  if (base::errorOf(aResponse) == nullptr &&
      base::errorOf(revision) != nullptr) {
    return Error{ Code::WriteOutcomeUnknown,
                  "malformed answer from the platform to a write" };
  }
  return revision;
}

/** Maps NotFound to LeaseLost: an expired lease does not exist any more. */
Captured<std::string>
leaseResult(const Captured<http::Response>& aResponse,
            const std::string& aLease)
{
  const Error* error = base::errorOf(aResponse);
  if (error == nullptr) {
    return aLease;
  }
  if (error->code == Code::NotFound) {
    return Error{ Code::LeaseLost, "the lease has expired" };
  }
  return *error;
}

} // namespace

Client::Client(http::Loop& aLoop,
               http::Address aAddress,
               base::Duration aTimeout,
               const WireProtocol& aProtocol)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mProtocol(aProtocol)
  , mClient(aLoop)
  , mRenewalClient(aLoop, { 1 })
{
}

void
Client::send(const http::Request& aRequest,
             CallKind aKind,
             CallReason aReason,
             ResponseCallback aDone)
{
  // Writes don't reuse idle connections: the server may be closing one, which
  // would look like a lost answer. Writes are rare enough to open a connection
  // for each.
  const bool isWrite = aKind != CallKind::Read;
  sendWith(aRequest,
           { mTimeout, isWrite, &mClient, !isWrite, aKind, std::move(aReason) },
           std::move(aDone));
}

void
Client::recordEnd(const Options& aOptions, CallOutcome aOutcome)
{
  mCallEnded.emit({ aOptions.kind, aOutcome, aOptions.reason });
}

/** @return the pending call; the end of the list in a simulated outage */
Client::Calls::iterator
Client::sendWith(const http::Request& aRequest,
                 const Options& aOptions,
                 ResponseCallback aDone)
{
  const bool isWrite = aOptions.isWrite;
  ++(isWrite ? mCounts.writes : mCounts.reads);
  if (mOutageSimulated) {
    failAfterTimeout(aOptions.timeout, isWrite, std::move(aDone));
    return mCalls.end();
  }
  const auto position = mCalls.emplace(mCalls.end());
  http::CallEvents events;
  events.done = [this, position, isWrite, aOptions, aDone = std::move(aDone)](
                  http::CallEnd aEnd, const http::Response& aResponse) {
    // Remove the call first: the callback may destroy this client.
    const std::unique_ptr<http::Call> ended = std::move(*position);
    mCalls.erase(position);
    if (mOutageSimulated) {
      aEnd = http::CallEnd::TimedOut;
    }
    if (aEnd != http::CallEnd::Complete) {
      ++mCounts.failures;
      recordEnd(aOptions,
                aEnd == http::CallEnd::NotSent ? CallOutcome::Refused
                                               : CallOutcome::Unanswered);
      aDone(transportError(aEnd, isWrite));
      return;
    }
    if (!recordEra(aResponse.headers)) {
      ++mCounts.failures;
      recordEnd(aOptions, CallOutcome::Unanswered);
      aDone(transportError(http::CallEnd::TimedOut, isWrite));
      return;
    }
    if (const auto error = mProtocol.statusError(aResponse.status)) {
      recordEnd(aOptions,
                isRefusedOrLost(&*error) ? CallOutcome::Refused
                                         : CallOutcome::Negative);
      aDone(*error);
      return;
    }
    if (aOptions.kind != CallKind::Watch) {
      recordEnd(aOptions, CallOutcome::Answered);
    } // Else watch() does, which reads whether there are changes.
    aDone(aResponse);
  };
  *position = aOptions.connections->start(
    mAddress, aRequest, aOptions.timeout, std::move(events), aOptions.reuse);
  return position;
}

/** @return false if the answer is from before the store was restored */
bool
Client::recordEra(const http::Headers& aHeaders)
{
  const auto era = mProtocol.readEra(aHeaders);
  if (!era) {
    return true;
  }
  learnEra(*era);
  return *era == mEra;
}

void
Client::learnEra(Era aEra)
{
  const auto previous = mEra;
  mEra = std::max(aEra, previous.value_or(0));
  if (previous && aEra > *previous) {
    mRestored.emit();
  }
}

void
Client::failAfterTimeout(base::Duration aTimeout,
                         bool aIsWrite,
                         ResponseCallback aDone)
{
  const auto position = mDroppedCalls.emplace(mDroppedCalls.end());
  *position =
    mLoop.after(aTimeout, [this, position, aIsWrite, aDone = std::move(aDone)] {
      // Remove the timer first: the callback may destroy this client.
      mDroppedCalls.erase(position);
      ++mCounts.failures;
      aDone(transportError(http::CallEnd::TimedOut, aIsWrite));
    });
}

/** @param aExpectedWithin time that the store may take for the answer in
 * addition to that for any call */
void
Client::sendHedged(HedgedCall aCall, base::Duration aExpectedWithin)
{
  const HedgedId id = mNextHedgedId++;
  HedgedCall& call = mHedgedCalls[id] = std::move(aCall);
  call.startedAt = base::monotonicNow();
  call.expectedAt = call.startedAt + aExpectedWithin;
  call.timer =
    mLoop.after(aExpectedWithin + patience(), [this, id] { onOverdue(id); });
  call.original =
    sendWith(call.request, call.options, [this, id](const auto& aResponse) {
      onOriginal(id, aResponse);
    });
}

/** A store that is slow for all is not asked twice as often: the next answer
 * may be a little later than the latest one, unless a silent connection would
 * be found too late then. */
base::Duration
Client::patience() const
{
  const base::Duration overdue = overdueAfter(mTimeout);
  return std::clamp<base::Duration>(
    mLateness + overdue / 2, overdue, 2 * overdue);
}

/** A store that stays slower than that is asked once. */
void
Client::onOverdue(HedgedId aId)
{
  if (mWastedRepetitions < kMaxWastedRepetitions) {
    repeat(aId);
  }
}

void
Client::recordLateness(const HedgedCall& aCall, const Error* aError)
{
  const base::Duration lateness = base::monotonicNow() - aCall.expectedAt;
  if (isLost(aError) || lateness < overdueAfter(mTimeout) / 2) {
    mLateness = {};
    mWastedRepetitions = 0;
    return;
  }
  mLateness = lateness;
  if (aCall.repetition) {
    ++mWastedRepetitions;
  }
}

void
Client::repeat(HedgedId aId)
{
  HedgedCall& call = mHedgedCalls.at(aId);
  call.timer.reset();
  call.repeatedAt = base::monotonicNow();
  call.repetition = sendWith(
    call.repeated, repetitionOptions(call), [this, aId](const auto& aResponse) {
      onRepetition(aId, aResponse);
    });
}

Client::Options
Client::repetitionOptions(const HedgedCall& aCall)
{
  Options options = aCall.options;
  options.timeout = aCall.repeatedTimeout;
  options.reuse = false;
  options.reason.cause = "overdue";
  return options;
}

void
Client::onOriginal(HedgedId aId, const Captured<http::Response>& aResponse)
{
  const auto call = mHedgedCalls.find(aId);
  if (call == mHedgedCalls.end()) {
    return; // Dropped in a simulated outage; the repetition was answered.
  }
  call->second.original.reset();
  const Error* error = base::errorOf(aResponse);
  recordLateness(call->second, error);
  if (isRefusedOrLost(error) && call->second.repetition) {
    return;
  }
  if (isLost(error) && call->second.repeatAfterLoss &&
      call->second.repeatedAt == base::TimePoint{}) {
    repeat(aId);
    return;
  }
  finish(aId, aResponse, Options(call->second.options));
}

void
Client::onRepetition(HedgedId aId, const Captured<http::Response>& aResponse)
{
  const auto call = mHedgedCalls.find(aId);
  if (call == mHedgedCalls.end()) {
    return; // As for the original.
  }
  call->second.repetition.reset();
  if (call->second.original) {
    if (isRefusedOrLost(base::errorOf(aResponse))) {
      return;
    }
    // Calls from before a silence that was found already tell nothing new.
    if (call->second.startedAt > mSilenceFoundAt) {
      mSilenceFoundAt = call->second.repeatedAt;
      reportSilence(mSilenceFoundAt);
    }
  }
  finish(aId, aResponse, repetitionOptions(call->second));
}

void
Client::finish(HedgedId aId,
               const Captured<http::Response>& aResponse,
               const Options& aAnswered)
{
  // The callback may destroy this client.
  const HedgedCall ended = std::move(mHedgedCalls.at(aId));
  mHedgedCalls.erase(aId);
  const auto drop = [this](const std::optional<Calls::iterator>& aPending,
                           const Options& aOptions) {
    if (aPending && *aPending != mCalls.end()) {
      mCalls.erase(*aPending);
      recordEnd(aOptions, CallOutcome::Dropped);
    }
  };
  drop(ended.original, ended.options);
  drop(ended.repetition, repetitionOptions(ended));
  ended.done(aResponse, aAnswered);
}

/** @param aSince when the connection that works was opened */
void
Client::reportSilence(base::TimePoint aSince)
{
  mClient.closeIdle();
  mRenewalClient.closeIdle();
  // Deferred, so that the callback of the answered call runs before.
  mSilenceTimer = mLoop.after(base::Duration::zero(),
                              [this, aSince] { mSilenceFound.emit(aSince); });
}

void
Client::read(const std::string& aKey, Callback<Entry> aDone)
{
  send(mProtocol.read(aKey),
       CallKind::Read,
       { aKey, "" },
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readResponse<Entry>(aResponse, mProtocol.readEntry));
       });
}

void
Client::list(const std::string& aPrefix,
             Callback<Snapshot> aDone,
             const std::string& aCause)
{
  listFrom(aPrefix, std::make_shared<Snapshot>(), aCause, std::move(aDone));
}

void
Client::listFrom(const std::string& aPrefix,
                 const std::shared_ptr<Snapshot>& aPartial,
                 const std::string& aCause,
                 Callback<Snapshot> aDone)
{
  const std::string after =
    aPartial->entries.empty() ? std::string() : aPartial->entries.back().key;
  // A list is not sent again if its answer is overdue, so it does not rely on
  // an idle connection, which may be silent.
  sendWith(
    mProtocol.list(aPrefix, after),
    { mTimeout, false, &mClient, false, CallKind::List, { aPrefix, aCause } },
    [this, aPrefix, aPartial, aCause, aDone = std::move(aDone)](
      const Captured<http::Response>& aResponse) {
      auto page = readResponse<Snapshot>(aResponse, mProtocol.readPage);
      if (base::errorOf(page) != nullptr) {
        aDone(page);
        return;
      }
      auto& read = std::get<Snapshot>(page);
      if (aPartial->revision == 0) {
        aPartial->era = era();
        aPartial->revision = read.revision;
      }
      if (aPartial->era != era()) {
        // The earlier pages are from before the store was restored.
        list(aPrefix, aDone, aCause);
        return;
      }
      const bool more = read.more && !read.entries.empty();
      std::move(read.entries.begin(),
                read.entries.end(),
                std::back_inserter(aPartial->entries));
      if (more) {
        listFrom(aPrefix, aPartial, aCause, aDone);
        return;
      }
      aDone(std::move(*aPartial));
    });
}

void
Client::write(const std::string& aKey,
              const std::string& aValue,
              Revision aExpected,
              const std::string& aLease,
              Callback<Revision> aDone)
{
  send(mProtocol.write({ aKey, aValue, aExpected, aLease }),
       CallKind::Write,
       { aKey, "" },
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readWriteResult(mProtocol, aResponse));
       });
}

void
Client::remove(const std::string& aKey,
               Revision aExpected,
               Callback<Revision> aDone)
{
  send(mProtocol.remove(aKey, aExpected),
       CallKind::Write,
       { aKey, "removal" },
       [aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         const Error* error = base::errorOf(aResponse);
         aDone(error != nullptr ? Captured<Revision>(*error)
                                : Captured<Revision>(Revision{ 0 }));
       });
}

void
Client::watch(const std::string& aPrefix,
              Position aAfter,
              base::Duration aWait,
              Callback<Snapshot> aDone,
              const std::string& aCause)
{
  const base::Duration repeatedWait = std::min(aWait, kRepeatedWait);
  const Options options{ aWait + mTimeout, false,
                         &mClient,         true,
                         CallKind::Watch,  { aPrefix, aCause } };
  sendHedged(
    { .request = mProtocol.watch(aPrefix, aAfter, aWait),
      .repeated = mProtocol.watch(aPrefix, aAfter, repeatedWait),
      .options = options,
      .repeatedTimeout = repeatedWait + mTimeout,
      .done =
        [this, aDone = std::move(aDone)](
          const Captured<http::Response>& aResponse, const Options& aAnswered) {
          aDone(readChanges(aResponse, aAnswered));
        } },
    aWait);
}

Captured<Snapshot>
Client::readChanges(const Captured<http::Response>& aResponse,
                    const Options& aAnswered)
{
  auto changes = readResponse<Snapshot>(aResponse, mProtocol.readChanges);
  if (auto* read = std::get_if<Snapshot>(&changes)) {
    read->era = era();
    recordEnd(aAnswered,
              read->entries.empty() ? CallOutcome::NoNews : CallOutcome::News);
  } else if (base::errorOf(aResponse) == nullptr) {
    recordEnd(aAnswered, CallOutcome::Unanswered); // Malformed.
  }
  return changes;
}

void
Client::changes(const std::string& aPrefix,
                Position aAfter,
                Callback<Snapshot> aDone,
                const std::string& aCause)
{
  // As for a list, an idle connection may be silent.
  const Options options{ mTimeout, false,           &mClient,
                         false,    CallKind::Watch, { aPrefix, aCause } };
  sendWith(mProtocol.watch(aPrefix, aAfter, base::Duration::zero()),
           options,
           [this, options, aDone = std::move(aDone)](
             const Captured<http::Response>& aResponse) {
             aDone(readChanges(aResponse, options));
           });
}

void
Client::grantLease(base::Duration aTerm,
                   Callback<std::string> aDone,
                   const std::string& aName)
{
  send(mProtocol.grantLease(aTerm),
       CallKind::Lease,
       { aName, "grant" },
       [this,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(readResponse<std::string>(aResponse, mProtocol.readLease));
       });
}

void
Client::renewLease(const std::string& aLease,
                   Callback<std::string> aDone,
                   const std::string& aName)
{
  const http::Request request = mProtocol.renewLease(aLease);
  sendHedged({ .request = request,
               .repeated = request,
               .options = { mTimeout,
                            true,
                            &mRenewalClient,
                            true,
                            CallKind::Renewal,
                            { aName, "" } },
               .repeatedTimeout = mTimeout,
               .repeatAfterLoss = mRenewalKept,
               .done =
                 [this, aLease, aDone = std::move(aDone)](
                   const Captured<http::Response>& aResponse,
                   const Options& /*aAnswered*/) {
                   mRenewalKept = base::errorOf(aResponse) == nullptr;
                   aDone(leaseResult(aResponse, aLease));
                 } },
             base::Duration::zero());
}

void
Client::revokeLease(const std::string& aLease,
                    Callback<std::string> aDone,
                    const std::string& aName)
{
  send(mProtocol.revokeLease(aLease),
       CallKind::Lease,
       { aName, "end" },
       [aLease,
        aDone = std::move(aDone)](const Captured<http::Response>& aResponse) {
         aDone(leaseResult(aResponse, aLease));
       });
}

} // namespace marigold::platform
