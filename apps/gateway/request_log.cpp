#include "apps/gateway/request_log.h"

#include "observe/log.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

/** A line takes about 30 microseconds, so that logging stays below two percent
 * of a quarter of a core. */
constexpr double kLinesPerSecond = 100;
constexpr double kBurstLines = 200;
/** Part of the burst that successful requests cannot use. */
constexpr double kReservedLines = 100;

std::string
formatMilliseconds(base::Duration aDuration)
{
  return std::to_string(base::inMilliseconds(aDuration));
}

} // namespace

RequestLog::RequestLog(observe::Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mTokens(kBurstLines)
{
}

bool
RequestLog::takeToken(double aReserve, base::TimePoint aNow)
{
  if (mRefilled != base::TimePoint{}) {
    mTokens =
      std::min(kBurstLines,
               mTokens + kLinesPerSecond * base::inSeconds(aNow - mRefilled));
  }
  mRefilled = aNow;
  if (mTokens < aReserve + 1) {
    ++mDroppedLines;
    return false;
  }
  mTokens -= 1;
  return true;
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
  if (!takeToken(plain ? kReservedLines : 0, aNow)) {
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
  if (!takeToken(0, aNow)) {
    return;
  }
  observe::logInfo(
    aStep, { { "id", aId }, { "upstream", aUpstream }, { "reason", aReason } });
}

void
RequestLog::logCallerClose(const wire::ClosedCaller& aClosed,
                           base::TimePoint aNow)
{
  const char* reason = wire::callerEndName(aClosed.end);
  mMetrics
    .counter("marigold_caller_connections_closed_total",
             "Connections of callers that have ended, by reason",
             { { "reason", reason } })
    .Increment();
  // A caller that leaves during its request is in the line of the request.
  const bool logged =
    aClosed.requestOpen && aClosed.end == wire::CallerEnd::ClosedByCaller;
  const bool complete =
    aClosed.unansweredBytes == 0 && aClosed.unacknowledgedBytes == 0;
  if (logged || complete || !takeToken(0, aNow)) {
    return;
  }
  // A caller that closes while its last response is on its way loses it by its
  // own doing.
  const bool leftEarly = aClosed.unansweredBytes == 0 &&
                         aClosed.end == wire::CallerEnd::ClosedByCaller;
  const auto log = leftEarly ? &observe::logInfo : &observe::logWarn;
  log(leftEarly ? "caller left before it had its whole response"
      : aClosed.unansweredBytes > 0
        ? "caller connection ended without a response"
        : "caller may not have its whole response",
      { { "reason", reason },
        { "request_open", aClosed.requestOpen ? "yes" : "no" },
        { "unanswered_bytes", std::to_string(aClosed.unansweredBytes) },
        { "unsent_bytes", std::to_string(aClosed.unsentBytes) },
        { "unacknowledged_bytes", std::to_string(aClosed.unacknowledgedBytes) },
        { "since_input_ms", formatMilliseconds(aClosed.sinceInput) },
        { "open_for_ms", formatMilliseconds(aClosed.sinceOpened) } });
}

void
RequestLog::logDroppedLines(base::TimePoint aNow)
{
  if (mDroppedLines == 0 || !takeToken(0, aNow)) {
    return;
  }
  observe::logInfo("log lines left out",
                   { { "count", std::to_string(mDroppedLines) } });
  mDroppedLines = 0;
}

} // namespace marigold::gateway
