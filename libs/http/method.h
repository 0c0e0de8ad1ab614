/** @file Maps HTTP method names to evhttp codes; internal to the library. */
#pragma once

#include <array>
#include <event2/http.h>
#include <string_view>

namespace marigold::http {

/** An HTTP method as evhttp and as HTTP write it. */
struct Method
{
  evhttp_cmd_type code;
  const char* name;
};

inline constexpr std::array kMethods{
  Method{ EVHTTP_REQ_GET, "GET" },     Method{ EVHTTP_REQ_POST, "POST" },
  Method{ EVHTTP_REQ_PUT, "PUT" },     Method{ EVHTTP_REQ_DELETE, "DELETE" },
  Method{ EVHTTP_REQ_PATCH, "PATCH" }, Method{ EVHTTP_REQ_HEAD, "HEAD" },
};

/** @param aCode evhttp code @return method name, or OTHER */
constexpr const char*
methodName(evhttp_cmd_type aCode)
{
  for (const Method& method : kMethods) {
    if (method.code == aCode) {
      return method.name;
    }
  }
  return "OTHER";
}

/** @param aName method name @return evhttp code, GET if not supported */
constexpr evhttp_cmd_type
methodCode(std::string_view aName)
{
  for (const Method& method : kMethods) {
    if (aName == method.name) {
      return method.code;
    }
  }
  return EVHTTP_REQ_GET;
}

} // namespace marigold::http
