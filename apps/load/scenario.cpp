#include "apps/load/scenario.h"

#include "config/config.h"

#include <cmath>
#include <map>
#include <numeric>

namespace marigold::load {
namespace {

using config::CheckedNode;
using namespace std::chrono_literals;

constexpr double kMaxRatePerSecond = 100'000;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxBytes = 1'000'000;
constexpr std::int64_t kMaxRequests = 10'000'000;

/** Prompt size that gateways charge as one token, see libs/chat. */
constexpr double kBytesPerToken = 4;

const std::map<std::string, RequestKind> kKinds{
  { "stream", RequestKind::Stream },
  { "chat", RequestKind::Chat },
  { "lookup", RequestKind::Lookup },
  { "booking", RequestKind::Booking },
};

const std::map<std::string, RateShapeKind> kShapes{
  { "steady", RateShapeKind::Steady },
  { "evening", RateShapeKind::Evening },
  { "greedy", RateShapeKind::Greedy },
};

std::vector<http::Address>
readAddresses(CheckedNode& aRoot, const std::string& aKey)
{
  std::vector<http::Address> addresses;
  if (aRoot.has(aKey)) {
    for (const CheckedNode& item : aRoot.require(aKey).items()) {
      addresses.push_back(item.address());
    }
  }
  return addresses;
}

int
readInteger(CheckedNode& aNode,
            const std::string& aKey,
            std::int64_t aMaximum,
            int aDefault)
{
  return aNode.has(aKey)
           ? static_cast<int>(aNode.require(aKey).integer(0, aMaximum))
           : aDefault;
}

double
readNumber(CheckedNode& aNode,
           const std::string& aKey,
           double aMaximum,
           double aDefault)
{
  return aNode.has(aKey) ? aNode.require(aKey).number(0, aMaximum) : aDefault;
}

base::Duration
readDuration(CheckedNode& aNode,
             const std::string& aKey,
             base::Duration aDefault)
{
  return aNode.has(aKey) ? aNode.require(aKey).duration(0s, 24h) : aDefault;
}

RateShape
readShape(CheckedNode aNode)
{
  RateShape shape;
  shape.kind =
    kShapes.at(aNode.require("kind").oneOf({ "steady", "evening", "greedy" }));
  shape.perSecond = aNode.require("per_second").number(0, kMaxRatePerSecond);
  shape.peak = readNumber(aNode, "peak", kMaxRatePerSecond, shape.peak);
  shape.at = readDuration(aNode, "at", shape.at);
  shape.width = readDuration(aNode, "width", shape.width);
  aNode.rejectUnknownKeys();
  return shape;
}

RequestClass
readRequestClass(CheckedNode aNode)
{
  RequestClass requestClass;
  requestClass.kind = kKinds.at(
    aNode.require("kind").oneOf({ "stream", "chat", "lookup", "booking" }));
  requestClass.weight =
    readNumber(aNode, "weight", kMaxRatePerSecond, requestClass.weight);
  if (requestClass.kind == RequestKind::Stream ||
      requestClass.kind == RequestKind::Chat) {
    requestClass.model = aNode.require("model").text();
    requestClass.tokens =
      readInteger(aNode, "tokens", kMaxTokens, requestClass.tokens);
    requestClass.prefixes =
      readInteger(aNode, "prefixes", kMaxBytes, requestClass.prefixes);
    requestClass.prefixBytes =
      readInteger(aNode, "prefix_bytes", kMaxBytes, requestClass.prefixBytes);
    requestClass.promptBytes =
      readInteger(aNode, "prompt_bytes", kMaxBytes, requestClass.promptBytes);
  } else {
    requestClass.path = aNode.require("path").text();
    requestClass.cost =
      readNumber(aNode, "cost", kMaxTokens, requestClass.cost);
  }
  requestClass.deadline =
    readDuration(aNode, "deadline", requestClass.deadline);
  requestClass.firstEvent =
    readDuration(aNode, "first_event", requestClass.deadline);
  aNode.rejectUnknownKeys();
  return requestClass;
}

/** Reads the positions of the entries that a team uses; default: all. */
std::vector<std::size_t>
readEntries(CheckedNode& aNode, std::size_t aEntryCount)
{
  std::vector<std::size_t> positions;
  if (!aNode.has("entries")) {
    positions.resize(aEntryCount);
    std::iota(positions.begin(), positions.end(), std::size_t{ 0 });
    return positions;
  }
  CheckedNode list = aNode.require("entries");
  for (const CheckedNode& item : list.items()) {
    const auto last = static_cast<std::int64_t>(aEntryCount) - 1;
    positions.push_back(static_cast<std::size_t>(item.integer(0, last)));
  }
  if (positions.empty()) {
    list.reject("at least one position in the list of entries");
  }
  return positions;
}

TeamLoad
readTeam(CheckedNode aNode, std::size_t aEntryCount)
{
  TeamLoad team;
  team.name = aNode.require("name").name();
  team.key = aNode.require("key").text();
  team.rate = aNode.require("rate").number(0, 1e12);
  team.burst = aNode.require("burst").number(0, 1e12);
  team.shape = readShape(aNode.require("shape"));
  team.entries = readEntries(aNode, aEntryCount);
  for (const CheckedNode& item : aNode.require("mix").items()) {
    team.mix.push_back(readRequestClass(item));
  }
  aNode.rejectUnknownKeys();
  return team;
}

Scenario
readScenario(CheckedNode& aRoot)
{
  Scenario scenario;
  scenario.seed = static_cast<std::uint64_t>(
    aRoot.has("seed") ? aRoot.require("seed").integer(0, INT64_MAX) : 1);
  scenario.duration = aRoot.require("duration").duration(1ms, 24h);
  if (aRoot.has("max_requests")) {
    scenario.maxRequests =
      aRoot.require("max_requests").integer(1, kMaxRequests);
  }
  scenario.accelerators =
    std::max(1, readInteger(aRoot, "accelerators", kMaxBytes, 1));
  scenario.entries = readAddresses(aRoot, "entries");
  scenario.engines = readAddresses(aRoot, "engines");
  scenario.services = readAddresses(aRoot, "services");
  if (scenario.entries.empty()) {
    aRoot.require("entries").reject("at least one address");
  }
  for (const CheckedNode& item : aRoot.require("teams").items()) {
    scenario.teams.push_back(readTeam(item, scenario.entries.size()));
  }
  return scenario;
}

} // namespace

double
rateAt(const RateShape& aShape, base::Duration aAt)
{
  const double width = std::max(1e-9, base::inSeconds(aShape.width));
  const double offset = base::inSeconds(aAt - aShape.at);
  switch (aShape.kind) {
    case RateShapeKind::Steady:
      return aShape.perSecond;
    case RateShapeKind::Evening:
      return aShape.perSecond *
             (1 + (aShape.peak - 1) *
                    std::exp(-(offset / width) * (offset / width)));
    case RateShapeKind::Greedy:
      return offset >= 0 && offset < width ? aShape.perSecond * aShape.peak
                                           : aShape.perSecond;
  }
  return 0;
}

base::Result<Scenario>
parseScenario(const std::string& aText, const std::string& aFile)
{
  return config::parseChecked(
    aText, aFile, base::Code::SettingsInvalid, &readScenario);
}

double
tokenCost(const RequestClass& aRequestClass, std::size_t aBodyBytes)
{
  if (aRequestClass.kind == RequestKind::Lookup ||
      aRequestClass.kind == RequestKind::Booking) {
    return aRequestClass.cost;
  }
  return static_cast<double>(aBodyBytes) / kBytesPerToken +
         aRequestClass.tokens;
}

} // namespace marigold::load
