#include "apps/gateway/exchange.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

constexpr base::Duration kLeastTimeLeft = 10ms;
/** Load that an upstream told is used for this long. */
constexpr base::Duration kToldLoadAge = 400ms;
/** Delay and price of the way, as the time that a caller would accept for it.
 */
constexpr double kSameRegionMs = 2;
constexpr double kOtherRegionMs = 60;
/** A choice may start this part of its target late before it is refused. */
constexpr double kTargetUse = 0.9;
/** Below this queue nothing is refused, because estimates are coarse. */
constexpr base::Duration kShortQueue = 250ms;
/** An order reaches its engine and the result this VM within this. */
constexpr base::Duration kOrderDelay = 600ms;
constexpr base::Duration kOverloadRetry = 400ms;
/** A request that was turned away this often beside its attempts met an
 * overload that outlasts it. */
constexpr unsigned kMostFruitlessSends = 3;

} // namespace

dispatch::Candidate
Exchange::describe(const Upstream& aUpstream) const
{
  const catalog::UpstreamRecord& record = aUpstream.record;
  const peers::UpstreamLoad others = mPath.peers.loadOf(record.name);
  const base::TimePoint now = base::monotonicNow();
  dispatch::Candidate candidate;
  candidate.slots = record.slots;
  candidate.running = aUpstream.running + others.running;
  if (now - aUpstream.toldAt < kToldLoadAge) {
    candidate.running = std::max(
      candidate.running, aUpstream.told.running + aUpstream.told.waiting);
  }
  if (isEngineCall() && mService->engine) {
    candidate.queuedMs = aUpstream.queuedMs + others.queuedMs;
    if (isPatient()) {
      candidate.queuedMs += aUpstream.patientMs + others.patientMs;
    }
    candidate.memoryTokens = aUpstream.memoryTokens + others.memoryTokens;
    candidate.memoryLimit = static_cast<double>(mService->engine->kvTokens);
    const std::uint32_t cached =
      std::min(mFacts.promptTokens,
               mPath.prefixes.cachedTokens(
                 record.name, mFacts.model->text(), mFacts.prompt));
    candidate.ownMs = (mFacts.promptTokens - cached) *
                      mPath.work.msPerToken(mFacts.model->model);
  } else {
    const double serviceMs = static_cast<double>(
      base::inMilliseconds(mPath.work.serviceTime(mService->name)));
    candidate.queuedMs = candidate.running * serviceMs / record.slots;
    candidate.ownMs = serviceMs;
  }
  if (record.dataCentre != mPath.settings.dataCentre) {
    candidate.linkMs = sameRegion(mPath.settings, record.dataCentre)
                         ? kSameRegionMs
                         : kOtherRegionMs;
  }
  candidate.failureRate = mPath.health.failureRate(record.name);
  candidate.ejected = mPath.health.ejected(record.name, now);
  return candidate;
}

dispatch::Need
Exchange::need() const
{
  dispatch::Need need;
  need.tokens = isEngineCall() ? mFacts.promptTokens + outputTokens() : 0;
  return need;
}

std::vector<dispatch::Candidate>
Exchange::candidates(std::vector<std::shared_ptr<Upstream>>& aUpstreams) const
{
  std::vector<dispatch::Candidate> found;
  const base::TimePoint now = base::monotonicNow();
  for (const auto& [name, upstream] : mPath.upstreams.all()) {
    if (upstream->record.service != mService->name || !upstream->usable() ||
        mTried.contains(name)) {
      continue;
    }
    if (isEngineCall() && mService->engine &&
        !mPath.upstreams.holds(*upstream, *mFacts.model, now)) {
      continue;
    }
    dispatch::Candidate candidate = describe(*upstream);
    candidate.index = aUpstreams.size();
    aUpstreams.push_back(upstream);
    found.push_back(candidate);
  }
  return found;
}

void
Exchange::dispatch()
{
  if (endIfCallerLeft()) {
    return;
  }
  if (timeLeft() < kLeastTimeLeft) {
    onDeadline();
    return;
  }
  std::vector<std::shared_ptr<Upstream>> upstreams;
  const auto found = candidates(upstreams);
  const auto choice = dispatch::choose(found, need(), mPath.random.bits());
  if (choice) {
    if (worthSending(*choice)) {
      mQueuedAhead = found[choice->index].queuedMs;
      mOwnMs = found[choice->index].ownMs;
      send(upstreams[choice->index]);
    }
    return;
  }
  if (mayHaveRun()) {
    if (mTurnedAway && timeLeft() > kOverloadRetry + kLeastTimeLeft) {
      lookAgain();
      return;
    }
    fail(Code::UpstreamFailed, "no further upstream");
    return;
  }
  if (mTurnedAway && attemptsLeft() &&
      timeLeft() > kOverloadRetry + kLeastTimeLeft) {
    // Who turned it away may still be the only one that has the model.
    lookAgain();
    return;
  }
  if (isEngineCall() && mService->engine) {
    waitForModel();
    return;
  }
  refuse(Code::NoUpstream, "no upstream of " + mService->name, kOverloadRetry);
}

bool
Exchange::worthSending(const dispatch::Choice& aChoice)
{
  if (mSends > 0) {
    return true;
  }
  const base::Duration target = mRoute->targetLatency;
  const base::Duration passed = base::monotonicNow() - mBegan;
  const auto own = base::fromSeconds(mOwnMs / 1000);
  const base::Duration queue = aChoice.expectedStart - own;
  const auto allowed = std::max<base::Duration>(
    base::fromSeconds(base::inSeconds(target) * kTargetUse) - own - passed,
    kShortQueue);
  if (queue <= allowed) {
    return true;
  }
  const base::Duration wait = std::max(kOverloadRetry, queue - allowed);
  refuse(Code::Overloaded,
         "expected start in " +
           std::to_string(base::inMilliseconds(aChoice.expectedStart)) + " ms",
         wait);
  return false;
}

std::optional<base::Duration>
Exchange::timeToLoad() const
{
  const auto model = mService->engine->models.find(mFacts.model->model);
  if (model == mService->engine->models.end()) {
    return std::nullopt;
  }
  std::optional<base::Duration> best;
  for (const auto& [name, upstream] : mPath.upstreams.all()) {
    const catalog::UpstreamRecord& record = upstream->record;
    if (record.service != mService->name || !upstream->usable()) {
      continue;
    }
    base::Duration load = model->second.storeLoad;
    if (record.models.contains(model->first)) {
      load = {}; // only the adapter is missing
    } else if (record.cachedInMemory.contains(model->first)) {
      load = model->second.memoryLoad;
    } else if (record.cachedOnDisk.contains(model->first)) {
      load = model->second.diskLoad;
    }
    best = best ? std::min(*best, load) : load;
  }
  return best;
}

void
Exchange::waitForModel()
{
  const auto load = timeToLoad();
  if (!load) {
    refuse(Code::NoUpstream,
           "model " + mFacts.model->text() + " cannot be loaded",
           1s);
    return;
  }
  if (mPath.stopsAt &&
      base::monotonicNow() + *load + kOrderDelay > *mPath.stopsAt) {
    shutdown();
    return;
  }
  if (*load + kOrderDelay > timeLeft()) {
    refuse(Code::DeadlineUnreachable,
           "model " + mFacts.model->text() + " is not loaded; a load takes " +
             std::to_string(base::inMilliseconds(*load)) + " ms",
           *load);
    return;
  }
  if (!mWaited) {
    mWaited = true;
    mPath.log.step(mFacts.id,
                   "waits for model",
                   "",
                   mFacts.model->text(),
                   base::monotonicNow());
  }
  mPath.waiting.enter(*mFacts.model, shared_from_this());
}

void
Exchange::lookAgain()
{
  mPath.log.step(mFacts.id,
                 "turned away",
                 mLastUpstream,
                 "looks again later",
                 base::monotonicNow());
  mTurnedAway = false;
  mTried.clear();
  mSilence = mPath.loop.after(kOverloadRetry, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->retry();
    }
  });
}

bool
Exchange::attemptsLeft() const
{
  // Once the request may have run, the caller cannot be told that it has not;
  // an upstream that refused it then takes away no attempt.
  return mayHaveRun() ? mUnresolved < mRoute->attempts &&
                          mSends < mRoute->attempts + kMostFruitlessSends
                      : mSends < mRoute->attempts;
}

bool
Exchange::mayRetry()
{
  return attemptsLeft() && timeLeft() > kLeastTimeLeft &&
         mPath.retries.spend(mService->name, base::monotonicNow());
}

void
Exchange::retryElsewhere(const char* aReason)
{
  const bool allowed =
    !partPassedOn() && (!mayHaveRun() || mRoute->repeatable());
  if (allowed && mayRetry()) {
    mPath.log.step(mFacts.id,
                   mCaller->responseStarted() ? "resume" : "retry",
                   mLastUpstream,
                   aReason,
                   base::monotonicNow());
    dispatch();
    return;
  }
  if (!mayHaveRun()) {
    refuse(Code::NoUpstream, aReason, kOverloadRetry);
    return;
  }
  fail(Code::UpstreamFailed, aReason);
}

bool
Exchange::moveElsewhere()
{
  std::vector<std::shared_ptr<Upstream>> upstreams;
  const auto found = candidates(upstreams);
  const auto choice =
    dispatch::chooseReplacement(found, need(), timeLeft(), mPath.random.bits());
  if (!choice) {
    return false;
  }
  const auto& upstream = upstreams[choice->index];
  const auto& chosen = found[choice->index];
  mNext = Replacement{
    upstream, nullptr, chosen.queuedMs, chosen.ownMs, mEventCount
  };
  auto call =
    startCall(upstream, &Exchange::takeOver, &Exchange::onReplacementFailed);
  if (!call) {
    mNext.reset();
    mTried.insert(upstream->record.name);
    return false;
  }
  // On a connection that stands it has taken over already.
  (mNext ? mNext->call : mCall) = std::move(call);
  return true;
}

/** The replacement can be sent now, so the silent call is given up.
 * @return the bytes of the request, or nothing if the silent call goes on */
std::optional<std::string>
Exchange::takeOver(const base::UpstreamName& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  const bool wanted = !mEnded && mNext && mEventCount == mNext->events &&
                      timeLeft() >= kLeastTimeLeft && !mCaller->abandoned();
  if (!wanted || !mPath.retries.spend(mService->name, now)) {
    return std::nullopt;
  }
  mPath.health.onFailure(mLastUpstream, now);
  mPath.log.step(mFacts.id,
                 "silent upstream",
                 mLastUpstream,
                 "goes on at " + aUpstream,
                 now);
  Replacement next = std::move(*mNext);
  mNext.reset();
  endCall();
  mQueuedAhead = next.queuedAhead;
  mOwnMs = next.ownMs;
  adopt(next.upstream, std::move(next.call));
  return outgoing(aUpstream);
}

/** Runs at the moment of the write, which may be long after the decision.
 * @return the bytes of the request, or nothing if it must not be sent now */
std::optional<std::string>
Exchange::outgoing(const base::UpstreamName& aUpstream)
{
  if (mEnded || timeLeft() < kLeastTimeLeft || mCaller->abandoned()) {
    return std::nullopt;
  }
  ++mUnresolved;
  boundary::ForwardFacts facts;
  facts.upstream = aUpstream;
  facts.timeLeft = timeLeft();
  if (mTeam != nullptr) {
    facts.team = mTeam->name;
  }
  if (isEngineCall()) {
    facts.urgency = urgency();
  }
  facts.resumeAfter = mLastEventId;
  wire::Request request;
  request.method = mRequest.method;
  request.target = mRequest.target;
  request.headers = boundary::forwardHeaders(mHeaders, facts);
  request.body = mRequest.body;
  return wire::serialize(request);
}

void
Exchange::onWithheld()
{
  --mSends;
  endCall();
  if (!endIfCallerLeft()) {
    onDeadline();
  }
}

std::unique_ptr<wire::PooledCall>
Exchange::startCall(const std::shared_ptr<Upstream>& aUpstream,
                    MakeBytes aMakeBytes,
                    OnFailed aOnFailed)
{
  const base::UpstreamName& name = aUpstream->record.name;
  const auto weak = weak_from_this();
  wire::OutgoingCall call;
  call.makeBytes = [weak, name, aMakeBytes]() -> std::optional<std::string> {
    const auto self = std::static_pointer_cast<Exchange>(weak.lock());
    return self ? ((*self).*aMakeBytes)(name) : std::nullopt;
  };
  call.idHeader = boundary::kRequestIdHeader;
  call.id = mFacts.id;
  call.skipBody = mRequest.method == "HEAD";
  const auto guarded = [weak](auto aAction) {
    return [weak, aAction](const auto&... aArguments) {
      if (const auto self = weak.lock()) {
        aAction(*std::static_pointer_cast<Exchange>(self), aArguments...);
      }
    };
  };
  wire::CallEvents events;
  events.head = guarded([](Exchange& aSelf, const wire::ResponseHead& aHead) {
    aSelf.onHead(aHead);
  });
  events.body = guarded(
    [](Exchange& aSelf, std::string_view aBytes) { aSelf.onBody(aBytes); });
  events.complete = guarded([](Exchange& aSelf) { aSelf.onComplete(); });
  events.failed =
    guarded([aOnFailed](Exchange& aSelf, wire::CallFailure aFailure) {
      (aSelf.*aOnFailed)(aFailure);
    });
  constexpr std::size_t kLeastConnections = 4;
  const std::size_t limit = std::max(
    kLeastConnections,
    mService->maxConnections / std::max<std::size_t>(1, mPath.fleetSize));
  auto started = mPath.pool.start(
    aUpstream->peer(), std::move(call), std::move(events), limit);
  if (!started) {
    mPath.log.step(
      mFacts.id, "connection limit", name, "", base::monotonicNow());
  }
  return started;
}

void
Exchange::send(const std::shared_ptr<Upstream>& aUpstream)
{
  auto call = startCall(aUpstream, &Exchange::outgoing, &Exchange::onFailed);
  if (!call) {
    mTried.insert(aUpstream->record.name);
    mTurnedAway = true;
    if (++mUnreachable < kMostUnreachable) {
      dispatch();
    } else if (mayHaveRun()) {
      fail(Code::UpstreamFailed, "connection limits reached");
    } else {
      refuse(Code::Overloaded, "connection limits reached", kOverloadRetry);
    }
    return;
  }
  adopt(aUpstream, std::move(call));
}

void
Exchange::adopt(const std::shared_ptr<Upstream>& aUpstream,
                std::unique_ptr<wire::PooledCall> aCall)
{
  const base::UpstreamName& name = aUpstream->record.name;
  mCall = std::move(aCall);
  mTurnedAway = false;
  mTried.insert(name);
  mLastUpstream = name;
  mSentAt = base::monotonicNow();
  ++mSends;
  mHold = std::make_unique<LoadHold>(
    aUpstream,
    isEngineCall() ? mOwnMs : 0,
    isEngineCall() && isPatient(),
    isEngineCall() ? mFacts.promptTokens + outputTokens() : 0);
  mHeadSeen = false;
  mBody.clear();
  mEvents.clear();
  if (isEngineCall()) {
    ++mPath.runningByModel[*mFacts.model];
    mPath.prefixes.note(name, mFacts.model->text(), mFacts.prompt);
  }
  armSilence();
}

} // namespace marigold::gateway
