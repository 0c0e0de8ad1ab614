/** @file Tests that a request that crosses the close of its idle connection
 * gets a refusal. */
#include "wire/tests/manual_peers.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace marigold;
using namespace std::chrono_literals;
using test::kAddress;
using test::ManualCaller;
using test::runPending;

namespace {

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/** The kernel holds little for a caller that doesn't read. */
constexpr int kSmallBuffer = 4096;
/** More than the kernel takes for such a caller. */
constexpr std::size_t kLongerThanTheBuffers = 16UL * 1024 * 1024;
constexpr base::Duration kIdleTimeout = 60ms;
/** Past which a stop takes a connection for idle. */
constexpr base::Duration kIdleBeforeStop = 1100ms;
/** Past which a closed connection is removed. */
constexpr base::Duration kLinger = 1200ms;

} // namespace

TEST_GROUP(IdleClose)
{
  http::Loop loop;
  std::vector<wire::ClosedCaller> closed;
  unsigned handled = 0;
  std::unique_ptr<wire::CallerServer> server;

  void teardown() override
  {
    runPending(loop);
    server.reset();
  }

  void runFor(base::Duration aTime)
  {
    const auto end = loop.after(aTime, [this] { loop.stop(); });
    loop.run();
  }

  void listen(base::Duration aIdleTimeout)
  {
    server = std::make_unique<wire::CallerServer>(loop, [this](auto& aCaller) {
      ++handled;
      aCaller->reply(200, {}, {});
    });
    server->setLimits({ 1024, 1024, 1s, aIdleTimeout });
    server->refuseCrossingRequests({ { "Marigold-Outcome", "not-run" } });
    server->onClosed(
      [this](const wire::ClosedCaller& aClosed) { closed.push_back(aClosed); });
    CHECK(bool(server->listen(kAddress)));
  }

  /** Sends a request behind the close. @return what the caller gets */
  std::string sendLate(ManualCaller & aCaller)
  {
    CHECK(aCaller.send(kRequest));
    runFor(20ms);
    const std::string received = aCaller.receive();
    CHECK(aCaller.wasClosed());
    CHECK(!aCaller.wasReset());
    return received;
  }
};

// Guards against a request that meets the end of the idle time and gets neither
// an answer nor a refusal.
TEST(IdleClose, RequestThatCrossesItIsRefusedAsNotRun)
{
  listen(kIdleTimeout);
  ManualCaller caller;
  CHECK(caller.send(kRequest));
  runFor(20ms);
  STRCMP_CONTAINS("HTTP/1.1 200", caller.receive().c_str());
  runFor(2 * kIdleTimeout);
  const std::string received = sendLate(caller);
  STRCMP_CONTAINS("HTTP/1.1 408", received.c_str());
  STRCMP_CONTAINS("Connection: close\r\n", received.c_str());
  STRCMP_CONTAINS("Marigold-Outcome: not-run\r\n", received.c_str());
  LONGS_EQUAL(1, handled);
  caller.disconnect();
  runFor(20ms);
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::Idle);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::Refused);
  LONGS_EQUAL(0, server->openRequests());
}

// Guards against the same in a planned stop.
TEST(IdleClose, RequestThatCrossesAStopIsRefusedAsNotRun)
{
  listen(10s);
  ManualCaller caller;
  runFor(kIdleBeforeStop);
  server->stop();
  runPending(loop);
  const std::string received = sendLate(caller);
  STRCMP_CONTAINS("HTTP/1.1 503", received.c_str());
  STRCMP_CONTAINS("Connection: close\r\n", received.c_str());
  STRCMP_CONTAINS("Marigold-Outcome: not-run\r\n", received.c_str());
  LONGS_EQUAL(0, handled);
  caller.disconnect();
  runFor(20ms);
  LONGS_EQUAL(0, server->connections());
}

// Guards against connections that stay open because their callers don't close
// them, and against a loss that is reported although nothing was sent.
TEST(IdleClose, CallerThatSendsNothingLosesNothing)
{
  listen(kIdleTimeout);
  const ManualCaller caller;
  runFor(2 * kIdleTimeout + kLinger);
  LONGS_EQUAL(0, server->connections());
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::Idle);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::None);
}

// Guards against a request that has arrived before the idle timer runs and is
// refused because the event loop is late.
TEST(IdleClose, RequestThatArrivesInTimeIsAnswered)
{
  listen(kIdleTimeout);
  ManualCaller caller;
  runPending(loop);
  CHECK(caller.send(kRequest));
  const base::TimePoint late = base::monotonicNow() + 2 * kIdleTimeout;
  while (base::monotonicNow() < late) {
    // The loop does something else.
  }
  runFor(20ms);
  STRCMP_CONTAINS("HTTP/1.1 200", caller.receive().c_str());
  LONGS_EQUAL(1, handled);
}

// Guards against requests that are reset with their connections, because these
// wait to be accepted when a stop closes the listener.
TEST(IdleClose, RequestOnAConnectionThatWaitsAtAStopIsAnswered)
{
  listen(10s);
  ManualCaller caller;
  CHECK(caller.send(kRequest));
  server->stop();
  runFor(20ms);
  STRCMP_CONTAINS("HTTP/1.1 200", caller.receive().c_str());
  CHECK(!caller.wasReset());
  LONGS_EQUAL(1, handled);
}

// Guards against a refusal that is destroyed by a reset, because the connection
// closes in a stop while its caller still sends.
TEST(IdleClose, CallerThatStillSendsInAStopGetsItsRefusal)
{
  listen(10s);
  ManualCaller caller;
  runFor(kIdleBeforeStop);
  server->stop();
  bool sent = true;
  const auto send = loop.every(100ms, [&] { sent = caller.send("x") && sent; });
  runFor(kLinger + 300ms);
  CHECK(sent);
  STRCMP_CONTAINS("HTTP/1.1 503", caller.receive().c_str());
  CHECK(!caller.wasReset());
}

// Guards against a stop that waits for the idle timeout, because a refusal is
// on its way to a caller that is gone.
TEST(IdleClose, CallerThatIsGoneHoldsUpNoStop)
{
  listen(10s);
  const ManualCaller caller;
  runFor(kIdleBeforeStop);
  caller.dropInput();
  server->stop();
  runFor(kLinger + 300ms);
  LONGS_EQUAL(0, server->connections());
}

// Guards against a caller that takes nothing of its response and is waited for
// once more when a refusal is put behind that.
TEST(IdleClose, CallerThatReadsNothingIsNotRefused)
{
  server = std::make_unique<wire::CallerServer>(loop, [](const auto& aCaller) {
    aCaller->reply(200, {}, std::string(kLongerThanTheBuffers, 'x'));
  });
  server->setLimits({ 1024, 1024, 1s, 300ms });
  server->refuseCrossingRequests({});
  server->onClosed(
    [this](const wire::ClosedCaller& aClosed) { closed.push_back(aClosed); });
  CHECK(bool(server->listen(kAddress)));
  ManualCaller caller(kSmallBuffer);
  CHECK(caller.send(kRequest));
  runFor(1500ms);
  LONGS_EQUAL(1, closed.size());
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::Undelivered);
}
