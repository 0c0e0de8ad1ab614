/** @file Tests of the platform client against a scripted server. */
#include "platform/platform.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <optional>

using namespace marigold;
using namespace std::chrono_literals;
using base::Code;

namespace {

std::uint16_t
testPort()
{
  constexpr std::uint16_t kDefaultPort = 17970;
  const char* configured = std::getenv("MARIGOLD_TEST_PORT");
  return configured == nullptr
           ? kDefaultPort
           : static_cast<std::uint16_t>(std::atoi(configured) + 4);
}

} // namespace

TEST_GROUP(Platform)
{
  http::Loop loop;
  const http::Address address{ "127.0.0.1", testPort() };
  platform::Client client{ loop, address, 300ms };

  /** @return result of a write to a server that uses the handler */
  Code writeCode(const http::Handler& aHandler)
  {
    http::Server server(loop, {}, aHandler);
    CHECK(bool(server.listen(address)));
    return writeCodeWithoutServer();
  }

  Code writeCodeWithoutServer()
  {
    std::optional<Code> code;
    client.write("k", "v", 3, "", [&](const auto& aOutcome) {
      const base::Error* error = base::errorOf(aOutcome);
      code = error == nullptr ? Code::Ok : error->code;
      loop.stop();
    });
    loop.run();
    return *code;
  }

  static http::Handler answering(int aStatus, std::string aBody)
  {
    return [aStatus, aBody](const http::Request&, const auto& aOut) {
      aOut->reply({ aStatus, {}, aBody });
    };
  }
};

// A write that may have taken effect must not be reported as failed, nor a
// write that was never sent as one of unknown outcome.
TEST(Platform, WriteErrorsSeparateNotSentFromUnknownOutcome)
{
  CHECK(writeCodeWithoutServer() == Code::PlatformUnreachable);
  CHECK(writeCode(answering(200, R"({"revision":4})")) == Code::Ok);
  CHECK(writeCode(answering(409, "{}")) == Code::RevisionConflict);
  CHECK(writeCode(answering(429, "{}")) == Code::PlatformRateLimited);
  CHECK(writeCode([](const http::Request&, const auto& aOut) {
          aOut->abort();
        }) == Code::WriteOutcomeUnknown);
  std::shared_ptr<http::Responder> held;
  CHECK(writeCode([&](const http::Request&, const auto& aOut) {
          held = aOut;
        }) == Code::WriteOutcomeUnknown);
}

// A write was applied but its answer has no revision: the client must not
// report success or failure.
TEST(Platform, MalformedWriteAnswerIsAnUnknownOutcome)
{
  CHECK(writeCode(answering(200, "{}")) == Code::WriteOutcomeUnknown);
}

// Status 503 means that the write was not executed. It must not be taken for a
// lost answer.
TEST(Platform, UnavailablePlatformDidNotExecuteTheWrite)
{
  CHECK(writeCode(answering(503, "{}")) == Code::PlatformUnreachable);
}

// Failure tests rely on an outage that drops all answers. A write during it has
// an unknown outcome and must not be reported as refused.
TEST(Platform, SimulatedOutageDropsAnswers)
{
  client.simulateOutage(true);
  CHECK(writeCode(answering(200, R"({"revision": 4})")) ==
        Code::WriteOutcomeUnknown);
  client.simulateOutage(false);
  CHECK(writeCode(answering(200, R"({"revision": 4})")) == Code::Ok);
}

TEST_GROUP(Mirror)
{
  platform::Mirror mirror;

  void setup() override
  {
    mirror.replace({ 10, { { "a", "1", 7 }, { "b", "2", 9 } } });
  }
};

// A reader that misses a change keeps a stale value.
TEST(Mirror, ReturnsAllChangesAfterARevision)
{
  mirror.apply({ 12, { { "a", "3", 11 }, { "b", std::nullopt, 12 } } });
  const auto changes = mirror.changesAfter(11);
  CHECK(changes.has_value());
  LONGS_EQUAL(12, changes->revision);
  LONGS_EQUAL(1, changes->entries.size());
  CHECK(!changes->entries.at(0).value);
  LONGS_EQUAL(1, mirror.all().entries.size());
}

// A relay may lag behind its reader. The reader must not go back to an earlier
// revision.
TEST(Mirror, ReaderWithALaterRevisionGetsNoOlderChanges)
{
  const auto changes = mirror.changesAfter(15);
  CHECK(changes.has_value());
  LONGS_EQUAL(15, changes->revision);
  CHECK(changes->entries.empty());
}

// Keys that were deleted while no watch was running must not stay in the copy.
TEST(Mirror, ReplaceReportsDeletedKeys)
{
  mirror.replace({ 20, { { "a", "1", 7 } } });
  const auto changes = mirror.changesAfter(10);
  CHECK(changes.has_value());
  LONGS_EQUAL(1, changes->entries.size());
  STRCMP_EQUAL("b", changes->entries.at(0).key.c_str());
  CHECK(!changes->entries.at(0).value);
}

// A reader whose changes were dropped must not get an empty list of changes, or
// it would keep stale values.
TEST(Mirror, DroppedChangesAreReported)
{
  CHECK(!mirror.changesAfter(8).has_value());
  platform::Revision revision = 10;
  for (int i = 0; i < 3000; ++i) {
    ++revision;
    mirror.apply({ revision, { { "a", "x", revision } } });
  }
  CHECK(!mirror.changesAfter(11).has_value());
  CHECK(mirror.changesAfter(revision - 10).has_value());
}

// An encoding that the platform client cannot decode would break every relay.
TEST(Mirror, EncodedSnapshotIsDecodedByTheClient)
{
  mirror.apply({ 12, { { "b", std::nullopt, 12 } } });
  const auto read = platform::nativeProtocol().readChanges(
    platform::encodeSnapshot(*mirror.changesAfter(10)));
  LONGS_EQUAL(12, read.revision);
  STRCMP_EQUAL("b", read.entries.at(0).key.c_str());
  CHECK(!read.entries.at(0).value);
}

int
main(int aCount, char** aValues)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
