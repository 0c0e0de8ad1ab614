/** @file Parser of JSON texts with large strings in them. */
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::platform {

/**
 * Parses a JSON text as nlohmann::json::parse() does, but takes plain strings
 * of some kilobytes from it as a whole, which the parser reads byte by byte: an
 * answer may hold a value of megabytes.
 * @param aText untrusted text
 * @return its content, discarded if the text is malformed
 */
nlohmann::json
parseAnswer(const std::string& aText);

} // namespace marigold::platform
