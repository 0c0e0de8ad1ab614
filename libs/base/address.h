/** @file Numeric network addresses. */
#pragma once

#include "base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigold::base {

/** A numeric IP address with a port. */
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  /** @return the address as HOST:PORT */
  std::string text() const { return host + ":" + std::to_string(port); }

  auto operator<=>(const Address&) const = default;
};

/**
 * @param aText HOST:PORT with a numeric IPv4 address
 * @return the address, or Code::BadRequest
 */
Result<Address>
parseAddress(std::string_view aText);

} // namespace marigold::base
