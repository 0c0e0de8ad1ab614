#include "platform/call_record.h"

namespace marigold::platform {

const char*
nameOf(CallKind aKind)
{
  switch (aKind) {
    case CallKind::Read:
      return "read";
    case CallKind::List:
      return "list";
    case CallKind::Watch:
      return "watch";
    case CallKind::Write:
      return "write";
    case CallKind::Lease:
      return "lease";
    case CallKind::Renewal:
      return "renewal";
  }
  return "unknown";
}

const char*
nameOf(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::News:
      return "news";
    case CallOutcome::NoNews:
      return "no-news";
    case CallOutcome::Negative:
      return "negative";
    case CallOutcome::Refused:
      return "refused";
    case CallOutcome::Unanswered:
      return "unanswered";
    case CallOutcome::Dropped:
      return "dropped";
  }
  return "unknown";
}

std::string
CallSummary::takeText()
{
  std::string text;
  for (const auto& [record, count] : mCounts) {
    text += text.empty() ? "" : " ";
    text += std::string(nameOf(record.kind)) + "/" + nameOf(record.outcome) +
            "/" + record.reason.subject + "/" + record.reason.cause + "=" +
            std::to_string(count);
  }
  mCounts.clear();
  return text;
}

} // namespace marigold::platform
