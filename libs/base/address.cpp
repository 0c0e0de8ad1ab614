#include "base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace marigold::base {

Result<Address>
parseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail(Code::BadRequest,
                "\"" + std::string(aText) + "\" is not HOST:PORT");
  }
  Address address;
  address.host = std::string(aText.substr(0, colon));
  const std::string_view digits = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  in_addr parsed{};
  const bool numeric = inet_pton(AF_INET, address.host.c_str(), &parsed) == 1;
  if (!numeric || error != std::errc{} ||
      end != digits.data() + digits.size() || address.port == 0) {
    return fail(Code::BadRequest,
                "\"" + std::string(aText) +
                  "\" is not a numeric IPv4 address with a port");
  }
  return address;
}

} // namespace marigold::base
