/** @file Tests of calls whose response has a status that HTTP doesn't have, or
 * an interim one. */
#include "http/http.h"
#include "http/tests/manual_listener.h"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <string>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

constexpr const char* kBody = "Content-Length: 7\r\n\r\nforeign";
constexpr const char* kChunks =
  "Transfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n";

} // namespace

TEST_GROUP(HttpResponseStatus)
{
  http::Loop loop;
  http::Client client{ loop };
  std::optional<http::CallEnd> end;
  http::Response response;
  std::string streamed;
  bool hadHead = false;

  /** Runs a call whose server sends these bytes and keeps the connection open.
   * @param aStreams the body is to be passed on as it arrives */
  void call(const std::string& aBytes, bool aStreams)
  {
    test::ManualListener server{ { "127.0.0.1", 0 } };
    end.reset();
    streamed.clear();
    hadHead = false;
    http::CallEvents events;
    if (aStreams) {
      events.head = [this](const http::Response&) { hadHead = true; };
      events.chunk = [this](std::string_view aPart) { streamed += aPart; };
    }
    events.done = [this](http::CallEnd aEnd, const http::Response& aResponse) {
      end = aEnd;
      response = aResponse;
      loop.stop();
    };
    const auto running =
      client.start(server.address(), {}, 1s, std::move(events));
    const auto answer = loop.every(1ms, [&] {
      if (!server.received().empty()) {
        server.respondOnLatest(aBytes);
      }
    });
    loop.run();
  }
};

// Guards against an acknowledgement with a status that HTTP doesn't have, or an
// interim one, that is taken for a complete response or waited for.
TEST(HttpResponseStatus, ThatIsNotFinalIsBrokenAtOnce)
{
  for (const char* number : { "000",
                              "020",
                              "20",
                              "-200",
                              "101",
                              "103",
                              "199",
                              "600",
                              "999",
                              "2000" }) {
    for (const char* rest : { kBody, kChunks }) {
      for (const bool streams : { false, true }) {
        call("HTTP/1.1 " + std::string(number) + " X\r\n" + rest, streams);
        CHECK_TEXT(end == http::CallEnd::Broken, number);
        CHECK_TEXT(!hadHead && streamed.empty(), number);
      }
    }
  }
}

// Guards against a status with zeros in front, or with other bytes behind, that
// is taken for the number in it, also behind an interim response.
TEST(HttpResponseStatus, WithOtherThanThreeDigitsIsBrokenAtOnce)
{
  for (const char* number : { "0200", "00204", "200x", "+200", "2" }) {
    for (const char* before : { "", "HTTP/1.1 100 Continue\r\n\r\n" }) {
      call(std::string(before) + "HTTP/1.1 " + number + " X\r\n" + kBody,
           false);
      CHECK_TEXT(end == http::CallEnd::Broken, number);
    }
  }
}

// Guards against a status line without a reason that is rejected.
TEST(HttpResponseStatus, NeedsNoReason)
{
  call(std::string("HTTP/1.1 200\r\n") + kBody, false);
  CHECK(end == http::CallEnd::Complete);
  LONGS_EQUAL(200, response.status);
}

// Guards against the body of an interim response that is read as the final one.
TEST(HttpResponseStatus, ContinueWithBodyIsBrokenAtOnce)
{
  for (const char* rest : { kBody, kChunks }) {
    call(std::string("HTTP/1.1 100 Continue\r\n") + rest, false);
    CHECK_TEXT(end == http::CallEnd::Broken, rest);
  }
}

// Guards against a sound interim response that ends the call.
TEST(HttpResponseStatus, FinalOneFollowsContinue)
{
  call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\n"
       "Content-Length: 0\r\n\r\n",
       false);
  CHECK(end == http::CallEnd::Complete);
  LONGS_EQUAL(202, response.status);
}
