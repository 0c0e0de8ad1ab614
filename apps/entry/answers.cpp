#include "apps/entry/answers.h"

#include "observe/observe.h"

#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using base::Code;
using nlohmann::json;

json
errorJson(Code aCode, const std::string& aMessage)
{
  const base::CodeInfo& info = base::codeInfo(aCode);
  return { { "error",
             { { "code", info.name },
               { "number", static_cast<int>(aCode) },
               { "message", aMessage },
               { "outcome", base::outcomeName(info.outcome) } } } };
}

} // namespace

http::Response
refusal(Code aCode, const std::string& aMessage, const std::string& aId)
{
  const base::CodeInfo& info = base::codeInfo(aCode);
  http::Response answer =
    observe::jsonAnswer(info.httpStatus, errorJson(aCode, aMessage));
  answer.headers.emplace_back(kOutcomeHeader, base::outcomeName(info.outcome));
  answer.headers.emplace_back(kIdHeader, aId);
  if (aCode == Code::RateExceeded || info.httpStatus == 503) {
    answer.headers.emplace_back("Retry-After", "1");
  }
  return answer;
}

std::string
errorEvent(Code aCode, const std::string& aMessage)
{
  return "data: " + errorJson(aCode, aMessage).dump() + "\n\n";
}

http::Headers
passedHeaders(const http::Response& aAnswer)
{
  http::Headers passed;
  for (const char* name : { "Content-Type", "Cache-Control", "Location" }) {
    const std::string_view value = http::findHeader(aAnswer.headers, name);
    if (!value.empty()) {
      passed.emplace_back(name, value);
    }
  }
  return passed;
}

const char*
messageOf(base::Code aCode)
{
  switch (aCode) {
    case base::Code::UpstreamRefused:
      return "the upstream could not be reached; the request was not run";
    case base::Code::UpstreamTimeout:
      return "the upstream did not answer in time";
    case base::Code::UpstreamFailed:
      return "the upstream broke off its answer";
    case base::Code::AnswerCrossed:
      return "the upstream answered another request";
    case base::Code::AnswerTruncated:
      return "the answer broke off and is not whole";
    case base::Code::Overloaded:
      return "too many requests wait for this model; it was not run";
    case base::Code::DeadlineUnreachable:
      return "the request cannot be served before its deadline";
    case base::Code::NoUpstream:
      return "no upstream can serve this request now";
    default:
      return "the outcome of the request is not known";
  }
}

} // namespace marigold::entry
