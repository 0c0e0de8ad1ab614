/** @file Splits a stream of server-sent events into whole events. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marigold::entry {

/** The events of one stream. */
class SseParser
{
public:
  /** @param aBytes next part of the stream @return the events that are whole
   * now, each with its closing blank line */
  std::vector<std::string> feed(std::string_view aBytes);

  /** @return true once the event that ends a whole stream was seen */
  bool sawDone() const { return mDone; }

  /** @return events with content so far, one for each token */
  int contentEvents() const { return mContentEvents; }

private:
  std::string mPartial;
  bool mDone = false;
  int mContentEvents = 0;
};

} // namespace marigold::entry
