/** @file Tests that no byte of a request arrives after the end of its process.
 */
#include "http/tests/lossy_listener.h"
#include "wire/wire.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace marigold;
using namespace std::chrono_literals;

/** The kernel sends lost bytes again 0.2, 0.6 and 1.4 s after the first time.
 */
TEST_GROUP(WithdrawnRequest)
{
  static constexpr auto kRetransmissions = 2500ms;
  test::LossyListener listener;

  /** Runs in the child process: sends a request and tells of it. */
  [[noreturn]] void sendForever(int aReady)
  {
    http::Loop loop;
    wire::ConnectionPool pool(loop);
    std::unique_ptr<wire::PooledCall> call = pool.start(
      { "upstream", listener.address() },
      { [] { return "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"; },
        "X-Id",
        "1" },
      { [](const wire::ResponseHead&) {},
        [](std::string_view) {},
        [] {},
        [](wire::CallFailure) {} },
      1);
    const auto poll = loop.every(5ms, [&] {
      if (call->sent() && write(aReady, "x", 1) != 1) {
        _exit(1);
      }
    });
    loop.run();
    _exit(0);
  }

  /** @param aSignal ends a process that has sent a request */
  void endProcessAfterSend(int aSignal)
  {
    int ready[2];
    LONGS_EQUAL(0, pipe(ready));
    const pid_t child = fork();
    if (child == 0) {
      sendForever(ready[1]);
    }
    char byte = 0;
    LONGS_EQUAL(1, read(ready[0], &byte, 1));
    kill(child, aSignal);
    waitpid(child, nullptr, 0);
    close(ready[0]);
    close(ready[1]);
  }
};

// Guards against a kernel that goes on sending a request, which may run only
// once, for a process that was killed.
TEST(WithdrawnRequest, RequestOfAKilledProcessIsNotSentAgain)
{
  CHECK(listener.breakLink());
  endProcessAfterSend(SIGKILL);
  CHECK(listener.acceptConnection());
  listener.restoreLink();
  STRCMP_EQUAL("", listener.receive(kRetransmissions).c_str());
  CHECK(listener.wasReset());
}
