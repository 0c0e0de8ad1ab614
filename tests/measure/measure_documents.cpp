/**
 * @file
 * Measures what configuration documents and messages cost: bytes, processor
 * time and memory at several sizes, for the slopes of docs/CAPACITY.md.
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
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace marigold;
using nlohmann::json;

namespace {

constexpr const char* kUsage = R"(Measures documents and messages.

Usage:
  measure-documents
  measure-documents (-h | --help)

Options:
  -h --help  Show this text.

Prints one JSON object per line and size.
)";

constexpr int kRepeats = 20;

std::string
manifestText(int aModels)
{
  std::string text = "format: 1\ndata_centres:\n"
                     "  - {name: north-a, region: north}\nteams:\n"
                     "  - {name: depot, rate: 500, burst: 2000}\nmodels:\n";
  for (int model = 0; model < aModels; ++model) {
    text += "  - {name: model-" + std::to_string(model) +
            ", version: v1, memory_mb: 8000, deadline: 20s, adapters: "
            "[{name: a" +
            std::to_string(model) + ", memory_mb: 100}]}\n";
  }
  return text;
}

std::string
vmListText(int aVms)
{
  json vms = json::array();
  for (int vm = 0; vm < aVms; ++vm) {
    vms.push_back({ { "name", "engine-" + std::to_string(vm) },
                    { "role", "engine" },
                    { "data_centre", "north-a" },
                    { "state", "live" },
                    { "address", "10.1.2.3:8000" },
                    { "memory_mb", 80000 },
                    { "fencing", true } });
  }
  return json{ { "revision", 1 }, { "vms", vms } }.dump();
}

std::string
keysText(int aKeys)
{
  std::vector<identity::KeyRecord> records;
  records.reserve(static_cast<std::size_t>(aKeys));
  for (int key = 0; key < aKeys; ++key) {
    records.push_back(
      identity::makeKey("depot", std::to_string(key), "2026-12-04T04:00:00Z")
        .record);
  }
  return identity::encodeKeys(records);
}

std::size_t
allocatedBytes()
{
  return mallinfo2().uordblks;
}

/** Reads a document several times and prints the cost of one reading. */
template<typename Read>
void
report(const std::string& aWhat, int aSize, std::size_t aBytes, Read aRead)
{
  const std::size_t before = allocatedBytes();
  auto kept = base::capture(aRead);
  const std::size_t held = allocatedBytes() - before;
  const base::TimePoint start = base::monotonicNow();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    kept = base::capture(aRead);
  }
  const double seconds =
    base::inSeconds(base::monotonicNow() - start) / kRepeats;
  std::cout << json{ { "what", aWhat },
                     { "size", aSize },
                     { "bytes", aBytes },
                     { "read_ms", seconds * 1e3 },
                     { "memory_bytes", held } }
            << "\n";
}

void
measureMessages()
{
  constexpr int kMessages = 20000;
  const std::string key = "measure-mesh-key";
  for (const std::size_t bytes : { 32U, 1024U, 65536U }) {
    const mesh::Envelope envelope{ "entry-north-a-1",
                                   1764800000000,
                                   "entry-"
                                   "north-a-2",
                                   1764800000001,
                                   1,
                                   "heartbeat",
                                   std::string(bytes, 'x') };
    std::size_t size = 0;
    const int count = bytes > 10000 ? kMessages / 20 : kMessages;
    const base::TimePoint start = base::monotonicNow();
    for (int message = 0; message < count; ++message) {
      const std::string sealed = mesh::seal(envelope, key);
      size = sealed.size();
      static_cast<void>(base::capture([&] { return mesh::open(sealed, key); }));
    }
    const double seconds =
      base::inSeconds(base::monotonicNow() - start) / count;
    std::cout << json{ { "what", "message" },
                       { "size", bytes },
                       { "bytes", size },
                       { "seal_and_open_us", seconds * 1e6 } }
              << "\n";
  }
}

} // namespace

int
main(int aCount, char** aValues)
{
  docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  for (const int models : { 15, 150, 1700 }) {
    const std::string text = manifestText(models);
    report("manifest", models, text.size(), [&] {
      return config::parseManifest(text, "manifest");
    });
  }
  for (const int vms : { 120, 1200, 12380 }) {
    const std::string text = vmListText(vms);
    report("vm-list", vms, text.size(), [&] {
      return platform::decodeVmList(text);
    });
  }
  for (const int keys : { 10, 100, 1000 }) {
    const std::string text = keysText(keys);
    report(
      "keys", keys, text.size(), [&] { return identity::decodeKeys(text); });
  }
  measureMessages();
  return 0;
}
