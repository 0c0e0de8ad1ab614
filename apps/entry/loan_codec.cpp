#include "apps/entry/loan_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;

json
bodyOf(const limits::LoanRequest& aRequest)
{
  return { { "id", aRequest.id },           { "team", aRequest.team },
           { "tokens", aRequest.tokens },   { "rate", aRequest.rate },
           { "renewal", aRequest.renewal }, { "urgent", aRequest.urgent } };
}

json
bodyOf(const limits::LoanGrant& aGrant)
{
  return { { "id", aGrant.id },
           { "team", aGrant.team },
           { "rate", aGrant.rate },
           { "capacity", aGrant.capacity },
           { "tokens", aGrant.tokens },
           { "term_ms", base::inMilliseconds(aGrant.term) },
           { "renewal", aGrant.renewal } };
}

json
bodyOf(const limits::LoanReturn& aReturn)
{
  return { { "id", aReturn.id },
           { "team", aReturn.team },
           { "tokens", aReturn.tokens } };
}

json
bodyOf(const limits::LoanRecall& aRecall)
{
  return { { "id", aRecall.id }, { "team", aRecall.team } };
}

json
bodyOf(const limits::LoanOffer& aOffer)
{
  return { { "team", aOffer.team },
           { "tokens", aOffer.tokens },
           { "rate", aOffer.rate } };
}

/** A negative or endless amount would create tokens. */
double
amount(const json& aBody, const char* aName)
{
  const auto value = aBody.at(aName).get<double>();
  if (!std::isfinite(value) || value < 0) {
    throw json::other_error::create(
      501, std::string(aName) + " is not an amount", &aBody);
  }
  return value;
}

limits::LoanGrant
readGrant(const json& aBody)
{
  limits::LoanGrant grant;
  grant.id = aBody.at("id");
  grant.team = aBody.at("team");
  grant.rate = amount(aBody, "rate");
  grant.capacity = amount(aBody, "capacity");
  grant.tokens = amount(aBody, "tokens");
  grant.term = base::fromSeconds(amount(aBody, "term_ms") / 1000);
  grant.renewal = aBody.at("renewal");
  return grant;
}

} // namespace

std::string
loanType(const limits::Message& aMessage)
{
  return kLoanTypes[aMessage.index()];
}

json
encodeLoan(const limits::Message& aMessage)
{
  return std::visit([](const auto& aAny) { return bodyOf(aAny); }, aMessage);
}

limits::Message
decodeLoan(const std::string& aType, const json& aBody)
{
  if (aType == kLoanTypes[1]) {
    return readGrant(aBody);
  }
  if (aType == kLoanTypes[2]) {
    return limits::LoanReturn{ aBody.at("id"),
                               aBody.at("team"),
                               amount(aBody, "tokens") };
  }
  if (aType == kLoanTypes[3]) {
    return limits::LoanRecall{ aBody.at("id"), aBody.at("team") };
  }
  if (aType == kLoanTypes[4]) {
    return limits::LoanOffer{ aBody.at("team"),
                              amount(aBody, "tokens"),
                              amount(aBody, "rate") };
  }
  limits::LoanRequest request;
  request.id = aBody.at("id");
  request.team = aBody.at("team");
  request.tokens = amount(aBody, "tokens");
  request.rate = amount(aBody, "rate");
  request.renewal = aBody.at("renewal");
  request.urgent = aBody.at("urgent");
  return request;
}

} // namespace marigold::entry
