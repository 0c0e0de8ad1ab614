#include "apps/gateway/own_response.h"

#include "platform/boundary.h"

namespace marigold::gateway {

http::Headers
outcomeHeaders(base::Code aCode, base::Outcome aOutcome, std::string_view aId)
{
  http::Headers headers{
    { "Marigold-Outcome", std::string(base::outcomeName(aOutcome)) },
    { "Marigold-Code", std::string(base::codeInfo(aCode).name) }
  };
  if (!aId.empty()) {
    headers.emplace_back(boundary::kRequestIdHeader, aId);
  }
  return headers;
}

wire::FallbackResponse
unknownOutcomeResponse(std::string_view aId)
{
  const base::CodeInfo& unknown = base::codeInfo(base::Code::OutcomeUnknown);
  return { unknown.httpStatus,
           outcomeHeaders(unknown.code, unknown.outcome, aId) };
}

} // namespace marigold::gateway
