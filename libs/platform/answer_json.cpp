#include "platform/answer_json.h"

#include "base/base.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace marigold::platform {
namespace {

using nlohmann::json;

/** Shorter ones are left to the parser. */
constexpr std::size_t kMinLargeBytes = 4096;
/** Stands for a large string, together with its number. */
constexpr std::string_view kMark = "large string ";

/** @return true if the parser would take the bytes between two quotes as they
 * are: no control characters, and none beyond ASCII, which may be no UTF-8 */
bool
isPlain(std::string_view aBytes)
{
  // Eight bytes at a time; the high bit of each one that is not plain is set.
  using Word = std::uint64_t;
  constexpr Word kEach = 0x0101010101010101;
  constexpr Word kSpaces = kEach * ' ';
  constexpr Word kHighBits = kEach * 0x80;
  Word odd = 0;
  const auto look = [&odd](const char* aAt, std::size_t aSize) {
    Word word = kSpaces;
    std::memcpy(&word, aAt, aSize);
    odd |= (word - kSpaces) | word;
  };
  std::size_t at = 0;
  for (; at + sizeof(Word) <= aBytes.size(); at += sizeof(Word)) {
    look(aBytes.data() + at, sizeof(Word));
  }
  look(aBytes.data() + at, aBytes.size() - at);
  return (odd & kHighBits) == 0;
}

/** @return where the string ends that begins before aBegin, npos if nowhere;
 * aEscaped says whether it has a backslash */
std::size_t
findEnd(std::string_view aText, std::size_t aBegin, bool& aEscaped)
{
  for (std::size_t from = aBegin;;) {
    const std::size_t quote = aText.find('"', from);
    if (quote == std::string_view::npos) {
      return quote;
    }
    const std::size_t escape = aText.substr(from, quote - from).find('\\');
    if (escape == std::string_view::npos) {
      return quote;
    }
    aEscaped = true;
    from = std::min(from + escape + 2, aText.size());
  }
}

/** Moves large strings out of a text, and leaves marks in their places.
 * @return the text without them */
std::string
takeLargeStrings(std::string_view aText, std::vector<std::string_view>& aLarge)
{
  std::string rest;
  std::size_t copied = 0;
  for (std::size_t at = aText.find('"'); at != std::string_view::npos;
       at = aText.find('"', at)) {
    const std::size_t begin = at + 1;
    bool escaped = false;
    const std::size_t end = findEnd(aText, begin, escaped);
    if (end == std::string_view::npos) {
      break; // Malformed, which the parser finds.
    }
    const std::string_view bytes = aText.substr(begin, end - begin);
    if (!escaped && bytes.size() >= kMinLargeBytes && isPlain(bytes)) {
      rest += aText.substr(copied, begin - copied);
      rest += kMark;
      rest += std::to_string(aLarge.size());
      copied = end;
      aLarge.push_back(bytes);
    }
    at = end + 1;
  }
  rest += aText.substr(copied);
  return rest;
}

/** @return the number of a large string, if a value is its mark */
std::optional<std::size_t>
markedNumber(const json& aValue)
{
  const auto* text = aValue.get_ptr<const std::string*>();
  if (text == nullptr || !text->starts_with(kMark)) {
    return std::nullopt;
  }
  return base::parseNumber(text->substr(kMark.size()));
}

/** Puts large strings back. @return false unless each of them had one mark; a
 * text may have a string of its own that looks like one */
bool
putBack(json& aContent, const std::vector<std::string_view>& aLarge)
{
  std::vector<json*> found(aLarge.size());
  std::vector<json*> waiting{ &aContent }; // No recursion: it may be deep.
  while (!waiting.empty()) {
    json& value = *waiting.back();
    waiting.pop_back();
    if (value.is_structured()) {
      for (json& inner : value) {
        waiting.push_back(&inner);
      }
    } else if (const auto number = markedNumber(value)) {
      if (*number >= found.size() || found[*number] != nullptr) {
        return false;
      }
      found[*number] = &value;
    }
  }
  if (std::count(found.begin(), found.end(), nullptr) > 0) {
    return false; // It was the name of a member.
  }
  for (std::size_t number = 0; number < found.size(); ++number) {
    *found[number] = std::string(aLarge[number]);
  }
  return true;
}

} // namespace

json
parseAnswer(const std::string& aText)
{
  if (aText.size() >= kMinLargeBytes) {
    std::vector<std::string_view> large;
    const std::string rest = takeLargeStrings(aText, large);
    if (!large.empty()) {
      json content = json::parse(rest, nullptr, false);
      if (!content.is_discarded() && putBack(content, large)) {
        return content;
      }
    }
  }
  return json::parse(aText, nullptr, false);
}

} // namespace marigold::platform
