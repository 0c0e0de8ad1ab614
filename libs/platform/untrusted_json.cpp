#include "platform/untrusted_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace marigold::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 64;

/** Memory of a list or an object, of a member's node and name, and of an
 * element in a list that grows. */
constexpr std::size_t kContainerBytes = 96;
constexpr std::size_t kMemberBytes = 112;
constexpr std::size_t kElementBytes = 48;

struct Shape
{
  std::size_t depth = 0;     ///< of the text that was measured
  std::size_t treeBytes = 0; ///< estimate of the memory
};

/** Malformed text is left to the parser. */
Shape
measure(std::string_view aText)
{
  Shape shape;
  std::size_t depth = 0;
  std::size_t elements = 0;
  std::size_t members = 0;
  std::size_t containers = 0;
  bool inString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char letter = aText[at];
    if (inString) {
      at += letter == '\\' ? 1 : 0;
      inString = letter != '"';
    } else if (letter == '"') {
      inString = true;
    } else if (letter == '[' || letter == '{') {
      ++containers;
      shape.depth = std::max(shape.depth, ++depth);
    } else if ((letter == ']' || letter == '}') && depth > 0) {
      --depth;
    } else if (letter == ',') {
      ++elements;
    } else if (letter == ':') {
      ++members;
    }
  }
  shape.treeBytes = aText.size() + containers * kContainerBytes +
                    members * kMemberBytes + elements * kElementBytes;
  return shape;
}

} // namespace

std::size_t
estimateTreeBytes(std::string_view aText)
{
  return measure(aText).treeBytes;
}

/** Checks before it parses: with a callback the parser looks through all
 * elements of a list behind each of them that is a list or an object. */
json
parseUntrusted(const std::string& aText)
{
  if (measure(aText).depth > kMaxDepth) {
    throw std::invalid_argument("nested too deeply");
  }
  return json::parse(aText);
}

} // namespace marigold::platform
