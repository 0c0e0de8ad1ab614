/** @file Asks gateways for their state. */
#pragma once

#include "http/http.h"

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace marigold::ctl {

/** A VM and its operator address. */
struct Vm
{
  std::string name; ///< or the address if the name is not known
  base::Address address;
};

/** @param aAddresses operator addresses @return the VMs, or BadRequest */
base::Result<std::vector<Vm>>
parseVms(const std::vector<std::string>& aAddresses);

/** @param aVms VMs @param aName name @return the VM, or NotFound */
base::Result<Vm>
findVm(const std::vector<Vm>& aVms, const std::string& aName);

/** Runs blocking calls one at a time on its own event loop. */
class Gateways
{
public:
  Gateways();

  /** @param aStore address of the platform's store
   * @return the VMs that are registered there, or an error */
  base::Result<std::vector<Vm>> registered(const std::string& aStore);

  /** Prints a line for each VM. @param aVms VMs @param aOut output
   * @return NotReady if some VMs do not answer */
  base::Result<void> showStatus(const std::vector<Vm>& aVms,
                                std::ostream& aOut);

  /** Prints the internal state of a VM as JSON. @param aVm VM
   * @param aOut output @return an error if it does not answer */
  base::Result<void> showDump(const Vm& aVm, std::ostream& aOut);

private:
  base::Result<nlohmann::json> get(const Vm& aVm, const std::string& aPath);
  template<typename Value, typename StartCall>
  base::Result<Value> runUntilDone(StartCall aStartCall);

  http::Loop mLoop;
  http::Client mClient;
};

} // namespace marigold::ctl
