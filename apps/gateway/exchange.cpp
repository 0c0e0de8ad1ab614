#include "apps/gateway/exchange.h"

#include "apps/gateway/own_response.h"
#include "apps/gateway/upstream_notes.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** A VM without a configuration receives one within this time. */
constexpr base::Duration kNotReadyRetryDelay = 500ms;
/** Of a request that states none, while its route is not known. */
constexpr base::Duration kUnknownDeadline = 1s;
/** Short, because another VM accepts the caller's next connection at once. */
constexpr base::Duration kDrainingRetryDelay = 50ms;
/** Other bodies are answered in about this time. */
constexpr base::Duration kMemoryRetryDelay = 1s;
/** Requests with a longer latency target yield to other requests. */
constexpr base::Duration kLowPriorityTarget = 3s;
/** Engines order requests by a priority from 0 (highest) to 9. */
constexpr int kLowestEnginePriority = 9;
constexpr int kLevelsPerTeamPriority = 3;
/** A caller that takes up a stream has waited longer for its next event. */
constexpr base::Duration kMaxQuotaWait = 500ms;
constexpr std::uint64_t kStreamSeed = 13;

std::string
formatSeconds(base::Duration aDuration)
{
  constexpr std::size_t kBufferSize = 32;
  std::array<char, kBufferSize> text{};
  std::snprintf(text.data(), text.size(), "%.3f", base::inSeconds(aDuration));
  return text.data();
}

std::string
makeRequestId(base::Random& aRandom)
{
  constexpr std::size_t kBufferSize = 17;
  std::array<char, kBufferSize> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, aRandom.bits());
  return text.data();
}

} // namespace

LoadReservation::LoadReservation(std::shared_ptr<Upstream> aUpstream,
                                 double aQueuedMs,
                                 bool aLowPriority,
                                 double aTokens)
  : mUpstream(std::move(aUpstream))
  , mQueuedMs(aQueuedMs)
  , mLowPriority(aLowPriority)
  , mTokens(aTokens)
{
  ++mUpstream->running;
  (mLowPriority ? mUpstream->lowPriorityMs : mUpstream->queuedMs) += mQueuedMs;
  mUpstream->memoryTokens += mTokens;
}

LoadReservation::~LoadReservation()
{
  releaseQueueTime();
  --mUpstream->running;
  mUpstream->memoryTokens -= mTokens;
}

void
LoadReservation::releaseQueueTime()
{
  (mLowPriority ? mUpstream->lowPriorityMs : mUpstream->queuedMs) -= mQueuedMs;
  mQueuedMs = 0;
}

Exchange::Exchange(RequestContext& aContext,
                   std::shared_ptr<wire::CallerConnection> aCaller)
  : mContext(aContext)
  , mCaller(std::move(aCaller))
  , mCatalog(aContext.catalog.current())
  , mRequest(mCaller->takeRequest())
  , mRequestCharge(aContext.memory)
  , mHeaders(wire::endToEndHeaders(mRequest.headers))
  , mMetadata(boundary::decodeRequest(mHeaders))
  , mChatCall(mMetadata.model ? chat::Call::None
                              : chat::callOf(mRequest.target))
  , mReceivedAt(mCaller->receivedAt())
  , mBody(aContext.bufferedAnswerBytes, aContext.memory)
  , mKeptBody(aContext.bufferedAnswerBytes, aContext.memory)
  , mBackPressure(aContext.loop,
                  aContext.memory,
                  mCaller,
                  [this](bool aPaused) {
                    if (mCall) {
                      mCall->pauseReading(aPaused);
                    }
                  })
{
  if (mChatCall != chat::Call::None && mMetadata.id.empty()) {
    mMetadata.id = makeRequestId(mContext.random);
    mCaller->addRequestHeader(boundary::kRequestIdHeader, mMetadata.id);
  }
  mRequestCharge.set(mRequest.body.size());
}

void
Exchange::start()
{
  mContext.openRequests.insert(shared_from_this());
  if (mCaller->bodyRefused()) {
    refuseForMemory("for the body");
    return;
  }
  if (mContext.refuseAfter && base::monotonicNow() > *mContext.refuseAfter) {
    refuse(Code::Draining, "the process is stopping", kDrainingRetryDelay);
    return;
  }
  mCaller->onDisconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      std::static_pointer_cast<Exchange>(self)->onCallerDisconnected();
    }
  });
  admit();
}

void
Exchange::refuseForMemory(const std::string& aPurpose)
{
  refuse(Code::Overloaded,
         "no memory " + aPurpose + ", " +
           std::to_string(mContext.memory.used()) + " bytes held",
         kMemoryRetryDelay);
}

void
Exchange::admit()
{
  mCatalog = mContext.catalog.current();
  if (!mCatalog) {
    if (!hold(&Exchange::admit, "no configuration yet")) {
      refuse(Code::NotReady, "no configuration yet", kNotReadyRetryDelay);
    }
    return;
  }
  if (!findRoute() || !authenticate() || !acceptChat()) {
    return;
  }
  if (endIfCallerDisconnected()) {
    return;
  }
  startDeadlineTimer();
  mTraits = dispatch::makeTraits(
    mRequest.target + "\n" + (mTeam != nullptr ? mTeam->name : "") + "\n" +
      (mMetadata.model ? mMetadata.model->text() : "") + "\n" + mRequest.body,
    mMetadata.prompt);
  if (refuseIfBlocked()) {
    return;
  }
  findOrigin();
}

/** Finds the software that began the stream which the caller takes up. */
void
Exchange::findOrigin()
{
  const bool takesUp =
    mRoute->resumableStream() &&
    (mMetadata.lastEventId || !mMetadata.firstAttempt.empty());
  if (!takesUp) {
    admitByQuota();
    return;
  }
  mContext.streams.find(
    mMetadata.firstAttempt.empty() ? std::nullopt : std::optional(streamId()),
    mService->name,
    [weak = weak_from_this()](std::optional<peers::SoftwareTag> aOrigin) {
      const auto self = std::static_pointer_cast<Exchange>(weak.lock());
      if (self && !self->mEnded) {
        self->continueStream(aOrigin);
      }
    });
}

void
Exchange::continueStream(std::optional<peers::SoftwareTag> aOrigin)
{
  mContext.log.logStep(mMetadata.id,
                       "takes up a stream",
                       "",
                       "of " + mMetadata.firstAttempt + ", software " +
                         (aOrigin ? std::to_string(*aOrigin) : "unknown"),
                       base::monotonicNow());
  const bool known = aOrigin && *aOrigin != peers::kUnknownSoftware;
  if (!known && !mMetadata.lastEventId) {
    admitByQuota(); // Its caller has no event and takes the whole stream.
    return;
  }
  if (!known) {
    refuse(Code::NoUpstream, "the software of the stream is not known", {});
    return;
  }
  mOrigin = aOrigin;
  admitByQuota();
}

/** @return the stream that the request begins or takes up */
peers::StreamId
Exchange::streamId() const
{
  return base::hash64(firstAttempt(), kStreamSeed);
}

/** @return id of the caller's attempt that brought, or may bring, the first
 * event */
const std::string&
Exchange::firstAttempt() const
{
  return mMetadata.firstAttempt.empty() ? mMetadata.id : mMetadata.firstAttempt;
}

void
Exchange::admitByQuota()
{
  if (!followConfiguration() || !chargeQuota()) {
    return;
  }
  recordDemand();
  dispatch();
}

/** Holds a request that this process cannot admit yet because it has just
 * started. @param aNext step to repeat @return false if it must be refused */
bool
Exchange::hold(AdmissionStep aNext, const char* aReason)
{
  const base::TimePoint now = base::monotonicNow();
  const base::TimePoint deadline =
    mDeadlineAt != base::TimePoint{}
      ? mDeadlineAt
      : mReceivedAt + mMetadata.deadline.value_or(kUnknownDeadline);
  const auto delay =
    mContext.startGate.hold(mReceivedAt, deadline, mContext.random.unit(), now);
  if (!delay) {
    return false;
  }
  if (!mHoldLogged) {
    mHoldLogged = true;
    mContext.log.logStep(
      mMetadata.id, "held by a new process", "", aReason, now);
  }
  repeatAfter(*delay, aNext);
  return true;
}

void
Exchange::repeatAfter(base::Duration aDelay, AdmissionStep aNext)
{
  mStallTimer.start(
    mContext.loop, aDelay, nullptr, [weak = weak_from_this(), aNext] {
      const auto self = std::static_pointer_cast<Exchange>(weak.lock());
      if (self && !self->mEnded && !self->endIfCallerDisconnected()) {
        ((*self).*aNext)();
      }
    });
}

/** Lets a take-up wait for units that its team will have soon. A refusal would
 * end the stream for a caller that can't come back once more.
 * @return false if it must be refused */
bool
Exchange::waitForQuota(base::Duration aDelay)
{
  const base::TimePoint now = base::monotonicNow();
  const base::TimePoint latest =
    std::min(mReceivedAt + kMaxQuotaWait, mDeadlineAt);
  if (now + aDelay > latest) {
    return false;
  }
  if (!mQuotaWaitLogged) {
    mQuotaWaitLogged = true;
    mContext.log.logStep(
      mMetadata.id, "take-up waits for the quota", "", mTeam->name, now);
  }
  repeatAfter(aDelay, &Exchange::admitByQuota);
  return true;
}

bool
Exchange::findRoute()
{
  mRoute = mCatalog->routes->find(http::findHeader(mRequest.headers, "Host"),
                                  mRequest.target);
  if (mRoute == nullptr) {
    fail(Code::RouteUnknown, "no route for this host and path");
    return false;
  }
  const auto& name =
    catalog::pickService(*mRoute, base::hash64(firstAttempt(), 1));
  const auto service = mCatalog->content.services->find(name);
  if (service == mCatalog->content.services->end()) {
    refuse(Code::NoUpstream, "service " + name + " is not declared", 1s);
    return false;
  }
  mService = &service->second;
  return true;
}

bool
Exchange::authenticate()
{
  mTeamCatalog = mContext.catalog.current();
  if (!mTeamCatalog->content.requiresApiKeys || mRoute->isPublic) {
    mTeam = nullptr;
    return true;
  }
  if (!mMetadata.apiKey) {
    fail(Code::KeyMissing, "the request has no API key");
    return false;
  }
  mTeam = mTeamCatalog->keys->find(*mMetadata.apiKey);
  if (mTeam == nullptr) {
    fail(Code::KeyUnknown, "the API key belongs to no team");
    return false;
  }
  return true;
}

/** The quota knows the teams of the current configuration only, and admits
 * others without a limit. @return false if the request has ended, because its
 * team left while it was held */
bool
Exchange::followConfiguration()
{
  return mTeamCatalog == mContext.catalog.current() || authenticate();
}

void
Exchange::startDeadlineTimer()
{
  base::Duration limit = mRoute->timeout;
  if (mMetadata.deadline) {
    limit = std::min(limit, *mMetadata.deadline);
  }
  mDeadlineAt = mReceivedAt + limit;
  const base::Duration untilTimeout =
    mDeadlineAt + kDeadlineGrace - base::monotonicNow();
  mDeadlineTimer.start(
    mContext.loop,
    std::max(untilTimeout, base::Duration::zero()),
    [this] { return inputCount(); },
    [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        std::static_pointer_cast<Exchange>(self)->onDeadline();
      }
    });
  mCaller->expectEndBy(mDeadlineAt + kDeadlineGrace);
}

bool
Exchange::chargeQuota()
{
  if (mTeam == nullptr || mTeam->rate <= 0) {
    return true;
  }
  const bool counted = mTeam->countsTokens && mMetadata.hasTokenCounts;
  const double cost = counted ? static_cast<double>(mMetadata.promptTokens) +
                                  mMetadata.maxOutputTokens
                              : mTeam->defaultCost;
  const quota::Ask ask =
    std::exchange(mAskedForQuota, true) ? quota::Ask::Again : quota::Ask::First;
  const bool takesUp = mRoute->resumableStream() && mMetadata.lastEventId;
  const auto claim = takesUp ? quota::Claim::TakeUp : quota::Claim::New;
  const auto decision =
    mContext.quota.admit(mTeam->name, cost, base::monotonicNow(), ask, claim);
  if (!decision.admitted) {
    if (hold(&Exchange::admitByQuota, "quota") ||
        (takesUp && waitForQuota(decision.retryAfter))) {
      return false;
    }
    refuse(Code::RateExceeded,
           "cost " + std::to_string(std::llround(cost)) + ", missing " +
             std::to_string(std::llround(decision.missing)) +
             (decision.beyondPart ? " in the part of this VM, " : ", ") +
             quota::describe(mContext.quota.account(mTeam->name)),
           decision.retryAfter);
    return false;
  }
  mCost = cost;
  return true;
}

void
Exchange::refundQuota()
{
  if (mCost > 0) {
    mContext.quota.refund(mTeam->name, mCost);
    mCost = 0;
  }
}

void
Exchange::recordDemand()
{
  const base::TimePoint now = base::monotonicNow();
  mContext.retries.onRequest(mService->name, now);
  if (!isEngineCall()) {
    return;
  }
  // Cost of an output token relative to a prompt token. Decoding costs less
  // than its latency suggests, because one step of the batch produces a token
  // for each running request.
  constexpr double kOutputWeight = 2;
  const double tokens = mMetadata.promptTokens + kOutputWeight * outputTokens();
  mContext.demand.add(*mMetadata.model,
                      tokens *
                        mContext.latency.msPerToken(mMetadata.model->model),
                      now);
}

/** @return true if the request ended because it, or a part of its prompt,
 * crashes upstreams */
bool
Exchange::refuseIfBlocked()
{
  const dispatch::CrashVerdict* verdict = mContext.crashes.verdictOn(mTraits);
  if (verdict == nullptr) {
    return false;
  }
  const bool mayBeTried =
    !mayHaveRun() && !mCall &&
    mContext.crashes.mayTry(mTraits, base::monotonicNow());
  if (mayBeTried) {
    return false;
  }
  const std::string detail =
    "blocked after it crashed " + std::to_string(verdict->crashes.size()) +
    " upstreams" + (verdict->certain() ? "" : ", uncertain");
  if (mCall && mCall->sent() && mLoadReservation) {
    // The upstream may crash on it nevertheless. The verdict may end here.
    mContext.crashes.onRequestWithdrawn(
      mTraits, mLoadReservation->upstream()->process(), base::monotonicNow());
  }
  if (mayHaveRun()) {
    fail(Code::UpstreamFailed, detail);
  } else {
    refuse(Code::RequestBlocked, detail, {});
  }
  return true;
}

void
Exchange::endIfBlocked()
{
  if (!mEnded && !hasBegunToAnswer(base::monotonicNow())) {
    refuseIfBlocked();
  }
}

base::Duration
Exchange::remainingTime() const
{
  return mDeadlineAt - base::monotonicNow();
}

std::optional<http::InputCount>
Exchange::inputCount() const
{
  return mCall ? std::optional(mCall->inputCount()) : std::nullopt;
}

bool
Exchange::isLowPriority() const
{
  return mRoute->targetLatency > kLowPriorityTarget;
}

int
Exchange::enginePriority() const
{
  const int team = mTeam != nullptr && mTeam->priority ? *mTeam->priority : 0;
  const int rank = team * kLevelsPerTeamPriority + mRoute->priority +
                   (isLowPriority() ? 1 : 0);
  return std::clamp(rank, 0, kLowestEnginePriority);
}

std::uint32_t
Exchange::outputTokens() const
{
  return mMetadata.expectedOutputTokens > 0
           ? std::min(mMetadata.expectedOutputTokens, mMetadata.maxOutputTokens)
           : mMetadata.maxOutputTokens;
}

bool
Exchange::isPartiallyForwarded() const
{
  return mCaller->responseStarted() && mEventCount == 0;
}

void
Exchange::retry()
{
  if (!mEnded && !mCall) {
    dispatch();
  }
}

void
Exchange::shutdown()
{
  if (mEnded) {
    return;
  }
  if (!mayHaveRun()) {
    refuse(Code::Draining, "the process is stopping", kDrainingRetryDelay);
    return;
  }
  fail(Code::UpstreamTimeout, "the process is stopping");
}

void
Exchange::onCallerDisconnected()
{
  if (mEnded) {
    return;
  }
  const bool finishesAlone =
    mCall && mCall->sent() && mRoute->kind == catalog::RequestKind::AtMostOnce;
  if (finishesAlone) {
    // A non-idempotent request that was sent is not cancelled before its
    // deadline; its response is discarded.
    mCallerDisconnected = true;
    mLeftStatus = leaveCaller();
    mBody.clear();
    mBackPressure.reset();
    mCall->pauseReading(false);
    mCaller->onDisconnect(nullptr);
    mContext.log.logStep(mMetadata.id,
                         "caller left",
                         mLastUpstream,
                         "the call continues",
                         base::monotonicNow());
    return;
  }
  if (!mayHaveRun()) {
    // The caller may have closed its sending side only.
    refuse(Code::CallerLeft, "caller left", {});
    return;
  }
  finish(Code::CallerLeft, leaveCaller(), "caller left");
}

/** Answers a caller that has left, or closed its sending side only, and whose
 * request may have run. @return status of the response, 0 if none is sent */
int
Exchange::leaveCaller()
{
  if (mCaller->finished() || mCaller->responseStarted()) {
    return 0;
  }
  const wire::FallbackResponse response = unknownOutcomeResponse(mMetadata.id);
  // The call may go on and must not refer to a later request.
  mCaller->closeAfterResponse();
  mCaller->reply(response.status, response.headers, {});
  return response.status;
}

/** @return true if the request ended because its caller disconnected */
bool
Exchange::endIfCallerDisconnected()
{
  if (!mCaller->abandoned()) {
    return false;
  }
  if (!mayHaveRun()) {
    refuse(Code::CallerLeft, "caller left before the request was sent", {});
    return true;
  }
  // Reading from the caller may be paused, which would hide the disconnect.
  const int status = leaveCaller();
  mCaller->abort();
  finish(Code::CallerLeft, status, "caller left before the request was sent");
  return true;
}

void
Exchange::onDeadline()
{
  if (mEnded) {
    return;
  }
  if (mCallerDisconnected) {
    finish(
      Code::CallerLeft, mLeftStatus, "no complete answer before the deadline");
    return;
  }
  if (!mayHaveRun()) {
    refuse(Code::DeadlineUnreachable, "not sent before the deadline", {});
    return;
  }
  if (mEventCount == 0) {
    recordService(mContext, mLoadReservation.get(), dispatch::Service::Failed);
  }
  fail(Code::UpstreamTimeout, "no complete answer before the deadline");
}

void
Exchange::refuse(Code aCode,
                 const std::string& aDetail,
                 base::Duration aRetryAfter)
{
  if (deliverKept(aDetail)) {
    return;
  }
  refundQuota();
  endWithError(aCode, base::Outcome::NotRun, aDetail, aRetryAfter);
}

void
Exchange::fail(Code aCode, const std::string& aDetail)
{
  endWithError(aCode, base::codeInfo(aCode).outcome, aDetail, {});
}

void
Exchange::endWithError(Code aCode,
                       base::Outcome aOutcome,
                       const std::string& aDetail,
                       base::Duration aRetryAfter)
{
  if (deliverKept(aDetail)) {
    return;
  }
  if (mCallerDisconnected) {
    finish(Code::CallerLeft, mLeftStatus, aDetail);
    return;
  }
  if (mCaller->responseStarted()) {
    if (mChatCall != chat::Call::None) {
      mCaller->sendChunk(chat::errorEvent(aCode));
    }
    mCaller->abort();
    finish(aCode, 0, aDetail);
    return;
  }
  const base::CodeInfo& info = base::codeInfo(aCode);
  http::Headers headers = outcomeHeaders(aCode, aOutcome, mMetadata.id);
  if (aRetryAfter > base::Duration::zero()) {
    headers.emplace_back("Retry-After", formatSeconds(aRetryAfter));
  }
  std::string body;
  if (mChatCall != chat::Call::None) {
    headers.emplace_back("Content-Type", chat::kJsonType);
    // Other details are figures of this fleet, for its operators.
    const bool callersFault =
      aCode == Code::BadRequest || aCode == Code::ModelUnknown;
    body = chat::errorBody(aCode, callersFault ? aDetail : "");
  }
  mCaller->reply(info.httpStatus, headers, body);
  finish(aCode, info.httpStatus, aDetail);
}

void
Exchange::finish(Code aCode, int aStatus, const std::string& aDetail)
{
  const auto self = shared_from_this();
  mEnded = true;
  mContext.openRequests.erase(self);
  endCall();
  mDeadlineTimer.reset();
  mKeptTimer.reset();
  mBackPressure.reset();
  mCaller->onDisconnect(nullptr);
  base::freeText(mRequest.body);
  mRequestCharge.set(0);
  const base::TimePoint now = base::monotonicNow();
  RequestSummary summary;
  summary.id = mMetadata.id;
  summary.route = mRoute != nullptr ? mRoute->name : "";
  summary.kind =
    mRoute != nullptr ? std::string(catalog::kindName(mRoute->kind)) : "none";
  summary.team = mTeam != nullptr ? mTeam->name : "";
  summary.model = mMetadata.model ? mMetadata.model->text() : "";
  summary.upstream = mLastUpstream;
  summary.outcome = std::string(base::codeInfo(aCode).name);
  summary.detail = aDetail;
  summary.catalog = mCatalog ? mCatalog->content.version : 0;
  summary.status = aStatus;
  summary.sends = mSends;
  summary.events = mEventCount;
  summary.promptTokens = mMetadata.promptTokens;
  summary.duration = now - mReceivedAt;
  if (mFirstByteAt != base::TimePoint{}) {
    summary.firstByte = mFirstByteAt - mReceivedAt;
  }
  summary.targetLatency =
    mRoute != nullptr ? mRoute->targetLatency : base::Duration{};
  mContext.log.logEnd(summary, now);
}

} // namespace marigold::gateway
