/** @file Decoders of the fleet's records in the store. */
#pragma once

#include "apps/gateway/fleet.h"

namespace marigold::gateway {

/** Prefix of the keys of registrations; the name of the VM follows. */
inline constexpr const char* kMemberPrefix = "marigold/vm/";

/**
 * @param aVm name of the VM, from the key
 * @param aText value of the key; untrusted, any client can write to the store
 * @return the registration, or DocumentInvalid
 */
base::Result<Member>
decodeRegistration(const base::VmName& aVm, const std::string& aText);

/**
 * @param aText value of the key; untrusted, any client can write to the store
 * @param aRevision revision of the key
 * @return the ownership without its fencing token, or DocumentInvalid
 */
base::Result<Ownership>
decodeOwnership(const std::string& aText, platform::Revision aRevision);

} // namespace marigold::gateway
