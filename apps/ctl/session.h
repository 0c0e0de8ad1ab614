/** @file Blocking calls of the command line to the platform and to VMs. */
#pragma once

#include "config/config.h"
#include "documents/documents.h"
#include "http/http.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigold::ctl {

/** Settings of the command line. */
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

/** A document with the revision that a compare-and-swap needs. */
struct Held
{
  documents::Document document; ///< version 0 if there is none yet
  platform::Revision revision = 0;
};

/** An entry VM that can be asked. */
struct Target
{
  std::string name; ///< VM name, or the address if the name is not known
  http::Address address;
};

/** Runs one call after the other on a loop of its own. */
class Session
{
public:
  /** @param aSettings checked settings */
  explicit Session(Settings aSettings);

  /** @param aName document @return what the platform holds */
  base::Result<Held> readDocument(std::string_view aName);

  /**
   * Publishes the next version of a document. If the answer to the write is
   * lost, the document is read back before anything is said about it.
   * @param aBefore what was read
   * @param aBody new content
   * @return the document in force, or RevisionConflict if another operator
   * published first
   */
  base::Result<documents::Document> publish(const Held& aBefore,
                                            const std::string& aBody);

  /** @return the entry VMs of the list, or those of the settings */
  std::vector<Target> targets();

  /** @param aTarget VM @param aPath path @return content or an error */
  base::Result<nlohmann::json> get(const Target& aTarget,
                                   const std::string& aPath);

  /** Pushes signed content to a VM. @param aTarget VM @param aPath path
   * @param aBody content @return the VM's status */
  base::Result<nlohmann::json> push(const Target& aTarget,
                                    const std::string& aPath,
                                    const std::string& aBody);

  /** Waits. @param aTime how long */
  void sleep(base::Duration aTime);

private:
  template<typename Value, typename Start>
  base::Result<Value> wait(Start aStart);
  base::Result<nlohmann::json> call(const Target& aTarget,
                                    const http::Request& aRequest);

  Settings mSettings;
  http::Loop mLoop;
  http::Client mClient;
  platform::Client mPlatform;
};

} // namespace marigold::ctl
