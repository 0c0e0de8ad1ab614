#include "wire/event_stream.h"

#include <charconv>

namespace marigold::wire {
namespace {

/** @return position after the empty line that ends the event, or npos if no
 * event ends after aFrom */
std::size_t
findEventEnd(std::string_view aBytes, std::size_t aFrom)
{
  for (std::size_t at = aFrom; at < aBytes.size(); ++at) {
    if (aBytes[at] != '\n') {
      continue;
    }
    if (at + 1 < aBytes.size() && aBytes[at + 1] == '\n') {
      return at + 2;
    }
    if (at + 2 < aBytes.size() && aBytes[at + 1] == '\r' &&
        aBytes[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t>
parseEventId(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto read =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::feed(std::string_view aBytes)
{
  // The empty line may be split between two reads.
  constexpr std::size_t kOverlap = 2;
  std::vector<StreamEvent> events;
  std::size_t from =
    mPartial.size() > kOverlap ? mPartial.size() - kOverlap : 0;
  mPartial.append(aBytes);
  std::size_t begin = 0;
  for (;;) {
    const std::size_t end = findEventEnd(mPartial, from);
    if (end == std::string::npos) {
      break;
    }
    StreamEvent event{ mPartial.substr(begin, end - begin), std::nullopt };
    event.id = parseEventId(event.bytes);
    events.push_back(std::move(event));
    begin = end;
    from = end;
  }
  mPartial.erase(0, begin);
  return events;
}

} // namespace marigold::wire
