#include "apps/gateway/request_server.h"

#include "apps/gateway/own_response.h"

#include <algorithm>

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** The load balancer removes a VM after two failed probes, one per second. */
constexpr base::Duration kDrainNotice = 2600ms;
/** Fraction of the grace period after which open requests are ended, so that
 * their callers still receive a response. */
constexpr double kServeFraction = 0.85;
/** Fraction of the grace period after which the process exits, even if callers
 * have not read all of their responses. */
constexpr double kRunFraction = 0.95;

} // namespace

RequestServer::RequestServer(RequestContext& aContext)
  : mContext(aContext)
  , mCallers(aContext.loop,
             [this](const std::shared_ptr<wire::CallerConnection>& aCaller) {
               std::make_shared<Exchange>(mContext, aCaller)->start();
             })
{
  mCallers.setMemoryBudget(mContext.memory);
  mCallers.refuseCrossingRequests(
    { { "Marigold-Outcome",
        std::string(base::outcomeName(base::Outcome::NotRun)) } });
  mCallers.setFallback([this](const wire::Request& aRequest) {
    ++mFallbackResponses;
    return unknownOutcomeResponse(
      http::findHeader(aRequest.headers, boundary::kRequestIdHeader));
  });
  mCallers.onUnanswered(
    [this](wire::CallerEnd aReason, const wire::Request& aRequest) {
      mContext.log.logUnanswered(
        RequestSender::Caller, aReason, aRequest, base::monotonicNow());
    });
}

RequestServer::~RequestServer()
{
  // Requests hold connections, which refer to mCallers.
  mContext.openRequests.clear();
}

base::Result<void>
RequestServer::listen(const base::Address& aAddress)
{
  return mCallers.listen(aAddress);
}

bool
RequestServer::applyCatalog(
  const std::shared_ptr<const CatalogSnapshot>& aSnapshot)
{
  if (!mContext.catalog.replaceIfNewer(aSnapshot)) {
    return false;
  }
  const catalog::Catalog& content = aSnapshot->content;
  std::map<base::TeamName, quota::Limit> limits;
  for (const catalog::Team& team : *content.teams) {
    if (team.rate > 0) {
      limits[team.name] = { team.rate, team.burst };
    }
  }
  mContext.quota.setLimits(limits, base::monotonicNow());
  mCallers.setLimits({ content.callerLimits.headerBytes,
                       content.callerLimits.bodyBytes,
                       content.callerLimits.headerTimeout,
                       content.callerLimits.idleTimeout });
  mContext.streams.applyCatalog(content);
  return true;
}

void
RequestServer::beginDrain(std::function<void()> aListeningStopped)
{
  mDraining = true;
  mListeningStopped = std::move(aListeningStopped);
  const base::TimePoint startedAt = base::monotonicNow();
  const double grace = base::inSeconds(mContext.settings.gracePeriod);
  const auto serve = base::fromSeconds(grace * kServeFraction);
  mContext.endRequestsAt = startedAt + serve;
  const auto notice = std::min(kDrainNotice, serve);
  mContext.refuseAfter = startedAt + notice;
  // Separate timers, because a periodic one may run up to a whole period later.
  http::Loop& loop = mContext.loop;
  mTimers.push_back(loop.after(notice, [this] { stopListening(); }));
  mTimers.push_back(loop.after(serve, [this] { endOpenRequests(); }));
  mTimers.push_back(loop.after(base::fromSeconds(grace * kRunFraction),
                               [&loop] { loop.stop(); }));
  mCallers.closeAfterResponses();
}

bool
RequestServer::drained() const
{
  // A request without a caller may still be open if it must not be cancelled.
  return mDraining && !mListening && mCallers.openRequests() == 0 &&
         mContext.openRequests.empty();
}

void
RequestServer::stopListening()
{
  mListening = false;
  mCallers.stop();
  mListeningStopped();
}

void
RequestServer::endOpenRequests()
{
  for (const auto& request : std::set(mContext.openRequests)) {
    request->shutdown();
  }
  // The rest of a long body may arrive as the process ends.
  mCallers.refuseIncomplete([](const http::Headers& aRequest) {
    return outcomeHeaders(
      base::Code::Draining,
      base::Outcome::NotRun,
      http::findHeader(aRequest, boundary::kRequestIdHeader));
  });
}

} // namespace marigold::gateway
