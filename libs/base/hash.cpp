#include "base/hash.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <utility>
#include <xxhash.h>

namespace marigold::base {

std::uint64_t
hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
toHex(std::string_view aBytes)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char character : aBytes) {
    const auto byte = static_cast<unsigned char>(character);
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xFU]);
  }
  return text;
}

std::string
sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  return toHex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

std::string
hmacSha256(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBytes.data()),
       aBytes.size(),
       mac.data(),
       &length);
  return { reinterpret_cast<const char*>(mac.data()), length };
}

bool
equalConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::vector<std::string>
rendezvousOrder(std::string_view aKey, std::vector<std::string> aNames)
{
  const std::uint64_t seed = hash64(aKey);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(aNames.size());
  for (std::string& name : aNames) {
    weighted.emplace_back(hash64(name, seed), std::move(name));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> ordered;
  ordered.reserve(weighted.size());
  for (auto& entry : weighted) {
    ordered.push_back(std::move(entry.second));
  }
  return ordered;
}

} // namespace marigold::base
