#include "apps/gateway/exchange.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;
using base::Code;

/** A request with less time left is not sent: a round trip between regions and
 * the work itself take longer, and it would reach its upstream after its caller
 * has left. */
constexpr base::Duration kMinRemainingTime = 100ms;
/** Load that an upstream reported is used for this long. */
constexpr base::Duration kMaxReportedLoadAge = 400ms;
/** Network latency and transfer cost, expressed as equivalent latency. */
constexpr double kSameRegionMs = 2;
constexpr double kOtherRegionMs = 60;
/** A request is refused as overloaded if queueing and its own work would take
 * more than this fraction of the route's target latency. */
constexpr double kMaxTargetFraction = 0.9;
/** Time for a load order to reach its engine and for the updated record to
 * reach this VM. */
constexpr base::Duration kOrderDelay = 600ms;
/** Callers leave a stream that they have taken up after some three seconds
 * without an event. */
constexpr base::Duration kMaxAdapterWait = 2s;
/** Longest advice to callers of upstreams that name a limit; another upstream
 * may get the model meanwhile. */
constexpr base::Duration kMaxLimitRetryDelay = 2s;
/** Callers come back on new connections, which other VMs may get. */
constexpr base::Duration kNoPathRetryDelay = 100ms;
/** Advice to callers for whom brittle upstreams have no room. Their rejections
 * count over one second; callers come back at different moments of the next. */
constexpr base::Duration kMinRoomRetryDelay = 500ms;
constexpr base::Duration kMaxRoomRetryDelay = 1500ms;
constexpr base::Duration kMemoryCheckPeriod = 50ms;
/** Sends beyond the route's attempts that upstreams may refuse. After more,
 * the overload is expected to outlast the request. */
constexpr unsigned kMaxRefusedSends = 3;

/** @param aCandidates candidates, of which some may have been removed
 * @return the one that was chosen */
const dispatch::Candidate&
chosenFrom(const std::vector<dispatch::Candidate>& aCandidates,
           const dispatch::Choice& aChoice)
{
  return *std::find_if(aCandidates.begin(),
                       aCandidates.end(),
                       [&aChoice](const dispatch::Candidate& aCandidate) {
                         return aCandidate.index == aChoice.index;
                       });
}

} // namespace

bool
Exchange::hasTimeForSend() const
{
  const base::TimePoint needed = base::monotonicNow() + kMinRemainingTime;
  return needed <= mDeadlineAt &&
         (!mContext.endRequestsAt || needed <= *mContext.endRequestsAt);
}

/** Holds a request whose copy for the upstream would exceed the memory budget,
 * while other upstreams read theirs. @return true if the request waits */
bool
Exchange::waitForMemory()
{
  if (mContext.memory.admitsCopy(mRequest.body.size())) {
    return false;
  }
  if (!mMemoryWaitLogged) {
    mMemoryWaitLogged = true;
    mContext.log.logStep(mMetadata.id,
                         "waits for memory",
                         "",
                         std::to_string(mContext.memory.used()) + " bytes held",
                         base::monotonicNow());
  }
  retryAfter(kMemoryCheckPeriod);
  return true;
}

/** @return false if a planned stop would end the request before its answer
 * begins */
bool
Exchange::mayBegin(const dispatch::Choice& aChoice) const
{
  return !mContext.endRequestsAt ||
         base::monotonicNow() + aChoice.expectedStart <=
           *mContext.endRequestsAt;
}

/** Ends a request that has no time for a send: its deadline is near, or the
 * process stops. */
void
Exchange::endWithoutSend()
{
  if (!mContext.endRequestsAt || remainingTime() < kMinRemainingTime) {
    onDeadline();
    return;
  }
  shutdown();
}

dispatch::Candidate
Exchange::makeCandidate(const Upstream& aUpstream) const
{
  const catalog::UpstreamRecord& record = aUpstream.record;
  const peers::UpstreamLoad others = mContext.peers.peerLoad(record.name);
  const base::TimePoint now = base::monotonicNow();
  dispatch::Candidate candidate;
  candidate.slots = record.slots;
  candidate.running = aUpstream.running + others.running;
  if (now - aUpstream.reportedAt < kMaxReportedLoadAge) {
    candidate.running =
      std::max(candidate.running,
               aUpstream.reportedLoad.running + aUpstream.reportedLoad.waiting);
  }
  if (isEngineCall() && mService->engine) {
    candidate.queuedMs = aUpstream.queuedMs + others.queuedMs;
    if (isLowPriority()) {
      candidate.queuedMs += aUpstream.lowPriorityMs + others.lowPriorityMs;
    }
    candidate.kvTokens = aUpstream.memoryTokens + others.memoryTokens;
    candidate.kvCapacity = static_cast<double>(mService->engine->kvTokens);
    const std::uint32_t cached =
      std::min(mMetadata.promptTokens,
               mContext.prefixes.cachedTokens(
                 record.name, mMetadata.model->text(), mMetadata.prompt));
    candidate.processingMs =
      (mMetadata.promptTokens - cached) *
      mContext.latency.msPerToken(mMetadata.model->model);
  } else {
    const double serviceMs = static_cast<double>(
      base::inMilliseconds(mContext.latency.serviceTime(mService->name)));
    candidate.queuedMs = candidate.running * serviceMs / record.slots;
    candidate.processingMs = serviceMs;
  }
  if (record.dataCentre != mContext.settings.dataCentre) {
    candidate.networkCostMs = sameRegion(mContext.settings, record.dataCentre)
                                ? kSameRegionMs
                                : kOtherRegionMs;
  }
  candidate.failureRate = mContext.health.failureRate(record.name);
  candidate.ejected = mContext.health.ejected(record.name, now) ||
                      mContext.errors.avoided(
                        record.service,
                        record.name,
                        mRoute->retryable() && mSends + 1 < mRoute->maxAttempts
                          ? dispatch::Repetition::Allowed
                          : dispatch::Repetition::Forbidden,
                        now);
  const peers::ProcessTag process = aUpstream.process().tag();
  candidate.limited = mContext.notices.limit(process).has_value();
  candidate.brittle =
    mContext.brittle.maxRejections(record.service, process, now).has_value();
  return candidate;
}

dispatch::RequestSize
Exchange::requestSize() const
{
  dispatch::RequestSize size;
  size.kvTokens = isEngineCall() ? mMetadata.promptTokens + outputTokens() : 0;
  return size;
}

std::vector<dispatch::Candidate>
Exchange::candidates(std::vector<std::shared_ptr<Upstream>>& aUpstreams)
{
  mAcceptedFrom = base::TimePoint::max();
  std::vector<dispatch::Candidate> found;
  const base::TimePoint now = base::monotonicNow();
  for (const auto& [name, upstream] : mContext.upstreams.all()) {
    if (upstream->record.service != mService->name || !upstream->usable() ||
        !mayContinueAt(*upstream)) {
      continue;
    }
    if (isEngineCall() && mService->engine &&
        !mContext.upstreams.canServe(*upstream, *mMetadata.model, now)) {
      continue;
    }
    const base::TimePoint acceptsFrom =
      mContext.notices.acceptsFrom(upstream->process().tag());
    if (acceptsFrom > now) {
      mAcceptedFrom = std::min(mAcceptedFrom, acceptsFrom);
      continue;
    }
    if (mTriedUpstreams.contains(name) || !mContext.calls.hasWayTo(*upstream)) {
      continue;
    }
    dispatch::Candidate candidate = makeCandidate(*upstream);
    candidate.index = aUpstreams.size();
    aUpstreams.push_back(upstream);
    found.push_back(candidate);
  }
  const base::UpstreamName confirmed = std::exchange(mConfirmedUpstream, {});
  const auto isConfirmed = [&](const dispatch::Candidate& aCandidate) {
    return aUpstreams[aCandidate.index]->record.name == confirmed;
  };
  if (std::any_of(found.begin(), found.end(), isConfirmed)) {
    std::erase_if(found, std::not_fn(isConfirmed));
  }
  return found;
}

void
Exchange::dispatch()
{
  if (endIfCallerDisconnected() || refuseIfBlocked()) {
    return;
  }
  if (!hasTimeForSend()) {
    endWithoutSend();
    return;
  }
  if (waitForMemory() || endWithoutPath()) {
    return;
  }
  std::vector<std::shared_ptr<Upstream>> upstreams;
  auto found = candidates(upstreams);
  if (found.empty() && mOrigin && !mNotAccepted && !mConfirmationFailed) {
    // The one that broke off may be the only one with the same software.
    mTriedUpstreams.clear();
    found = candidates(upstreams);
  }
  const auto choice = choose(found, upstreams);
  if (choice && !mayBegin(*choice)) {
    shutdown();
    return;
  }
  const bool canStart = choice && startsInTime(*choice);
  if (mMustAskAgain && !canStart && waitForReports()) {
    return;
  }
  if (choice && confirmSoftware(upstreams[choice->index])) {
    mDispatchesWhenConfirmed = true;
    return;
  }
  if (choice) {
    if (admitByExpectedStart(*choice)) {
      const dispatch::Candidate& chosen = chosenFrom(found, *choice);
      mQueuedAheadMs = chosen.queuedMs;
      mProcessingMs = chosen.processingMs;
      send(upstreams[choice->index]);
    }
    return;
  }
  if (!found.empty() && !mayHaveRun()) {
    refuseByLimit(found, upstreams);
    return;
  }
  if (mAcceptedFrom != base::TimePoint::max()) {
    waitUntilAccepted();
    return;
  }
  if (waitForAdapter()) {
    return;
  }
  if (mayHaveRun()) {
    if ((mNotAccepted || (mBrittleIsFull && !found.empty())) &&
        remainingTime() > kOverloadRetryDelay + kMinRemainingTime) {
      scheduleRetry();
      return;
    }
    fail(Code::UpstreamFailed, "no further upstream");
    return;
  }
  if (mNotAccepted && attemptsLeft() &&
      remainingTime() > kOverloadRetryDelay + kMinRemainingTime) {
    // The upstream that refused it may be the only one that has the model.
    scheduleRetry();
    return;
  }
  const bool heldByOthers =
    mOrigin && isEngineCall() &&
    mContext.upstreams.anyCanServe(*mMetadata.model, base::monotonicNow());
  if (heldByOthers) {
    // A load is planned for models that no upstream holds.
    refuse(Code::NoUpstream,
           "no upstream with the software of the stream",
           kOverloadRetryDelay);
    return;
  }
  if (isEngineCall() && mService->engine) {
    waitForModel();
    return;
  }
  refuse(
    Code::NoUpstream, "no upstream of " + mService->name, kOverloadRetryDelay);
}

/** Ends a request that no upstream can get, not even by way of a peer. Another
 * VM may serve its caller. @return false if there is a way */
bool
Exchange::endWithoutPath()
{
  if (mContext.calls.anyWay()) {
    return false;
  }
  constexpr const char* kDetail = "no path to the upstreams";
  if (mayHaveRun()) {
    fail(Code::UpstreamFailed, kDetail);
  } else {
    refuse(Code::NoUpstream, kDetail, kNoPathRetryDelay);
  }
  return true;
}

/** Prefers upstreams without a limit, because one that names a limit is in need
 * and its requests are counted in the whole fleet. */
std::optional<dispatch::Choice>
Exchange::choose(const std::vector<dispatch::Candidate>& aCandidates,
                 const std::vector<std::shared_ptr<Upstream>>& aUpstreams)
{
  mMustAskAgain = false;
  const auto isLimited = [](const dispatch::Candidate& aCandidate) {
    return aCandidate.limited;
  };
  std::vector<dispatch::Candidate> others;
  std::remove_copy_if(aCandidates.begin(),
                      aCandidates.end(),
                      std::back_inserter(others),
                      isLimited);
  auto choice = chooseWithRoom(others, aUpstreams);
  const bool limitedHelps =
    others.size() < aCandidates.size() && (!choice || !startsInTime(*choice));
  if (limitedHelps) {
    auto limited = aCandidates;
    std::erase_if(limited, std::not_fn(isLimited));
    const auto found = chooseLimited(std::move(limited), aUpstreams);
    choice = found ? found : choice;
  }
  return choice;
}

/** @return the best upstream, of the brittle ones with room as far as this VM
 * knows; sets mMustAskAgain if there may be room later */
std::optional<dispatch::Choice>
Exchange::chooseWithRoom(
  std::vector<dispatch::Candidate> aCandidates,
  const std::vector<std::shared_ptr<Upstream>>& aUpstreams)
{
  mBrittleIsFull = false;
  while (const auto choice = dispatch::chooseUpstream(
           aCandidates, requestSize(), mContext.random.bits())) {
    const dispatch::Candidate& candidate = chosenFrom(aCandidates, *choice);
    if (!candidate.brittle || !startsInTime(*choice)) {
      return choice;
    }
    const auto admission =
      admitAtBrittle(candidate, *aUpstreams[choice->index]);
    if (admission == dispatch::Admission::Admitted) {
      return choice;
    }
    mBrittleIsFull = true;
    mMustAskAgain |= admission == dispatch::Admission::AskAgain;
    std::erase_if(aCandidates, [&](const dispatch::Candidate& aCandidate) {
      return aCandidate.index == choice->index;
    });
  }
  return std::nullopt;
}

/** A request that was rejected for want of room waits for the reports of peers,
 * because what this VM knew was wrong. */
dispatch::Admission
Exchange::admitAtBrittle(const dispatch::Candidate& aCandidate,
                         const Upstream& aUpstream)
{
  if (mRejectedByBrittle && !mWaitedForReports) {
    return dispatch::Admission::AskAgain;
  }
  const base::TimePoint now = base::monotonicNow();
  const peers::ProcessTag process = aUpstream.process().tag();
  dispatch::Places places;
  places.total = dispatch::placesFor(aCandidate, requestSize());
  places.taken = aCandidate.running;
  places.own = aUpstream.running;
  return mContext.brittle.tryAdmit(
    process,
    mContext.brittle.maxRejections(aUpstream.record.service, process, now)
      .value_or(0),
    places,
    mContext.peers.peerLoad(aUpstream.record.name).brittleUse,
    mContext.random.unit(),
    now,
    mWaitedForReports);
}

/** @return the best limited upstream that takes another request; sets
 * mMustAskAgain if one may take it later */
std::optional<dispatch::Choice>
Exchange::chooseLimited(
  std::vector<dispatch::Candidate> aCandidates,
  const std::vector<std::shared_ptr<Upstream>>& aUpstreams)
{
  while (const auto choice = dispatch::chooseUpstream(
           aCandidates, requestSize(), mContext.random.bits())) {
    const Upstream& upstream = *aUpstreams[choice->index];
    if (startsInTime(*choice)) {
      const peers::ProcessTag process = upstream.process().tag();
      auto admission = dispatch::Admission::Admitted;
      if (const auto& candidate = chosenFrom(aCandidates, *choice);
          candidate.brittle) {
        admission = admitAtBrittle(candidate, upstream);
      }
      if (admission == dispatch::Admission::Admitted) {
        admission = mContext.notices.tryAdmit(
          process,
          mContext.peers.peerLoad(upstream.record.name).limitUse,
          mContext.random.unit(),
          base::monotonicNow(),
          !mAskedLimited.insert(process).second);
      }
      if (admission == dispatch::Admission::Admitted) {
        return choice;
      }
      mMustAskAgain |= admission == dispatch::Admission::AskAgain;
    }
    std::erase_if(aCandidates, [&](const dispatch::Candidate& aCandidate) {
      return aCandidate.index == choice->index;
    });
  }
  return std::nullopt;
}

/** Waits until the peers' requests to a limited upstream are known.
 * @return false if the request has waited already or has no time to */
bool
Exchange::waitForReports()
{
  const base::Duration delay = mContext.notices.reportDelay();
  if (mWaitedForReports || remainingTime() < delay + kMinRemainingTime) {
    return false;
  }
  mWaitedForReports = true;
  mContext.log.logStep(mMetadata.id,
                       mBrittleIsFull ? "brittle upstream" : "limited upstream",
                       "",
                       "waits for reports of peers",
                       base::monotonicNow());
  retryAfter(delay);
  return true;
}

/** Refuses a request all of whose upstreams have reached the limits that they
 * name. */
void
Exchange::refuseByLimit(
  const std::vector<dispatch::Candidate>& aCandidates,
  const std::vector<std::shared_ptr<Upstream>>& aUpstreams)
{
  if (mBrittleIsFull) {
    const base::Duration spread = kMaxRoomRetryDelay - kMinRoomRetryDelay;
    refuse(Code::Overloaded,
           "no known room at brittle upstreams",
           kMinRoomRetryDelay + base::fromSeconds(base::inSeconds(spread) *
                                                  mContext.random.unit()));
    return;
  }
  double perSecond = 0;
  for (const dispatch::Candidate& candidate : aCandidates) {
    perSecond +=
      mContext.notices.limit(aUpstreams[candidate.index]->process().tag())
        .value_or(0);
  }
  const base::Duration wait =
    perSecond > 0 ? base::fromSeconds(1 / perSecond) : kMaxLimitRetryDelay;
  refuse(Code::Overloaded,
         "limit of " + std::to_string(perSecond) +
           " requests/s named by the upstreams",
         std::clamp(wait, kOverloadRetryDelay, kMaxLimitRetryDelay));
}

/** @return the latest expected start at which a first send is worth its while.
 * The caller of a stream that is taken up has had its first event. */
base::Duration
Exchange::latestStart() const
{
  if (mOrigin) {
    return remainingTime() - kMinRemainingTime;
  }
  const base::Duration passed = base::monotonicNow() - mReceivedAt;
  return base::fromSeconds(base::inSeconds(mRoute->targetLatency) *
                           kMaxTargetFraction) -
         passed;
}

bool
Exchange::startsInTime(const dispatch::Choice& aChoice) const
{
  return mSends > 0 || dispatch::startsInTime(aChoice, latestStart());
}

bool
Exchange::admitByExpectedStart(const dispatch::Choice& aChoice)
{
  if (startsInTime(aChoice)) {
    return true;
  }
  const base::Duration latest = latestStart();
  refuse(Code::Overloaded,
         "expected start in " +
           std::to_string(base::inMilliseconds(aChoice.expectedStart)) +
           " ms, latest in " + std::to_string(base::inMilliseconds(latest)) +
           " ms",
         std::max(kOverloadRetryDelay, aChoice.expectedStart - latest));
  return false;
}

std::optional<base::Duration>
Exchange::estimateLoadTime() const
{
  const auto model = mService->engine->models.find(mMetadata.model->model);
  if (model == mService->engine->models.end()) {
    return std::nullopt;
  }
  std::optional<base::Duration> best;
  for (const auto& [name, upstream] : mContext.upstreams.all()) {
    const catalog::UpstreamRecord& record = upstream->record;
    if (record.service != mService->name || !upstream->usable()) {
      continue;
    }
    base::Duration load = model->second.storeLoadTime;
    if (record.models.contains(model->first)) {
      load = {}; // Only the adapter is missing.
    } else if (record.cachedInMemory.contains(model->first)) {
      load = model->second.memoryLoadTime;
    } else if (record.cachedOnDisk.contains(model->first)) {
      load = model->second.diskLoadTime;
    }
    best = best ? std::min(*best, load) : load;
  }
  return best;
}

/** An upstream that may continue the stream has its model and lacks just the
 * adapter, which is loaded in milliseconds if it has a slot for it.
 * @return true if the request waits for that */
bool
Exchange::waitForAdapter()
{
  const bool continues = mOrigin && *mOrigin != peers::kUnknownSoftware &&
                         !mayHaveRun() && isEngineCall() && mService->engine;
  if (!continues || mMetadata.model->adapter.empty() ||
      mContext.endRequestsAt ||
      remainingTime() < kOrderDelay + kMinRemainingTime) {
    return false;
  }
  const catalog::ModelRef& ref = *mMetadata.model;
  const UpstreamTable& upstreams = mContext.upstreams;
  const base::TimePoint now = base::monotonicNow();
  if (!upstreams.anyCanServe({ ref.model, "" }, now, mOrigin) ||
      upstreams.anyCanServe(ref, now, mOrigin)) {
    return false;
  }
  if (!mAdapterAwaitedFrom) {
    mAdapterAwaitedFrom = now;
  }
  if (now - *mAdapterAwaitedFrom > kMaxAdapterWait) {
    return false;
  }
  waitInQueue(mOrigin);
  return true;
}

/** @param aSoftware software that the upstream must have, if it matters */
void
Exchange::waitInQueue(std::optional<peers::SoftwareTag> aSoftware)
{
  if (!mWaitLogged) {
    mWaitLogged = true;
    mContext.log.logStep(mMetadata.id,
                         "waits for model",
                         "",
                         mMetadata.model->text(),
                         base::monotonicNow());
  }
  mContext.waitQueue.add({ *mMetadata.model, aSoftware }, shared_from_this());
}

void
Exchange::waitForModel()
{
  const auto load = estimateLoadTime();
  if (!load) {
    refuse(Code::NoUpstream,
           "model " + mMetadata.model->text() + " cannot be loaded",
           1s);
    return;
  }
  if (mContext.endRequestsAt &&
      base::monotonicNow() + *load + kOrderDelay > *mContext.endRequestsAt) {
    shutdown();
    return;
  }
  if (*load + kOrderDelay > remainingTime()) {
    refuse(
      Code::DeadlineUnreachable,
      "model " + mMetadata.model->text() + " is not loaded; a load takes " +
        std::to_string(base::inMilliseconds(*load + kOrderDelay)) +
        " ms with its order, " +
        std::to_string(base::inMilliseconds(remainingTime())) + " ms remain",
      *load);
    return;
  }
  waitInQueue(std::nullopt);
}

/** All upstreams that could serve the request have said for how long they want
 * none from this VM. */
void
Exchange::waitUntilAccepted()
{
  const base::Duration wait = mAcceptedFrom - base::monotonicNow();
  const bool inTime = wait + kMinRemainingTime < remainingTime() &&
                      (mayHaveRun() || wait <= kOverloadRetryDelay);
  if (inTime) {
    mTriedUpstreams.clear();
    retryAfter(wait);
  } else if (mayHaveRun()) {
    fail(Code::UpstreamFailed, "no further upstream takes requests");
  } else {
    refuse(Code::Overloaded, "the upstreams turn requests away", wait);
  }
}

void
Exchange::retryAfter(base::Duration aDelay)
{
  mStallTimer.start(mContext.loop, aDelay, nullptr, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->retry();
    }
  });
}

void
Exchange::scheduleRetry()
{
  mContext.log.logStep(mMetadata.id,
                       "turned away",
                       mLastUpstream,
                       "retrying after a delay",
                       base::monotonicNow());
  mNotAccepted = false;
  mConfirmationFailed = false;
  mTriedUpstreams.clear();
  retryAfter(kOverloadRetryDelay);
}

/** @return attempts that don't count, because the process of the upstream has
 * ended. The events before show that the request is not the cause. */
unsigned
Exchange::endedAttempts() const
{
  return static_cast<unsigned>(std::count_if(
    mBrokeOff.begin(),
    mBrokeOff.end(),
    [this](const std::shared_ptr<Upstream>& aUpstream) {
      return aUpstream->processEnded() ||
             mContext.upstreams.find(aUpstream->record.name) != aUpstream;
    }));
}

bool
Exchange::attemptsLeft() const
{
  // Once the request may have run, it cannot be refused as not run any more,
  // so sends that upstreams refused do not use up attempts.
  const unsigned unresolved = mUnresolvedSends - mRepeatedSends;
  const unsigned sends = mSends - mRepeatedSends;
  return mayHaveRun() ? unresolved < mRoute->maxAttempts + endedAttempts() &&
                          sends < mRoute->maxAttempts + kMaxRefusedSends
                      : sends < mRoute->maxAttempts;
}

/** @return why there is no retry, or nullptr if there is one */
const char*
Exchange::consumeRetry()
{
  if (!attemptsLeft()) {
    return "no attempts left";
  }
  if (remainingTime() <= kMinRemainingTime) {
    return "no time left";
  }
  return mContext.retries.tryConsume(mService->name, base::monotonicNow())
           ? nullptr
           : "retry budget used";
}

/** Sends a request that its upstream has answered with an error once more, if
 * the error is probably the upstream's and another one can serve the request at
 * once. The answer is kept for the case that the second send brings none.
 * @return true if it is sent */
bool
Exchange::tryElsewhere()
{
  const bool allowed = isUpstreamsError() && mRoute->retryable() &&
                       !mKeptHead && !mOrigin && mEventCount == 0 &&
                       !mCaller->responseStarted() && !mCaller->abandoned() &&
                       hasTimeForSend() && attemptsLeft() &&
                       mContext.crashes.verdictOn(mTraits) == nullptr &&
                       mContext.memory.admitsCopy(mRequest.body.size());
  const base::TimePoint now = base::monotonicNow();
  if (!allowed ||
      !mContext.errors.doubtful(mService->name, mLastUpstream, now)) {
    return false;
  }
  std::vector<std::shared_ptr<Upstream>> upstreams;
  auto found = candidates(upstreams);
  std::erase_if(found, [&](const dispatch::Candidate& aCandidate) {
    const auto& record = upstreams[aCandidate.index]->record;
    return aCandidate.limited || aCandidate.brittle ||
           mContext.errors.doubtful(record.service, record.name, now);
  });
  const auto choice =
    dispatch::chooseReplacement(found,
                                requestSize(),
                                std::min(remainingTime(), latestStart()),
                                mContext.random.bits());
  if (!choice || !mayBegin(*choice) ||
      !mContext.retries.tryConsume(mService->name, now)) {
    return false;
  }
  mContext.log.logStep(mMetadata.id,
                       "error tried elsewhere",
                       mLastUpstream,
                       "status " + std::to_string(mHead.status),
                       now);
  mKeptHead = mHead;
  mKeptBody.append(mBody.view());
  endCall();
  const dispatch::Candidate& chosen = chosenFrom(found, *choice);
  mQueuedAheadMs = chosen.queuedMs;
  mProcessingMs = chosen.processingMs;
  mKeptTimer.start(mContext.loop,
                   remainingTime() - kMinRemainingTime,
                   nullptr,
                   [weak = weak_from_this()] {
                     if (const auto self = weak.lock()) {
                       std::static_pointer_cast<Exchange>(self)->deliverKept(
                         "no second answer in time");
                     }
                   });
  send(upstreams[choice->index]);
  return true;
}

/** Ends the request with the answer that was kept, if there is one and the
 * caller has had no part of another. @return true if it has ended */
bool
Exchange::deliverKept(const std::string& aReason)
{
  if (mEnded || !mKeptHead || mCaller->responseStarted()) {
    return false;
  }
  mHead = *mKeptHead;
  mFirstByteAt = base::monotonicNow();
  mCaller->reply(
    mHead.status, wire::endToEndHeaders(mHead.headers), mKeptBody.view());
  finish(Code::UpstreamError, mHead.status, "second send: " + aReason);
  return true;
}

void
Exchange::retryOnOtherUpstream(const std::string& aReason)
{
  if (deliverKept(aReason)) {
    return;
  }
  const bool allowed = !isPartiallyForwarded() && canContinue() &&
                       (!mayHaveRun() || mRoute->retryable());
  const char* obstacle = allowed ? consumeRetry() : "must not be repeated";
  if (obstacle == nullptr) {
    mContext.log.logStep(mMetadata.id,
                         mEventCount > 0 ? "resume" : "retry",
                         mLastUpstream,
                         aReason,
                         base::monotonicNow());
    dispatch();
    return;
  }
  const std::string detail = aReason + "; " + obstacle;
  if (!mayHaveRun()) {
    refuse(Code::NoUpstream, detail, kOverloadRetryDelay);
    return;
  }
  fail(Code::UpstreamFailed, detail);
}

bool
Exchange::startReplacement()
{
  if (!mContext.memory.admitsCopy(mRequest.body.size())) {
    return false;
  }
  std::vector<std::shared_ptr<Upstream>> upstreams;
  auto found = candidates(upstreams);
  std::erase_if(found, [](const dispatch::Candidate& aCandidate) {
    return aCandidate.limited || aCandidate.brittle;
  });
  const auto choice = dispatch::chooseReplacement(
    found, requestSize(), remainingTime(), mContext.random.bits());
  if (!choice) {
    return false;
  }
  const auto& upstream = upstreams[choice->index];
  if (confirmSoftware(upstream)) {
    mReplacesWhenConfirmed = true;
    return false;
  }
  return replaceBy(upstream, chosenFrom(found, *choice));
}

} // namespace marigold::gateway
