/** @file Tests of the http library over loopback sockets. */
#include "http/http.h"
#include "http/tests/endless_server.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <optional>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

/** First port for tests; the environment separates concurrent runs. */
std::uint16_t
testPort()
{
  constexpr std::uint16_t kDefaultPort = 17990;
  const char* configured = std::getenv("MARIGOLD_TEST_PORT");
  return configured == nullptr
           ? kDefaultPort
           : static_cast<std::uint16_t>(std::atoi(configured));
}

const http::Address kAddress{ "127.0.0.1", testPort() };
const http::Address kUnusedAddress{ "127.0.0.1",
                                    static_cast<std::uint16_t>(testPort() +
                                                               1) };

struct Ended
{
  http::CallEnd end;
  http::Response answer;
  std::string chunks;
};

} // namespace

TEST_GROUP(Http)
{
  http::Loop loop;
  http::Client client{ loop };

  Ended call(const http::Address& aAddress,
             const http::Request& aRequest,
             base::Duration aTimeout = 2s)
  {
    std::optional<Ended> ended;
    std::string chunks;
    const auto running =
      client.start(aAddress,
                   aRequest,
                   aTimeout,
                   { nullptr,
                     [&](std::string_view aBytes) { chunks += aBytes; },
                     [&](http::CallEnd aEnd, const http::Response& aAnswer) {
                       ended = Ended{ aEnd, aAnswer, "" };
                       loop.stop();
                     } });
    loop.run();
    ended->chunks = chunks;
    return *ended;
  }
};

// Guards against a lost body, header or status on the whole path.
TEST(Http, AnswersArriveWhole)
{
  http::Server server(loop, {}, [](const http::Request& aRequest, auto aOut) {
    aOut->reply({ 201,
                  { { "X-Echo", aRequest.method + aRequest.path } },
                  aRequest.body + http::queryValue(aRequest.query, "q") });
  });
  CHECK(bool(server.listen(kAddress)));
  const Ended ended = call(kAddress, { "POST", "/a", "q=b%20c", {}, "body-" });
  CHECK(ended.end == http::CallEnd::Complete);
  LONGS_EQUAL(201, ended.answer.status);
  STRCMP_EQUAL(
    "POST/a",
    std::string(http::findHeader(ended.answer.headers, "x-echo")).c_str());
  STRCMP_EQUAL("body-b c", ended.chunks.c_str());
}

// Guards against a refused connection being reported as possibly executed.
TEST(Http, RefusedConnectionIsNotSent)
{
  const Ended ended = call(kUnusedAddress, { "POST", "/", "", {}, "x" });
  CHECK(ended.end == http::CallEnd::NotSent);
}

// Guards against a stream that breaks off being taken for a complete one.
TEST(Http, AbortedStreamIsBroken)
{
  http::EventHandle later;
  http::Server server(loop, {}, [&](const http::Request&, auto aOut) {
    aOut->startStream(200, {});
    aOut->sendChunk("part");
    later = loop.after(50ms, [aOut] { aOut->abort(); });
  });
  CHECK(bool(server.listen(kAddress)));
  const Ended ended = call(kAddress, {});
  CHECK(ended.end == http::CallEnd::Broken);
  STRCMP_EQUAL("part", ended.chunks.c_str());
}

// Guards against a call without an answer that never ends, and against a
// caller's hang-up that the server does not notice.
TEST(Http, TimeoutEndsTheCallAndTheServerNotices)
{
  bool noticed = false;
  http::EventHandle settle;
  std::shared_ptr<http::Responder> held;
  http::Server server(loop, {}, [&](const http::Request&, auto aOut) {
    held = aOut;
    aOut->onDisconnect([&] {
      noticed = true;
      held.reset();
      // The answer is flushed, or its connection found dead, a turn later.
      settle = loop.after(20ms, [this] { loop.stop(); });
    });
  });
  CHECK(bool(server.listen(kAddress)));
  const Ended ended = call(kAddress, {}, 50ms);
  CHECK(ended.end == http::CallEnd::TimedOut);
  loop.run();
  CHECK(noticed);
  LONGS_EQUAL(0, server.openRequests());
}

// Guards against an answer to a request of a server that no longer exists.
TEST(Http, ResponderMayOutliveItsServer)
{
  std::shared_ptr<http::Responder> held;
  {
    http::Server server(
      loop, {}, [&](const http::Request&, const auto& aOut) { held = aOut; });
    CHECK(bool(server.listen(kAddress)));
    CHECK(call(kAddress, {}, 50ms).end == http::CallEnd::TimedOut);
  }
  CHECK(held->finished());
  held->reply({ 200, {}, "" });
  held.reset();
}

// Guards against malformed addresses that are accepted from settings.
TEST(Http, AddressesAreChecked)
{
  CHECK(bool(http::parseAddress("127.0.0.1:80")));
  for (const char* wrong : { "localhost:80",
                             "127.0.0.1",
                             "127.0.0.1:0",
                             "127.0.0.1:8x",
                             "::1:80" }) {
    const auto outcome =
      base::capture([&] { return http::parseAddress(wrong); });
    CHECK(std::holds_alternative<base::Error>(outcome));
  }
}

// Guards against memory that grows with the answer for a reader that is slow.
TEST(Http, PausedCallStopsReading)
{
  constexpr std::size_t kAnswerBytes = 64UL * 1024 * 1024;
  const std::string part(64UL * 1024, 'x');
  std::shared_ptr<http::Responder> out;
  http::EventHandle producer;
  std::size_t produced = 0;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    out = aOut;
    out->startStream(200, {});
    producer = loop.every(1ms, [&] {
      if (produced < kAnswerBytes && out->pendingBytes() < part.size()) {
        produced += part.size();
        out->sendChunk(part);
      }
    });
  });
  CHECK(bool(server.listen(kAddress)));
  std::size_t received = 0;
  std::unique_ptr<http::Call> running;
  running = client.start(kAddress,
                         {},
                         30s,
                         { nullptr,
                           [&](std::string_view aBytes) {
                             if (received == 0) {
                               running->setPaused(true);
                             }
                             received += aBytes.size();
                           },
                           [](http::CallEnd, const http::Response&) {} });
  std::size_t whilePaused = 0;
  const http::EventHandle resume = loop.after(300ms, [&] {
    whilePaused = received;
    running->setPaused(false);
  });
  const http::EventHandle end = loop.after(600ms, [&] { loop.stop(); });
  loop.run();
  CHECK(whilePaused > 0);
  CHECK(whilePaused < 4UL * 1024 * 1024);
  CHECK(received > whilePaused);
  producer.reset();
  running.reset();
  out->abort();
  // The connection is freed by the loop.
  const http::EventHandle freed = loop.after(10ms, [&] { loop.stop(); });
  loop.run();
}

// Guards against a bound on the whole answer that also ends a long stream of
// small events.
TEST(Http, ManySmallChunksArriveWhole)
{
  constexpr std::size_t kChunks = 900UL * 1024;
  const std::string event = "data: x\n\n";
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    aOut->startStream(200, {});
    for (std::size_t count = 0; count < kChunks; ++count) {
      aOut->sendChunk(event);
    }
    aOut->endStream();
  });
  CHECK(bool(server.listen(kAddress)));
  const Ended ended = call(kAddress, {}, 20s);
  CHECK(ended.end == http::CallEnd::Complete);
  LONGS_EQUAL(kChunks * event.size(), ended.chunks.size());
}

// Guards against surplus bytes that the next call takes for its answer.
TEST(Http, SurplusBytesEndTheConnection)
{
  http::Server server(loop, {}, [](const http::Request& aRequest, auto aOut) {
    aOut->reply(
      { 200, { { "Content-Length", "2" } }, "okHTTP/1.1 200 OK\r\n" });
    (void)aRequest;
  });
  CHECK(bool(server.listen(kAddress)));
  for (int count = 0; count < 5; ++count) {
    const Ended ended = call(kAddress, {});
    CHECK(ended.end == http::CallEnd::Complete);
    CHECK(ended.chunks == "ok");
  }
}

// Guards against bytes without end in the answers to our own calls: each form
// must end the call by its size, before its timeout, and close the connection.
TEST(Http, AnswersWithoutEndAreBroken)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const struct
  {
    const char* name;
    std::string head;
    std::string repeated;
  } kForms[] = {
    { "reason phrase", "HTTP/1.1 200 ", "x" },
    { "field name", ok, "x" },
    { "field value", ok + "X: ", "x" },
    { "fields", ok, "X: y\r\n" },
    { "provisional answers",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" },
    { "body without a length", ok + "\r\n", "x" },
    { "body with a length", ok + "Content-Length: 99000000\r\n\r\n", "x" },
    { "chunks", chunked, "1\r\nx\r\n" },
    { "chunk size", chunked, "0" },
    { "chunk extension", chunked + "1;", "x" },
    { "trailers", chunked + "0\r\n", "X: y\r\n" },
  };
  for (const auto& form : kForms) {
    test::EndlessServer server(kAddress, form.head, form.repeated);
    CHECK_TEXT(server.bound(), form.name);
    const Ended ended = call(kAddress, {}, 2 * test::EndlessServer::kMostTime);
    CHECK_TEXT(ended.end == http::CallEnd::Broken, form.name);
    CHECK_TEXT(ended.chunks.size() <= 8UL * 1024 * 1024, form.name);
    const http::EventHandle freed = loop.after(10ms, [&] { loop.stop(); });
    loop.run();
    CHECK_TEXT(server.closedByPeer(), form.name);
  }
}

// Guards against bytes without end after a whole answer that keep the
// connection, and the memory of those that nobody reads.
TEST(Http, ClosesAConnectionThatGoesOnAfterTheAnswer)
{
  test::EndlessServer server(
    kAddress, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x");
  CHECK(server.bound());
  const Ended ended = call(kAddress, {});
  CHECK(ended.end == http::CallEnd::Complete);
  STRCMP_EQUAL("ok", ended.chunks.c_str());
  const http::EventHandle later = loop.after(100ms, [&] { loop.stop(); });
  loop.run();
  CHECK(server.closedByPeer());
}

// Guards against a bound on what lies between chunks that also ends a call
// whose answer has large chunks.
TEST(Http, LargeChunksArriveWhole)
{
  constexpr std::size_t kBytes = 3UL * 1024 * 1024;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    aOut->startStream(200, {});
    aOut->sendChunk(std::string(kBytes, 'x'));
    aOut->sendChunk(std::string(kBytes, 'y'));
    aOut->endStream();
  });
  CHECK(bool(server.listen(kAddress)));
  const Ended ended = call(kAddress, {});
  CHECK(ended.end == http::CallEnd::Complete);
  LONGS_EQUAL(2 * kBytes, ended.chunks.size());
}

int
main(int aCount, char** aValues)
{
  // Threads of the tests allocate too, which corrupts the default records.
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
