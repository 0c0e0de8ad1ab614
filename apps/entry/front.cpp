#include "apps/entry/front.h"

#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;

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
  return mServer.listen(mSettings.listen);
}

bool
Front::ready() const
{
  return mContext.configuration.complete();
}

void
Front::handle(const http::Request& aRequest,
              const std::shared_ptr<http::Responder>& aOut)
{
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

} // namespace marigold::entry
