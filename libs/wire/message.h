/** @file HTTP messages that a proxy forwards. */
#pragma once

#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace marigold::wire {

/** A request as received; the target is not normalized. */
struct Request
{
  std::string method;
  std::string target; ///< path and query, still percent-encoded
  http::Headers headers;
  std::string body;
  bool keepAlive = true;
  bool acceptsChunked = true; ///< false for HTTP/1.0 callers
};

/** Status and headers of a response. */
struct ResponseHead
{
  int status = 0;
  http::Headers headers;
};

/**
 * Removes hop-by-hop headers, framing headers and the headers listed in
 * Connection.
 * @param aHeaders headers of a message
 * @return the headers to forward
 */
http::Headers
endToEndHeaders(const http::Headers& aHeaders);

/** @param aHeaders headers to change @param aName header to remove, compared
 * case-insensitively */
void
removeHeader(http::Headers& aHeaders, std::string_view aName);

/**
 * @param aHead request to send, with end-to-end headers only; its own body is
 * not used
 * @param aBody its body
 * @return its bytes, framed by Content-Length
 */
std::string
serialize(const Request& aHead, std::string_view aBody);

/** @param aStatus HTTP status code @return false if a response with this status
 * ends with its headers, whatever these say */
bool
mayHaveBody(int aStatus);

/**
 * @param aStatus HTTP status code
 * @return its standard reason phrase, or "Status" if the code is unknown here
 */
std::string_view
reasonPhrase(int aStatus);

} // namespace marigold::wire
