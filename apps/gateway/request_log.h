/** @file Rate-limited request log with request metrics. */
#pragma once

#include "base/base.h"
#include "observe/line_budget.h"
#include "observe/metrics.h"
#include "wire/caller_connection.h"

#include <cstdint>
#include <string>

namespace marigold::gateway {

/** Who has sent a request to this VM. */
enum class RequestSender : std::uint8_t
{
  Caller,
  Peer ///< a VM that asks this one to pass it on
};

/** Result of a request, for its log line. */
struct RequestSummary
{
  std::string id;
  std::string route;
  std::string kind;
  std::string team;
  std::string model;
  std::string upstream;      ///< last upstream that was tried
  std::string outcome;       ///< name of the result code
  std::string detail;        ///< reason for the outcome
  std::uint64_t catalog = 0; ///< configuration version
  int status = 0;
  unsigned sends = 0;
  std::uint64_t events = 0;
  std::uint32_t promptTokens = 0; ///< size of the prompt; 0 for plain requests
  base::Duration duration{};
  base::Duration firstByte{}; ///< zero if none was sent
  base::Duration targetLatency{};
};

/**
 * Writes request lines to the log within a budget, in which failures, refusals,
 * and retried or slow requests go before plain ones, and connections that end
 * without a response before both. Dropped lines are counted and the count is
 * logged.
 */
class RequestLog
{
public:
  explicit RequestLog(observe::Metrics& aMetrics);

  /** Logs and counts a request that has ended.
   * @param aSummary result @param aNow time */
  void logEnd(const RequestSummary& aSummary, base::TimePoint aNow);

  /** Logs and counts a decision during a request, such as a retry. */
  void logStep(const std::string& aId,
               const char* aStep,
               const std::string& aUpstream,
               const std::string& aReason,
               base::TimePoint aNow);

  /** Counts an error that an upstream has made itself.
   * @param aUpstream that has answered @param aRoute of the request
   * @param aStatus of the answer */
  void countUpstreamError(const std::string& aUpstream,
                          const std::string& aRoute,
                          int aStatus);

  /** Counts a connection that has ended, and logs it if its sender lost a
   * response or a part of one. @param aSender that opened it
   * @param aClosed how it ended @param aNow time */
  void logClose(RequestSender aSender,
                const wire::ClosedCaller& aClosed,
                base::TimePoint aNow);

  /** Counts and logs a request that its connection had to answer, because the
   * request path has left it without a response. @param aSender of the request
   * @param aReason of the end @param aRequest the request @param aNow time */
  void logUnanswered(RequestSender aSender,
                     wire::CallerEnd aReason,
                     const wire::Request& aRequest,
                     base::TimePoint aNow);

  /** @return number of requests that logUnanswered() was told of */
  std::uint64_t unanswered() const { return mUnanswered; }

  /** Logs the number of dropped lines, if any. @param aNow time */
  void logDroppedLines(base::TimePoint aNow);

private:
  observe::Metrics& mMetrics;
  observe::LineBudget mBudget;
  std::uint64_t mUnanswered = 0;
};

} // namespace marigold::gateway
