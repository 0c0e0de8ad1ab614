/** @file Settings of the gateway process. */
#pragma once

#include "base/base.h"

#include <map>
#include <string>

namespace marigold::gateway {

/** What a gateway is told at its start. */
struct Settings
{
  base::VmName vm;
  base::DataCentre dataCentre;
  std::map<base::DataCentre, std::string> regions; ///< region by data centre
  base::Address listen;                            ///< callers
  base::Address ready;                             ///< readiness probes
  base::Address peerAddress;     ///< status messages of other VMs, over UDP
  base::Address operatorAddress; ///< metrics and dumps
  base::Address platform;
  std::string logLevel = "info";
  base::Duration gracePeriod{}; ///< between the stop signal and the kill
  base::Duration configLimit{}; ///< a configuration is in force after it
  base::Duration orderPause{};  ///< between the orders of two owners
  base::Duration
    recordReturnPeriod{}; ///< records are back this long after an outage
  double retryRatio = 0;
  base::Duration retryWindow{};
  double retryMinExtra = 0;
  base::Duration loadWindow{};  ///< over which loads of weights are limited
  double loadOvershoot = 1;     ///< factor on the store's rate over the window
  double loadExtra = 0;         ///< loads allowed beside the rate
  double capacity = 0;          ///< cores that the process may use
  double quotaSlack = 0;        ///< units that the fleet may be late to count
  base::Duration quotaWindow{}; ///< over which the limits are promised
};

/** @param aSettings settings @param aOther data centre
 * @return true if it lies in the region of this VM's data centre */
bool
sameRegion(const Settings& aSettings, const base::DataCentre& aOther);

/** @param aText YAML @param aFile name for messages
 * @return the settings or SettingsInvalid */
base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile);

} // namespace marigold::gateway
