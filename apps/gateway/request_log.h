/** @file One log line for each request, bounded under load, with metrics. */
#pragma once

#include "base/base.h"
#include "observe/metrics.h"

#include <cstdint>
#include <string>

namespace marigold::gateway {

/** How a request ended. */
struct RequestSummary
{
  std::string id;
  std::string route;
  std::string kind;
  std::string team;
  std::string model;
  std::string upstream;      ///< last one that was asked
  std::string outcome;       ///< result code by name, or complete
  std::string detail;        ///< the input that decided it
  std::uint64_t catalog = 0; ///< configuration version
  int status = 0;
  unsigned sends = 0;
  std::uint64_t events = 0;
  base::Duration duration{};
  base::Duration firstByte{}; ///< zero if none was sent
  base::Duration targetLatency{};
};

/**
 * Writes request lines to the log. Failures, refusals, retried and slow
 * requests are kept first; plain successes fill what is left of the rate. What
 * is left out is counted and logged.
 */
class RequestLog
{
public:
  explicit RequestLog(observe::Metrics& aMetrics);

  /** @param aSummary ended request @param aNow time */
  void logEnd(const RequestSummary& aSummary, base::TimePoint aNow);

  /** A step of a request that decided something: a retry, a resumption. */
  void logStep(const std::string& aId,
               const char* aStep,
               const std::string& aUpstream,
               const std::string& aReason,
               base::TimePoint aNow);

  /** Logs how many lines were left out. @param aNow time */
  void logDroppedLines(base::TimePoint aNow);

private:
  bool takeToken(double aReserve, base::TimePoint aNow);

  observe::Metrics& mMetrics;
  double mTokens;
  base::TimePoint mRefilled{};
  std::uint64_t mDroppedLines = 0;
};

} // namespace marigold::gateway
