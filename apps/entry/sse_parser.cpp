#include "apps/entry/sse_parser.h"

namespace marigold::entry {
namespace {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kDone = "data: [DONE]";
constexpr std::string_view kData = "data:";

} // namespace

std::vector<std::string>
SseParser::feed(std::string_view aBytes)
{
  mPartial += aBytes;
  std::vector<std::string> events;
  std::size_t start = 0;
  for (std::size_t end = mPartial.find(kEnd); end != std::string::npos;
       end = mPartial.find(kEnd, start)) {
    std::string event = mPartial.substr(start, end + kEnd.size() - start);
    start = end + kEnd.size();
    // What follows the final event is surplus and belongs to nobody.
    if (!mDone) {
      mDone = isDone(event);
      events.push_back(std::move(event));
    }
  }
  mPartial.erase(0, start);
  return events;
}

bool
SseParser::isDone(std::string_view aEvent)
{
  return aEvent.starts_with(kDone);
}

bool
SseParser::isContent(std::string_view aEvent)
{
  return aEvent.starts_with(kData) && !isDone(aEvent);
}

} // namespace marigold::entry
