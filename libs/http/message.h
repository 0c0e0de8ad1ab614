/** @file HTTP requests and responses as plain data types. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::http {

/** Header fields in the order received or sent; names may repeat. */
using Headers = std::vector<std::pair<std::string, std::string>>;

/** A request received by a server or sent by a client. */
struct Request
{
  std::string method = "GET";
  std::string path = "/"; ///< decoded path without the query
  std::string query;      ///< still percent-encoded, without the question mark
  Headers headers;
  std::string body;
};

/** Least and greatest status code of HTTP; those below kFirstFinalStatus are of
 * interim responses. */
inline constexpr int kFirstStatus = 100;
inline constexpr int kFirstFinalStatus = 200;
inline constexpr int kLastStatus = 599;
inline constexpr int kNoContent = 204;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kServiceUnavailable = 503;

/** Size of the beginning of a status line that ends behind the status. */
inline constexpr std::size_t kStatusLineBytes = 13;

/** Parsers read a status as a number, whatever its digits.
 * @param aLine first kStatusLineBytes of a status line
 * @return true if its status has three digits */
bool
hasThreeDigitStatus(std::string_view aLine);

/** A complete response. */
struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
};

/**
 * @param aHeaders headers to search
 * @param aName header name, compared case-insensitively
 * @return value of the first match, or an empty view
 */
std::string_view
findHeader(const Headers& aHeaders, std::string_view aName);

/** @param aHeaders headers of a response @return true if they announce a body,
 * even an empty one */
bool
isFramed(const Headers& aHeaders);

/**
 * @param aQuery percent-encoded query
 * @param aName decoded parameter name
 * @return decoded value of the first parameter with this name, or empty
 */
std::string
queryValue(std::string_view aQuery, std::string_view aName);

/**
 * @param aText percent-encoded text; a plus sign decodes to a space
 * @return the decoded text, or aText unchanged if it is malformed
 */
std::string
percentDecode(std::string_view aText);

/**
 * @param aText text to encode
 * @return the text with reserved characters percent-encoded
 */
std::string
percentEncode(std::string_view aText);

/**
 * @param aLeft first text
 * @param aRight second text
 * @return true if both are equal, ignoring ASCII case
 */
bool
equalIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace marigold::http
