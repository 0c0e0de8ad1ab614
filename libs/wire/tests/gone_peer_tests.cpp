/** @file Tests of the time in which the kernel finds a peer that is gone
 * without a reset (docs/decisions/0012-connections.md). */
#include "wire/tests/manual_peers.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace marigold;
using namespace std::chrono_literals;
using test::kAddress;
using test::ManualCaller;
using test::ManualServer;

namespace {

/** The upstream's TCP_USER_TIMEOUT. */
constexpr base::Duration kUpstreamLimit = 2500ms;
/** An idle timeout above the least TCP_USER_TIMEOUT. */
constexpr base::Duration kIdleTimeout = 3500ms;
/** Probes go out each second, so that one decides up to a second late. */
constexpr base::Duration kProbeInterval = 1s;
/** Of the timers. */
constexpr base::Duration kTolerance = 200ms;

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** A call to a server, and the time at which it broke. */
struct Call
{
  Call(http::Loop& aLoop, std::function<void()> aBeforeSend)
    : connection(aLoop, kAddress, memory)
  {
    wire::OutgoingCall call;
    call.makeBytes = [before = std::move(aBeforeSend)] {
      before();
      return std::optional(kRequest);
    };
    wire::CallEvents events;
    events.failed = [this](wire::CallFailure aFailure) {
      failure = aFailure;
      brokenAt = base::monotonicNow();
    };
    connection.start(std::move(call), std::move(events));
  }

  base::MemoryBudget memory;
  wire::UpstreamConnection connection;
  std::optional<wire::CallFailure> failure;
  base::TimePoint brokenAt{};
};

} // namespace

TEST_GROUP(GonePeer)
{
  http::Loop loop;

  void runFor(base::Duration aTime)
  {
    const auto end = loop.after(aTime, [this] { loop.stop(); });
    loop.run();
  }

  void checkFound(
    base::TimePoint aGone, base::TimePoint aFound, base::Duration aLimit)
  {
    CHECK(aFound >= aGone + aLimit - kTolerance);
    CHECK(aFound <= aGone + aLimit + kProbeInterval + kTolerance);
  }
};

// Guards against calls that wait long for an upstream that is gone, whether it
// went before or after it had the request.
TEST(GonePeer, UpstreamIsFoundByTheFirstProbeAfterItsLimit)
{
  ManualServer server;
  Call silent(loop, [] {});
  runFor(50ms);
  (void)server.received();
  server.dropInput();
  const base::TimePoint gone = base::monotonicNow();
  Call unacknowledged(loop, [&] {
    (void)server.received();
    server.dropInput();
  });
  runFor(kUpstreamLimit + kProbeInterval + 2 * kTolerance);
  for (const Call* call : { &silent, &unacknowledged }) {
    CHECK(call->failure == wire::CallFailure::Broken);
    checkFound(gone, call->brokenAt, kUpstreamLimit);
  }
}

// Guards against a limit for callers that keep-alive probes undercut, or that
// they exceed by more than one probe.
TEST(GonePeer, CallerIsFoundByTheFirstProbeAfterTheIdleTimeout)
{
  std::vector<std::shared_ptr<wire::CallerConnection>> waiting;
  std::vector<base::TimePoint> found;
  wire::CallerServer server(loop, [&](const auto& aCaller) {
    aCaller->startStream(200, {});
    waiting.push_back(aCaller);
  });
  server.onClosed([&](const wire::ClosedCaller& aClosed) {
    CHECK(aClosed.end == wire::CallerEnd::TimedOut);
    found.push_back(base::monotonicNow());
  });
  server.setLimits({ 1024, 1024, 1s, kIdleTimeout });
  CHECK(bool(server.listen(kAddress)));
  ManualCaller silent;
  ManualCaller unacknowledged;
  silent.send(kRequest);
  unacknowledged.send(kRequest);
  runFor(50ms);
  silent.dropInput();
  unacknowledged.dropInput();
  const base::TimePoint gone = base::monotonicNow();
  LONGS_EQUAL(2, waiting.size());
  waiting[1]->sendChunk("an event");
  runFor(kIdleTimeout + kProbeInterval + 2 * kTolerance);
  LONGS_EQUAL(2, found.size());
  for (const base::TimePoint time : found) {
    checkFound(gone, time, kIdleTimeout);
  }
  waiting.clear();
  test::runPending(loop);
}
