#include "apps/entry/answers.h"

#include "observe/observe.h"

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

http::Answer
refusal(Code aCode, const std::string& aMessage, const std::string& aId)
{
  const base::CodeInfo& info = base::codeInfo(aCode);
  http::Answer answer =
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
passedHeaders(const http::Answer& aAnswer)
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

} // namespace marigold::entry
