/** @file Tests of responses whose status HTTP doesn't have or that must not
 * have a body. */
#include "wire/tests/manual_peers.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <memory>
#include <optional>
#include <string>

using namespace marigold;
using namespace std::chrono_literals;
using test::kAddress;
using test::ManualServer;
using test::runPending;

namespace {

/** In which a call must end whose response has arrived. */
constexpr base::Duration kAtOnce = 200ms;

constexpr const char* kOwnId = "X-Request-Id: a\r\n";
constexpr const char* kBody = "Content-Length: 7\r\n\r\nforeign";
constexpr const char* kChunks =
  "Transfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n";
constexpr const char* kEvents = "Content-Type: text/event-stream\r\n";

/** @return a response of the upstream to the call */
std::string
response(const std::string& aStatus, const std::string& aRest)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + kOwnId + aRest;
}

} // namespace

TEST_GROUP(ResponseStatus)
{
  http::Loop loop;
  wire::ConnectionPool pool{ loop };
  std::unique_ptr<ManualServer> server;
  std::unique_ptr<wire::PooledCall> call;
  std::optional<wire::CallFailure> failure;
  std::optional<int> status;
  std::string body;
  bool complete = false;

  void teardown() override
  {
    call.reset();
    runPending(loop);
  }

  void startCall()
  {
    failure.reset();
    status.reset();
    body.clear();
    complete = false;
    wire::CallEvents events;
    events.head = [this](const wire::ResponseHead& aHead) {
      status = aHead.status;
    };
    events.body = [this](std::string_view aBytes) { body += aBytes; };
    events.complete = [this] {
      complete = true;
      loop.stop();
    };
    events.failed = [this](wire::CallFailure aFailure) {
      failure = aFailure;
      loop.stop();
    };
    call = pool.start(
      { "u", kAddress },
      { [] { return std::optional<std::string>("GET / HTTP/1.1\r\n\r\n"); },
        "X-Request-Id",
        "a",
        false },
      std::move(events),
      4);
    runPending(loop);
  }

  /** Runs a call whose upstream sends these bytes and keeps the connection
   * open. */
  void runCall(const std::string& aBytes)
  {
    server.reset(); // Its port must be free before the next one binds it.
    server = std::make_unique<ManualServer>();
    startCall();
    CHECK(!server->received().empty());
    server->respond(aBytes);
    const auto limit = loop.after(kAtOnce, [this] { loop.stop(); });
    loop.run();
    call.reset();
    runPending(loop);
  }

  std::size_t connections()
  {
    return pool.connections({ "u", kAddress });
  }
};

// Guards against a status that HTTP doesn't have taken for an interim response,
// whose call waits for another one, or passed on.
TEST(ResponseStatus, ThatHttpDoesNotHaveIsMalformedAtOnce)
{
  for (const char* number : { "000", "020", "20", "099", "600", "999" }) {
    for (const char* rest : { kBody, kChunks, "\r\n" }) {
      runCall(response(number, rest));
      CHECK_TEXT(failure == wire::CallFailure::Malformed, number);
      CHECK_TEXT(!status && body.empty() && !complete, number);
      LONGS_EQUAL_TEXT(0, connections(), number);
    }
  }
}

// Guards against a status whose zeros in front are dropped, so that it is taken
// for another one, also if it arrives in parts.
TEST(ResponseStatus, WithOtherThanThreeDigitsIsMalformedAtOnce)
{
  for (const char* number : { "0200", "00204", "0103", "2", "2000" }) {
    for (const char* rest : { kBody, kChunks, "\r\n" }) {
      runCall(response(number, rest));
      CHECK_TEXT(failure == wire::CallFailure::Malformed, number);
      CHECK_TEXT(!status && body.empty() && !complete, number);
    }
    runCall(response("100", "\r\n") + response(number, kBody));
    CHECK_TEXT(failure == wire::CallFailure::Malformed, number);
  }
  for (const char* number : { "0200", "200" }) {
    wire::Parser parser(
      wire::Parser::Kind::Responses,
      1024,
      { [] { return true; }, [](std::string_view) {}, [] {} });
    for (const char byte : "\r\n" + response(number, kBody)) {
      parser.feed({ &byte, 1 });
    }
    CHECK_EQUAL(std::string(number) == "0200", parser.failed());
  }
}

// Guards against a status line without a reason that is rejected.
TEST(ResponseStatus, NeedsNoReason)
{
  runCall("HTTP/1.1 200\r\n" + std::string(kOwnId) + kBody);
  CHECK(complete);
  LONGS_EQUAL(200, status.value_or(0));
}

// Guards against an interim response whose body is skipped while its call waits
// for a final response, and against an upgrade that nobody has asked for.
TEST(ResponseStatus, InterimWithBodyOrUpgradeIsMalformedAtOnce)
{
  for (const char* number : { "100", "103", "199" }) {
    for (const char* rest : { kBody, kChunks, "Content-Length: 0\r\n\r\n" }) {
      runCall(response(number, rest));
      CHECK_TEXT(failure == wire::CallFailure::Malformed, number);
      CHECK_TEXT(!status && body.empty() && !complete, number);
    }
  }
  for (const char* rest :
       { "\r\n", "Connection: upgrade\r\nUpgrade: x\r\n\r\n" }) {
    runCall(response("101", rest));
    CHECK_TEXT(failure == wire::CallFailure::Malformed, rest);
  }
}

// Guards against sound interim responses that end a call or stand for its final
// response.
TEST(ResponseStatus, InterimWithoutBodyIsFollowedByTheFinalResponse)
{
  runCall(response("100", "\r\n") +
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
          response("200", "Content-Length: 3\r\n\r\nall"));
  CHECK(complete);
  LONGS_EQUAL(200, status.value_or(0));
  STRCMP_EQUAL("all", body.c_str());
  runCall(response("103", "\r\n"));
  CHECK(!complete && !failure && !status);
}

// Guards against bytes behind a response that has no body passed on as its
// body, and against a call that waits for them.
TEST(ResponseStatus, WithoutBodyEndsWithItsHeaders)
{
  const std::string events = std::string(kEvents) + kBody;
  for (const char* number : { "204", "304" }) {
    for (const std::string& rest :
         { std::string(kBody),
           std::string(kChunks),
           std::string("Content-Length: 7\r\n\r\n"),
           std::string("Transfer-Encoding: chunked\r\n\r\n"),
           std::string("\r\nforeign"),
           events }) {
      runCall(response(number, rest));
      CHECK_TEXT(complete && !failure, number);
      LONGS_EQUAL(std::stoi(number), status.value_or(0));
      STRCMP_EQUAL_TEXT("", body.c_str(), number);
    }
  }
}

// Guards against bytes behind a response without a body that the next response
// on the connection begins with.
TEST(ResponseStatus, ConnectionWithBytesBehindOneWithoutBodyIsNotReused)
{
  for (const std::string& rest :
       { std::string(kBody),
         std::string("Content-Length: 7\r\n\r\n"),
         std::string("Transfer-Encoding: chunked\r\n\r\n"),
         std::string("\r\nforeign") }) {
    runCall(response("204", rest));
    CHECK_TEXT(complete, rest.c_str());
    LONGS_EQUAL_TEXT(0, connections(), rest.c_str());
  }
  for (const auto& [number, rest] :
       std::array<std::pair<const char*, const char*>, 3>{
         { { "204", "\r\n" },
           { "204", "Content-Length: 0\r\n\r\n" },
           { "304", "Content-Length: 7\r\n\r\n" } } }) {
    runCall(response(number, rest));
    LONGS_EQUAL_TEXT(1, connections(), number);
    server->respond("x");
    runPending(loop);
    LONGS_EQUAL_TEXT(0, connections(), number);
  }
}

// Guards against a length, or a body, in a response whose status has none. RFC
// 9110 forbids it for 204, and 304 would tell the length of another response.
TEST(ResponseStatus, WithoutBodyIsSentWithoutALength)
{
  int sent = 204;
  wire::CallerServer callers(
    loop, [&](const auto& aCaller) { aCaller->reply(sent, {}, "foreign"); });
  CHECK(bool(callers.listen(kAddress)));
  test::ManualCaller caller;
  for (const int without : { 204, 304, 204 }) {
    sent = without;
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runPending(loop);
    const std::string received = caller.receive();
    STRCMP_CONTAINS(("HTTP/1.1 " + std::to_string(without)).c_str(),
                    received.c_str());
    CHECK(received.ends_with("\r\n\r\n"));
    CHECK(received.find("Content-Length") == std::string::npos);
  }
}
