/** @file Tests of the chat library. */
#include "chat/chat.h"

// Before CppUTest, whose macros replace operator new.
#include <nlohmann/json.hpp>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using nlohmann::json;

namespace {

json
makeContent()
{
  return { { "model", "m1:a1" },
           { "max_tokens", 20 },
           { "stream", true },
           { "messages",
             { { { "role", "system" }, { "content", "Be brief." } },
               { { "role", "user" }, { "content", "Pod 7?" } } } } };
}

chat::Request
read(const json& aContent)
{
  auto result =
    base::capture([&] { return chat::readRequest(aContent.dump()); });
  const base::Error* error = base::errorOf(result);
  CHECK_TEXT(error == nullptr, "the request must be accepted");
  return std::get<chat::Request>(result);
}

void
checkRefused(const std::string& aBody)
{
  auto result = base::capture([&] { return chat::readRequest(aBody); });
  const base::Error* error = base::errorOf(result);
  CHECK_TEXT(error != nullptr, aBody.c_str());
  LONGS_EQUAL(base::Code::BadRequest, error->code);
}

void
checkRefused(const char* aField, const json& aValue)
{
  json content = makeContent();
  content[aField] = aValue;
  checkRefused(content.dump());
}

std::string
chunk(const json& aDelta, const json& aReason = nullptr)
{
  return "id: 1\ndata: " +
         json{
           { "id", "c1" },
           { "object", "chat.completion.chunk" },
           { "created", 5 },
           { "model", "m1" },
           { "choices",
             { { { "index", 0 },
                 { "delta", aDelta },
                 { "finish_reason", aReason } } } }
         }.dump() +
         "\n\n";
}

} // namespace

TEST_GROUP(CallOf){};

// A path that only begins like one of the API must not be taken for it.
TEST(CallOf, KnowsThePathsOfTheApi)
{
  CHECK(chat::callOf("/v1/chat/completions") == chat::Call::Completion);
  CHECK(chat::callOf("/v1/chat/completions?x=1") == chat::Call::Completion);
  CHECK(chat::callOf("/v1/models") == chat::Call::ModelList);
  CHECK(chat::callOf("/v1/models/m1") == chat::Call::None);
  CHECK(chat::callOf("/chat/completions") == chat::Call::None);
}

TEST_GROUP(ReadRequest){};

// The request path must learn model, adapter and tokens from the body.
TEST(ReadRequest, TakesTheMetadataFromTheBody)
{
  const chat::Request request = read(makeContent());
  STRCMP_EQUAL("m1/a1", request.model.text().c_str());
  CHECK(request.streamed);
  LONGS_EQUAL(20, request.maxOutputTokens);
  LONGS_EQUAL(2, request.prompt.size());
  LONGS_EQUAL(request.prompt[0].tokens + request.prompt[1].tokens,
              request.promptTokens);
  CHECK(json::parse(request.body) == makeContent());
}

// Conversations with the same beginning must share the parts of their prompts,
// or no engine is found that has them in its cache.
TEST(ReadRequest, SameMessagesAreTheSameParts)
{
  json longer = makeContent();
  longer["messages"].push_back({ { "role", "user" }, { "content", "And 8?" } });
  const auto parts = read(makeContent()).prompt;
  const auto more = read(longer).prompt;
  LONGS_EQUAL(3, more.size());
  CHECK(parts[0].id == more[0].id && parts[1].id == more[1].id);
  CHECK(parts[0].id != parts[1].id);
}

// Many messages must neither enlarge the header without bound nor lose tokens.
TEST(ReadRequest, ManyMessagesEndInOnePart)
{
  json content = makeContent();
  for (int number = 0; number < 1000; ++number) {
    content["messages"].push_back(
      { { "role", "user" }, { "content", std::to_string(number) } });
  }
  const chat::Request request = read(content);
  CHECK(request.prompt.size() <= 32);
  content["messages"].back()["content"] = "other";
  CHECK(request.prompt.back().id != read(content).prompt.back().id);
  CHECK(request.promptTokens >= 1000);
}

// An engine must not produce more than the team was charged for.
TEST(ReadRequest, OutputIsAlwaysLimited)
{
  json content = makeContent();
  content.erase("max_tokens");
  const chat::Request request = read(content);
  LONGS_EQUAL(request.maxOutputTokens,
              json::parse(request.body)["max_tokens"].get<int>());
  content["max_completion_tokens"] = 7;
  LONGS_EQUAL(7, read(content).maxOutputTokens);
  content["n"] = 3;
  LONGS_EQUAL(21, read(content).maxOutputTokens);
}

// A whole answer must be asked for as events too, so that a broken one can be
// resumed elsewhere.
TEST(ReadRequest, EngineIsAlwaysAskedForEvents)
{
  json content = makeContent();
  content.erase("stream");
  const chat::Request request = read(content);
  CHECK(!request.streamed);
  CHECK(json::parse(request.body)["stream"].get<bool>());
}

// A malformed request must be refused, and must not end the process.
TEST(ReadRequest, RefusesWhatItCannotRead)
{
  checkRefused("");
  checkRefused("[]");
  checkRefused("{\"model\":");
  checkRefused(std::string(100'000, '['));
  checkRefused("{\"model\":\"\xff\"}");
  checkRefused("model", nullptr);
  checkRefused("model", "");
  checkRefused("messages", json::array());
  checkRefused("messages", { 1 });
  checkRefused("stream", "yes");
  for (const json& wrong : { json(0),
                             json(-1),
                             json(1.5),
                             json("9"),
                             json(5'000'000'000),
                             json(INT64_MIN) }) {
    checkRefused("max_tokens", wrong);
    checkRefused("n", wrong);
  }
}

TEST_GROUP(AnswerReader)
{
  base::MemoryBudget memory;
};

// Without its final event an answer has broken off.
TEST(AnswerReader, CompleteOnlyAfterTheFinalEvent)
{
  chat::AnswerReader reader(false, memory);
  CHECK(reader.add(chunk({ { "content", "a" } })));
  CHECK(!reader.complete());
  CHECK(reader.add("id: 2\r\ndata: [DONE]\r\n\r\n"));
  CHECK(reader.complete());
}

// A whole answer must hold each piece once and in order, with what ended it.
TEST(AnswerReader, JoinsThePiecesOfAText)
{
  chat::AnswerReader reader(true, memory);
  CHECK(reader.add(chunk({ { "role", "assistant" }, { "content", "" } })));
  CHECK(reader.add(": comment\n\n"));
  CHECK(reader.add(chunk({ { "content", "Pod " } })));
  CHECK(reader.add(chunk({ { "content", "7." } }, "stop")));
  CHECK(reader.add(R"(data: {"choices":[],"usage":{"total_tokens":9}})"
                   "\n\n"));
  CHECK(reader.add("data: [DONE]\n\n"));
  const json answer = json::parse(reader.joined());
  const json& choice = answer["choices"][0];
  STRCMP_EQUAL("chat.completion", answer["object"].get<std::string>().c_str());
  STRCMP_EQUAL("c1", answer["id"].get<std::string>().c_str());
  STRCMP_EQUAL("Pod 7.",
               choice["message"]["content"].get<std::string>().c_str());
  STRCMP_EQUAL("assistant",
               choice["message"]["role"].get<std::string>().c_str());
  STRCMP_EQUAL("stop", choice["finish_reason"].get<std::string>().c_str());
  LONGS_EQUAL(9, answer["usage"]["total_tokens"].get<int>());
}

// The arguments of a tool call come in pieces under the index of the call.
TEST(AnswerReader, JoinsToolCallsByTheirIndex)
{
  const auto piece = [](int aIndex, const json& aCall) {
    json call = aCall;
    call["index"] = aIndex;
    return chunk({ { "tool_calls", { call } } });
  };
  chat::AnswerReader reader(true, memory);
  CHECK(reader.add(
    piece(0,
          { { "id", "x" },
            { "function", { { "name", "f" }, { "arguments", "{\"a\"" } } } })));
  CHECK(reader.add(
    piece(1, { { "id", "y" }, { "function", { { "name", "g" } } } })));
  CHECK(reader.add(piece(0, { { "function", { { "arguments", ":1}" } } } })));
  const json calls =
    json::parse(reader.joined())["choices"][0]["message"]["tool_calls"];
  LONGS_EQUAL(2, calls.size());
  STRCMP_EQUAL("{\"a\":1}",
               calls[0]["function"]["arguments"].get<std::string>().c_str());
  STRCMP_EQUAL("f", calls[0]["function"]["name"].get<std::string>().c_str());
  CHECK(!calls[0].contains("index"));
}

// Guards against many joined answers that together take the memory of the VM.
TEST(AnswerReader, CountsWhatItJoins)
{
  {
    chat::AnswerReader reader(true, memory);
    const std::string text(1000, 'x');
    CHECK(reader.add(chunk({ { "content", text } })));
    CHECK(reader.add(chunk({ { "content", text } })));
    CHECK(memory.used() >= 2 * text.size());
  }
  LONGS_EQUAL(0, memory.used());
}

// An engine in trouble must not end the process or fill its memory, and its
// error must not become a part of an answer.
TEST(AnswerReader, RefusesEventsThatCannotBeJoined)
{
  for (const char* data : { "no JSON",
                            "[1]",
                            "{}",
                            R"({"error":{"message":"x"},"choices":[]})",
                            R"({"choices":[1]})",
                            R"({"choices":[{"index":-1}]})",
                            R"({"choices":[{"index":1000000}]})" }) {
    chat::AnswerReader reader(true, memory);
    CHECK_TEXT(!reader.add("data: " + std::string(data) + "\n\n"), data);
  }
  chat::AnswerReader endless(true, memory);
  const std::string event = chunk({ { "content", std::string(65536, 'x') } });
  int count = 0;
  while (count < 1000 && endless.add(event)) {
    ++count;
  }
  CHECK(count < 100);
}

TEST_GROUP(ErrorBody){};

// Clients of the API read the error from its body and decide by its type.
TEST(ErrorBody, HasTheFormOfTheApi)
{
  const json error =
    json::parse(chat::errorBody(base::Code::RateExceeded))["error"];
  STRCMP_EQUAL("rate_limit_error", error["type"].get<std::string>().c_str());
  STRCMP_EQUAL("rate_limit_exceeded", error["code"].get<std::string>().c_str());
  CHECK(!error["message"].get<std::string>().empty());
  const json detailed =
    json::parse(chat::errorBody(base::Code::BadRequest, "no model"))["error"];
  STRCMP_EQUAL("no model", detailed["message"].get<std::string>().c_str());
  CHECK(chat::errorEvent(base::Code::UpstreamFailed).starts_with("data: {"));
}

TEST_GROUP(ModelList){};

// Adapters must be listed under the names that requests use for them.
TEST(ModelList, NamesModelsAndAdapters)
{
  catalog::Service service;
  service.name = "llm";
  service.engine.emplace();
  catalog::Model model;
  model.name = "m1";
  model.adapters = { "a1" };
  service.engine->models["m1"] = model;
  const json list = json::parse(chat::modelList({ &service }));
  LONGS_EQUAL(2, list["data"].size());
  STRCMP_EQUAL("m1:a1", list["data"][1]["id"].get<std::string>().c_str());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
