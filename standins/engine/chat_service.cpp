#include "standins/engine/chat_service.h"

#include "observe/observe.h"

#include <cstdlib>
#include <unistd.h>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr int kDefaultTokens = 16;
constexpr int kBytesPerToken = 4;
constexpr int kCrashExitCode = 70;
constexpr std::size_t kMissingBytes = 16;

json
errorJson(const char* aCode)
{
  return { { "error", { { "code", aCode } } } };
}

std::string
chunkText(const std::string& aId,
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
promptOf(const json& aContent)
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
numberIn(const http::Request& aRequest, std::string_view aHeader)
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
ChatService::start(const http::Request& aRequest, const Out& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object() || !content.contains("model") ||
      !content["model"].is_string()) {
    aOut->reply(observe::jsonAnswer(400, errorJson("no-model")));
    return;
  }
  Chat chat;
  chat.model = content["model"];
  const auto colon = chat.model.find(':');
  const auto version = mAccelerator.serving(
    chat.model.substr(0, colon),
    colon == std::string::npos ? "" : chat.model.substr(colon + 1));
  if (!version) {
    aOut->reply(observe::jsonAnswer(404, errorJson("model-not-resident")));
    return;
  }
  chat.request = aRequest;
  chat.id = http::findHeader(aRequest.headers, "X-Request-Id");
  chat.version = *version;
  chat.stream = content.value("stream", false);
  chat.wanted = content.value("max_tokens", kDefaultTokens);
  chat.resumedFrom = numberIn(aRequest, "X-Resume-From");
  chat.fault = mFaults.choose(aRequest.body);
  chat.reference =
    chat.fault == Fault::WrongId ? "foreign" : referenceIn(aRequest.body);
  if (mLeaving) {
    chat.sinceLeavingMs =
      base::inMilliseconds(base::monotonicNow() - mLeavingSince);
  }
  chat.out = aOut;
  enqueue(std::move(chat), numberIn(aRequest, "X-Priority"));
}

void
ChatService::enqueue(Chat aChat, int aPriority)
{
  const std::uint64_t serial = mNextSerial++;
  const std::string prompt =
    promptOf(json::parse(aChat.request.body, nullptr, false));
  const std::size_t cached =
    mCache.use(aChat.model, prompt, base::monotonicNow());
  aChat.promptTokens = static_cast<int>(prompt.size()) / kBytesPerToken;
  BatchRequest entry;
  entry.serial = serial;
  entry.model = aChat.model.substr(0, aChat.model.find(':'));
  entry.version = aChat.version;
  entry.priority = aPriority;
  entry.produced = aChat.resumedFrom;
  entry.wanted = aChat.wanted;
  entry.prefill = mSettings.prefillPerToken *
                  static_cast<int>((prompt.size() - cached) / kBytesPerToken);
  entry.stalled = aChat.fault == Fault::Stall;
  // A caller that hangs up cancels its request.
  aChat.out->onDisconnect([this, serial] {
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
      const Out out = chat->second.out;
      mBatch.remove(chat->first);
      mChats.erase(chat);
      out->abort();
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
    begin(serial);
  }
  arm();
}

void
ChatService::begin(std::uint64_t aSerial)
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
    http::Headers headers = headersOf(chat);
    headers.emplace_back("Content-Type", "text/event-stream");
    chat.out->startStream(200, headers);
  }
}

void
ChatService::arm()
{
  if (mStepArmed || mBatch.running() == 0) {
    return;
  }
  mStepArmed = true;
  mStep = mLoop.after(mBatch.period(), [this] {
    mStepArmed = false;
    step();
  });
}

void
ChatService::step()
{
  for (const ProducedToken& token : mBatch.step(base::monotonicNow())) {
    deliver(token);
  }
  admit();
}

void
ChatService::deliver(const ProducedToken& aToken)
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
    chat.out->sendChunk(chunkText(chat.id, chat.model, token));
  }
  chat.text += token;
  if (!aToken.last && !cutsNow(chat)) {
    return;
  }
  const Chat done = std::move(chat);
  mBatch.remove(aToken.serial);
  mChats.erase(place);
  finish(done);
}

/** Half of the answer is delivered before a fault breaks it off. */
bool
ChatService::cutsNow(const Chat& aChat) const
{
  const bool breaks = aChat.fault == Fault::Cut ||
                      (aChat.fault == Fault::Truncate && aChat.stream);
  return breaks && aChat.produced * 2 >= aChat.wanted - aChat.resumedFrom;
}

http::Headers
ChatService::headersOf(const Chat& aChat) const
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
      aChat.out->startStream(200, headersOf(aChat));
    }
    aChat.out->abort();
  } else if (aChat.stream) {
    finishStream(aChat);
  } else {
    finishPlain(aChat);
  }
}

void
ChatService::finishStream(const Chat& aChat)
{
  if (aChat.fault != Fault::Truncate) {
    aChat.out->sendChunk("data: [DONE]\n\n");
  }
  if (aChat.fault == Fault::Surplus) {
    aChat.out->sendChunk(chunkText(aChat.id, aChat.model, "surplus "));
  }
  aChat.out->endStream();
}

void
ChatService::finishPlain(const Chat& aChat)
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
  for (const auto& header : headersOf(aChat)) {
    answer.headers.push_back(header);
  }
  const std::size_t length = answer.body.size();
  if (aChat.fault == Fault::Truncate) {
    answer.headers.emplace_back("Content-Length", std::to_string(length));
    answer.headers.emplace_back("Connection", "close");
    answer.body.resize(length - kMissingBytes);
  } else if (aChat.fault == Fault::Surplus) {
    answer.headers.emplace_back("Content-Length", std::to_string(length));
    answer.body += "surplus bytes";
  }
  aChat.out->reply(answer);
}

} // namespace marigold::standin
