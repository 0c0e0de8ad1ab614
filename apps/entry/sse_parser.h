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
   * now, each with its closing blank line; nothing after the final one */
  std::vector<std::string> feed(std::string_view aBytes);

  /** @return true once the event that ends a whole stream was seen */
  bool sawDone() const { return mDone; }

  /** @return true if an event grew beyond what a model sends */
  bool overflowed() const { return mPartial.size() > kMostEventBytes; }

  /** @param aEvent whole event @return true if it ends a whole stream */
  static bool isDone(std::string_view aEvent);

  /** @param aEvent whole event @return true if it carries a token */
  static bool isContent(std::string_view aEvent);

private:
  /** Bounds the memory that a stream without ends of events can take. */
  static constexpr std::size_t kMostEventBytes = 1024UL * 1024;

  std::string mPartial;
  bool mDone = false;
};

} // namespace marigold::entry
