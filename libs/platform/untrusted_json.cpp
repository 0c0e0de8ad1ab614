#include "platform/untrusted_json.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace marigold::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 64;

/** Malformed text is left to the parser. */
bool
isNestedTooDeeply(std::string_view aText)
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char letter = aText[at];
    if (inString) {
      at += letter == '\\' ? 1 : 0;
      inString = letter != '"';
    } else if (letter == '"') {
      inString = true;
    } else if (letter == '[' || letter == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if ((letter == ']' || letter == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace

/** Checks before it parses: with a callback the parser looks through all
 * elements of a list behind each of them that is a list or an object. */
json
parseUntrusted(const std::string& aText)
{
  if (isNestedTooDeeply(aText)) {
    throw std::invalid_argument("nested too deeply");
  }
  return json::parse(aText);
}

} // namespace marigold::platform
