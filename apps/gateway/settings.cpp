#include "apps/gateway/settings.h"

#include "config/config.h"

namespace marigold::gateway {
namespace {

using config::CheckedNode;
using namespace std::chrono_literals;

/** Upper bound of all durations in the settings. */
constexpr base::Duration kMaxDuration = 24h;

Settings
readSettings(CheckedNode& aRoot)
{
  constexpr double kMaxRatio = 10;
  constexpr double kMaxExtra = 1e6;
  constexpr double kMaxSlack = 1e12;
  constexpr double kMaxMegabytes = 1e9;
  constexpr double kMegabyte = 1e6;
  constexpr double kMinLinkMbps = 0.1;
  constexpr double kMaxLinkMbps = 1e7;
  const auto duration = [&aRoot](const char* aKey) {
    return aRoot.require(aKey).duration(0ms, kMaxDuration);
  };
  Settings settings;
  settings.vm = aRoot.require("vm").name();
  settings.dataCentre = aRoot.require("data_centre").name();
  for (CheckedNode& item : aRoot.require("data_centres").items()) {
    const std::string name = item.require("name").name();
    settings.regions[name] = item.require("region").name();
    item.rejectUnknownKeys();
  }
  settings.listen = aRoot.require("listen").address();
  settings.ready = aRoot.require("ready").address();
  settings.peerAddress = aRoot.require("peer_address").address();
  settings.operatorAddress = aRoot.require("operator").address();
  settings.platform = aRoot.require("platform").address();
  settings.gracePeriod = duration("grace_period");
  settings.configLimit = duration("config_limit");
  settings.orderPause = duration("order_pause");
  settings.recordReturnPeriod = duration("record_return");
  settings.drainLimit = duration("drain_limit");
  settings.retryRatio = aRoot.require("retry_ratio").number(0, kMaxRatio);
  settings.retryWindow = duration("retry_window");
  settings.retryMinExtra =
    aRoot.require("retry_least_extra").number(0, kMaxExtra);
  settings.loadWindow = duration("load_window");
  settings.quotaWindow = duration("quota_window");
  settings.loadOvershoot = aRoot.require("load_overshoot").number(1, kMaxRatio);
  settings.loadExtra = aRoot.require("load_extra").number(0, kMaxExtra);
  settings.capacity = aRoot.require("capacity").number(0, kMaxExtra);
  if (aRoot.has("memory_mb")) {
    settings.memoryBytes = static_cast<std::size_t>(
      aRoot.require("memory_mb").number(1, kMaxMegabytes) * kMegabyte);
  }
  if (aRoot.has("link_mbps")) {
    settings.linkMbps =
      aRoot.require("link_mbps").number(kMinLinkMbps, kMaxLinkMbps);
  }
  if (aRoot.has("first_start")) {
    settings.firstStart = aRoot.require("first_start").boolean();
  }
  if (aRoot.has("quota_overshoot")) {
    settings.quotaOvershoot =
      aRoot.require("quota_overshoot").number(0, kMaxRatio);
  }
  settings.quotaSlack = aRoot.require("quota_slack").number(0, kMaxSlack);
  if (aRoot.has("log_level")) {
    settings.logLevel =
      aRoot.require("log_level").oneOf({ "debug", "info", "warn", "error" });
  }
  return settings;
}

} // namespace

bool
sameRegion(const Settings& aSettings, const base::DataCentre& aOther)
{
  const auto own = aSettings.regions.find(aSettings.dataCentre);
  const auto other = aSettings.regions.find(aOther);
  return own != aSettings.regions.end() && other != aSettings.regions.end() &&
         own->second == other->second;
}

base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile)
{
  return config::parseChecked(
    aText, aFile, base::Code::SettingsInvalid, &readSettings);
}

} // namespace marigold::gateway
