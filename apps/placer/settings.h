/** @file Settings of a placer process. */
#pragma once

#include "base/base.h"
#include "http/http.h"
#include "placement/placement.h"

#include <string>

namespace marigold::placer {

/** What a placer process learns from its settings file. */
struct Settings
{
  base::VmName vm;
  base::DataCentre dataCentre;
  http::Address operatorAddress; ///< metrics, status, dump
  http::Address platform;
  base::Duration platformTimeout = std::chrono::seconds(2);
  std::string logLevel = "info";
  std::string strategy = "forecast";
  placement::OwnerSettings owner; ///< without its name
};

/**
 * @param aText YAML text
 * @param aFile name for messages
 * @return the settings, or SettingsInvalid with file, line, key and rule
 */
base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile);

} // namespace marigold::placer
