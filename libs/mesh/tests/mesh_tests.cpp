/** @file Tests of the mesh library. */
#include "mesh/mesh.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <cstdlib>

using namespace marigold;
using namespace std::chrono_literals;

namespace {

base::Code
codeOf(const std::string& aBytes, const std::string& aKey)
{
  const auto outcome = base::capture([&] { return mesh::open(aBytes, aKey); });
  const base::Error* error = base::errorOf(outcome);
  return error == nullptr ? base::Code::Ok : error->code;
}

/** First port for tests; the environment separates concurrent runs. */
std::uint16_t
testPort()
{
  constexpr std::uint16_t kDefaultPort = 17980;
  const char* configured = std::getenv("MARIGOLD_TEST_PORT");
  return configured == nullptr
           ? kDefaultPort
           : static_cast<std::uint16_t>(std::atoi(configured) + 2);
}

mesh::Envelope
sample()
{
  return { "n1", 7, "n2", 9, 3, "vote", { { "key", "k" } } };
}

} // namespace

TEST_GROUP(Mesh){};

// Guards against forged and mangled messages: no change of any byte may pass.
TEST(Mesh, EveryMangledByteIsRejected)
{
  const std::string sealed = mesh::seal(sample(), "secret");
  CHECK(codeOf(sealed, "secret") == base::Code::Ok);
  CHECK(codeOf(sealed, "other") == base::Code::MessageForged);
  for (std::size_t index = 0; index < sealed.size(); ++index) {
    std::string mangled = sealed;
    mangled[index] = static_cast<char>(mangled[index] ^ 0x20);
    CHECK(codeOf(mangled, "secret") == base::Code::MessageForged);
  }
  CHECK(codeOf(std::string(mesh::kMaxBytes + 1, 'x'), "secret") ==
        base::Code::MessageTooLarge);
  CHECK(codeOf("short", "secret") == base::Code::MessageMalformed);
}

// Guards against a recorded message that takes effect a second time, also
// after the receiver or the sender restarted.
TEST(Mesh, ReplayedMessagesAreRejected)
{
  mesh::ReplayFilter filter("n2", 9);
  mesh::Envelope message = sample();
  const auto accepted = [&filter](const mesh::Envelope& aEnvelope) {
    return base::errorOf(
             base::capture([&] { return filter.check(aEnvelope); })) == nullptr;
  };
  CHECK(accepted(message));
  CHECK_FALSE(accepted(message));
  message.sequence = 4;
  message.toIncarnation = 8;
  CHECK_FALSE(accepted(message));
  message.toIncarnation = 9;
  CHECK(accepted(message));
  message.fromIncarnation = 6;
  message.sequence = 99;
  CHECK_FALSE(accepted(message));
}

// Guards against two processes that never learn each other's incarnation.
TEST(Mesh, GreetingOpensTheWayForMessages)
{
  http::Loop loop;
  mesh::Transport left(loop, "left", 1, "secret");
  mesh::Transport right(loop, "right", 2, "secret");
  const http::Address leftAddress{ "127.0.0.1", testPort() };
  const http::Address rightAddress{
    "127.0.0.1", static_cast<std::uint16_t>(testPort() + 1)
  };
  CHECK(bool(left.listen(leftAddress)));
  CHECK(bool(right.listen(rightAddress)));
  std::string got;
  right.received().connect([&](const mesh::Envelope& aEnvelope) {
    if (aEnvelope.type == mesh::kGreeting) {
      right.connect("left", leftAddress.text());
      right.greet(leftAddress.text(), {});
    } else {
      got = aEnvelope.body.at("text");
      loop.stop();
    }
  });
  left.connect("right", rightAddress.text());
  const http::EventHandle retry = loop.every(20ms, [&] {
    if (left.knows("right")) {
      left.send("right", "note", { { "text", "hello" } });
    } else {
      left.greet(rightAddress.text(), {});
    }
  });
  const http::EventHandle limit = loop.after(3s, [&] { loop.stop(); });
  loop.run();
  STRCMP_EQUAL("hello", got.c_str());
}

int
main(int aCount, char** aValues)
{
  // nng keeps static state until the process ends.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
