/** @file Finds where the values of a JSON text begin and end, without building
 * a tree. */
#pragma once

#include <cstddef>
#include <string_view>

namespace marigold::platform {

/**
 * Walks through a text from front to back. It checks what it walks through,
 * but not what it skips: a skipped value is to be parsed by its user. Throws
 * std::invalid_argument where the text is no JSON.
 */
class JsonScanner
{
public:
  /** @param aText text; must outlive the scanner */
  explicit JsonScanner(std::string_view aText)
    : mText(aText)
  {
  }

  /** @return what follows the position */
  std::string_view rest();

  /** Takes a byte. @param aByte the byte that must be next */
  void expect(char aByte);

  /** @param aByte a byte @return true if it was next and was taken */
  bool accept(char aByte);

  /** @return the next value with its nested ones, which is taken */
  std::string_view skipValue();

  /** Takes bytes that are known. @param aBytes how many */
  void advance(std::size_t aBytes);

  /** Checks that nothing is left. */
  void expectEnd();

private:
  /** @return offset of the next byte that is no white space */
  std::size_t position();
  [[noreturn]] void fail(const char* aReason) const;
  void skipString();

  std::string_view mText;
  std::size_t mAt = 0;
};

} // namespace marigold::platform
