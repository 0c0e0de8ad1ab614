#include "platform/json_scanner.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace marigold::platform {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";
/** Ends a number or a word. */
constexpr std::string_view kValueEnds = " \t\r\n,]}";

} // namespace

void
JsonScanner::fail(const char* aReason) const
{
  throw std::invalid_argument(std::string(aReason) + " at byte " +
                              std::to_string(mAt));
}

std::size_t
JsonScanner::position()
{
  mAt = std::min(mText.find_first_not_of(kWhiteSpace, mAt), mText.size());
  return mAt;
}

std::string_view
JsonScanner::rest()
{
  return mText.substr(position());
}

void
JsonScanner::expect(char aByte)
{
  if (!accept(aByte)) {
    fail((std::string("expected ") + aByte).c_str());
  }
}

bool
JsonScanner::accept(char aByte)
{
  if (position() == mText.size() || mText[mAt] != aByte) {
    return false;
  }
  ++mAt;
  return true;
}

void
JsonScanner::skipString()
{
  for (++mAt; mAt < mText.size(); ++mAt) {
    mAt = mText.find_first_of("\"\\", mAt);
    if (mAt == std::string_view::npos) {
      break;
    }
    if (mText[mAt] == '"') {
      ++mAt;
      return;
    }
    ++mAt; // The byte behind a backslash.
  }
  mAt = mText.size();
  fail("string without its end");
}

std::string_view
JsonScanner::skipValue()
{
  const std::size_t begin = position();
  std::size_t depth = 0;
  do {
    mAt = std::min(mText.find_first_not_of(kWhiteSpace, mAt), mText.size());
    if (mAt == mText.size()) {
      fail("value without its end");
    }
    const char letter = mText[mAt];
    if (letter == '"') {
      skipString();
    } else if (letter == '{' || letter == '[') {
      ++depth;
      ++mAt;
    } else if (letter == '}' || letter == ']') {
      if (depth == 0) {
        fail("value is missing");
      }
      --depth;
      ++mAt;
    } else if (letter == ',' || letter == ':') {
      if (depth == 0) {
        fail("value is missing");
      }
      ++mAt;
    } else {
      mAt = std::min(mText.find_first_of(kValueEnds, mAt), mText.size());
    }
  } while (depth > 0);
  return mText.substr(begin, mAt - begin);
}

void
JsonScanner::advance(std::size_t aBytes)
{
  mAt = std::min(position() + aBytes, mText.size());
}

void
JsonScanner::expectEnd()
{
  if (position() != mText.size()) {
    fail("text behind the end");
  }
}

} // namespace marigold::platform
