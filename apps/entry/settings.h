/** @file Settings of an entry process. */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "routing/routing.h"

#include <string>
#include <vector>

namespace marigold::entry {

/** What an entry process learns from its settings file. */
struct Settings
{
  base::VmName vm;
  base::DataCentre dataCentre;
  http::Address listen;          ///< callers
  http::Address operatorAddress; ///< metrics, status, dump, pushes
  http::Address meshAddress;     ///< the system's own processes
  std::string meshKey;           ///< authenticates messages between VMs
  std::string operatorKey;       ///< authenticates pushes of operators
  http::Address platform;
  base::Duration platformTimeout = std::chrono::seconds(2);
  /** Mesh addresses to greet while the platform cannot tell of peers. */
  std::vector<http::Address> peers;
  std::string logLevel = "info";
  /** Lets tests cut links with POST /fault on the operator address. */
  bool faultInjection = false;
  /** How the upstream of a request is chosen. */
  routing::StrategyKind routing = routing::StrategyKind::Marigold;
  std::size_t maxBodyBytes = 2UL * 1024 * 1024;
};

/**
 * @param aText YAML text
 * @param aFile name for messages
 * @return the settings, or SettingsInvalid with file, line, key and rule
 */
base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile);

} // namespace marigold::entry
