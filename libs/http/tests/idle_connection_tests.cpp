/** @file Tests that no call is sent on an idle connection that its server has
 * closed or may be closing.
 */
#include "http/http.h"
#include "http/tests/manual_listener.h"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <thread>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

const std::string kEmptyAnswer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                                 "Content-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP(IdleConnection)
{
  test::ManualListener server{ { "127.0.0.1", 0 } };
  http::Loop loop;
  http::Client client{ loop };
  std::optional<http::CallEnd> end;
  std::size_t requests = 0;

  /** Runs a call to its end; the server answers at once. */
  void call()
  {
    end.reset();
    const auto running = client.start(
      server.address(),
      {},
      1s,
      { nullptr, nullptr, [this](http::CallEnd aEnd, const http::Response&) {
         end = aEnd;
         loop.stop();
       } });
    const auto answer = loop.every(1ms, [this] {
      if (!server.received().empty()) {
        ++requests;
        server.respondOnLatest(kEmptyAnswer);
      }
    });
    loop.run();
  }
};

// Guards against a call that is lost on a connection whose close a late loop
// has not read.
TEST(IdleConnection, ThatItsServerHasClosedIsNotReusedByALateLoop)
{
  CHECK(server.bound());
  call();
  CHECK(end == http::CallEnd::Complete);
  server.closeFirst();
  std::this_thread::sleep_for(20ms);
  call();
  CHECK(end == http::CallEnd::Complete);
  LONGS_EQUAL(2, server.connections());
}

// Guards against a call that crosses the close of a connection which its server
// ends after a time.
TEST(IdleConnection, IsNotReusedAtTheEndOfItsIdleTime)
{
  CHECK(server.bound());
  call();
  CHECK(end == http::CallEnd::Complete);
  call();
  LONGS_EQUAL(1, server.connections());
  const auto later = loop.after(800ms, [this] { loop.stop(); });
  loop.run();
  call();
  CHECK(end == http::CallEnd::Complete);
  LONGS_EQUAL(2, server.connections());
  LONGS_EQUAL(3, requests);
}
