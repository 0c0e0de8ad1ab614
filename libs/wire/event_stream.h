/** @file Server-sent events, cut into whole events. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::wire {

/** Largest event in bytes. An event is passed on whole, so it may not take more
 * memory than what waits for a caller that reads slowly. */
constexpr std::size_t kMaxEventBytes = 256UL * 1024;

/** One whole event with the bytes as they were received. */
struct StreamEvent
{
  std::string bytes; ///< with the empty line that ends it
  std::optional<std::uint64_t> id;
};

/**
 * Splits a stream into events, so that an event of which only a part arrived
 * never reaches the caller and the stream can go on at another upstream.
 */
class EventSplitter
{
public:
  /** @param aBytes next bytes of the stream @return events that are whole */
  std::vector<StreamEvent> feed(std::string_view aBytes);

  /** @return bytes of an event that is not whole yet */
  const std::string& partialEvent() const { return mRest; }

  /** @return true if the event that is not whole is too large already */
  bool oversized() const { return mRest.size() > kMaxEventBytes; }

  /** Forgets an incomplete event. */
  void clear() { mRest.clear(); }

private:
  std::string mRest;
};

} // namespace marigold::wire
