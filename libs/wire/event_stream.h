/** @file Splits a server-sent event stream into events. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigold::wire {

/** Maximum size of an event in bytes. Events are forwarded whole, so an event
 * must not take more memory than the output buffered for a slow caller. */
constexpr std::size_t kMaxEventBytes = 256UL * 1024;

/** A complete event, byte for byte as received. */
struct StreamEvent
{
  std::string bytes; ///< includes the empty line that ends the event
  std::optional<std::uint64_t> id;
};

/**
 * Splits a stream into complete events. A partial event is never forwarded, so
 * the stream can be resumed at another upstream.
 */
class EventSplitter
{
public:
  /** @param aBytes next bytes of the stream @return events completed by them */
  std::vector<StreamEvent> feed(std::string_view aBytes);

  /** @return bytes of the event that is not complete yet */
  const std::string& partialEvent() const { return mPartial; }

  /** @return true if the partial event exceeds kMaxEventBytes */
  bool oversized() const { return mPartial.size() > kMaxEventBytes; }

  /** Discards the partial event. */
  void clear() { mPartial.clear(); }

private:
  std::string mPartial;
};

} // namespace marigold::wire
