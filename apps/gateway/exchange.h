/** @file The way of one request from its caller to an upstream and back. */
#pragma once

#include "apps/gateway/request_path.h"
#include "wire/wire.h"

namespace marigold::gateway {

/** Work of one request at an upstream, counted while it lasts. */
class LoadHold
{
public:
  LoadHold(std::shared_ptr<Upstream> aUpstream,
           double aQueuedMs,
           bool aPatient,
           double aTokens);
  ~LoadHold();
  LoadHold(const LoadHold&) = delete;
  LoadHold& operator=(const LoadHold&) = delete;

  /** The prompt was read; only memory and a slot are still taken. */
  void firstToken();

  const std::shared_ptr<Upstream>& upstream() const { return mUpstream; }

private:
  std::shared_ptr<Upstream> mUpstream;
  double mQueuedMs;
  bool mPatient;
  double mTokens;
};

/**
 * Serves one request. It ends with exactly one answer to the caller, or with an
 * aborted connection once a part of an answer was sent.
 */
class Exchange
  : public Waiter
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(RequestPath& aPath, std::shared_ptr<wire::CallerConnection> aCaller);

  /** Admits the request and starts its way. */
  void begin();

  /** Tries again after an upstream may have changed. */
  void retry() override;

  /** Answers the caller now: refused if nothing was sent, else failed. */
  void shutdown() override;

private:
  /** Most unreachable upstreams that one request tries. */
  static constexpr unsigned kMostUnreachable = 4;

  // Admission.
  bool findRoute();
  bool authenticate();
  bool takeQuota();
  void returnQuota();
  void startClock();
  void noteDemand();

  // Choice of an upstream.
  void dispatch();
  dispatch::Need need() const;
  std::vector<dispatch::Candidate> candidates(
    std::vector<std::shared_ptr<Upstream>>& aUpstreams) const;
  dispatch::Candidate describe(const Upstream& aUpstream) const;
  void waitForModel();
  std::optional<base::Duration> timeToLoad() const;
  bool worthSending(const dispatch::Choice& aChoice);

  // One call.
  void send(const std::shared_ptr<Upstream>& aUpstream);
  using MakeBytes =
    std::optional<std::string> (Exchange::*)(const base::UpstreamName&);
  using OnFailed = void (Exchange::*)(wire::CallFailure);
  std::unique_ptr<wire::PooledCall> startCall(
    const std::shared_ptr<Upstream>& aUpstream,
    MakeBytes aMakeBytes,
    OnFailed aOnFailed);
  void adopt(const std::shared_ptr<Upstream>& aUpstream,
             std::unique_ptr<wire::PooledCall> aCall);
  std::optional<std::string> outgoing(const base::UpstreamName& aUpstream);
  void onWithheld();
  void onHead(const wire::ResponseHead& aHead);
  void onBody(std::string_view aBytes);
  void onComplete();
  void onFailed(wire::CallFailure aFailure);
  void onRefused(const boundary::AnswerFacts& aFacts);
  void onSpoiled(const char* aReason);
  bool rejectAnswer();
  void retryElsewhere(const char* aReason);
  bool attemptsLeft() const;
  bool mayRetry();
  void lookAgain();
  void armSilence();
  void watchSilence(base::Duration aLimit);
  void onSilence(base::Duration aLimit);
  bool moveElsewhere();
  std::optional<std::string> takeOver(const base::UpstreamName& aUpstream);
  void onReplacementFailed(wire::CallFailure aFailure);
  void noteUnreachable(const base::UpstreamName& aUpstream);
  void endCall();

  // The answer.
  void onEvents(std::string_view aBytes);
  void deliverEvents(const std::vector<wire::StreamEvent>& aEvents);
  void deliverWhole();
  void throttle();
  void fail(base::Code aCode, const std::string& aDetail);
  void refuse(base::Code aCode,
              const std::string& aDetail,
              base::Duration aRetryAfter);
  void finish(base::Code aCode, int aStatus, const std::string& aDetail);
  void onCallerGone();
  bool endIfCallerLeft();
  void onDeadline();

  bool isEngineCall() const { return mFacts.model.has_value(); }
  bool mayHaveRun() const { return mUnresolved > 0; }
  /** @return true if the caller has a part of an answer that is no stream,
   * which no other answer can continue */
  bool partPassedOn() const;
  bool isPatient() const;
  int urgency() const;
  base::Duration timeLeft() const;
  std::uint32_t outputTokens() const;

  RequestPath& mPath;
  std::shared_ptr<wire::CallerConnection> mCaller;
  std::shared_ptr<const LiveCatalog> mCatalog;
  wire::Request mRequest;
  http::Headers mHeaders; ///< end-to-end headers of the caller
  catalog::RequestFacts mFacts;
  const catalog::Route* mRoute = nullptr;
  const catalog::Team* mTeam = nullptr;
  const catalog::Service* mService = nullptr;
  base::TimePoint mBegan{};
  base::TimePoint mEndsAt{};
  double mCost = 0;
  std::string mFingerprint;

  std::set<base::UpstreamName> mTried;
  unsigned mSends = 0;
  unsigned mUnreachable = 0;
  unsigned mUnresolved = 0; ///< sends after which the request may have run
  bool mWaited = false;
  bool mSilenceNoted = false;
  bool mTurnedAway = false; ///< since the last look or call
  bool mEnded = false;
  bool mCallerLeft = false; ///< the call runs on without a caller

  /** A call that takes over from a silent one at the moment of its write. */
  struct Replacement
  {
    std::shared_ptr<Upstream> upstream;
    std::unique_ptr<wire::PooledCall> call;
    double queuedAhead = 0;
    double ownMs = 0;
    std::uint64_t events = 0; ///< of the silent call so far
  };

  std::unique_ptr<wire::PooledCall> mCall;
  std::optional<Replacement> mNext;
  std::unique_ptr<LoadHold> mHold;
  base::TimePoint mSentAt{};
  double mQueuedAhead = 0;
  double mOwnMs = 0;
  wire::ResponseHead mHead;
  bool mHeadSeen = false;
  bool mStreaming = false;
  std::string mBody;
  wire::EventSplitter mEvents;
  std::optional<std::uint64_t> mLastEventId;
  std::uint64_t mEventCount = 0;
  base::TimePoint mFirstByteAt{};
  std::string mLastUpstream;
  http::EventHandle mDeadline;
  http::EventHandle mSilence;
  http::EventHandle mThrottle;
};

} // namespace marigold::gateway
