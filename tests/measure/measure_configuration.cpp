/**
 * @file
 * Measures what a change of the operator's configuration costs a VM: processor
 * time, bytes on its link and memory, split by step, at several sizes and for
 * several changes. docs/decisions/0021-configuration-changes.md has its table.
 */
#include "apps/gateway/catalog_loader.h"
#include "apps/gateway/catalog_snapshot.h"
#include "platform/answer_json.h"
#include "platform/boundary.h"
#include "platform/platform.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace marigold;
using nlohmann::json;

namespace {

constexpr const char* kUsage =
  R"(Measures what a change of the configuration costs a VM.

Usage:
  measure-configuration
  measure-configuration (-h | --help)

Options:
  -h --help  Show this text.

Prints one JSON object per line, size and change. Times are the shortest of
several runs, in milliseconds of a core. pass_store_ms and pass_relay_ms are
those of the pass of the loop in which an answer has come, with what follows it
up to the end of the first slice of decoding.
)";

constexpr int kRepeats = 9;
constexpr int kTeams = 16;
constexpr int kModels = 260;
/** Changes that a VM has seen when its memory is measured. */
constexpr int kChanges = 27;

json
makeRoute(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return { { "name", "r-" + number },
           { "host", "host" + std::to_string(aNumber % 40) + ".example" },
           { "prefix", "/path" + number + "/" },
           { "type", aNumber % 3 == 0 ? "streaming" : "idempotent" },
           { "timeout_ms", 15000 },
           { "target_latency_ms", 8000 },
           { "priority", 1 },
           { "service", "engines" },
           { "attempts", 1 },
           { "public", false },
           { "sticky", true },
           { "resumable", false },
           { "target_gap_ms", 400 } };
}

json
makeTeam(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return { { "name", "team-" + number },
           { "api_keys", { "key-one-of-" + number, "key-two-of-" + number } },
           { "priority", 1 },
           { "unit", "generation" },
           { "uncached_tokens", 200 },
           { "rate_per_s", 397188 },
           { "burst", 397188 } };
}

json
makeConfiguration(int aRoutes)
{
  json models = json::array();
  for (int model = 0; model < kModels; ++model) {
    models.push_back({ { "name", "model-" + std::to_string(model) },
                       { "weights_mb", 72700.0 },
                       { "load_time_s", 8.6 },
                       { "adapters", model % 4 == 0 ? 10 : 0 },
                       { "adapter_size_mb", 66.0 },
                       { "warmup_s", 0.81 },
                       { "disk_load_s", 1.7 } });
  }
  json configuration{ { "version", 1 },
                      { "routes", json::array() },
                      { "services",
                        { { { "name", "engines" },
                            { "max_connections", 810 },
                            { "runtime",
                              { { "slots", 64 },
                                { "kv_capacity", 102923 },
                                { "models", models } } } } } },
                      { "limits", { { "idle_timeout_ms", 15000 } } },
                      { "tenants", json::array() } };
  for (int route = 0; route < aRoutes; ++route) {
    configuration["routes"].push_back(makeRoute(route));
  }
  for (int team = 0; team < kTeams; ++team) {
    configuration["tenants"].push_back(makeTeam(team));
  }
  return configuration;
}

/** A change of the configuration and its name in the output. */
struct Change
{
  const char* name;
  void (*apply)(json& aConfiguration);
};

constexpr std::array kKindsOfChange{
  Change{ "team",
          [](json& aConfiguration) {
            aConfiguration["tenants"][kTeams / 2]["rate_per_s"] = 200000;
          } },
  Change{ "key",
          [](json& aConfiguration) {
            aConfiguration["tenants"][kTeams / 2]["api_keys"].erase(0);
          } },
  Change{ "route",
          [](json& aConfiguration) {
            json& routes = aConfiguration["routes"];
            routes[routes.size() / 2]["timeout_ms"] = 9000;
          } },
  Change{ "1500 routes more",
          [](json& aConfiguration) {
            constexpr int kMore = 1500;
            json& routes = aConfiguration["routes"];
            const int first = static_cast<int>(routes.size());
            for (int route = first; route < first + kMore; ++route) {
              routes.push_back(makeRoute(route));
            }
          } },
};

/** @return time of a step in milliseconds of a core */
template<typename Step>
double
once(Step aStep)
{
  timespec begun{};
  timespec ended{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &begun);
  aStep();
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ended);
  constexpr double kMsPerSecond = 1e3;
  constexpr double kNsPerMs = 1e6;
  return static_cast<double>(ended.tv_sec - begun.tv_sec) * kMsPerSecond +
         static_cast<double>(ended.tv_nsec - begun.tv_nsec) / kNsPerMs;
}

/** @return shortest time of a step in milliseconds of a core */
template<typename Step>
double
shortest(Step aStep)
{
  double best = once(aStep);
  for (int run = 1; run < kRepeats; ++run) {
    best = std::min(best, once(aStep));
  }
  return best;
}

/** @return the store's answer to a watch that has waited for the change */
std::string
storeAnswer(const std::string& aText)
{
  // A write has the value in the form of the store.
  const http::Request write =
    boundary::storeProtocol().write({ boundary::kCatalogKey, aText, 1, "" });
  json row = json::parse(write.body).at("write").at(0);
  row["revision"] = 2;
  return json{ { "events", { row } }, { "at", 2 } }.dump();
}

platform::Snapshot
withRevision(const std::string& aText, platform::Revision aRevision)
{
  return { aRevision, { { boundary::kCatalogKey, aText, aRevision } } };
}

catalog::Catalog
decode(boundary::CatalogDecoder& aDecoder, const std::string& aText)
{
  return std::get<catalog::Catalog>(
    aDecoder.decode(std::make_shared<const std::string>(aText)));
}

/** @return bytes that a relay keeps for its readers after some changes */
std::size_t
mirrorBytes(const std::string& aText)
{
  const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
  platform::Mirror mirror;
  mirror.replace(withRevision(aText, 1));
  for (int change = 2; change < kChanges + 2; ++change) {
    mirror.apply(withRevision(aText, static_cast<platform::Revision>(change)));
  }
  return ::mallinfo2().uordblks + ::mallinfo2().hblkhd - before;
}

/** A VM's copy of the store and its decoder, before a change. */
struct Follower
{
  platform::Mirror mirror;
  boundary::CatalogDecoder decoder;

  explicit Follower(const std::string& aText)
  {
    mirror.replace(withRevision(aText, 1));
    decode(decoder, aText);
  }

  /** What PrefixWatch and CatalogLoader do in the pass of the loop in which an
   * answer has come: all up to the end of the first slice. */
  void follow(const platform::WireProtocol& aProtocol,
              const std::string& aAnswer)
  {
    const platform::Snapshot answer =
      aProtocol.readChanges(platform::parseAnswer(aAnswer));
    platform::Snapshot changes = answer;
    mirror.resolve(changes.entries.at(0));
    mirror.apply(changes);
    decoder.begin(changes.entries.at(0).value->shared());
    decoder.proceed(gateway::kCatalogSliceBytes);
  }
};

/** @return shortest time of the pass in which a VM reads an answer */
double
pass(const std::string& aBefore,
     const platform::WireProtocol& aProtocol,
     const std::string& aAnswer)
{
  double best = 1e9;
  for (int run = 0; run < kRepeats; ++run) {
    Follower follower(aBefore);
    best = std::min(best, once([&] { follower.follow(aProtocol, aAnswer); }));
  }
  return best;
}

json
measure(int aRoutes, const Change& aChange)
{
  json configuration = makeConfiguration(aRoutes);
  const std::string before = configuration.dump();
  configuration["version"] = 2;
  aChange.apply(configuration);
  const std::string after = configuration.dump();

  const std::string fromStore = storeAnswer(after);
  const double readStore = shortest([&] {
    boundary::storeProtocol().readChanges(platform::parseAnswer(fromStore));
  });
  platform::Mirror mirror;
  mirror.replace(withRevision(before, 1));
  const double remember = once([&] { mirror.apply(withRevision(after, 2)); });
  std::string fromRelay;
  const double writeRelay = shortest([&] {
    fromRelay =
      platform::encodeSnapshot(*mirror.changesAfter({ 1 }, true)).dump();
  });
  platform::Mirror reader;
  reader.replace(withRevision(before, 1));
  const double readRelay = shortest([&] {
    platform::Snapshot changes =
      platform::nativeProtocol().readChanges(platform::parseAnswer(fromRelay));
    reader.resolve(changes.entries.at(0));
  });
  const json parsed = platform::parseAnswer(fromStore);
  const double parse =
    shortest([&] { (void)platform::parseAnswer(fromStore); });
  const double readValue =
    shortest([&] { boundary::storeProtocol().readChanges(parsed); });
  const double passStore = pass(before, boundary::storeProtocol(), fromStore);
  const double passRelay = pass(before, platform::nativeProtocol(), fromRelay);
  const double decodeAlone = shortest([&] {
    boundary::CatalogDecoder decoder;
    decode(decoder, after);
  });
  // Shorter than alone, as most of it is known from the version before.
  double decodeNext = 1e9;
  boundary::CatalogDecoder decoder;
  for (int run = 0; run < kRepeats; ++run) {
    decode(decoder, before);
    decodeNext = std::min(decodeNext, once([&] { decode(decoder, after); }));
  }
  const gateway::CatalogSnapshot previous(
    decode(decoder, before), nullptr, nullptr);
  const catalog::Catalog content = decode(decoder, after);
  const double tables = shortest(
    [&] { const gateway::CatalogSnapshot next(content, nullptr, &previous); });
  return { { "routes", aRoutes },
           { "change", aChange.name },
           { "document_bytes", after.size() },
           { "store_bytes", fromStore.size() },
           { "relay_bytes", fromRelay.size() },
           { "pass_store_ms", passStore },
           { "pass_relay_ms", passRelay },
           { "parse_store_ms", parse },
           { "value_store_ms", readValue },
           { "read_store_ms", readStore },
           { "remember_ms", remember },
           { "write_relay_ms", writeRelay },
           { "read_relay_ms", readRelay },
           { "decode_alone_ms", decodeAlone },
           { "decode_ms", decodeNext },
           { "tables_ms", tables },
           { "mirror_bytes", mirrorBytes(after) } };
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc });
  for (const int routes : { 50, 1550, 12000 }) {
    for (const Change& change : kKindsOfChange) {
      std::cout << measure(routes, change).dump() << std::endl;
    }
  }
  return 0;
}
