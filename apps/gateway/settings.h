/** @file Settings of the gateway process. */
#pragma once

#include "base/base.h"

#include <map>
#include <optional>
#include <string>

namespace marigold::gateway {

/** Parsed settings file of a gateway. */
struct Settings
{
  base::VmName vm;
  base::DataCentre dataCentre;
  std::map<base::DataCentre, std::string> regions; ///< region by data centre
  base::Address listen;                            ///< for callers
  base::Address ready;                             ///< for readiness probes
  base::Address peerAddress;     ///< for UDP messages of other VMs
  base::Address operatorAddress; ///< for metrics and dumps
  base::Address platform;
  std::string logLevel = "info";
  base::Duration gracePeriod{}; ///< between SIGTERM and SIGKILL
  base::Duration configLimit{}; ///< time for a configuration to become active
  base::Duration orderPause{};  ///< between the orders of two owners
  /** Time for records to be written again after an outage of the store. */
  base::Duration recordReturnPeriod{};
  /** Time until a draining upstream gets no new requests. */
  base::Duration drainLimit{};
  double retryRatio = 0;
  base::Duration retryWindow{};
  double retryMinExtra = 0;
  base::Duration loadWindow{}; ///< window of the weights store rate limit
  double loadOvershoot = 1;    ///< factor on the store's rate over the window
  double loadExtra = 0;        ///< loads allowed in addition to the rate
  double capacity = 0;         ///< CPU cores that the process may use
  std::optional<std::size_t> memoryBytes; ///< of this VM
  std::optional<double> linkMbps; ///< rate of the link of this VM in 10^6 bit/s
  /** The whole system starts for the first time: nothing has served before. */
  bool firstStart = false;
  double quotaOvershoot = 0;    ///< tolerated excess, as a part of a limit
  double quotaSlack = 0;        ///< units that the fleet may count late
  base::Duration quotaWindow{}; ///< window over which quotas are guaranteed
};

/** @param aSettings settings @param aOther data centre
 * @return true if it is in the same region as this VM's data centre */
bool
sameRegion(const Settings& aSettings, const base::DataCentre& aOther);

/** @param aText YAML @param aFile file name for error messages
 * @return the settings, or SettingsInvalid */
base::Result<Settings>
parseSettings(const std::string& aText, const std::string& aFile);

} // namespace marigold::gateway
