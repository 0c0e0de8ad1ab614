#include "apps/gateway/fleet_records.h"

#include <nlohmann/json.hpp>

namespace marigold::gateway {
namespace {

using nlohmann::json;

/** Parses a text and applies a reader to it; exceptions become errors. */
template<typename Reader>
auto
decode(const std::string& aText, Reader aReader)
  -> base::Result<decltype(aReader(json()))>
{
  try {
    return aReader(platform::parseUntrusted(aText));
  } catch (const json::exception& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  } catch (const std::invalid_argument& exception) {
    return base::fail(base::Code::DocumentInvalid, exception.what());
  }
}

/** @return the address in a field; throws if there is none */
base::Address
requireAddress(const json& aContent, const char* aField)
{
  const auto address = base::parseAddress(aContent.value(aField, ""));
  if (!address) {
    throw std::invalid_argument(std::string("field ") + aField +
                                " is no address");
  }
  return address.value();
}

} // namespace

base::Result<Member>
decodeRegistration(const base::VmName& aVm, const std::string& aText)
{
  return decode(aText, [&aVm](const json& aContent) {
    Member member;
    member.vm = aVm;
    member.peerAddress = requireAddress(aContent, "peer_address");
    member.operatorAddress = requireAddress(aContent, "operator");
    member.dataCentre = aContent.value("data_centre", "");
    member.capacity = aContent.value("capacity", 0.0);
    return member;
  });
}

base::Result<Ownership>
decodeOwnership(const std::string& aText, platform::Revision aRevision)
{
  return decode(aText, [aRevision](const json& aContent) {
    Ownership owner;
    owner.vm = aContent.value("vm", "");
    owner.address = aContent.value("address", "");
    owner.incarnation = aContent.value("incarnation", base::Incarnation{ 0 });
    owner.era = aContent.value("store_era", platform::Era{ 0 });
    owner.revision = aRevision;
    owner.settled = aContent.value("settled", false);
    return owner;
  });
}

} // namespace marigold::gateway
