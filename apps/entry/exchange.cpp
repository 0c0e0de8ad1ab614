#include "apps/entry/exchange.h"

#include <algorithm>

namespace marigold::entry {
namespace {

using base::Code;

} // namespace

Exchange::Exchange(ExchangeContext& aContext,
                   CallerRequest aCaller,
                   std::shared_ptr<http::Responder> aOut,
                   Ended aEnded)
  : mContext(aContext)
  , mCaller(std::move(aCaller))
  , mOut(std::move(aOut))
  , mEnded(std::move(aEnded))
  , mStarted(base::monotonicNow())
  , mLastEvent(mStarted)
{
}

void
Exchange::start()
{
  mOut->onDisconnect([this] { onDisconnect(); });
  if (mCaller.isChat) {
    mContext.path.waiting.demand().onArrival(
      { mCaller.model, mCaller.adapter });
  }
  place();
}

void
Exchange::onDisconnect()
{
  // A request that must not be executed twice is not cancelled half done.
  if (!mCaller.idempotent && mWorking) {
    return;
  }
  cancelWork();
  end(Code::Ok);
}

void
Exchange::checkKey()
{
  if (mFinished ||
      !mContext.configuration.withdrawals().contains(mCaller.keyId)) {
    return;
  }
  if (mWorking && mWorking->attempt->sent()) {
    mMayHaveRun = true;
  }
  cancelWork();
  stop(Code::KeyWithdrawn, "the key has been withdrawn");
}

void
Exchange::place()
{
  if (mFinished) {
    return;
  }
  const base::TimePoint now = base::monotonicNow();
  if (now >= mCaller.deadline) {
    stop(Code::DeadlineUnreachable, messageOf(Code::DeadlineUnreachable));
    return;
  }
  const Chosen chosen = mContext.choice.choose(mCaller, mTried, now);
  if (!chosen.name.empty()) {
    send(chosen.name);
  } else if (mCaller.isChat &&
             (chosen.full || !mContext.choice.isResident(mCaller))) {
    wait();
  } else {
    stop(Code::NoUpstream, messageOf(Code::NoUpstream));
  }
}

void
Exchange::wait()
{
  mWaiting = true;
  mContext.path.waiting.enter(mCaller, guarded([this](Code aCode) {
                                mWaiting = false;
                                if (aCode == Code::Ok) {
                                  place();
                                } else {
                                  stop(aCode, messageOf(aCode));
                                }
                              }));
}

void
Exchange::send(const base::UpstreamName& aUpstream)
{
  const base::TimePoint now = base::monotonicNow();
  const Upstream* upstream = mContext.upstreams.find(aUpstream);
  mContext.upstreams.onSent(aUpstream);
  mContext.choice.onSent(mCaller, aUpstream);
  AttemptPlan plan;
  plan.address = upstream->address;
  plan.request = mCaller.forward;
  // Engines know no deadlines, so that time spent waiting raises the priority
  // in the same measure as in the queue here.
  const auto steps =
    static_cast<int>((now - mStarted) / request::kPriorityStep);
  plan.request.headers.emplace_back(
    "X-Priority", std::to_string(std::max(0, mCaller.priority - steps)));
  plan.id = mCaller.id;
  plan.timeout = mCaller.deadline - now;
  plan.streamed = mCaller.streamed;
  plan.forModel = mCaller.isChat;
  // A request that may run once only never goes out on a kept connection,
  // because the upstream may be closing it at this moment.
  plan.reuseConnection = mCaller.idempotent;
  mWorking = Working{ aUpstream, now, nullptr };
  mWorking->attempt =
    std::make_unique<Attempt>(mContext.client, plan, attemptEvents());
}

AttemptEvents
Exchange::attemptEvents()
{
  AttemptEvents events;
  events.events = [this](const http::Response& aHead,
                         const std::vector<std::string>& aEvents) {
    onEvents(aHead, aEvents);
  };
  events.streamDone = [this] { onStreamDone(); };
  events.whole = [this](const http::Response& aAnswer) { onWhole(aAnswer); };
  events.failed = [this](AttemptEnd aEnd) { onFailed(aEnd); };
  return events;
}

void
Exchange::onFailed(AttemptEnd aEnd)
{
  const Working failed = takeWorking(aEnd != AttemptEnd::NotSent);
  if (aEnd == AttemptEnd::Crossed) {
    mContext.path.crossed.Increment();
    observe::logWarn(
      "answer of another request discarded",
      { { "upstream", failed.upstream }, { "request", mCaller.id } });
  }
  if (aEnd == AttemptEnd::NotResident) {
    // It waits until a report shows the model, here or on another engine.
    mContext.upstreams.onNotResident(
      failed.upstream, mCaller.model, mCaller.adapter);
    place();
    return;
  }
  if (aEnd == AttemptEnd::NotSent) {
    mTried.insert(failed.upstream);
    place();
    return;
  }
  mMayHaveRun = true;
  const Code code = mOut->started() ? Code::AnswerTruncated : codeOf(aEnd);
  stop(code, messageOf(code));
}

void
Exchange::cancelWork()
{
  if (!mWorking) {
    return;
  }
  // The upstream stops the work when its connection closes.
  const bool sent = mWorking->attempt->sent();
  takeWorking(true);
  if (sent) {
    mContext.path.cancels.Increment();
  }
}

void
Exchange::stop(Code aCode, const std::string& aMessage)
{
  const bool saysNotRun =
    base::codeInfo(aCode).outcome == base::Outcome::NotRun;
  const Code code = mMayHaveRun && saysNotRun ? Code::OutcomeUnknown : aCode;
  if (mOut->started()) {
    mOut->sendChunk(errorEvent(aCode, aMessage));
    mOut->endStream();
  } else {
    mOut->reply(refusal(code, aMessage, mCaller.id));
  }
  end(code);
}

void
Exchange::end(Code aCode)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mTimer.reset();
  if (mWaiting) {
    mContext.path.waiting.leave(mCaller);
  }
  if (mWorking) {
    takeWorking(true);
  }
  mContext.metrics
    .counter("marigold_requests_total",
             "Requests of callers by result code.",
             { { "code", std::string(base::codeInfo(aCode).name) } })
    .Increment();
  observe::logDebug("request ended",
                    { { "request", mCaller.id },
                      { "team", mCaller.team },
                      { "code", std::string(base::codeInfo(aCode).name) } });
  const Ended ended = std::move(mEnded);
  ended();
}

} // namespace marigold::entry
