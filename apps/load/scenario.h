/** @file Scenario of a load test, read from YAML. */
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <string>
#include <vector>

namespace marigold::load {

/** Type of a request. */
enum class RequestKind : std::uint8_t
{
  Stream,  ///< chat completion streamed as server-sent events
  Chat,    ///< chat completion in a single response
  Lookup,  ///< idempotent service call
  Booking, ///< non-idempotent service call
};

/** How a team's request rate varies over time. */
enum class RateShapeKind : std::uint8_t
{
  Steady,  ///< constant
  Evening, ///< Gaussian peak around a time
  Greedy,  ///< peak rate during one interval, else the base rate
};

struct RateShape
{
  RateShapeKind kind = RateShapeKind::Steady;
  double perSecond = 1;
  double peak = 1; ///< peak rate as a multiple of perSecond
  base::Duration at = base::Duration::zero();
  base::Duration width = std::chrono::seconds(1);
};

/** A class of requests in a team's mix. */
struct RequestClass
{
  RequestKind kind = RequestKind::Chat;
  double weight = 1; ///< relative frequency in the mix
  std::string model; ///< NAME or NAME:ADAPTER
  int tokens = 16;
  int prefixes = 1;     ///< number of distinct prompt prefixes
  int prefixBytes = 0;  ///< length of each prefix
  int promptBytes = 40; ///< length of the unique part of the prompt
  std::string path;     ///< services: request path
  double cost = 1;      ///< services: tokens charged, as in the manifest
  base::Duration deadline =
    std::chrono::seconds(10); ///< of the complete answer
  base::Duration firstEvent = std::chrono::seconds(10); ///< streams: deadline
};

struct TeamLoad
{
  std::string name;
  std::string key;
  double rate = 0;  ///< tokens a second in the manifest
  double burst = 0; ///< tokens in the manifest
  RateShape shape;
  std::vector<std::size_t> entries; ///< positions in Scenario::entries
  std::vector<RequestClass> mix;
};

struct Scenario
{
  std::uint64_t seed = 1;
  base::Duration duration = std::chrono::seconds(10);
  std::int64_t maxRequests = 100'000;
  int accelerators = 1;
  std::vector<http::Address> entries;
  std::vector<http::Address> engines;  ///< queried for their records
  std::vector<http::Address> services; ///< queried for their records
  std::vector<TeamLoad> teams;
};

/**
 * @param aShape rate over time
 * @param aAt time since the start of the run
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

/** @param aRequestClass class of requests @param aBodyBytes size of its body
 * @return tokens that the system charges for it */
double
tokenCost(const RequestClass& aRequestClass, std::size_t aBodyBytes);

} // namespace marigold::load
