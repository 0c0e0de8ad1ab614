#include "wire/message.h"

#include <algorithm>
#include <array>
#include <vector>

namespace marigold::wire {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopHeaders{
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect"
};

/** @return the header names listed in all Connection headers */
std::vector<std::string>
connectionOptions(const http::Headers& aHeaders)
{
  std::vector<std::string> names;
  for (const auto& [name, value] : aHeaders) {
    if (!http::equalIgnoringCase(name, "connection")) {
      continue;
    }
    std::size_t start = 0;
    while (start <= value.size()) {
      const std::size_t comma = std::min(value.find(',', start), value.size());
      std::string item = value.substr(start, comma - start);
      item.erase(0, item.find_first_not_of(" \t"));
      item.erase(item.find_last_not_of(" \t") + 1);
      if (!item.empty()) {
        names.push_back(std::move(item));
      }
      start = comma + 1;
    }
  }
  return names;
}

} // namespace

http::Headers
endToEndHeaders(const http::Headers& aHeaders)
{
  const auto options = connectionOptions(aHeaders);
  http::Headers forwarded;
  for (const auto& header : aHeaders) {
    const auto matches = [&header](std::string_view aName) {
      return http::equalIgnoringCase(header.first, aName);
    };
    if (std::none_of(
          kHopByHopHeaders.begin(), kHopByHopHeaders.end(), matches) &&
        std::none_of(options.begin(), options.end(), matches)) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

void
removeHeader(http::Headers& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [aName](const auto& aHeader) {
    return http::equalIgnoringCase(aHeader.first, aName);
  });
}

std::string
serialize(const Request& aHead, std::string_view aBody)
{
  std::string bytes = aHead.method + " " + aHead.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHead.headers) {
    bytes += name + ": " + value + "\r\n";
  }
  const bool bodyExpected =
    aHead.method != "GET" && aHead.method != "HEAD" && aHead.method != "DELETE";
  if (bodyExpected || !aBody.empty()) {
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += aBody;
  return bytes;
}

bool
mayHaveBody(int aStatus)
{
  constexpr int kNotModified = 304;
  return aStatus >= http::kFirstFinalStatus && aStatus != http::kNoContent &&
         aStatus != kNotModified;
}

std::string_view
reasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace marigold::wire
