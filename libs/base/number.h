/** @file Parsing of numbers. */
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marigold::base {

/**
 * @param aText digits without sign or spaces
 * @param aBase 10 or 16
 * @return the number, or nothing if the text is invalid or the number too large
 */
template<typename Number = std::uint64_t>
std::optional<Number>
parseNumber(std::string_view aText, int aBase = 10)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number, aBase);
  if (aText.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace marigold::base
