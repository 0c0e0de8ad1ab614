/** @file Numbers in text. */
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace marigold::base {

/**
 * @param aText digits without sign or spaces
 * @param aBase 10 or 16
 * @return the number, or nothing if the text is not one or it is too large
 */
template<typename Number = std::uint64_t>
std::optional<Number>
parseNumber(std::string_view aText, int aBase = 10)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number, aBase);
  if (aText.empty() || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace marigold::base
