/** @file The commands of operators. */
#pragma once

#include "apps/ctl/session.h"

#include <string>

namespace marigold::ctl {

/** Checks a manifest without touching anything. @param aFile file */
base::Result<void>
checkManifest(const std::string& aFile);

/** Publishes a manifest and waits until every VM has it in force.
 * @param aSession session @param aFile file */
base::Result<void>
publishManifest(Session& aSession, const std::string& aFile);

/** Prints the manifest in force. @param aSession session */
base::Result<void>
showManifest(Session& aSession);

/** Prints what a file would change. @param aSession session @param aFile file
 */
base::Result<void>
diffManifest(Session& aSession, const std::string& aFile);

/** Makes a key and prints it once. @param aSession session @param aTeam team */
base::Result<void>
grantKey(Session& aSession, const std::string& aTeam);

/** Withdraws a key and reports which VMs confirmed it.
 * @param aSession session @param aId key id */
base::Result<void>
withdrawKey(Session& aSession, const std::string& aId);

/** Prints the key records. @param aSession session */
base::Result<void>
listKeys(Session& aSession);

/** Prints the status of every VM. @param aSession session */
base::Result<void>
showStatus(Session& aSession);

/** Prints the state of one VM. @param aSession session @param aVm name */
base::Result<void>
dumpVm(Session& aSession, const std::string& aVm);

} // namespace marigold::ctl
