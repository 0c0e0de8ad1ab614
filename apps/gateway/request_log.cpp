#include "apps/gateway/request_log.h"

#include "observe/log.h"
#include "platform/boundary.h"

namespace marigold::gateway {
namespace {

std::string
formatMilliseconds(base::Duration aDuration)
{
  return std::to_string(base::inMilliseconds(aDuration));
}

std::string
requestId(const http::Headers& aHeaders)
{
  return std::string(http::findHeader(aHeaders, boundary::kRequestIdHeader));
}

const char*
senderName(RequestSender aSender)
{
  return aSender == RequestSender::Caller ? "caller" : "peer";
}

std::string
lossText(RequestSender aSender, wire::CallerLoss aLoss)
{
  const std::string sender = senderName(aSender);
  switch (aLoss) {
    case wire::CallerLoss::LeftEarly:
      return sender + " left before it had its whole response";
    case wire::CallerLoss::Unanswered:
      return sender + " connection ended without a response";
    case wire::CallerLoss::BrokenOff:
      return sender + " connection ended inside its response";
    case wire::CallerLoss::Undelivered:
      return sender + " may not have its whole response";
    case wire::CallerLoss::Refused:
      return "request crossed the close of its idle connection";
    case wire::CallerLoss::None:
      break;
  }
  return sender + " connection ended";
}

} // namespace

RequestLog::RequestLog(observe::Metrics& aMetrics)
  : mMetrics(aMetrics)
{
}

void
RequestLog::logEnd(const RequestSummary& aSummary, base::TimePoint aNow)
{
  mMetrics
    .counter("marigold_requests_total",
             "Requests by outcome",
             { { "kind", aSummary.kind }, { "outcome", aSummary.outcome } })
    .Increment();
  const bool answered = aSummary.firstByte > base::Duration::zero();
  if (answered) {
    mMetrics
      .durationHistogram(
        "marigold_first_byte_seconds",
        "Time from the request to the first byte of its answer",
        { { "kind", aSummary.kind } })
      .Observe(base::inSeconds(aSummary.firstByte));
  }
  const bool plain = aSummary.outcome == "ok" && aSummary.sends <= 1 &&
                     aSummary.firstByte <= aSummary.targetLatency;
  const auto weight =
    plain ? observe::LineWeight::Routine : observe::LineWeight::Notable;
  if (!mBudget.take(weight, aNow)) {
    return;
  }
  observe::logInfo(
    "request",
    { { "id", aSummary.id },
      { "route", aSummary.route },
      { "team", aSummary.team },
      { "model", aSummary.model },
      { "upstream", aSummary.upstream },
      { "outcome", aSummary.outcome },
      { "status", std::to_string(aSummary.status) },
      { "detail", aSummary.detail },
      { "sends", std::to_string(aSummary.sends) },
      { "events", std::to_string(aSummary.events) },
      { "prompt_tokens", std::to_string(aSummary.promptTokens) },
      { "first_byte_ms", formatMilliseconds(aSummary.firstByte) },
      { "taken_ms", formatMilliseconds(aSummary.duration) },
      { "catalog", std::to_string(aSummary.catalog) } });
}

void
RequestLog::logStep(const std::string& aId,
                    const char* aStep,
                    const std::string& aUpstream,
                    const std::string& aReason,
                    base::TimePoint aNow)
{
  mMetrics
    .counter("marigold_request_steps_total",
             "Decisions on the way of a request",
             { { "step", aStep } })
    .Increment();
  if (!mBudget.take(observe::LineWeight::Notable, aNow)) {
    return;
  }
  observe::logInfo(
    aStep, { { "id", aId }, { "upstream", aUpstream }, { "reason", aReason } });
}

void
RequestLog::countUpstreamError(const std::string& aUpstream,
                               const std::string& aRoute,
                               int aStatus)
{
  mMetrics
    .counter("marigold_upstream_errors_total",
             "Server errors that upstreams have answered themselves",
             { { "upstream", aUpstream },
               { "route", aRoute },
               { "status", std::to_string(aStatus) } })
    .Increment();
}

void
RequestLog::logClose(RequestSender aSender,
                     const wire::ClosedCaller& aClosed,
                     base::TimePoint aNow)
{
  const char* reason = wire::callerEndName(aClosed.end);
  mMetrics
    .counter(aSender == RequestSender::Caller
               ? "marigold_caller_connections_closed_total"
               : "marigold_peer_connections_closed_total",
             "Connections that have ended, by reason",
             { { "reason", reason } })
    .Increment();
  const wire::CallerLoss loss = wire::callerLoss(aClosed);
  if (loss == wire::CallerLoss::Refused) {
    mMetrics
      .counter("marigold_crossing_requests_refused_total",
               "Requests that crossed the close of their idle connection")
      .Increment();
  }
  const auto weight = loss == wire::CallerLoss::Unanswered
                        ? observe::LineWeight::Rare
                        : observe::LineWeight::Notable;
  if (loss == wire::CallerLoss::None || !mBudget.take(weight, aNow)) {
    return;
  }
  const bool expected =
    loss == wire::CallerLoss::LeftEarly || loss == wire::CallerLoss::Refused;
  const auto log = expected ? &observe::logInfo : &observe::logWarn;
  log(
    lossText(aSender, loss),
    { { "reason", reason },
      { "id",
        aClosed.openRequest != nullptr ? requestId(*aClosed.openRequest) : "" },
      { "request_open", aClosed.requestOpen ? "yes" : "no" },
      { "unanswered_bytes", std::to_string(aClosed.unansweredBytes) },
      { "delivered_bytes", std::to_string(aClosed.deliveredBytes) },
      { "unsent_bytes", std::to_string(aClosed.unsentBytes) },
      { "unacknowledged_bytes", std::to_string(aClosed.unacknowledgedBytes) },
      { "since_input_ms", formatMilliseconds(aClosed.sinceInput) },
      { "open_for_ms", formatMilliseconds(aClosed.sinceOpened) } });
}

void
RequestLog::logUnanswered(RequestSender aSender,
                          wire::CallerEnd aReason,
                          const wire::Request& aRequest,
                          base::TimePoint aNow)
{
  const char* reason = wire::callerEndName(aReason);
  ++mUnanswered;
  mMetrics
    .counter("marigold_unanswered_requests_total",
             "Requests that were left without a response, by sender and reason",
             { { "sender", senderName(aSender) }, { "reason", reason } })
    .Increment();
  if (mBudget.take(observe::LineWeight::Rare, aNow)) {
    observe::logWarn("request left without a response",
                     { { "id", requestId(aRequest.headers) },
                       { "sender", senderName(aSender) },
                       { "reason", reason } });
  }
}

void
RequestLog::logDroppedLines(base::TimePoint aNow)
{
  if (mBudget.refused() == 0 ||
      !mBudget.take(observe::LineWeight::Rare, aNow)) {
    return;
  }
  observe::logInfo("log lines left out",
                   { { "count", std::to_string(mBudget.takeRefused()) } });
}

} // namespace marigold::gateway
