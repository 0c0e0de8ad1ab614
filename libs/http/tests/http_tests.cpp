/** @file Tests of the http library over loopback connections. */
#include "http/http.h"
#include "http/tests/endless_server.h"
#include "http/tests/lossy_listener.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

/** First port used by the tests; concurrent runs set MARIGOLD_TEST_PORT. */
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

/** What a call reported. */
struct CallResult
{
  http::CallEnd end;
  http::Response response;
  std::string chunks;
};

} // namespace

TEST_GROUP(Http)
{
  http::Loop loop;
  http::Client client{ loop };

  CallResult call(const http::Address& aAddress,
                  const http::Request& aRequest,
                  base::Duration aTimeout = 2s)
  {
    std::optional<CallResult> result;
    std::string chunks;
    const auto running =
      client.start(aAddress,
                   aRequest,
                   aTimeout,
                   { nullptr,
                     [&](std::string_view aBytes) { chunks += aBytes; },
                     [&](http::CallEnd aEnd, const http::Response& aResponse) {
                       result = CallResult{ aEnd, aResponse, "" };
                       loop.stop();
                     } });
    loop.run();
    result->chunks = chunks;
    return *result;
  }
};

// Status, headers and body must arrive unchanged from server to client.
TEST(Http, TransfersCompleteResponse)
{
  http::Server server(loop, {}, [](const http::Request& aRequest, auto aOut) {
    aOut->reply({ 201,
                  { { "X-Echo", aRequest.method + aRequest.path } },
                  aRequest.body + http::queryValue(aRequest.query, "q") });
  });
  CHECK(bool(server.listen(kAddress)));
  const CallResult result =
    call(kAddress, { "POST", "/a", "q=b%20c", {}, "body-" });
  CHECK(result.end == http::CallEnd::Complete);
  LONGS_EQUAL(201, result.response.status);
  STRCMP_EQUAL(
    "POST/a",
    std::string(http::findHeader(result.response.headers, "x-echo")).c_str());
  STRCMP_EQUAL("body-b c", result.chunks.c_str());
}

// A refused connection must not be reported as a request that was possibly
// executed.
TEST(Http, RefusedConnectionIsNotSent)
{
  const CallResult result = call(kUnusedAddress, { "POST", "/", "", {}, "x" });
  CHECK(result.end == http::CallEnd::NotSent);
}

// A truncated stream must not count as complete.
TEST(Http, AbortedStreamIsBroken)
{
  http::EventHandle later;
  http::Server server(loop, {}, [&](const http::Request&, auto aOut) {
    aOut->startStream(200, {});
    aOut->sendChunk("part");
    later = loop.after(50ms, [aOut] { aOut->abort(); });
  });
  CHECK(bool(server.listen(kAddress)));
  const CallResult result = call(kAddress, {});
  CHECK(result.end == http::CallEnd::Broken);
  STRCMP_EQUAL("part", result.chunks.c_str());
}

// Guards against a call that never ends if there is no response, and a server
// that does not notice that its caller disconnected.
TEST(Http, TimeoutEndsCallAndServerDetectsDisconnect)
{
  bool noticed = false;
  http::EventHandle settle;
  std::shared_ptr<http::Responder> held;
  http::Server server(loop, {}, [&](const http::Request&, auto aOut) {
    held = aOut;
    aOut->onDisconnect([&] {
      noticed = true;
      held.reset();
      // The response is flushed, or the closed connection is detected, in the
      // next iteration of the event loop.
      settle = loop.after(20ms, [this] { loop.stop(); });
    });
  });
  CHECK(bool(server.listen(kAddress)));
  const CallResult result = call(kAddress, {}, 50ms);
  CHECK(result.end == http::CallEnd::TimedOut);
  loop.run();
  CHECK(noticed);
  LONGS_EQUAL(0, server.openRequests());
}

// Guards against a server that does not notice a caller's reset and spins until
// the response is complete. The caller has sent surplus bytes, which stay
// unread.
TEST(Http, ServerDetectsReset)
{
  std::shared_ptr<http::Responder> held;
  bool noticed = false;
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  http::EventHandle reset;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    held = aOut;
    held->onDisconnect([&] {
      noticed = true;
      loop.stop();
    });
    reset = loop.after(150ms, [caller] {
      const linger option{ 1, 0 };
      setsockopt(caller, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      close(caller);
    });
  });
  CHECK(bool(server.listen(kAddress)));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kAddress.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  LONGS_EQUAL(0,
              connect(caller,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)));
  const std::string bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /";
  LONGS_EQUAL(bytes.size(), write(caller, bytes.data(), bytes.size()));
  const auto limit = loop.after(1s, [this] { loop.stop(); });
  loop.run();
  CHECK(noticed);
  held.reset();
  const auto settle = loop.after(20ms, [this] { loop.stop(); });
  loop.run();
}

// A responder must not access its server after the server was destroyed.
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

// Malformed addresses in settings must be rejected.
TEST(Http, RejectsMalformedAddresses)
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

// Guards against a timeout of a call whose whole answer waits in the socket,
// because the process was suspended past the timeout.
TEST(Http, AnswerThatWaitsInTheSocketIsReadBeforeACallTimesOut)
{
  test::LossyListener listener; // No link is broken here.
  std::optional<CallResult> result;
  const auto running =
    client.start(listener.address(),
                 { "POST", "/", "", {}, "body" },
                 100ms,
                 { nullptr,
                   nullptr,
                   [&](http::CallEnd aEnd, const http::Response& aResponse) {
                     result = CallResult{ aEnd, aResponse, "" };
                     loop.stop();
                   } });
  const std::string body(30000, 'x');
  const auto suspend = loop.after(50ms, [&] {
    CHECK(listener.acceptConnection());
    CHECK(listener.reply("HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" +
                         body));
    std::this_thread::sleep_for(100ms);
  });
  loop.run();
  CHECK(result->end == http::CallEnd::Complete);
  LONGS_EQUAL(body.size(), result->response.body.size());
}

// A server that sends on and on must not extend the timeout of a call.
TEST(Http, DrippingAnswerDoesNotExtendTheTimeout)
{
  test::LossyListener listener; // No link is broken here.
  std::optional<http::CallEnd> end;
  const base::TimePoint began = base::monotonicNow();
  const auto running =
    client.start(listener.address(),
                 {},
                 100ms,
                 { nullptr, nullptr, [&](http::CallEnd aEnd, const auto&) {
                    end = aEnd;
                    loop.stop();
                  } });
  http::EventHandle drip;
  const auto answer = loop.after(20ms, [&] {
    CHECK(listener.acceptConnection());
    CHECK(listener.reply("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"));
    drip = loop.every(1ms, [&] { (void)listener.reply("x"); });
  });
  loop.run();
  CHECK(end == http::CallEnd::TimedOut);
  CHECK(base::monotonicNow() - began < 500ms);
}

// What had arrived when the timer expired is waited for. What arrives later, or
// is not read, must not keep it from judging.
TEST(Http, InputTimerWaitsForTheInputThatHadArrived)
{
  constexpr std::uint64_t kArrived = 100;
  constexpr int kMaxChecks = 40;
  for (const std::uint64_t handledPerCheck : { 10U, 0U }) {
    http::InputCount input{ kArrived, 0 };
    int checks = 0;
    http::InputTimer timer;
    timer.start(
      loop,
      10ms,
      [&] {
        const http::InputCount now = input;
        input.arrived += 10; // The peer goes on sending.
        input.handled += handledPerCheck;
        ++checks;
        return std::optional(now);
      },
      [&] { loop.stop(); });
    const auto limit = loop.after(1s, [&] { loop.stop(); });
    loop.run();
    CHECK(handledPerCheck == 0 || input.handled >= kArrived);
    CHECK(checks > 1);
    CHECK(checks < kMaxChecks);
  }
}

// A slow consumer must not make the client buffer the whole response.
TEST(Http, PausedCallStopsReading)
{
  constexpr std::size_t kResponseBytes = 64UL * 1024 * 1024;
  const std::string part(64UL * 1024, 'x');
  std::shared_ptr<http::Responder> out;
  http::EventHandle producer;
  std::size_t produced = 0;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    out = aOut;
    out->startStream(200, {});
    producer = loop.every(1ms, [&] {
      if (produced < kResponseBytes && out->pendingBytes() < part.size()) {
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
  // The event loop frees the connection.
  const http::EventHandle freed = loop.after(10ms, [&] { loop.stop(); });
  loop.run();
}

// The size limit of responses must allow a long stream of small events.
TEST(Http, TransfersManySmallChunks)
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
  const CallResult result = call(kAddress, {}, 20s);
  CHECK(result.end == http::CallEnd::Complete);
  LONGS_EQUAL(kChunks * event.size(), result.chunks.size());
}

// Bytes after a response must not be read as the response of the next call.
TEST(Http, DoesNotReuseConnectionWithSurplusBytes)
{
  http::Server server(loop, {}, [](const http::Request& aRequest, auto aOut) {
    aOut->reply(
      { 200, { { "Content-Length", "2" } }, "okHTTP/1.1 200 OK\r\n" });
    (void)aRequest;
  });
  CHECK(bool(server.listen(kAddress)));
  for (int count = 0; count < 5; ++count) {
    const CallResult result = call(kAddress, {});
    CHECK(result.end == http::CallEnd::Complete);
    CHECK(result.chunks == "ok");
  }
}

// An endless response must exceed a size limit, which ends the call before its
// timeout and closes the connection.
TEST(Http, EndlessResponseIsBroken)
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
    const CallResult result =
      call(kAddress, {}, 2 * test::EndlessServer::kMaxDuration);
    CHECK_TEXT(result.end == http::CallEnd::Broken, form.name);
    CHECK_TEXT(result.chunks.size() <= 8UL * 1024 * 1024, form.name);
    const http::EventHandle freed = loop.after(10ms, [&] { loop.stop(); });
    loop.run();
    CHECK_TEXT(server.closedByPeer(), form.name);
  }
}

// Guards against upstreams that together take the memory of the VM with answers
// of which each is expected to be short.
TEST(Http, ClientWithALowerLimitTakesNoLongerResponse)
{
  constexpr std::size_t kLimit = 1000;
  std::size_t size = kLimit;
  http::Server server(loop, {}, [&](const http::Request&, auto aOut) {
    aOut->reply({ 200, {}, std::string(size, 'x') });
  });
  CHECK(bool(server.listen(kAddress)));
  http::Client limited(loop, { .bodyBytes = kLimit });
  std::optional<http::CallEnd> end;
  const auto done = [&](http::CallEnd aEnd, const http::Response&) {
    end = aEnd;
    loop.stop();
  };
  const auto within =
    limited.start(kAddress, {}, 2s, { nullptr, nullptr, done });
  loop.run();
  CHECK(end == http::CallEnd::Complete);
  size = kLimit + 1;
  const auto beyond =
    limited.start(kAddress, {}, 2s, { nullptr, nullptr, done });
  loop.run();
  CHECK(end == http::CallEnd::Broken);
}

// Endless bytes after a complete response must neither keep the connection open
// nor fill memory.
TEST(Http, ClosesConnectionOnEndlessBytesAfterResponse)
{
  test::EndlessServer server(
    kAddress, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x");
  CHECK(server.bound());
  const CallResult result = call(kAddress, {});
  CHECK(result.end == http::CallEnd::Complete);
  STRCMP_EQUAL("ok", result.chunks.c_str());
  const http::EventHandle later = loop.after(100ms, [&] { loop.stop(); });
  loop.run();
  CHECK(server.closedByPeer());
}

// The size limit of chunk headers must not apply to the chunks themselves.
TEST(Http, TransfersLargeChunks)
{
  constexpr std::size_t kBytes = 3UL * 1024 * 1024;
  http::Server server(loop, {}, [&](const http::Request&, const auto& aOut) {
    aOut->startStream(200, {});
    aOut->sendChunk(std::string(kBytes, 'x'));
    aOut->sendChunk(std::string(kBytes, 'y'));
    aOut->endStream();
  });
  CHECK(bool(server.listen(kAddress)));
  const CallResult result = call(kAddress, {});
  CHECK(result.end == http::CallEnd::Complete);
  LONGS_EQUAL(2 * kBytes, result.chunks.size());
}

int
main(int aCount, char** aValues)
{
  // The default leak detector is not thread-safe, and tests allocate in
  // threads.
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
