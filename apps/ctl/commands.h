/** @file Commands of marigoldctl. */
#pragma once

#include "apps/ctl/session.h"

#include <string>

namespace marigold::ctl {

/** Validates a manifest file locally. @param aFile manifest file */
base::Result<void>
checkManifest(const std::string& aFile);

/** Publishes a manifest and waits until every entry VM has applied it.
 * @param aSession session
 * @param aFile manifest file
 * @return NotReady if some VMs did not confirm in time */
base::Result<void>
publishManifest(Session& aSession, const std::string& aFile);

/** Prints the manifest in force. @param aSession session */
base::Result<void>
showManifest(Session& aSession);

/** Prints the differences between the manifest in force and a file.
 * @param aSession session @param aFile manifest file */
base::Result<void>
diffManifest(Session& aSession, const std::string& aFile);

/** Creates an API key and prints it; only its record is stored.
 * @param aSession session @param aTeam team */
base::Result<void>
grantKey(Session& aSession, const std::string& aTeam);

/** Withdraws an API key and prints which VMs confirmed it.
 * @param aSession session @param aId key id */
base::Result<void>
withdrawKey(Session& aSession, const std::string& aId);

/** Prints the records of all API keys. @param aSession session */
base::Result<void>
listKeys(Session& aSession);

/** Prints the status of every entry VM. @param aSession session */
base::Result<void>
showStatus(Session& aSession);

/** Prints the internal state of one entry VM as JSON.
 * @param aSession session @param aVm name or operator address */
base::Result<void>
dumpVm(Session& aSession, const std::string& aVm);

} // namespace marigold::ctl
