/** @file Handles one request: admission, upstream selection, response. */
#pragma once

#include "apps/gateway/back_pressure.h"
#include "apps/gateway/counted_buffer.h"
#include "apps/gateway/request_context.h"
#include "chat/chat.h"
#include "wire/wire.h"

namespace marigold::gateway {

/** Counts the load of one request at its upstream for its own lifetime. */
class LoadReservation
{
public:
  LoadReservation(std::shared_ptr<Upstream> aUpstream,
                  double aQueuedMs,
                  bool aLowPriority,
                  double aTokens);
  ~LoadReservation();
  LoadReservation(const LoadReservation&) = delete;
  LoadReservation& operator=(const LoadReservation&) = delete;

  /** The prompt was processed: releases its queue time, but keeps the slot and
   * the memory. */
  void releaseQueueTime();

  const std::shared_ptr<Upstream>& upstream() const { return mUpstream; }

private:
  std::shared_ptr<Upstream> mUpstream;
  double mQueuedMs;
  bool mLowPriority;
  double mTokens;
};

/**
 * Serves one request. It ends with exactly one response to the caller, or with
 * an aborted connection if a part of a response was already sent.
 */
class Exchange
  : public PendingRequest
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RequestContext& aContext,
           std::shared_ptr<wire::CallerConnection> aCaller);

  /** Admits the request and dispatches it to an upstream. */
  void start();

  /** Dispatches again because an upstream may have become available. */
  void retry() override;

  /** Ends the request now: refuses it if it cannot have run at an upstream,
   * otherwise fails it. */
  void shutdown() override;

  /** Ends the request, also while it waits for its answer to begin. */
  void endIfBlocked() override;

  /** Finds out whether the upstream can be reached if it does not acknowledge
   * the request, and lets a peer pass the request on if none can. */
  void checkProgress() override;

private:
  /** Maximum number of unreachable upstreams that one request tries. */
  static constexpr unsigned kMaxUnreachable = 4;
  /** Time until another try while no upstream takes the request. */
  static constexpr base::Duration kOverloadRetryDelay =
    std::chrono::milliseconds(400);

  // Admission.
  void admit();
  void findOrigin();
  void continueStream(std::optional<peers::SoftwareTag> aOrigin);
  void admitByQuota();
  using AdmissionStep = void (Exchange::*)();
  bool hold(AdmissionStep aNext, const char* aReason);
  void repeatAfter(base::Duration aDelay, AdmissionStep aNext);
  bool waitForQuota(base::Duration aDelay);
  bool findRoute();
  bool authenticate();
  bool followConfiguration();
  bool acceptChat();
  bool acceptCompletion();
  bool refuseWithoutMemoryToRead();
  void listModels();
  bool chargeQuota();
  void refundQuota();
  void startDeadlineTimer();
  void recordDemand();
  bool refuseIfBlocked();

  // Upstream selection.
  void dispatch();
  dispatch::RequestSize requestSize() const;
  std::vector<dispatch::Candidate> candidates(
    std::vector<std::shared_ptr<Upstream>>& aUpstreams);
  dispatch::Candidate makeCandidate(const Upstream& aUpstream) const;
  bool waitForAdapter();
  void waitForModel();
  void waitInQueue(std::optional<peers::SoftwareTag> aSoftware);
  std::optional<base::Duration> estimateLoadTime() const;
  std::optional<dispatch::Choice> choose(
    const std::vector<dispatch::Candidate>& aCandidates,
    const std::vector<std::shared_ptr<Upstream>>& aUpstreams);
  std::optional<dispatch::Choice> chooseWithRoom(
    std::vector<dispatch::Candidate> aCandidates,
    const std::vector<std::shared_ptr<Upstream>>& aUpstreams);
  dispatch::Admission admitAtBrittle(const dispatch::Candidate& aCandidate,
                                     const Upstream& aUpstream);
  std::optional<dispatch::Choice> chooseLimited(
    std::vector<dispatch::Candidate> aCandidates,
    const std::vector<std::shared_ptr<Upstream>>& aUpstreams);
  bool startsInTime(const dispatch::Choice& aChoice) const;
  bool admitByExpectedStart(const dispatch::Choice& aChoice);
  base::Duration latestStart() const;
  bool waitForReports();
  void refuseByLimit(const std::vector<dispatch::Candidate>& aCandidates,
                     const std::vector<std::shared_ptr<Upstream>>& aUpstreams);

  // Calls to upstreams.
  void send(const std::shared_ptr<Upstream>& aUpstream);
  using RequestWriter =
    std::optional<std::string> (Exchange::*)(const base::UpstreamName&);
  using FailureHandler = void (Exchange::*)(wire::CallFailure);
  std::unique_ptr<UpstreamCall> startCall(
    const std::shared_ptr<Upstream>& aUpstream,
    RequestWriter aWriteRequest,
    FailureHandler aOnFailure);
  void activateCall(const std::shared_ptr<Upstream>& aUpstream,
                    std::unique_ptr<UpstreamCall> aCall);
  std::optional<std::string> serializeRequest(
    const base::UpstreamName& aUpstream);
  void onSendCancelled();
  void onHead(const wire::ResponseHead& aHead);
  void onBody(std::string_view aBytes);
  void onComplete();
  void onFailed(wire::CallFailure aFailure);
  void onNotConnected();
  void onNotForwarded(bool aTryAgain);
  void dispatchAfterFailure();
  void onRefused(const boundary::AnswerMetadata& aMetadata);
  void onInvalidResponse(const char* aReason);
  void recordRejection(const Upstream& aUpstream,
                       const boundary::AnswerMetadata& aMetadata,
                       bool aByPeer);
  void recordBrittleRejection(const Upstream& aUpstream, base::TimePoint aNow);
  void judge(const Upstream& aUpstream, dispatch::Answer aAnswer);
  bool rejectResponse();
  void recordAnswer();
  bool tryElsewhere();
  bool deliverKept(const std::string& aReason);
  bool isUpstreamsError() const;
  const char* invalidHead(const boundary::AnswerMetadata& aMetadata) const;
  void retryOnOtherUpstream(const std::string& aReason);
  bool attemptsLeft() const;
  const char* consumeRetry();
  void scheduleRetry();
  void retryAfter(base::Duration aDelay);
  void waitUntilAccepted();
  bool isAccepted(const base::UpstreamName& aUpstream) const;
  bool mayBeSentTo(const base::UpstreamName& aUpstream) const;
  bool mayContinueAt(const Upstream& aUpstream) const;
  bool confirmSoftware(const std::shared_ptr<Upstream>& aUpstream);
  void onConfirmed(const Upstream& aUpstream);
  void recordOrigin(base::TimePoint aNow);
  void confirmOrigin(const std::shared_ptr<Upstream>& aUpstream);
  void armStallTimer();
  void startStallTimer(base::Duration aLimit);
  void onStall(base::Duration aLimit);
  bool startReplacement();
  bool replaceBy(const std::shared_ptr<Upstream>& aUpstream,
                 const dispatch::Candidate& aChosen);
  bool isSilent(base::TimePoint aNow) const;
  void noteInput();
  void reroute();
  bool wentOnMeanwhile() const;
  std::optional<std::string> switchToReplacement(
    const base::UpstreamName& aUpstream);
  void onReplacementFailed(wire::CallFailure aFailure);
  void recordUnreachable(const base::UpstreamName& aUpstream);
  void recordBrokenConnection();
  void onBroken(const char* aReason);
  void awaitCrashEvidence(const char* aReason);
  void retryUnlessSuspect(const char* aReason);
  void endCall();
  void logGivenUp(const UpstreamCall& aCall,
                  const base::UpstreamName& aUpstream);

  // Response.
  void onEvents(std::string_view aBytes);
  bool deliverEvents(const std::vector<wire::StreamEvent>& aEvents);
  void deliverStreamEnd();
  void deliverResponse();
  void fail(base::Code aCode, const std::string& aDetail);
  void refuseForMemory(const std::string& aPurpose);
  void refuse(base::Code aCode,
              const std::string& aDetail,
              base::Duration aRetryAfter);
  void endWithError(base::Code aCode,
                    base::Outcome aOutcome,
                    const std::string& aDetail,
                    base::Duration aRetryAfter);
  void finish(base::Code aCode, int aStatus, const std::string& aDetail);
  int leaveCaller();
  void onCallerDisconnected();
  bool endIfCallerDisconnected();
  void onDeadline();

  /** @return the input of the current call, if any */
  std::optional<http::InputCount> inputCount() const;
  bool isEngineCall() const { return mMetadata.model.has_value(); }
  unsigned endedAttempts() const;
  bool mayHaveRun() const { return mUnresolvedSends > 0; }
  /** @return true if another upstream could continue the stream */
  bool canContinue() const { return mEventCount == 0 || mLastEventId; }
  bool hasBegunToAnswer(base::TimePoint aNow) const;
  /** @return true if the caller received a part of a non-streaming response,
   * which no other response can continue */
  bool isPartiallyForwarded() const;
  bool isLowPriority() const;
  int enginePriority() const;
  base::Duration remainingTime() const;
  bool hasTimeForSend() const;
  bool waitForMemory();
  bool endWithoutPath();
  bool mayBegin(const dispatch::Choice& aChoice) const;
  void endWithoutSend();
  std::uint32_t outputTokens() const;
  peers::StreamId streamId() const;
  const std::string& firstAttempt() const;

  RequestContext& mContext;
  std::shared_ptr<wire::CallerConnection> mCaller;
  std::shared_ptr<const CatalogSnapshot> mCatalog;
  std::shared_ptr<const CatalogSnapshot> mTeamCatalog; ///< of mTeam
  wire::Request mRequest;
  base::MemoryCharge mRequestCharge;
  http::Headers mHeaders; ///< end-to-end headers of the caller
  catalog::RequestMetadata mMetadata;
  chat::Call mChatCall = chat::Call::None;
  std::unique_ptr<chat::AnswerReader> mChatAnswer; ///< of a completion
  const catalog::Route* mRoute = nullptr;
  const catalog::Team* mTeam = nullptr;
  const catalog::Service* mService = nullptr;
  base::TimePoint mReceivedAt{};
  base::TimePoint mDeadlineAt{};
  double mCost = 0;
  peers::TraitSet mTraits;

  std::set<base::UpstreamName> mTriedUpstreams;
  /** Gets the request if it is still a candidate: it was chosen, and has said
   * that its process is the one of its record. */
  base::UpstreamName mConfirmedUpstream;
  bool mConfirmationFailed = false; ///< since the last retry
  /** What waits for the answer of the chosen upstream: the next send, or the
   * replacement of a silent call. */
  bool mDispatchesWhenConfirmed = false;
  bool mReplacesWhenConfirmed = false;
  /** Earliest time at which a suitable upstream wants requests again; the end
   * of time if none has turned requests away. */
  base::TimePoint mAcceptedFrom = base::TimePoint::max();
  /** Upstreams that name a limit and were asked for a place. */
  std::set<peers::ProcessTag> mAskedLimited;
  bool mMustAskAgain = false;
  bool mWaitedForReports = false;
  bool mBrittleIsFull = false;     ///< since the last choice
  bool mRejectedByBrittle = false; ///< for want of room
  unsigned mSends = 0;
  unsigned mUnreachableCount = 0;
  unsigned mUnresolvedSends = 0; ///< sends that may have run at an upstream
  /** Those of them that went to the same upstream once more, by another way. */
  unsigned mRepeatedSends = 0;
  /** Upstreams that have broken the stream off after its first event. */
  std::vector<std::shared_ptr<Upstream>> mBrokeOff;
  bool mWaitLogged = false;
  /** When the stream began to wait for its adapter, if it has. */
  std::optional<base::TimePoint> mAdapterAwaitedFrom;
  bool mHoldLogged = false;
  bool mQuotaWaitLogged = false;
  bool mAskedForQuota = false;
  bool mMemoryWaitLogged = false;
  bool mStallLogged = false;
  /** An upstream refused or was unreachable since the last call or retry. */
  bool mNotAccepted = false;
  bool mAnswerRecorded = false; ///< the answer of the current call
  bool mEnded = false;
  bool mCallerDisconnected = false; ///< the call continues without a caller
  int mLeftStatus = 0; ///< of the response to a caller that has left, 0: none

  /** A call that replaces a stalled one when its request is written. */
  struct Replacement
  {
    std::shared_ptr<Upstream> upstream;
    std::unique_ptr<UpstreamCall> call;
    double queuedAheadMs = 0;
    double processingMs = 0;
    std::uint64_t events = 0;  ///< received from the stalled call at the start
    bool sameUpstream = false; ///< only the way to it is another one
  };

  std::unique_ptr<UpstreamCall> mCall;
  std::optional<Replacement> mReplacement;
  std::unique_ptr<LoadReservation> mLoadReservation;
  bool mCallRepeats = false; ///< the call is one of mRepeatedSends
  base::TimePoint mSentAt{};
  base::TimePoint mReroutedAt{};
  base::TimePoint mLastInputAt{}; ///< of the call, or when it was sent
  double mQueuedAheadMs = 0;
  double mProcessingMs = 0;
  wire::ResponseHead mHead;
  bool mHeadReceived = false;
  bool mStreaming = false;
  CountedBuffer mBody;
  /** An error of an upstream, while the request is tried elsewhere. */
  std::optional<wire::ResponseHead> mKeptHead;
  CountedBuffer mKeptBody;
  /** The head shows that the body will not be forwarded. */
  bool mDiscardBody = false;
  std::size_t mDiscardedBytes = 0;
  wire::EventSplitter mEvents;
  std::optional<std::uint64_t> mLastEventId;
  /** The software that began the stream, once an event of it was received. */
  std::optional<peers::SoftwareTag> mOrigin;
  std::uint64_t mEventCount = 0;
  base::TimePoint mFirstByteAt{};
  bool mSurvivalReported = false; ///< its traits are cleared of crashes
  std::string mLastUpstream;
  http::InputTimer mDeadlineTimer;
  http::InputTimer mKeptTimer;  ///< until the kept answer must be given
  http::InputTimer mStallTimer; ///< detects a stall or delays a retry
  BackPressure mBackPressure;
};

} // namespace marigold::gateway
