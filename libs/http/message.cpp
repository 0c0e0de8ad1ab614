#include "http/message.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <strings.h>

namespace marigold::http {

bool
equalIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string_view
findHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (equalIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
hasThreeDigitStatus(std::string_view aLine)
{
  constexpr std::size_t kDigits = 3;
  constexpr std::string_view kLineStart = "HTTP/1.1 ";
  static_assert(kLineStart.size() + kDigits + 1 == kStatusLineBytes);
  const auto isDigit = [](char aByte) { return aByte >= '0' && aByte <= '9'; };
  if (aLine.size() < kStatusLineBytes || aLine[kLineStart.size() - 1] != ' ') {
    return false;
  }
  const std::string_view digits = aLine.substr(kLineStart.size(), kDigits);
  const char next = aLine[kStatusLineBytes - 1];
  return std::all_of(digits.begin(), digits.end(), isDigit) &&
         (next == ' ' || next == '\r' || next == '\n');
}

bool
isFramed(const Headers& aHeaders)
{
  return !findHeader(aHeaders, "Content-Length").empty() ||
         !findHeader(aHeaders, "Transfer-Encoding").empty();
}

std::string
queryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    // Upstreams decode parameter names too, so compare decoded names.
    if (percentDecode(pair.substr(0, equals)) != aName ||
        equals == std::string_view::npos) {
      continue;
    }
    return percentDecode(pair.substr(equals + 1));
  }
  return {};
}

std::string
percentDecode(std::string_view aText)
{
  const std::string raw(aText);
  const std::unique_ptr<char, decltype(&std::free)> decoded(
    evhttp_uridecode(raw.c_str(), 1, nullptr), &std::free);
  return decoded ? decoded.get() : raw;
}

std::string
percentEncode(std::string_view aText)
{
  const std::unique_ptr<char, decltype(&std::free)> encoded(
    evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0),
    &std::free);
  return encoded ? encoded.get() : std::string();
}

} // namespace marigold::http
