/** @file A text that is not copied with its owner. */
#pragma once

#include <memory>
#include <string>
#include <utility>

namespace marigold::platform {

/** A text that never changes, which all copies share: the values of some keys
 * have megabytes. */
class SharedText
{
public:
  SharedText(std::string aText)
    : mText(std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedText(const char* aText)
    : SharedText(std::string(aText))
  {
  }

  operator const std::string&() const { return *mText; }
  const std::string& text() const { return *mText; }

  std::size_t size() const { return mText->size(); }

  /** @return the text, which may outlive this object */
  const std::shared_ptr<const std::string>& shared() const { return mText; }

  /** @return true if both have the same bytes */
  friend bool operator==(const SharedText& aLeft, const SharedText& aRight)
  {
    return aLeft.mText == aRight.mText || *aLeft.mText == *aRight.mText;
  }

private:
  std::shared_ptr<const std::string> mText; ///< never null
};

} // namespace marigold::platform
