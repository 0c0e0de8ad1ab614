/** @file Hashes, digests and rendezvous hashing. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::base {

/**
 * @param aBytes data to hash
 * @param aSeed distinguishes independent uses
 * @return a 64-bit hash that is the same for all versions and VMs
 */
std::uint64_t
hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/**
 * @param aBytes raw bytes
 * @return two lower-case hexadecimal digits per byte
 */
std::string
toHex(std::string_view aBytes);

/**
 * @param aBytes data to digest
 * @return SHA-256 as 64 lower-case hexadecimal digits
 */
std::string
sha256Hex(std::string_view aBytes);

/**
 * @param aKey secret
 * @param aBytes data to authenticate
 * @return HMAC-SHA-256 as 32 raw bytes
 */
std::string
hmacSha256(std::string_view aKey, std::string_view aBytes);

/**
 * Compares in time that depends only on the lengths, so that the time does not
 * reveal how many bytes of a digest match.
 * @return true if both strings are equal
 */
bool
equalConstantTime(std::string_view aLeft, std::string_view aRight);

/**
 * Orders names by rendezvous hashing. Every process that knows the same names
 * computes the same order, and removing a name reassigns only the keys for
 * which it came first.
 * @param aKey key to assign
 * @param aNames candidates
 * @return the names, best first
 */
std::vector<std::string>
rendezvousOrder(std::string_view aKey, std::vector<std::string> aNames);

} // namespace marigold::base
