#include "apps/entry/settings.h"

#include "config/config.h"

namespace marigold::entry {
namespace {

using config::CheckedNode;
using namespace std::chrono_literals;

constexpr std::size_t kLeastKeyLength = 16;

std::string
readKey(const CheckedNode& aNode)
{
  std::string key = aNode.text();
  if (key.size() < kLeastKeyLength) {
    aNode.reject("a secret of at least 16 characters");
  }
  return key;
}

Settings
readSettings(CheckedNode& aRoot)
{
  constexpr std::int64_t kMaxBodyLimit = 64L * 1024 * 1024;
  Settings settings;
  settings.vm = aRoot.require("vm").name();
  settings.dataCentre = aRoot.require("data_centre").name();
  settings.listen = aRoot.require("listen").address();
  settings.operatorAddress = aRoot.require("operator").address();
  settings.meshAddress = aRoot.require("mesh").address();
  settings.meshKey = readKey(aRoot.require("mesh_key"));
  settings.operatorKey = readKey(aRoot.require("operator_key"));
  settings.platform = aRoot.require("platform").address();
  if (aRoot.has("platform_timeout")) {
    settings.platformTimeout =
      aRoot.require("platform_timeout").duration(10ms, 1min);
  }
  if (aRoot.has("peers")) {
    for (const CheckedNode& peer : aRoot.require("peers").items()) {
      settings.peers.push_back(peer.address());
    }
  }
  if (aRoot.has("log_level")) {
    settings.logLevel =
      aRoot.require("log_level").oneOf({ "debug", "info", "warn", "error" });
  }
  if (aRoot.has("routing")) {
    settings.routing = *routing::strategyKind(aRoot.require("routing").oneOf(
      { "marigold", "round-robin", "least-connections" }));
  }
  if (aRoot.has("max_body_bytes")) {
    settings.maxBodyBytes = static_cast<std::size_t>(
      aRoot.require("max_body_bytes").integer(1, kMaxBodyLimit));
  }
  if (aRoot.has("fault_injection")) {
    settings.faultInjection = aRoot.require("fault_injection").boolean();
  }
  return settings;
}

} // namespace

base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile)
{
  return config::parseChecked(
    aText, aFile, base::Code::SettingsInvalid, &readSettings);
}

} // namespace marigold::entry
