#include "apps/gateway/store_call_report.h"

#include "observe/log.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

constexpr base::Duration kLogPeriod = 5s;

} // namespace

StoreCallReport::StoreCallReport(http::Loop& aLoop,
                                 platform::Client& aClient,
                                 observe::Metrics& aMetrics)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
{
  aClient.callEnded().connect(
    [this](const platform::CallRecord& aCall) { record(aCall); });
}

void
StoreCallReport::start()
{
  mTimer = mLoop.every(kLogPeriod, [this] { log(); });
}

void
StoreCallReport::record(const platform::CallRecord& aCall)
{
  mSummary.add(aCall);
  mMetrics
    .counter("marigold_store_calls_total",
             "Calls to the platform's store that have ended",
             { { "kind", platform::nameOf(aCall.kind) },
               { "outcome", platform::nameOf(aCall.outcome) },
               { "subject", aCall.reason.subject },
               { "cause", aCall.reason.cause } })
    .Increment();
}

void
StoreCallReport::log()
{
  if (!mSummary.empty()) {
    observe::logInfo("store calls", { { "calls", mSummary.takeText() } });
  }
}

} // namespace marigold::gateway
