#include "standins/engine/engine_service.h"

#include "observe/observe.h"

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr int kDefaultTokens = 16;
constexpr int kCapacity = 32;

json
chunkJson(const std::string& aId,
          const std::string& aModel,
          const std::string& aText)
{
  return { { "id", aId },
           { "object", "chat.completion.chunk" },
           { "model", aModel },
           { "choices",
             { { { "index", 0 }, { "delta", { { "content", aText } } } } } } };
}

} // namespace

EngineService::EngineService(http::Loop& aLoop, EngineOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mServer(aLoop,
            {},
            [this](const http::Request& aRequest, const Out& aOut) {
              handle(aRequest, aOut);
            })
  , mIncarnation(static_cast<std::uint64_t>(
      base::monotonicNow().time_since_epoch().count()))
{
}

base::Result<void>
EngineService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
EngineService::handle(const http::Request& aRequest, const Out& aOut)
{
  if (aRequest.path == "/v1/chat/completions") {
    startChat(aRequest, aOut);
  } else if (aRequest.path == "/v1/report") {
    aOut->reply(observe::jsonAnswer(200, report()));
  } else if (aRequest.path == "/_ran") {
    aOut->reply(observe::jsonAnswer(200, mRan));
  } else {
    aOut->reply(observe::jsonAnswer(404, { { "error", "no such path" } }));
  }
}

json
EngineService::report()
{
  json resident = json::array();
  for (const auto& [model, version] : mOptions.resident) {
    resident.push_back({ { "model", model },
                         { "version", version },
                         { "memory_mb", 0 },
                         { "adapters", json::array() } });
  }
  return { { "incarnation", mIncarnation },
           { "sequence", ++mReports },
           { "state", "live" },
           { "memory_mb", mOptions.memoryMb },
           { "used_mb", 0 },
           { "running", mRunning.size() },
           { "queued", 0 },
           { "capacity", kCapacity },
           { "fence", 0 },
           { "resident", resident },
           { "orders", json::array() } };
}

void
EngineService::startChat(const http::Request& aRequest, const Out& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object() || !content.contains("model")) {
    aOut->reply(observe::jsonAnswer(400, { { "error", "no model" } }));
    return;
  }
  const std::string model = content["model"];
  const std::string id(http::findHeader(aRequest.headers, "X-Request-Id"));
  if (!mOptions.resident.contains(model.substr(0, model.find(':')))) {
    aOut->reply(observe::jsonAnswer(
      404, { { "error", { { "code", "model-not-resident" } } } }));
    return;
  }
  json headers = json::object();
  for (const auto& [name, value] : aRequest.headers) {
    headers[name] = value;
  }
  mRan.push_back({ { "id", id },
                   { "model", model },
                   { "headers", headers },
                   { "query", aRequest.query },
                   { "body", aRequest.body } });
  const auto place = mRunning.emplace(mRunning.end());
  place->id = id;
  place->model = model;
  place->stream = content.value("stream", false);
  place->wanted = content.value("max_tokens", kDefaultTokens);
  place->out = aOut;
  aOut->onDisconnect([this, place] { mRunning.erase(place); });
  if (place->stream) {
    aOut->startStream(
      200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", id } });
  }
  place->timer =
    mLoop.every(mOptions.tokenPeriod, [this, place] { produceToken(place); });
}

void
EngineService::produceToken(Place aPlace)
{
  const std::string token = "t" + std::to_string(aPlace->produced++) + " ";
  if (aPlace->stream) {
    aPlace->out->sendChunk(
      "data: " + chunkJson(aPlace->id, aPlace->model, token).dump() + "\n\n");
  } else {
    aPlace->text += token;
  }
  if (aPlace->produced >= aPlace->wanted) {
    finish(aPlace);
  }
}

void
EngineService::finish(Place aPlace)
{
  const Running done = std::move(*aPlace);
  mRunning.erase(aPlace);
  if (done.stream) {
    done.out->sendChunk("data: [DONE]\n\n");
    done.out->endStream();
    return;
  }
  http::Answer answer = observe::jsonAnswer(
    200,
    { { "id", done.id },
      { "object", "chat.completion" },
      { "model", done.model },
      { "choices",
        { { { "index", 0 },
            { "finish_reason", "stop" },
            { "message",
              { { "role", "assistant" }, { "content", done.text } } } } } },
      { "usage", { { "completion_tokens", done.produced } } } });
  answer.headers.emplace_back("X-Request-Id", done.id);
  done.out->reply(answer);
}

} // namespace marigold::standin
