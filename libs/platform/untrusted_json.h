/** @file Parser of JSON texts that any writer may have written. */
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace marigold::platform {

/**
 * Parses a JSON text of limited depth, because each level takes many times the
 * memory of its text.
 * @param aText untrusted text
 * @return its content
 * @throws json::exception if the text is malformed, std::invalid_argument if it
 * is nested too deeply
 */
nlohmann::json
parseUntrusted(const std::string& aText);

/** @param aText untrusted text
 * @return about as much memory as parseUntrusted() takes for it, or more */
std::size_t
estimateTreeBytes(std::string_view aText);

} // namespace marigold::platform
