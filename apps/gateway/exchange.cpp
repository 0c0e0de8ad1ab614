#include "apps/gateway/exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** The upstream's own answer at its deadline gets this long to arrive. */
constexpr base::Duration kDeadlineGrace = 120ms;
/** A VM that has no configuration gets one within this. */
constexpr base::Duration kNotReadyRetry = 500ms;
/** Another VM takes the caller's next connection at once. */
constexpr base::Duration kDrainingRetry = 50ms;
/** Targets above this belong to requests that can wait for others. */
constexpr base::Duration kPatientTarget = 3s;
/** A request is urgent work for the whole fleet after the route's rank. */
constexpr int kLowestUrgency = 9;
constexpr int kRanksPerTeamPriority = 3;

std::string
seconds(base::Duration aDuration)
{
  constexpr std::size_t kBufferSize = 32;
  std::array<char, kBufferSize> text{};
  std::snprintf(text.data(), text.size(), "%.3f", base::inSeconds(aDuration));
  return text.data();
}

} // namespace

LoadHold::LoadHold(std::shared_ptr<Upstream> aUpstream,
                   double aQueuedMs,
                   bool aPatient,
                   double aTokens)
  : mUpstream(std::move(aUpstream))
  , mQueuedMs(aQueuedMs)
  , mPatient(aPatient)
  , mTokens(aTokens)
{
  ++mUpstream->running;
  (mPatient ? mUpstream->patientMs : mUpstream->queuedMs) += mQueuedMs;
  mUpstream->memoryTokens += mTokens;
}

LoadHold::~LoadHold()
{
  firstToken();
  --mUpstream->running;
  mUpstream->memoryTokens -= mTokens;
}

void
LoadHold::firstToken()
{
  (mPatient ? mUpstream->patientMs : mUpstream->queuedMs) -= mQueuedMs;
  mQueuedMs = 0;
}

Exchange::Exchange(RequestPath& aPath,
                   std::shared_ptr<wire::CallerConnection> aCaller)
  : mPath(aPath)
  , mCaller(std::move(aCaller))
  , mCatalog(aPath.catalog.current())
  , mRequest(mCaller->request())
  , mHeaders(wire::endToEndHeaders(mRequest.headers))
  , mFacts(boundary::decodeRequest(mHeaders))
  , mBegan(mCaller->receivedAt())
{
}

void
Exchange::begin()
{
  mPath.open.insert(shared_from_this());
  if (mPath.refusesFrom && base::monotonicNow() > *mPath.refusesFrom) {
    refuse(Code::Draining, "the process stops", kDrainingRetry);
    return;
  }
  if (!mCatalog) {
    refuse(Code::NotReady, "no configuration yet", kNotReadyRetry);
    return;
  }
  if (!findRoute() || !authenticate()) {
    return;
  }
  if (endIfCallerLeft()) {
    return;
  }
  startClock();
  mFingerprint = base::toHex(std::to_string(base::hash64(
    mRequest.target + "\n" + (mTeam != nullptr ? mTeam->name : "") + "\n" +
    mRequest.body)));
  if (mPath.crashes.blocked(mFingerprint)) {
    refuse(Code::RequestBlocked, "ended several upstreams", {});
    return;
  }
  if (!takeQuota()) {
    return;
  }
  noteDemand();
  mCaller->onDisconnect([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      std::static_pointer_cast<Exchange>(self)->onCallerGone();
    }
  });
  dispatch();
}

bool
Exchange::findRoute()
{
  mRoute = mCatalog->routes.find(http::findHeader(mRequest.headers, "Host"),
                                 mRequest.target);
  if (mRoute == nullptr) {
    fail(Code::RouteUnknown, "no route for this host and path");
    return false;
  }
  const auto& name = catalog::pickService(*mRoute, base::hash64(mFacts.id, 1));
  const auto service = mCatalog->content.services.find(name);
  if (service == mCatalog->content.services.end()) {
    refuse(Code::NoUpstream, "service " + name + " is not declared", 1s);
    return false;
  }
  mService = &service->second;
  return true;
}

bool
Exchange::authenticate()
{
  if (!mCatalog->content.needsKeys || mRoute->open) {
    return true;
  }
  if (!mFacts.key) {
    fail(Code::KeyMissing, "no key");
    return false;
  }
  mTeam = mCatalog->keys.find(*mFacts.key);
  if (mTeam == nullptr) {
    fail(Code::KeyUnknown, "the key belongs to no team");
    return false;
  }
  return true;
}

void
Exchange::startClock()
{
  base::Duration limit = mRoute->timeout;
  if (mFacts.deadline) {
    limit = std::min(limit, *mFacts.deadline);
  }
  mEndsAt = mBegan + limit;
  const base::Duration left = mEndsAt + kDeadlineGrace - base::monotonicNow();
  mDeadline = mPath.loop.after(
    std::max(left, base::Duration::zero()), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        std::static_pointer_cast<Exchange>(self)->onDeadline();
      }
    });
}

bool
Exchange::takeQuota()
{
  if (mTeam == nullptr || mTeam->rate <= 0) {
    return true;
  }
  const bool counted = mTeam->countsTokens && mFacts.declaresTokens;
  const double cost =
    counted ? static_cast<double>(mFacts.promptTokens) + mFacts.maxOutputTokens
            : mTeam->defaultCost;
  const auto decision =
    mPath.quota.admit(mTeam->name, cost, base::monotonicNow());
  if (!decision.admitted) {
    refuse(Code::RateExceeded,
           "level " + std::to_string(mPath.quota.level(mTeam->name)) +
             " cost " + std::to_string(cost),
           decision.retryAfter);
    return false;
  }
  mCost = cost;
  return true;
}

void
Exchange::returnQuota()
{
  if (mCost > 0) {
    mPath.quota.refund(mTeam->name, mCost);
    mCost = 0;
  }
}

void
Exchange::noteDemand()
{
  const base::TimePoint now = base::monotonicNow();
  mPath.retries.onRequest(mService->name, now);
  if (!isEngineCall()) {
    return;
  }
  // A token of output costs less than one of the prompt is long, because a
  // step of the batch makes one for each running request.
  constexpr double kOutputWeight = 2;
  const double tokens = mFacts.promptTokens + kOutputWeight * outputTokens();
  mPath.demand.add(
    *mFacts.model, tokens * mPath.work.msPerToken(mFacts.model->model), now);
}

base::Duration
Exchange::timeLeft() const
{
  return mEndsAt - base::monotonicNow();
}

bool
Exchange::isPatient() const
{
  return mRoute->targetLatency > kPatientTarget;
}

int
Exchange::urgency() const
{
  const int team = mTeam != nullptr && mTeam->priority ? *mTeam->priority : 0;
  const int rank =
    team * kRanksPerTeamPriority + mRoute->priority + (isPatient() ? 1 : 0);
  return std::clamp(rank, 0, kLowestUrgency);
}

std::uint32_t
Exchange::outputTokens() const
{
  return mFacts.expectedOutputTokens > 0
           ? std::min(mFacts.expectedOutputTokens, mFacts.maxOutputTokens)
           : mFacts.maxOutputTokens;
}

bool
Exchange::partPassedOn() const
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
    refuse(Code::Draining, "the process stops", kDrainingRetry);
    return;
  }
  fail(Code::UpstreamTimeout, "the process stops");
}

void
Exchange::onCallerGone()
{
  if (mEnded) {
    return;
  }
  const bool finishesAlone =
    mRoute->kind == catalog::RequestKind::Once && mCall && mCall->sent();
  if (finishesAlone) {
    // A booking that has begun is not broken off before its deadline; its
    // answer goes nowhere.
    mCallerLeft = true;
    mBody.clear();
    mThrottle.reset();
    mCall->pauseReading(false);
    mCaller->onDisconnect(nullptr);
    mPath.log.step(
      mFacts.id, "caller left", mLastUpstream, "runs on", base::monotonicNow());
    return;
  }
  if (!mayHaveRun()) {
    returnQuota();
  }
  finish(Code::CallerLeft, 0, "caller left");
}

/** @return true if the request ended, because nobody waits for its answer */
bool
Exchange::endIfCallerLeft()
{
  if (!mCaller->abandoned()) {
    return false;
  }
  if (!mayHaveRun()) {
    returnQuota();
  }
  // Its reading may be paused, so that its end would never be read.
  mCaller->abort();
  finish(Code::CallerLeft, 0, "caller left before a send");
  return true;
}

void
Exchange::onDeadline()
{
  if (mEnded) {
    return;
  }
  if (mCallerLeft) {
    finish(Code::CallerLeft, 0, "no complete answer before the deadline");
    return;
  }
  if (!mayHaveRun()) {
    refuse(Code::DeadlineUnreachable, "not sent before the deadline", {});
    return;
  }
  fail(Code::UpstreamTimeout, "no complete answer before the deadline");
}

void
Exchange::refuse(Code aCode,
                 const std::string& aDetail,
                 base::Duration aRetryAfter)
{
  returnQuota();
  if (mCaller->responseStarted()) {
    mCaller->abort();
    finish(aCode, 0, aDetail);
    return;
  }
  const base::CodeInfo& info = base::codeInfo(aCode);
  http::Headers headers{ { "Marigold-Outcome", "not-run" },
                         { "Marigold-Code", std::string(info.name) } };
  if (!mFacts.id.empty()) {
    headers.emplace_back(boundary::kRequestIdHeader, mFacts.id);
  }
  if (aRetryAfter > base::Duration::zero()) {
    headers.emplace_back("Retry-After", seconds(aRetryAfter));
  }
  mCaller->reply(info.httpStatus, headers, {});
  finish(aCode, info.httpStatus, aDetail);
}

void
Exchange::fail(Code aCode, const std::string& aDetail)
{
  if (mCaller->responseStarted()) {
    mCaller->abort();
    finish(aCode, 0, aDetail);
    return;
  }
  const base::CodeInfo& info = base::codeInfo(aCode);
  http::Headers headers{ { "Marigold-Outcome",
                           std::string(base::outcomeName(info.outcome)) },
                         { "Marigold-Code", std::string(info.name) } };
  if (!mFacts.id.empty()) {
    headers.emplace_back(boundary::kRequestIdHeader, mFacts.id);
  }
  mCaller->reply(info.httpStatus, headers, {});
  finish(aCode, info.httpStatus, aDetail);
}

void
Exchange::finish(Code aCode, int aStatus, const std::string& aDetail)
{
  const auto self = shared_from_this();
  mEnded = true;
  mPath.open.erase(self);
  endCall();
  mDeadline.reset();
  mThrottle.reset();
  mCaller->onDisconnect(nullptr);
  const base::TimePoint now = base::monotonicNow();
  RequestSummary summary;
  summary.id = mFacts.id;
  summary.route = mRoute != nullptr ? mRoute->name : "";
  summary.kind =
    mRoute != nullptr ? std::string(catalog::kindName(mRoute->kind)) : "none";
  summary.team = mTeam != nullptr ? mTeam->name : "";
  summary.model = mFacts.model ? mFacts.model->text() : "";
  summary.upstream = mLastUpstream;
  summary.outcome = std::string(base::codeInfo(aCode).name);
  summary.detail = aDetail;
  summary.catalog = mCatalog ? mCatalog->content.version : 0;
  summary.status = aStatus;
  summary.sends = mSends;
  summary.events = mEventCount;
  summary.taken = now - mBegan;
  if (mFirstByteAt != base::TimePoint{}) {
    summary.firstByte = mFirstByteAt - mBegan;
  }
  summary.targetLatency =
    mRoute != nullptr ? mRoute->targetLatency : base::Duration{};
  mPath.log.ended(summary, now);
}

} // namespace marigold::gateway
