/**
 * @file
 * Feeds random and mutated input to every decoder: settings, the operator's
 * configuration, patches of it, answers of the store, records and reports of
 * upstreams, headers of requests and messages between VMs. Every input must
 * yield a value or an error with a message.
 */
#include "base/base.h"
#include "config/config.h"
#include "peers/peers.h"
#include "peers/tests/sample_messages.h"
#include "platform/answer_json.h"
#include "platform/boundary.h"
#include "platform/platform.h"

#include <array>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

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

/** Settings with a value of each kind. */
const std::string kSettings = R"(vm: a-1
listen: 127.0.0.1:80
limit: 20s
ratio: 0.2
count: 3
first_start: false
log_level: info
data_centres:
  - {name: a, region: north}
)";

/** @return the places in settings, all of whose values are read */
std::size_t
readSettings(config::CheckedNode& aRoot)
{
  using namespace std::chrono_literals;
  aRoot.require("vm").name();
  aRoot.require("listen").address();
  aRoot.require("limit").duration(1s, 1h);
  aRoot.require("ratio").number(0, 1);
  aRoot.require("count").integer(0, 10);
  aRoot.require("first_start").boolean();
  aRoot.require("log_level").oneOf({ "info", "warn" });
  auto places = aRoot.require("data_centres").items();
  for (config::CheckedNode& place : places) {
    place.require("name").name();
    place.require("region").text();
    place.rejectUnknownKeys();
  }
  return places.size();
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

/** @return a configuration of some routes and teams */
std::string
sampleConfiguration()
{
  std::string text = R"({"version":7,"routes":[)";
  for (int route = 0; route < 6; ++route) {
    const std::string number = std::to_string(route);
    text += R"({"name":"r)" + number + R"(","host":"h","prefix":"/)" + number +
            R"(/","type":"streaming","service":"s"},)";
  }
  text.back() = ']';
  return text + R"(,"services":[{"name":"s"}],"limits":{},"tenants":[
    {"name":"a","api_keys":["k"]},{"name":"b","api_keys":["l","m"]}]})";
}

/** @throws std::runtime_error if a text that is no JSON is accepted, or if
 * decoding it in slices behind another version differs from decoding it alone
 */
void
decodeConfiguration(const std::string& aText)
{
  const auto text = std::make_shared<const std::string>(aText);
  boundary::CatalogDecoder fresh;
  const auto alone = fresh.decode(text);
  const base::Error* error = base::errorOf(alone);
  if (error == nullptr && !nlohmann::json::accept(aText)) {
    throw std::runtime_error("text that is no JSON was accepted");
  }
  boundary::CatalogDecoder decoder;
  decoder.decode(std::make_shared<const std::string>(sampleConfiguration()));
  decoder.begin(text);
  auto behind = decoder.proceed(1);
  while (!behind) {
    behind = decoder.proceed(1);
  }
  if ((error == nullptr) != (base::errorOf(*behind) == nullptr)) {
    throw std::runtime_error("refused only behind another version, or alone");
  }
  if (error != nullptr) {
    if (error->message.empty()) {
      throw std::runtime_error("decoder returned an error without a message");
    }
    return;
  }
  const auto& one = std::get<catalog::Catalog>(alone);
  const auto& other = std::get<catalog::Catalog>(*behind);
  const auto prefixes = [](const catalog::Catalog& aCatalog) {
    std::string joined = std::to_string(aCatalog.version);
    for (const catalog::Route& route : *aCatalog.routes) {
      joined += " " + route.prefix;
    }
    for (const catalog::Team& team : *aCatalog.teams) {
      joined += " " + team.name + std::to_string(team.keyDigests.size());
    }
    return joined;
  };
  if (prefixes(one) != prefixes(other)) {
    throw std::runtime_error("decoded differently behind another version");
  }
}

constexpr const char* kPatchedText = R"({"a":1},{"b":2},{"c":3})";

/** @return a relay's answer with a patch of kPatchedText */
std::string
samplePatch()
{
  platform::Entry entry{ "k", std::nullopt, 2 };
  entry.base = 1;
  entry.patches.push_back(
    *platform::makePatch(kPatchedText, R"({"a":1},{"b":4},{"c":3})", 1000));
  return platform::encodeSnapshot({ 2, { entry } }).dump();
}

/** @throws std::runtime_error if a patch makes a text that its hash doesn't
 * name */
void
applyPatches(const std::string& aText)
{
  const auto content = nlohmann::json::parse(aText, nullptr, false);
  platform::Snapshot changes;
  try {
    changes = platform::nativeProtocol().readChanges(content);
  } catch (const nlohmann::json::exception&) {
    return; // As readResponse() in libs/platform does.
  }
  platform::Mirror mirror;
  mirror.replace({ 1, { { "k", kPatchedText, 1 } } });
  for (platform::Entry& entry : changes.entries) {
    if (mirror.resolve(entry) && !entry.patches.empty() &&
        base::hash64(entry.value->text()) != entry.patches.back().resultHash) {
      throw std::runtime_error("a patch made another text");
    }
  }
}

const std::string kUpstreamRecord =
  R"({"service":"llm","address":"127.0.0.1:80","zone":"a","version":"v1",)"
  R"("slots":8,"state":"ready","cold_remaining_ms":0,"phase":"unified",)"
  R"("sequence":3,"born":1700000000000,)"
  R"("models":[{"name":"m","version":1,"adapters":["a1"]}]})";

/** @param aMessage sample @return a target whose decoded messages must survive
 * another round through the codec */
DecoderTarget
peerMessageTarget(const char* aName, const peers::Message& aMessage)
{
  return { aName, peers::encode(aMessage), [](const std::string& aText) {
            const auto decode = [](const std::string& aBytes) {
              return base::capture([&] { return peers::decode(aBytes); });
            };
            expectValueOrError([&] { return peers::decode(aText); });
            const auto message = decode(aText);
            if (base::errorOf(message) == nullptr &&
                base::errorOf(decode(peers::encode(
                  std::get<peers::Message>(message)))) != nullptr) {
              throw std::runtime_error("a decoded message cannot be sent on");
            }
          } };
}

/** Decodes headers, one "name: value" a line; none may be refused. */
void
decodeHeaders(const std::string& aText)
{
  http::Headers headers;
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      headers.emplace_back(line.substr(0, colon), line.substr(colon + 1));
    }
  }
  boundary::decodeRequest(headers);
  constexpr int kOk = 200;
  boundary::decodeAnswer(kOk, headers, "u");
}

/** @return an answer of the store with large values */
std::string
sampleAnswer()
{
  const std::string value(5000, 'A');
  return R"({"at":3,"items":[{"key":"k","value":")" + value +
         R"(","revision":3},{"key":"large string 0","value":")" + value +
         R"("}]})";
}

/** @throws std::runtime_error if an answer is not read as the parser reads it
 */
void
readAnswer(const std::string& aText)
{
  const auto expected = nlohmann::json::parse(aText, nullptr, false);
  const auto content = platform::parseAnswer(aText);
  if (expected.is_discarded() != content.is_discarded() ||
      (!expected.is_discarded() && expected != content)) {
    throw std::runtime_error("an answer was read as another one");
  }
}

std::vector<DecoderTarget>
makeDecoderTargets()
{
  return {
    { "settings",
      kSettings,
      [](const std::string& aText) {
        expectValueOrError([&] {
          return config::parseChecked(
            aText, "fuzz", base::Code::SettingsInvalid, readSettings);
        });
      } },
    { "configuration", sampleConfiguration(), decodeConfiguration },
    { "patch", samplePatch(), applyPatches },
    { "upstream-record",
      kUpstreamRecord,
      [](const std::string& aText) {
        expectValueOrError(
          [&] { return boundary::decodeUpstreamRecord("u", aText); });
      } },
    { "engine-report",
      kUpstreamRecord,
      [](const std::string& aText) {
        expectValueOrError([&] { return boundary::decodeEngineReport(aText); });
      } },
    { "headers",
      "Authorization:Bearer k\nX-Model-Name:m/a\nX-Token-Usage:100,20\n"
      "X-Prompt-Prefix:a:50,b:50\nX-Deadline-Ms:3000\nLast-Event-Id:4\n"
      "X-Replica-Load:1,2,8\nRetry-After:1\nServer-Limit:4",
      decodeHeaders },
    peerMessageTarget("peer-status", peers::sampleStatus(4)),
    peerMessageTarget("peer-summary", peers::sampleSummary("vm7", 3, 2)),
    peerMessageTarget("peer-placement", peers::samplePlacementUpdate()),
    { "answer", sampleAnswer(), readAnswer },
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
