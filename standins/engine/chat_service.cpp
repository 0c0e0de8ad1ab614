#include "standins/engine/chat_service.h"

#include "observe/observe.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr int kDefaultMaxTokens = 16;
constexpr int kBytesPerToken = 4;
constexpr int kCrashExitCode = 70;
constexpr std::size_t kTruncatedBytes = 16;

json
errorJson(const char* aCode)
{
  return { { "error", { { "code", aCode } } } };
}

std::string
chunkEvent(const std::string& aId,
           const std::string& aModel,
           const std::string& aText)
{
  const json chunk = {
    { "id", aId },
    { "object", "chat.completion.chunk" },
    { "model", aModel },
    { "choices", { { { "index", 0 }, { "delta", { { "content", aText } } } } } }
  };
  return "data: " + chunk.dump() + "\n\n";
}

std::string
promptText(const json& aContent)
{
  std::string prompt;
  for (const json& message : aContent.value("messages", json::array())) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      prompt += message["content"].get<std::string>();
      prompt += '\n';
    }
  }
  return prompt;
}

int
intHeader(const http::Request& aRequest, std::string_view aHeader)
{
  return std::atoi(
    std::string(http::findHeader(aRequest.headers, aHeader)).c_str());
}

} // namespace

ChatService::ChatService(http::Loop& aLoop,
                         const ChatSettings& aSettings,
                         const Accelerator& aAccelerator,
                         RunRecord& aRecord)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mAccelerator(aAccelerator)
  , mRecord(aRecord)
  , mCache(aSettings.cache)
  , mBatch(aSettings.speed)
{
}

void
ChatService::setLeaving(bool aLeaving)
{
  if (aLeaving && !mLeaving) {
    mLeavingSince = base::monotonicNow();
  }
  mLeaving = aLeaving;
}

void
ChatService::start(const http::Request& aRequest,
                   const ResponderPtr& aResponder)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object() || !content.contains("model") ||
      !content["model"].is_string()) {
    aResponder->reply(observe::jsonAnswer(400, errorJson("no-model")));
    return;
  }
  Chat chat;
  chat.model = content["model"];
  const auto colon = chat.model.find(':');
  const auto version = mAccelerator.servingVersion(
    chat.model.substr(0, colon),
    colon == std::string::npos ? "" : chat.model.substr(colon + 1));
  if (!version) {
    aResponder->reply(
      observe::jsonAnswer(404, errorJson("model-not-resident")));
    return;
  }
  chat.request = aRequest;
  chat.id = http::findHeader(aRequest.headers, "X-Request-Id");
  chat.version = *version;
  chat.stream = content.value("stream", false);
  chat.requestedTokens = content.value("max_tokens", kDefaultMaxTokens);
  chat.resumedFrom = intHeader(aRequest, "X-Resume-From");
  chat.fault = mFaults.choose(aRequest.body);
  chat.reference = chat.fault == Fault::WrongId
                     ? "foreign"
                     : parseReferenceMarker(aRequest.body);
  if (mLeaving) {
    chat.sinceLeavingMs =
      base::inMilliseconds(base::monotonicNow() - mLeavingSince);
  }
  chat.responder = aResponder;
  enqueueChat(std::move(chat), intHeader(aRequest, "X-Priority"));
}

void
ChatService::enqueueChat(Chat aChat, int aPriority)
{
  const std::uint64_t serial = mNextSerial++;
  const std::string prompt =
    promptText(json::parse(aChat.request.body, nullptr, false));
  const std::size_t cached =
    mCache.lookUpAndInsert(aChat.model, prompt, base::monotonicNow());
  aChat.promptTokens = static_cast<int>(prompt.size()) / kBytesPerToken;
  BatchRequest entry;
  entry.serial = serial;
  entry.model = aChat.model.substr(0, aChat.model.find(':'));
  entry.version = aChat.version;
  entry.priority = aPriority;
  entry.produced = aChat.resumedFrom;
  entry.requestedTokens = aChat.requestedTokens;
  entry.prefill = mSettings.prefillPerToken *
                  static_cast<int>((prompt.size() - cached) / kBytesPerToken);
  entry.stalled = aChat.fault == Fault::Stall;
  // A client disconnect cancels the request.
  aChat.responder->onDisconnect([this, serial] {
    mBatch.remove(serial);
    mChats.erase(serial);
  });
  mChats.emplace(serial, std::move(aChat));
  mBatch.add(std::move(entry));
  admit();
}

bool
ChatService::cancel(const std::string& aId)
{
  for (auto chat = mChats.begin(); chat != mChats.end(); ++chat) {
    if (chat->second.id == aId) {
      const ResponderPtr responder = chat->second.responder;
      mBatch.remove(chat->first);
      mChats.erase(chat);
      responder->abort();
      admit();
      return true;
    }
  }
  return false;
}

void
ChatService::admit()
{
  for (const std::uint64_t serial : mBatch.admit(base::monotonicNow())) {
    startRunning(serial);
  }
  scheduleStep();
}

void
ChatService::startRunning(std::uint64_t aSerial)
{
  const Chat& chat = mChats.at(aSerial);
  mRecord.add(chat.request,
              { { "model", chat.model },
                { "version", chat.version },
                { "resumed_from", chat.resumedFrom },
                { "since_leaving_ms", chat.sinceLeavingMs } });
  if (chat.fault == Fault::Crash) {
    observe::logError("crash injected by a test", { { "request", chat.id } });
    _exit(kCrashExitCode);
  }
  if (chat.stream) {
    http::Headers headers = responseHeaders(chat);
    headers.emplace_back("Content-Type", "text/event-stream");
    chat.responder->startStream(200, headers);
  }
}

void
ChatService::scheduleStep()
{
  if (mStepScheduled || mBatch.running() == 0) {
    return;
  }
  mStepScheduled = true;
  mStepTimer = mLoop.after(mBatch.stepDuration(), [this] {
    mStepScheduled = false;
    step();
  });
}

void
ChatService::step()
{
  for (const ProducedToken& token : mBatch.step(base::monotonicNow())) {
    deliverToken(token);
  }
  admit();
}

void
ChatService::deliverToken(const ProducedToken& aToken)
{
  const auto place = mChats.find(aToken.serial);
  if (place == mChats.end()) {
    return;
  }
  Chat& chat = place->second;
  ++chat.produced;
  const std::string token =
    (chat.reference.empty() ? "" : chat.reference + ".") + "t" +
    std::to_string(aToken.index) + " ";
  if (chat.stream) {
    chat.responder->sendChunk(chunkEvent(chat.id, chat.model, token));
  }
  chat.text += token;
  if (!aToken.last && !shouldAbortNow(chat)) {
    return;
  }
  const Chat done = std::move(chat);
  mBatch.remove(aToken.serial);
  mChats.erase(place);
  finish(done);
}

/** Faults that abort a response do so after half of it is delivered. */
bool
ChatService::shouldAbortNow(const Chat& aChat) const
{
  const bool abortsMidway = aChat.fault == Fault::Cut ||
                            (aChat.fault == Fault::Truncate && aChat.stream);
  return abortsMidway &&
         aChat.produced * 2 >= aChat.requestedTokens - aChat.resumedFrom;
}

http::Headers
ChatService::responseHeaders(const Chat& aChat) const
{
  const bool wrong = aChat.fault == Fault::WrongId;
  http::Headers headers = { { "X-Request-Id",
                              wrong ? "wrong-" + aChat.id : aChat.id },
                            { "X-Model-Version", aChat.version } };
  if (mLeaving) {
    headers.emplace_back("X-Engine-State", "leaving");
  }
  return headers;
}

void
ChatService::finish(const Chat& aChat)
{
  if (aChat.fault == Fault::Cut) {
    if (!aChat.stream) {
      aChat.responder->startStream(200, responseHeaders(aChat));
    }
    aChat.responder->abort();
  } else if (aChat.stream) {
    finishStream(aChat);
  } else {
    finishNonStreaming(aChat);
  }
}

void
ChatService::finishStream(const Chat& aChat)
{
  if (aChat.fault != Fault::Truncate) {
    aChat.responder->sendChunk("data: [DONE]\n\n");
  }
  if (aChat.fault == Fault::Surplus) {
    aChat.responder->sendChunk(chunkEvent(aChat.id, aChat.model, "surplus "));
  }
  aChat.responder->endStream();
}

void
ChatService::finishNonStreaming(const Chat& aChat)
{
  const json message = { { "role", "assistant" }, { "content", aChat.text } };
  http::Response answer =
    observe::jsonAnswer(200,
                        { { "id", aChat.id },
                          { "object", "chat.completion" },
                          { "model", aChat.model },
                          { "choices",
                            { { { "index", 0 },
                                { "finish_reason", "stop" },
                                { "message", message } } } },
                          { "usage",
                            { { "prompt_tokens", aChat.promptTokens },
                              { "completion_tokens", aChat.produced } } } });
  for (const auto& header : responseHeaders(aChat)) {
    answer.headers.push_back(header);
  }
  const std::size_t length = answer.body.size();
  if (aChat.fault == Fault::Truncate) {
    answer.headers.emplace_back("Content-Length", std::to_string(length));
    answer.headers.emplace_back("Connection", "close");
    answer.body.resize(length - kTruncatedBytes);
  } else if (aChat.fault == Fault::Surplus) {
    answer.headers.emplace_back("Content-Length", std::to_string(length));
    answer.body += "surplus bytes";
  }
  aChat.responder->reply(answer);
}

} // namespace marigold::standin
