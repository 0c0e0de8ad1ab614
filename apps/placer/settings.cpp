#include "apps/placer/settings.h"

#include "config/config.h"

namespace marigold::placer {
namespace {

using config::CheckedNode;
using namespace std::chrono_literals;

constexpr double kHighestRate = 1000;
constexpr int kHighestConcurrency = 10000;

/** Replaces a default if the key is present. */
void
readDuration(CheckedNode& aRoot, const char* aKey, base::Duration& aValue)
{
  if (aRoot.has(aKey)) {
    aValue = aRoot.require(aKey).duration(0s, 1h);
  }
}

void
readOwner(CheckedNode& aRoot, placement::OwnerSettings& aOwner)
{
  if (aRoot.has("lease_term")) {
    aOwner.leaseTerm = aRoot.require("lease_term").duration(1s, 1h);
    aOwner.renewPeriod = aOwner.leaseTerm / 3;
  }
  readDuration(aRoot, "standby_period", aOwner.standbyPeriod);
  readDuration(aRoot, "longest_order_delay", aOwner.longestOrderDelay);
  readDuration(aRoot, "longest_pause", aOwner.longestPause);
  readDuration(aRoot, "drain", aOwner.drain);
  if (aRoot.has("store_rate")) {
    aOwner.storeRate = aRoot.require("store_rate").number(0.01, kHighestRate);
  }
  if (aRoot.has("store_concurrency")) {
    aOwner.storeConcurrency = static_cast<int>(
      aRoot.require("store_concurrency").integer(1, kHighestConcurrency));
  }
  if (aRoot.has("adapter_concurrency")) {
    aOwner.adapterConcurrency = static_cast<int>(
      aRoot.require("adapter_concurrency").integer(1, kHighestConcurrency));
  }
}

Settings
readSettings(CheckedNode& aRoot)
{
  Settings settings;
  settings.vm = aRoot.require("vm").name();
  settings.dataCentre = aRoot.require("data_centre").name();
  settings.operatorAddress = aRoot.require("operator").address();
  settings.platform = aRoot.require("platform").address();
  if (aRoot.has("platform_timeout")) {
    settings.platformTimeout =
      aRoot.require("platform_timeout").duration(10ms, 1min);
  }
  if (aRoot.has("log_level")) {
    settings.logLevel =
      aRoot.require("log_level").oneOf({ "debug", "info", "warn", "error" });
  }
  if (aRoot.has("strategy")) {
    settings.strategy =
      aRoot.require("strategy").oneOf({ "static", "lru", "forecast" });
  }
  readOwner(aRoot, settings.owner);
  return settings;
}

} // namespace

base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile)
{
  return config::parseChecked(
    aText, aFile, base::Code::SettingsInvalid, &readSettings);
}

} // namespace marigold::placer
