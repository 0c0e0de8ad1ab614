#include "apps/entry/front.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace marigold::entry {
namespace {

using nlohmann::json;

/** A gap between two looks at the clock that only a pause explains. */
constexpr base::Duration kPauseGap = std::chrono::seconds(1);
constexpr base::Duration kPulsePeriod = std::chrono::milliseconds(100);

constexpr base::Duration kDrainCheckPeriod = std::chrono::milliseconds(20);

http::ServerLimits
limitsOf(const Settings& aSettings)
{
  http::ServerLimits limits;
  limits.bodyBytes = aSettings.maxBodyBytes;
  return limits;
}

} // namespace

Front::Front(ExchangeContext& aContext,
             const Settings& aSettings,
             base::Incarnation aIncarnation,
             std::function<base::Duration()> aContactAge)
  : mContext(aContext)
  , mSettings(aSettings)
  , mContactAge(std::move(aContactAge))
  , mIncarnation(aIncarnation)
  , mServer(aContext.loop,
            limitsOf(aSettings),
            [this](const http::Request& aRequest,
                   const std::shared_ptr<http::Responder>& aOut) {
              handle(aRequest, aOut);
            })
{
  mContext.configuration.changed().connect([this] { checkKeys(); });
}

base::Result<void>
Front::start()
{
  mAwakeAt = base::monotonicNow();
  mPulse = mContext.loop.every(kPulsePeriod, [this] { noteTime(); });
  return mServer.listen(mSettings.listen);
}

/** After a pause upstreams may have announced that they leave, so requests wait
 * until each engine has been asked again. */
void
Front::noteTime()
{
  const base::TimePoint now = base::monotonicNow();
  const base::Duration gap = now - std::exchange(mAwakeAt, now);
  if (gap < kPauseGap || mRefreshing) {
    return;
  }
  observe::logWarn("process was paused; views are refreshed",
                   { { "gap_ms", std::to_string(base::inMilliseconds(gap)) } });
  mRefreshing = true;
  mContext.upstreams.refresh([this] { resumeParked(); });
}

void
Front::resumeParked()
{
  mRefreshing = false;
  for (const Parked& parked : std::exchange(mParked, {})) {
    handle(parked.request, parked.out);
  }
}

bool
Front::ready() const
{
  return !mDraining && mContext.configuration.complete();
}

void
Front::handle(const http::Request& aRequest,
              const std::shared_ptr<http::Responder>& aOut)
{
  noteTime();
  if (mRefreshing) {
    mParked.push_back({ aRequest, aOut });
    return;
  }
  const std::string id = mSettings.vm + "-" + std::to_string(mIncarnation) +
                         "-" + std::to_string(++mRequests);
  if (!mContext.configuration.complete()) {
    aOut->reply(refusal(
      base::Code::NotReady, "this VM does not have its configuration yet", id));
    return;
  }
  if (aRequest.method == "GET" && aRequest.path == "/v1/models") {
    listModels(aOut);
    return;
  }
  auto caller = base::capture([&] {
    return readCallerRequest(
      aRequest, mContext.configuration, id, base::monotonicNow());
  });
  if (const base::Error* error = base::errorOf(caller)) {
    mContext.metrics
      .counter("marigold_requests_total",
               "Requests of callers by result code.",
               { { "code", std::string(base::codeInfo(error->code).name) } })
      .Increment();
    aOut->reply(refusal(error->code, error->message, id));
    return;
  }
  const CallerRequest& request = std::get<CallerRequest>(caller);
  if (isStale(request)) {
    aOut->reply(
      refusal(base::Code::KeyStale,
              "this data centre has been isolated for too long to know "
              "whether the key is still valid; the request was not run",
              id));
    return;
  }
  auto self = std::make_shared<std::list<Exchange>::iterator>();
  mExchanges.emplace_front(
    mContext, std::move(std::get<CallerRequest>(caller)), aOut, [this, self] {
      // The exchange is still on the stack, so it is destroyed a turn later.
      mContext.loop.post([this, self] { mExchanges.erase(*self); });
    });
  *self = mExchanges.begin();
  (*self)->start();
}

bool
Front::isStale(const CallerRequest& aCaller) const
{
  const config::Team* team =
    config::findTeam(mContext.configuration.manifest(), aCaller.team);
  return team != nullptr && mContactAge() > team->keyStaleness;
}

void
Front::listModels(const std::shared_ptr<http::Responder>& aOut) const
{
  json models = json::array();
  for (const config::Model& model : mContext.configuration.manifest().models) {
    models.push_back({ { "id", model.name }, { "object", "model" } });
    for (const config::Adapter& adapter : model.adapters) {
      models.push_back(
        { { "id", model.name + ":" + adapter.name }, { "object", "model" } });
    }
  }
  http::Response answer =
    observe::jsonAnswer(200, { { "object", "list" }, { "data", models } });
  answer.headers.emplace_back("Marigold-Outcome", "ran");
  aOut->reply(answer);
}

void
Front::checkKeys()
{
  for (Exchange& exchange : mExchanges) {
    exchange.checkKey();
  }
}

void
Front::drain(const std::function<void()>& aDrained)
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  // Requests are served until the balancer has noticed; only then does the
  // listener close, so that no connection in its queue is cut.
  mServer.closeAfterResponses();
  mDrainNotice = mContext.loop.after(mSettings.drainNotice, [this, aDrained] {
    mServer.stopListening();
    mDrainCheck = mContext.loop.every(kDrainCheckPeriod, [this, aDrained] {
      if (mExchanges.empty() && mServer.openRequests() == 0) {
        aDrained();
      }
    });
  });
}

} // namespace marigold::entry
