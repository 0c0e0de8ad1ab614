#include "platform/untrusted_json.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace marigold::platform {
namespace {

using nlohmann::json;

constexpr int kMaxDepth = 64;

} // namespace

json
parseUntrusted(const std::string& aText)
{
  return json::parse(aText, [](int aDepth, json::parse_event_t, const json&) {
    if (aDepth > kMaxDepth) {
      throw std::invalid_argument("nested too deeply");
    }
    return true;
  });
}

} // namespace marigold::platform
