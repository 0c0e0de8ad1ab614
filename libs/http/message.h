/** @file HTTP requests and answers as plain data. */
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigold::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

/** A request, either received by a server or sent by a client. */
struct Request
{
  std::string method = "GET";
  std::string path = "/"; ///< decoded path without the query
  std::string query;      ///< raw query without the question mark
  Headers headers;
  std::string body;
};

/** A complete answer. */
struct Response
{
  int status = 0;
  Headers headers;
  std::string body;
};

/**
 * @param aHeaders headers to search
 * @param aName name, compared without regard to case
 * @return the first value, or an empty view
 */
std::string_view
findHeader(const Headers& aHeaders, std::string_view aName);

/**
 * @param aQuery raw query
 * @param aName parameter name
 * @return the decoded value of the first parameter of that name, or empty
 */
std::string
queryValue(std::string_view aQuery, std::string_view aName);

/**
 * @param aText percent-encoded text; a plus sign stands for a space
 * @return the decoded text, or the same text if it is not well encoded
 */
std::string
percentDecode(std::string_view aText);

/**
 * @param aText any text
 * @return the text with reserved characters percent-encoded
 */
std::string
percentEncode(std::string_view aText);

/**
 * @param aLeft first text
 * @param aRight second text
 * @return true if both are equal without regard to ASCII case
 */
bool
equalIgnoringCase(std::string_view aLeft, std::string_view aRight);

} // namespace marigold::http
