#include "chat/request.h"

#include "base/base.h"
#include "platform/untrusted_json.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>

namespace marigold::chat {
namespace {

using base::Code;
using nlohmann::json;

/** Output tokens of a request that does not limit them. */
constexpr std::uint32_t kDefaultOutputTokens = 256;
constexpr std::uint32_t kMaxOutputTokens = 1'000'000;
constexpr std::uint32_t kMaxChoices = 128;
/** A token is at least about four bytes long in the served languages. */
constexpr std::size_t kBytesPerToken = 4;
/** Further messages belong to the last part: each part takes room in a header
 * of the request to the engine. */
constexpr std::size_t kMaxParts = 32;

std::uint32_t
estimateTokens(std::size_t aBytes)
{
  return static_cast<std::uint32_t>(
    std::max<std::size_t>(1, aBytes / kBytesPerToken));
}

void
addPart(const json& aContent, std::vector<catalog::PromptPart>& aParts)
{
  const std::string text = aContent.dump();
  const std::uint32_t tokens = estimateTokens(text.size());
  if (aParts.size() < kMaxParts) {
    aParts.push_back({ base::hash64(text), tokens });
    return;
  }
  aParts.back().id = base::hash64(text, aParts.back().id);
  aParts.back().tokens += tokens;
}

base::Result<std::uint32_t>
readCount(const json& aContent,
          const char* aField,
          std::uint32_t aDefault,
          std::uint32_t aLimit)
{
  const auto field = aContent.find(aField);
  if (field == aContent.end() || field->is_null()) {
    return aDefault;
  }
  // A negative number compares as less than 1 only if it is read as signed.
  const bool valid =
    field->is_number_integer() &&
    (field->is_number_unsigned() || field->get<std::int64_t>() > 0) &&
    field->get<std::uint64_t>() >= 1 && field->get<std::uint64_t>() <= aLimit;
  if (!valid) {
    return base::fail(Code::BadRequest,
                      std::string(aField) + " is a whole number from 1 to " +
                        std::to_string(aLimit));
  }
  return field->get<std::uint32_t>();
}

base::Result<bool>
readStreamed(const json& aContent)
{
  const auto field = aContent.find("stream");
  if (field == aContent.end() || field->is_null()) {
    return false;
  }
  if (!field->is_boolean()) {
    return base::fail(Code::BadRequest, "stream is true or false");
  }
  return field->get<bool>();
}

base::Result<json>
parseObject(const std::string& aBody)
{
  try {
    json content = platform::parseUntrusted(aBody);
    if (content.is_object()) {
      return content;
    }
  } catch (const std::exception& error) {
    return base::fail(Code::BadRequest,
                      std::string("the body is not JSON: ") + error.what());
  }
  return base::fail(Code::BadRequest, "the body is not a JSON object");
}

base::Result<void>
readPrompt(const json& aContent, Request& aRequest)
{
  const auto messages = aContent.find("messages");
  if (messages == aContent.end() || !messages->is_array() ||
      messages->empty()) {
    return base::fail(Code::BadRequest,
                      "messages is a list of at least one message");
  }
  const auto tools = aContent.find("tools");
  if (tools != aContent.end() && !tools->empty()) {
    addPart(*tools, aRequest.prompt);
  }
  for (const json& message : *messages) {
    if (!message.is_object()) {
      return base::fail(Code::BadRequest, "each message is an object");
    }
    addPart(message, aRequest.prompt);
  }
  for (const catalog::PromptPart& part : aRequest.prompt) {
    aRequest.promptTokens += part.tokens;
  }
  return {};
}

catalog::ModelRef
readModel(const std::string& aName)
{
  const std::size_t colon = aName.find(':');
  if (colon == std::string::npos) {
    return { aName, {} };
  }
  return { aName.substr(0, colon), aName.substr(colon + 1) };
}

} // namespace

Call
callOf(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/v1/chat/completions") {
    return Call::Completion;
  }
  return path == "/v1/models" ? Call::ModelList : Call::None;
}

std::size_t
memoryToRead(const std::string& aBody)
{
  return platform::estimateTreeBytes(aBody);
}

base::Result<Request>
readRequest(const std::string& aBody)
{
  if (memoryToRead(aBody) > kMaxTreeBytes) {
    return base::fail(Code::BadRequest, "the body has too many elements");
  }
  BOOST_LEAF_AUTO(content, parseObject(aBody));
  Request request;
  const auto model = content.find("model");
  if (model == content.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty()) {
    return base::fail(Code::BadRequest, "model is the name of a model");
  }
  request.model = readModel(*model);
  BOOST_LEAF_CHECK(readPrompt(content, request));
  BOOST_LEAF_ASSIGN(request.streamed, readStreamed(content));
  // The newer name of the same limit.
  const bool newName = content.contains("max_completion_tokens");
  const char* limitName = newName ? "max_completion_tokens" : "max_tokens";
  BOOST_LEAF_AUTO(
    limit,
    readCount(content, limitName, kDefaultOutputTokens, kMaxOutputTokens));
  BOOST_LEAF_AUTO(choices, readCount(content, "n", 1, kMaxChoices));
  request.maxOutputTokens = limit * choices;
  // An engine must not produce more than the team was charged for.
  content[limitName] = limit;
  if (!request.streamed) {
    content["stream"] = true;
    content["stream_options"] = { { "include_usage", true } };
  }
  request.body = content.dump();
  return request;
}

} // namespace marigold::chat
