/** @file Tests that no byte of a call arrives after its sender has given it up.
 */
#include "http/http.h"
#include "http/tests/lossy_listener.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <memory>
#include <optional>
#include <sys/wait.h>
#include <thread>

using namespace marigold;
using namespace std::chrono_literals;

/** The kernel sends lost bytes again 0.2, 0.6, 1.4 and 3 s after the first
 * time. */
TEST_GROUP(AbandonedCall)
{
  static constexpr base::Duration kTimeout = 500ms;
  static constexpr auto kRetransmissions = 3500ms;
  const http::Request request{ "POST", "/", "", {}, "body" };
  test::LossyListener listener;
  http::Loop loop;
  std::unique_ptr<http::Client> client = std::make_unique<http::Client>(loop);
  std::optional<http::CallEnd> end;

  std::unique_ptr<http::Call> start()
  {
    return client->start(listener.address(),
                         request,
                         kTimeout,
                         { nullptr,
                           nullptr,
                           [this](http::CallEnd aEnd, const http::Response&) {
                             end = aEnd;
                             loop.stop();
                           } },
                         false);
  }

  void runFor(base::Duration aTime)
  {
    const auto timer = loop.after(aTime, [this] { loop.stop(); });
    loop.run();
  }

  /** @return bytes that arrive once the link is restored */
  std::string receiveAfterRepair()
  {
    listener.restoreLink();
    return listener.receive(kRetransmissions);
  }
};

// Guards against a lost request that the kernel sends again after the caller's
// timeout.
TEST(AbandonedCall, TimedOutRequestIsNotSentAgain)
{
  CHECK(listener.breakLink());
  const auto call = start();
  loop.run();
  CHECK(end == http::CallEnd::TimedOut);
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", receiveAfterRepair().c_str());
}

// The same for a call that its caller cancels.
TEST(AbandonedCall, CancelledRequestIsNotSentAgain)
{
  CHECK(listener.breakLink());
  auto call = start();
  runFor(100ms);
  CHECK(call->sent());
  call.reset();
  runFor(10ms);
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", receiveAfterRepair().c_str());
  CHECK(listener.wasReset());
}

// The same for a call that outlives its client.
TEST(AbandonedCall, RequestOfADestroyedClientIsNotSentAgain)
{
  CHECK(listener.breakLink());
  auto call = start();
  runFor(100ms);
  CHECK(call->sent());
  client.reset();
  call.reset();
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", receiveAfterRepair().c_str());
  CHECK(listener.wasReset());
}

// Guards against a kernel that goes on sending for a process that is frozen and
// so cannot give the call up.
TEST(AbandonedCall, RequestOfAFrozenProcessIsNotSentAgain)
{
  CHECK(listener.breakLink());
  auto call = start();
  runFor(100ms);
  CHECK(call->sent());
  std::this_thread::sleep_for(kTimeout);
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", receiveAfterRepair().c_str());
  call.reset();
  runFor(10ms);
}

// Guards against a process that goes on after a freeze and sends a request over
// a connection that was established meanwhile.
TEST(AbandonedCall, RequestIsNotSentAfterAFreezeDuringSetup)
{
  const auto call = start();
  std::this_thread::sleep_for(kTimeout + 100ms);
  loop.run();
  CHECK(end == http::CallEnd::NotSent || end == http::CallEnd::TimedOut);
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", listener.receive(500ms).c_str());
}

// Guards against a kernel that goes on sending for a process that was killed.
TEST(AbandonedCall, RequestOfAKilledProcessIsNotSentAgain)
{
  CHECK(listener.breakLink());
  int ready[2];
  LONGS_EQUAL(0, pipe(ready));
  const pid_t child = fork();
  if (child == 0) {
    http::Loop ownLoop;
    http::Client ownClient(ownLoop);
    const auto call =
      ownClient.start(listener.address(), request, 10s, {}, false);
    const auto poll = ownLoop.every(5ms, [&] {
      if (call->sent() && write(ready[1], "x", 1) != 1) {
        _exit(1);
      }
    });
    ownLoop.run();
    _exit(0);
  }
  char byte = 0;
  LONGS_EQUAL(1, read(ready[0], &byte, 1));
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  close(ready[0]);
  close(ready[1]);
  CHECK(listener.acceptConnection());
  STRCMP_EQUAL("", receiveAfterRepair().c_str());
  CHECK(listener.wasReset());
}

// Guards against closing with a reset when a call has ended well: its server
// would count that as a caller who left.
TEST(AbandonedCall, AnsweredCallIsClosedOrderly)
{
  const auto call = start();
  runFor(50ms);
  CHECK(listener.acceptConnection());
  CHECK(!listener.receive(50ms).empty());
  CHECK(listener.reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
  loop.run();
  CHECK(end == http::CallEnd::Complete);
  client.reset();
  STRCMP_EQUAL("", listener.receive(500ms).c_str());
  CHECK(!listener.wasReset());
}
