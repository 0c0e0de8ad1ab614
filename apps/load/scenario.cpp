#include "apps/load/scenario.h"

#include "config/config.h"

#include <cmath>
#include <map>
#include <numeric>

namespace marigold::load {
namespace {

using config::CheckedNode;
using namespace std::chrono_literals;

constexpr double kMostPerSecond = 100'000;
constexpr std::int64_t kMostTokens = 1'000'000;
constexpr std::int64_t kMostBytes = 1'000'000;
constexpr std::int64_t kMostRequests = 10'000'000;

/** The system charges a prompt by its bytes, see apps/entry. */
constexpr double kBytesPerToken = 4;

const std::map<std::string, Kind> kKinds{
  { "stream", Kind::Stream },
  { "chat", Kind::Chat },
  { "lookup", Kind::Lookup },
  { "booking", Kind::Booking },
};

const std::map<std::string, Shape> kShapes{
  { "steady", Shape::Steady },
  { "evening", Shape::Evening },
  { "greedy", Shape::Greedy },
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
            std::int64_t aHighest,
            int aDefault)
{
  return aNode.has(aKey)
           ? static_cast<int>(aNode.require(aKey).integer(0, aHighest))
           : aDefault;
}

double
readNumber(CheckedNode& aNode,
           const std::string& aKey,
           double aHighest,
           double aDefault)
{
  return aNode.has(aKey) ? aNode.require(aKey).number(0, aHighest) : aDefault;
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
  shape.perSecond = aNode.require("per_second").number(0, kMostPerSecond);
  shape.peak = readNumber(aNode, "peak", kMostPerSecond, shape.peak);
  shape.at = readDuration(aNode, "at", shape.at);
  shape.width = readDuration(aNode, "width", shape.width);
  aNode.rejectUnknownKeys();
  return shape;
}

Work
readWork(CheckedNode aNode)
{
  Work work;
  work.kind = kKinds.at(
    aNode.require("kind").oneOf({ "stream", "chat", "lookup", "booking" }));
  work.weight = readNumber(aNode, "weight", kMostPerSecond, work.weight);
  if (work.kind == Kind::Stream || work.kind == Kind::Chat) {
    work.model = aNode.require("model").text();
    work.tokens = readInteger(aNode, "tokens", kMostTokens, work.tokens);
    work.prefixes = readInteger(aNode, "prefixes", kMostBytes, work.prefixes);
    work.prefixBytes =
      readInteger(aNode, "prefix_bytes", kMostBytes, work.prefixBytes);
    work.promptBytes =
      readInteger(aNode, "prompt_bytes", kMostBytes, work.promptBytes);
  } else {
    work.path = aNode.require("path").text();
    work.cost = readNumber(aNode, "cost", kMostTokens, work.cost);
    work.repeats = readNumber(aNode, "repeats", 1, work.repeats);
  }
  work.deadline = readDuration(aNode, "deadline", work.deadline);
  work.firstEvent = readDuration(aNode, "first_event", work.deadline);
  aNode.rejectUnknownKeys();
  return work;
}

/** Positions of the entries that a team uses; all of them by default. */
std::vector<std::size_t>
readEntries(CheckedNode& aNode, std::size_t aEntries)
{
  std::vector<std::size_t> positions;
  if (!aNode.has("entries")) {
    positions.resize(aEntries);
    std::iota(positions.begin(), positions.end(), std::size_t{ 0 });
    return positions;
  }
  CheckedNode list = aNode.require("entries");
  for (const CheckedNode& item : list.items()) {
    const auto last = static_cast<std::int64_t>(aEntries) - 1;
    positions.push_back(static_cast<std::size_t>(item.integer(0, last)));
  }
  if (positions.empty()) {
    list.reject("at least one position in the list of entries");
  }
  return positions;
}

TeamLoad
readTeam(CheckedNode aNode, std::size_t aEntries)
{
  TeamLoad team;
  team.name = aNode.require("name").name();
  team.key = aNode.require("key").text();
  team.rate = aNode.require("rate").number(0, 1e12);
  team.burst = aNode.require("burst").number(0, 1e12);
  team.shape = readShape(aNode.require("shape"));
  team.entries = readEntries(aNode, aEntries);
  for (const CheckedNode& item : aNode.require("mix").items()) {
    team.mix.push_back(readWork(item));
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
      aRoot.require("max_requests").integer(1, kMostRequests);
  }
  scenario.accelerators =
    std::max(1, readInteger(aRoot, "accelerators", kMostBytes, 1));
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
  const double since = base::inSeconds(aAt - aShape.at);
  switch (aShape.kind) {
    case Shape::Steady:
      return aShape.perSecond;
    case Shape::Evening:
      return aShape.perSecond *
             (1 +
              (aShape.peak - 1) * std::exp(-(since / width) * (since / width)));
    case Shape::Greedy:
      return since >= 0 && since < width ? aShape.perSecond * aShape.peak
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
costOf(const Work& aWork, std::size_t aBodyBytes)
{
  if (aWork.kind == Kind::Lookup || aWork.kind == Kind::Booking) {
    return aWork.cost;
  }
  return static_cast<double>(aBodyBytes) / kBytesPerToken + aWork.tokens;
}

} // namespace marigold::load
