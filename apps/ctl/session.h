/** @file Blocking calls from marigoldctl to the platform and to entry VMs. */
#pragma once

#include "config/config.h"
#include "documents/documents.h"
#include "http/http.h"
#include "platform/platform.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace marigold::ctl {

/** Settings of marigoldctl. */
struct Settings
{
  http::Address platform;
  std::string operatorKey;
  /** Operator addresses of VMs, used while the platform cannot list them. */
  std::vector<http::Address> vms;
};

/** @param aFile settings file @return settings or SettingsInvalid */
base::Result<Settings>
readSettings(const std::string& aFile);

/** A document and its platform revision, for compare-and-swap writes. */
struct StoredDocument
{
  documents::Document document; ///< version 0 if there is none yet
  platform::Revision revision = 0;
};

/** An entry VM and its operator address. */
struct EntryVm
{
  std::string name; ///< VM name, or the address if the name is not known
  http::Address address;
};

/** Runs blocking calls one at a time on its own event loop. */
class Session
{
public:
  /** @param aSettings checked settings */
  explicit Session(Settings aSettings);

  /** @param aName document @return the stored document, or version 0
   * and revision 0 if there is none */
  base::Result<StoredDocument> readDocument(std::string_view aName);

  /**
   * Publishes the next version of a document. If the write conflicts
   * or its answer is lost, the document is read back to find the outcome.
   * @param aPrevious document and revision that the change is based on
   * @param aBody new content
   * @return the published document, RevisionConflict if another operator
   * published first, or WriteOutcomeUnknown if it cannot be read back
   */
  base::Result<documents::Document> publish(const StoredDocument& aPrevious,
                                            const std::string& aBody);

  /** @return the entry VMs that the platform lists, or those of the settings
   * if it lists none */
  std::vector<EntryVm> entryVms();

  /** @param aVm VM @param aPath path @return JSON content of the
   * response, or an error */
  base::Result<nlohmann::json> get(const EntryVm& aVm,
                                   const std::string& aPath);

  /** Pushes signed content to a VM. @param aVm VM @param aPath path
   * @param aBody content @return the VM's status */
  base::Result<nlohmann::json> push(const EntryVm& aVm,
                                    const std::string& aPath,
                                    const std::string& aBody);

  /** Blocks and keeps the event loop running. @param aDuration duration */
  void sleep(base::Duration aDuration);

private:
  template<typename Value, typename StartCall>
  base::Result<Value> runUntilDone(StartCall aStartCall);
  base::Result<nlohmann::json> call(const EntryVm& aVm,
                                    const http::Request& aRequest);

  Settings mSettings;
  http::Loop mLoop;
  http::Client mClient;
  platform::Client mPlatform;
};

} // namespace marigold::ctl
