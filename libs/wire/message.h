/** @file HTTP messages as a proxy passes them on. */
#pragma once

#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace marigold::wire {

/** A request as it was received; the target is kept byte by byte. */
struct Request
{
  std::string method;
  std::string target; ///< path and query, not decoded
  http::Headers headers;
  std::string body;
  bool keepAlive = true;
  bool allowsChunks = true; ///< false for HTTP/1.0
};

/** Status line and headers of an answer. */
struct ResponseHead
{
  int status = 0;
  http::Headers headers;
};

/**
 * @param aHeaders headers of a message
 * @return them without those that concern one connection only, the framing
 * headers and the headers that Connection names
 */
http::Headers
endToEndHeaders(const http::Headers& aHeaders);

/** @param aHeaders headers @param aName header to take out, in any case */
void
removeHeader(http::Headers& aHeaders, std::string_view aName);

/**
 * @param aRequest request to send; its headers must be end-to-end headers
 * @return its bytes, framed by a length
 */
std::string
serialize(const Request& aRequest);

/**
 * @param aStatus status
 * @return the usual reason phrase
 */
std::string_view
reasonPhrase(int aStatus);

} // namespace marigold::wire
