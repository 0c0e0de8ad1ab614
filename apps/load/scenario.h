/** @file Scenarios of the load generator. */
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <string>
#include <vector>

namespace marigold::load {

/** What a request asks for. */
enum class Kind : std::uint8_t
{
  Stream,  ///< chat with server-sent events
  Chat,    ///< chat with one answer
  Lookup,  ///< idempotent call of a service
  Booking, ///< non-idempotent call of a service
};

/** How a team's rate moves over time. */
enum class Shape : std::uint8_t
{
  Steady,  ///< constant
  Evening, ///< rises to the peak around a time and falls again
  Greedy,  ///< the peak from a time on for a while, else the base rate
};

struct RateShape
{
  Shape kind = Shape::Steady;
  double perSecond = 1;
  double peak = 1; ///< factor of the highest rate
  base::Duration at = base::Duration::zero();
  base::Duration width = std::chrono::seconds(1);
};

/** One kind of request in a team's mix. */
struct Work
{
  Kind kind = Kind::Chat;
  double weight = 1;
  std::string model; ///< NAME or NAME:ADAPTER
  int tokens = 16;
  int prefixes = 1;     ///< different beginnings of prompts
  int prefixBytes = 0;  ///< length of each beginning
  int promptBytes = 40; ///< length of the rest, which differs
  std::string path;     ///< services
  double cost = 1;      ///< services, as in the manifest
  double repeats = 0;   ///< share of bookings that are sent a second time
  base::Duration deadline = std::chrono::seconds(10);   ///< of the whole answer
  base::Duration firstEvent = std::chrono::seconds(10); ///< streams
};

struct TeamLoad
{
  std::string name;
  std::string key;
  double rate = 0;  ///< tokens a second in the manifest
  double burst = 0; ///< tokens in the manifest
  RateShape shape;
  std::vector<std::size_t> entries; ///< positions in Scenario::entries
  std::vector<Work> mix;
};

struct Scenario
{
  std::uint64_t seed = 1;
  base::Duration duration = std::chrono::seconds(10);
  std::int64_t maxRequests = 100'000;
  int accelerators = 1;
  std::vector<http::Address> entries;
  std::vector<http::Address> engines;  ///< asked for their records at the end
  std::vector<http::Address> services; ///< asked for their records at the end
  std::vector<TeamLoad> teams;
};

/**
 * @param aShape shape
 * @param aAt time since the start
 * @return requests a second at that time
 */
double
rateAt(const RateShape& aShape, base::Duration aAt);

/**
 * @param aText YAML text
 * @param aFile name for messages
 * @return the scenario, or SettingsInvalid with file, line, key and rule
 */
base::Result<Scenario>
parseScenario(const std::string& aText, const std::string& aFile);

/** @param aWork kind of request @param aBodyBytes size of its body
 * @return tokens that the system charges for it */
double
costOf(const Work& aWork, std::size_t aBodyBytes);

} // namespace marigold::load
