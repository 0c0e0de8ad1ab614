#include "observe/operator_server.h"

#include <nlohmann/json.hpp>

namespace marigold::observe {
namespace {

constexpr int kDumpIndent = 2;

} // namespace

http::Response
jsonAnswer(int aStatus, const nlohmann::json& aContent)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           aContent.dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

OperatorServer::OperatorServer(http::Loop& aLoop, const Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mServer(aLoop,
            {},
            [this](const http::Request& aRequest,
                   const std::shared_ptr<http::Responder>& aResponder) {
              handle(aRequest, aResponder);
            })
{
}

base::Result<void>
OperatorServer::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
OperatorServer::addDumpSection(const std::string& aSection, Report aReport)
{
  mDumps[aSection] = std::move(aReport);
}

void
OperatorServer::addHandler(const std::string& aMethod,
                           const std::string& aPath,
                           http::Handler aHandler)
{
  mHandlers[aMethod + " " + aPath] = std::move(aHandler);
}

void
OperatorServer::handle(const http::Request& aRequest,
                       const std::shared_ptr<http::Responder>& aResponder)
{
  const std::string target = aRequest.method + " " + aRequest.path;
  const auto found = mHandlers.find(target);
  if (found != mHandlers.end()) {
    found->second(aRequest, aResponder);
    return;
  }
  if (target == "GET /metrics") {
    aResponder->reply({ 200,
                        { { "Content-Type", "text/plain; version=0.0.4" } },
                        mMetrics.serialize() });
    return;
  }
  if (target == "GET /ready") {
    const bool ready = !mReady || mReady();
    aResponder->reply(jsonAnswer(ready ? 200 : 503, { { "ready", ready } }));
    return;
  }
  if (target == "GET /status") {
    aResponder->reply(
      jsonAnswer(200, mStatus ? mStatus() : nlohmann::json::object()));
    return;
  }
  if (target == "GET /dump") {
    nlohmann::json dump = nlohmann::json::object();
    for (const auto& [section, report] : mDumps) {
      dump[section] = report();
    }
    http::Response response = jsonAnswer(200, {});
    response.body = dump.dump(
      kDumpIndent, ' ', false, nlohmann::json::error_handler_t::replace);
    aResponder->reply(response);
    return;
  }
  aResponder->reply(jsonAnswer(404, { { "error", "no such path" } }));
}

} // namespace marigold::observe
