/** @file The configuration in force at this VM. */
#pragma once

#include "config/config.h"
#include "documents/documents.h"
#include "identity/identity.h"
#include "membership/membership.h"

#include <sigc++/sigc++.h>

namespace marigold::entry {

/** Name under which the platform's list of VMs travels between VMs. */
inline constexpr std::string_view kVmListName = "platform/vms";

/**
 * Holds the documents in force and what was read from them. A document that is
 * not valid is refused whole, and the one in force stays.
 */
class Configuration
{
public:
  /**
   * @param aDocument document from any source
   * @return what became of it; DocumentInvalid or ManifestInvalid if its body
   * is wrong
   */
  base::Result<documents::Offer> offer(const documents::Document& aDocument);

  /** @param aIds withdrawn key ids from any source */
  void withdraw(const std::set<std::string>& aIds);

  /** @return true once the manifest and the keys are known */
  bool complete() const;

  /** @return the manifest in force */
  const config::Manifest& manifest() const { return mManifest; }

  /** @return the key records in force */
  const identity::KeyRing& keys() const { return mKeys; }

  /** @return the newest list of VMs */
  const membership::VmList& vms() const { return mVms; }

  /** @return the documents with their versions */
  const documents::Store& store() const { return mStore; }

  /** @return the withdrawn keys, from every source */
  const documents::Withdrawals& withdrawals() const { return mWithdrawals; }

  /** Emitted after a document or the withdrawals changed. */
  sigc::signal<void()>& changed() { return mChanged; }

private:
  config::Manifest mManifest;
  identity::KeyRing mKeys;
  membership::VmList mVms;
  documents::Store mStore;
  documents::Withdrawals mWithdrawals;
  sigc::signal<void()> mChanged;
};

} // namespace marigold::entry
