/** @file Tests that the end of a caller's connection is told by who ended it
 * and what the caller has. */
#include "wire/tests/manual_peers.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace marigold;
using namespace std::chrono_literals;
using test::kAddress;
using test::ManualCaller;

namespace {

/** The kernel holds little for a caller that doesn't read. */
constexpr int kSmallBuffer = 4096;
/** More than the kernel takes for a caller with a small buffer. */
constexpr std::size_t kLongerThanTheBuffers = 16UL * 1024 * 1024;
/** After which the kernel ends a connection, at the latest. */
constexpr base::Duration kTimeoutOfTheKernel = 4s;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(ClosedCaller)
{
  http::Loop loop;
  std::vector<wire::ClosedCaller> closed;
  std::vector<std::shared_ptr<wire::CallerConnection>> waiting;

  std::unique_ptr<wire::CallerServer> server;

  void teardown() override
  {
    waiting.clear();
    test::runPending(loop);
    server.reset();
  }

  void runFor(base::Duration aTime)
  {
    const auto end = loop.after(aTime, [this] { loop.stop(); });
    loop.run();
  }

  void listen(wire::CallerServer::Handler aHandler)
  {
    server = std::make_unique<wire::CallerServer>(loop, std::move(aHandler));
    server->setLimits({ 1024, 1024, 1s, 500ms });
    server->onClosed(
      [this](const wire::ClosedCaller& aClosed) { closed.push_back(aClosed); });
    CHECK(bool(server->listen(kAddress)));
  }
};

// Guards against a caller that resets its connection inside its stream, which
// was logged as a request without a response.
TEST(ClosedCaller, ResetInsideAStreamIsTheCallersOwn)
{
  listen([&](const auto& aCaller) {
    aCaller->startStream(200, {});
    aCaller->sendChunk("an event");
    waiting.push_back(aCaller);
  });
  ManualCaller caller;
  caller.send(kRequest);
  runFor(20ms);
  STRCMP_CONTAINS("an event", caller.receive().c_str());
  caller.reset();
  runFor(20ms);
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::ResetByCaller);
  CHECK(closed[0].requestOpen);
  CHECK(closed[0].deliveredBytes > 0);
  LONGS_EQUAL(kRequest.size(), closed[0].unansweredBytes);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::LeftEarly);
}

TEST(ClosedCaller, ResetBeforeAResponseIsTheCallersOwn)
{
  listen([&](const auto& aCaller) { waiting.push_back(aCaller); });
  ManualCaller caller;
  caller.send(kRequest);
  runFor(20ms);
  caller.reset();
  runFor(20ms);
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::ResetByCaller);
  LONGS_EQUAL(0, closed[0].deliveredBytes);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::LeftEarly);
}

// Guards against a caller that resets its connection while its last response is
// on its way, which was logged as a loss by the process.
TEST(ClosedCaller, ResetWhileTheResponseIsOnItsWayIsTheCallersOwn)
{
  listen([](const auto& aCaller) {
    aCaller->reply(200, {}, std::string(kLongerThanTheBuffers, 'x'));
  });
  ManualCaller caller(kSmallBuffer);
  caller.send(kRequest);
  runFor(20ms);
  caller.reset();
  runFor(20ms);
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::ResetByCaller);
  CHECK_FALSE(closed[0].requestOpen);
  CHECK(closed[0].unacknowledgedBytes > 0);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::LeftEarly);
}

// Guards against a caller that is silent or gone for too long, which looked
// like one that had reset its connection.
TEST(ClosedCaller, TimeoutOfTheKernelIsNotTheCallersOwn)
{
  listen([&](const auto& aCaller) {
    if (aCaller->request().target == "/stream") {
      aCaller->startStream(200, {});
      aCaller->sendChunk(std::string(kLongerThanTheBuffers, 'x'));
    }
    waiting.push_back(aCaller);
  });
  ManualCaller gone;
  gone.send(kRequest);
  ManualCaller paused(kSmallBuffer);
  paused.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(20ms);
  gone.dropInput();
  runFor(kTimeoutOfTheKernel);
  LONGS_EQUAL(2, closed.size());
  for (const wire::ClosedCaller& caller : closed) {
    CHECK(caller.end == wire::CallerEnd::TimedOut);
    CHECK(caller.requestOpen);
    const auto loss = caller.deliveredBytes > 0 ? wire::CallerLoss::BrokenOff
                                                : wire::CallerLoss::Unanswered;
    CHECK(wire::callerLoss(caller) == loss);
  }
  CHECK((closed[0].deliveredBytes > 0) != (closed[1].deliveredBytes > 0));
}

TEST(ClosedCaller, ResponsesThatTheHandlerEndsAreToldApart)
{
  std::vector<std::string> unanswered;
  listen([&](const auto& aCaller) {
    if (aCaller->request().target == "/stream") {
      aCaller->startStream(200, {});
      aCaller->sendChunk("an event");
    }
    waiting.push_back(aCaller);
  });
  server->onUnanswered(
    [&](wire::CallerEnd aReason, const wire::Request& aRequest) {
      CHECK(aReason == wire::CallerEnd::Aborted);
      unanswered.push_back(aRequest.target);
    });
  // A response to HTTP/1.0 has no chunks, so its end is a reset.
  ManualCaller brokenOff;
  brokenOff.send("GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
  runFor(50ms);
  ManualCaller notBegun;
  notBegun.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
  runFor(50ms);
  LONGS_EQUAL(2, waiting.size());
  waiting.front()->abort();
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::Aborted);
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::BrokenOff);
  LONGS_EQUAL(0, unanswered.size());
  waiting.back()->abort();
  runFor(1200ms);
  STRCMP_CONTAINS("HTTP/1.1 504", notBegun.receive().c_str());
  CHECK_FALSE(notBegun.wasReset());
  LONGS_EQUAL(2, closed.size());
  CHECK(wire::callerLoss(closed[1]) == wire::CallerLoss::None);
  LONGS_EQUAL(1, unanswered.size());
  STRCMP_EQUAL("/", unanswered[0].c_str());
}

// Guards against a request that may have run and whose caller, which has closed
// its sending side only, gets a closed connection.
TEST(ClosedCaller, HalfClosedCallerGetsTheFallbackResponse)
{
  listen([&](const auto& aCaller) {
    aCaller->onDisconnect([] {});
    waiting.push_back(aCaller);
  });
  std::size_t unanswered = 0;
  server->onUnanswered(
    [&](wire::CallerEnd /*aReason*/, const wire::Request& /*aRequest*/) {
      ++unanswered;
    });
  ManualCaller caller;
  caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  runFor(50ms);
  caller.endInput();
  runFor(50ms);
  STRCMP_CONTAINS("HTTP/1.1 504", caller.receive().c_str());
  CHECK(caller.wasClosed());
  LONGS_EQUAL(1, closed.size());
  CHECK(closed[0].end == wire::CallerEnd::ClosedByCaller);
  // Its caller may have left, so neither is a fault.
  CHECK(wire::callerLoss(closed[0]) == wire::CallerLoss::None);
  LONGS_EQUAL(0, unanswered);
}

TEST(ClosedCaller, LossIsToldFromTheEndAndTheBytes)
{
  using wire::CallerEnd;
  using wire::CallerLoss;
  const auto loss = [](CallerEnd aEnd,
                       bool aOpen,
                       std::size_t aUnanswered,
                       std::size_t aDelivered,
                       std::size_t aUnacknowledged) {
    return wire::callerLoss({ aEnd,
                              aOpen,
                              aUnanswered,
                              aDelivered,
                              0,
                              aUnacknowledged,
                              {},
                              {},
                              false,
                              nullptr });
  };
  CHECK(loss(CallerEnd::Idle, false, 0, 0, 0) == CallerLoss::None);
  CHECK(loss(CallerEnd::ClosedByCaller, true, 9, 0, 0) == CallerLoss::None);
  CHECK(loss(CallerEnd::ClosedByCaller, false, 0, 0, 9) ==
        CallerLoss::LeftEarly);
  // Input that was read behind the last response and dropped.
  CHECK(loss(CallerEnd::ClosedByCaller, false, 9, 0, 0) ==
        CallerLoss::Unanswered);
  CHECK(loss(CallerEnd::ResetByCaller, false, 9, 0, 0) ==
        CallerLoss::Unanswered);
  CHECK(loss(CallerEnd::Idle, false, 9, 0, 0) == CallerLoss::Unanswered);
  CHECK(loss(CallerEnd::Overdue, true, 9, 0, 0) == CallerLoss::Unanswered);
  CHECK(loss(CallerEnd::Failed, true, 9, 9, 0) == CallerLoss::BrokenOff);
  CHECK(loss(CallerEnd::Completed, false, 0, 0, 9) == CallerLoss::Undelivered);
  CHECK(loss(CallerEnd::TimedOut, false, 0, 0, 9) == CallerLoss::Undelivered);
  wire::ClosedCaller leftFirst;
  leftFirst.unacknowledgedBytes = 9;
  leftFirst.leftBeforeResponse = true;
  CHECK(wire::callerLoss(leftFirst) == CallerLoss::None);
  leftFirst.unansweredBytes = 9; // A request behind the one that was answered.
  CHECK(wire::callerLoss(leftFirst) == CallerLoss::None);
}
