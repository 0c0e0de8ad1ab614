/**
 * @file
 * Feeds random and mutated input to every decoder: settings, manifest,
 * documents, key records, the platform's VM list and messages between VMs.
 * Every input must yield a value or an error with a message.
 */
#include "base/base.h"
#include "config/config.h"
#include "documents/documents.h"
#include "identity/identity.h"
#include "mesh/mesh.h"
#include "platform/platform.h"

#include <array>
#include <docopt/docopt.h>
#include <iostream>

using namespace marigold;

namespace {

constexpr const char* kUsage = R"(Fuzzes the decoders.

Usage:
  fuzz-decoders [--seed N] [--runs N]
  fuzz-decoders (-h | --help)

Options:
  --seed N   Seed of the first run [default: 1].
  --runs N   Number of runs [default: 100000].
  -h --help  Show this text.
)";

constexpr const char* kMeshKey = "fuzz-mesh-key";

const std::string kManifest = R"(format: 1
data_centres:
  - {name: north-a, region: north, entry_slots: 2}
teams:
  - {name: depot, rate: 500, burst: 2000, key_staleness: 1h}
models:
  - {name: drafting, version: v3, memory_mb: 8000, deadline: 20s,
     adapters: [{name: lists, memory_mb: 100}], teams: [depot]}
services:
  - name: desk
    routes:
      - {method: POST, path: /bookings, idempotent: false, cost: 1}
)";

std::string
sampleVmList()
{
  return R"({"revision":3,"vms":[{"name":"e1","role":"engine","data_centre":)"
         R"("north-a","state":"live","address":"127.0.0.1:80",)"
         R"("memory_mb":8000,"fencing":true}]})";
}

std::string
sampleMessage()
{
  return mesh::seal({ "n1", 1, "n2", 2, 3, "vote", { { "key", "k" } } },
                    kMeshKey);
}

/** A decoder under test and a valid input to mutate. */
struct DecoderTarget
{
  const char* name;
  std::string valid;
  std::function<void(const std::string&)> decode;
};

/** @throws std::runtime_error if the decoder fails without a message */
template<typename Decode>
void
expectValueOrError(Decode aDecode)
{
  const auto outcome = base::capture(aDecode);
  const base::Error* error = base::errorOf(outcome);
  if (error != nullptr && error->message.empty()) {
    throw std::runtime_error("decoder returned an error without a message");
  }
}

std::vector<DecoderTarget>
makeDecoderTargets()
{
  const auto key = identity::makeKey("depot", "bytes", "now");
  return {
    { "manifest",
      kManifest,
      [](const std::string& aText) {
        expectValueOrError(
          [&] { return config::parseManifest(aText, "fuzz"); });
      } },
    { "document",
      documents::encode({ "config/keys", 4, "body" }),
      [](const std::string& aText) {
        expectValueOrError([&] { return documents::decode(aText); });
      } },
    { "keys",
      identity::encodeKeys({ key.record }),
      [](const std::string& aText) {
        expectValueOrError([&] { return identity::decodeKeys(aText); });
      } },
    { "vm-list",
      sampleVmList(),
      [](const std::string& aText) {
        expectValueOrError([&] { return platform::decodeVmList(aText); });
      } },
    { "message",
      sampleMessage(),
      [](const std::string& aText) {
        expectValueOrError([&] { return mesh::open(aText, kMeshKey); });
      } },
    // Mutated content with a valid MAC, as sent by a faulty peer.
    { "message-content",
      sampleMessage().substr(32),
      [](const std::string& aText) {
        const std::string mac = base::hmacSha256(kMeshKey, aText);
        expectValueOrError([&] { return mesh::open(mac + aText, kMeshKey); });
      } },
    { "address",
      "127.0.0.1:8080",
      [](const std::string& aText) {
        expectValueOrError([&] { return http::parseAddress(aText); });
      } },
  };
}

std::string
mutate(std::string aText, base::Random& aRandom)
{
  static const std::array<std::string, 10> kFragments{
    "{", "]", ": ", "\n  - ", "null", "-1", "1e400", "\xff", "&a *a", "\""
  };
  const std::uint64_t changes = 1 + aRandom.below(6);
  for (std::uint64_t change = 0; change < changes; ++change) {
    const std::size_t position = aRandom.below(aText.size() + 1);
    switch (aRandom.below(4)) {
      case 0:
        aText.insert(position, kFragments.at(aRandom.below(kFragments.size())));
        break;
      case 1:
        aText.erase(position, 1 + aRandom.below(8));
        break;
      case 2:
        if (position < aText.size()) {
          aText[position] = static_cast<char>(aRandom.below(256));
        }
        break;
      default:
        aText.insert(position,
                     aText.substr(0, aRandom.below(aText.size() + 1)));
    }
  }
  return aText;
}

int
run(std::uint64_t aSeed, std::uint64_t aRuns)
{
  const std::vector<DecoderTarget> targets = makeDecoderTargets();
  for (std::uint64_t index = 0; index < aRuns; ++index) {
    base::Random random(aSeed + index);
    const DecoderTarget& target = targets[random.below(targets.size())];
    const std::string input = mutate(target.valid, random);
    try {
      target.decode(input);
    } catch (const std::exception& failure) {
      std::cout << "seed " << aSeed + index << " decoder " << target.name
                << ": " << failure.what() << "\ninput: " << input << "\n"
                << "0 passed, 1 failed\n";
      return 1;
    }
  }
  std::cout << aRuns << " passed, 0 failed\n";
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  return run(static_cast<std::uint64_t>(arguments["--seed"].asLong()),
             static_cast<std::uint64_t>(arguments["--runs"].asLong()));
}
