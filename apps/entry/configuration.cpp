#include "apps/entry/configuration.h"

#include "platform/platform.h"

#include "observe/observe.h"

namespace marigold::entry {
namespace {

using documents::Offer;

bool
inForce(Offer aOffer)
{
  return aOffer == Offer::Accepted || aOffer == Offer::Replaced;
}

} // namespace

base::Result<Offer>
Configuration::offer(const documents::Document& aDocument)
{
  if (aDocument.version < mStore.version(aDocument.name)) {
    return Offer::Older;
  }
  // The body is read before the version is taken, so that a document that is
  // wrong never replaces the one in force.
  config::Manifest manifest;
  std::vector<identity::KeyRecord> keys;
  membership::VmList vms;
  if (aDocument.name == documents::kManifest) {
    BOOST_LEAF_ASSIGN(manifest,
                      config::parseManifest(aDocument.body, "manifest"));
  } else if (aDocument.name == documents::kKeys) {
    BOOST_LEAF_ASSIGN(keys, identity::decodeKeys(aDocument.body));
  } else if (aDocument.name == kVmListName) {
    BOOST_LEAF_ASSIGN(vms, platform::decodeVmList(aDocument.body));
  } else {
    return base::fail(base::Code::DocumentInvalid,
                      "no document is named \"" + aDocument.name + "\"");
  }
  const Offer offer = mStore.offer(aDocument);
  if (!inForce(offer)) {
    return offer;
  }
  if (aDocument.name == documents::kManifest) {
    mManifest = std::move(manifest);
  } else if (aDocument.name == documents::kKeys) {
    mKeys.replace(keys);
    mWithdrawals.merge(mKeys.withdrawnIds());
  } else {
    mVms = std::move(vms);
  }
  observe::logInfo("document in force",
                   { { "name", aDocument.name },
                     { "version", std::to_string(aDocument.version) } });
  mChanged.emit();
  return offer;
}

void
Configuration::withdraw(const std::set<std::string>& aIds)
{
  if (mWithdrawals.merge(aIds)) {
    observe::logInfo(
      "keys withdrawn",
      { { "total", std::to_string(mWithdrawals.ids().size()) } });
    mChanged.emit();
  }
}

bool
Configuration::complete() const
{
  return mStore.find(documents::kManifest) != nullptr &&
         mStore.find(documents::kKeys) != nullptr;
}

} // namespace marigold::entry
