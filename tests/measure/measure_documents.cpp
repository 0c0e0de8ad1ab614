/**
 * @file
 * Measures bytes, processor time and memory of configuration documents and
 * messages at several sizes. docs/CAPACITY.md uses the slopes.
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

/** @return heap bytes in use */
std::size_t
allocatedBytes()
{
  return mallinfo2().uordblks;
}

/** Parses a document repeatedly and prints the cost of one pass.
 * @param aItemCount models, VMs or keys in the document */
template<typename Parse>
void
measureParsing(const std::string& aKind,
               int aItemCount,
               std::size_t aDocumentBytes,
               Parse aParse)
{
  const std::size_t bytesBefore = allocatedBytes();
  auto parsed = base::capture(aParse);
  const std::size_t memoryBytes = allocatedBytes() - bytesBefore;
  const base::TimePoint start = base::monotonicNow();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    parsed = base::capture(aParse);
  }
  const double seconds =
    base::inSeconds(base::monotonicNow() - start) / kRepeats;
  std::cout << json{ { "what", aKind },
                     { "size", aItemCount },
                     { "bytes", aDocumentBytes },
                     { "read_ms", seconds * 1e3 },
                     { "memory_bytes", memoryBytes } }
            << "\n";
}

/** Prints the cost of sealing and opening mesh messages. */
void
measureMessages()
{
  constexpr int kMessageCount = 20000;
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
    const int count = bytes > 10000 ? kMessageCount / 20 : kMessageCount;
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
    measureParsing("manifest", models, text.size(), [&] {
      return config::parseManifest(text, "manifest");
    });
  }
  for (const int vms : { 120, 1200, 12380 }) {
    const std::string text = vmListText(vms);
    measureParsing("vm-list", vms, text.size(), [&] {
      return platform::decodeVmList(text);
    });
  }
  for (const int keys : { 10, 100, 1000 }) {
    const std::string text = keysText(keys);
    measureParsing(
      "keys", keys, text.size(), [&] { return identity::decodeKeys(text); });
  }
  measureMessages();
  return 0;
}
