/** @file Messages about loans on the mesh. */
#pragma once

#include "limits/limits.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::entry {

/** Message types of the mesh that carry loans. */
inline constexpr const char* kLoanTypes[] = { "loan-request",
                                              "loan-grant",
                                              "loan-return",
                                              "loan-recall",
                                              "loan-offer" };

/** @param aMessage message @return its type on the mesh */
std::string
loanType(const limits::Message& aMessage);

/** @param aMessage message @return its body on the mesh */
nlohmann::json
encodeLoan(const limits::Message& aMessage);

/** @param aType type @param aBody body of a peer's message @return the message;
 * throws nlohmann::json::exception if it is malformed or an amount is negative
 */
limits::Message
decodeLoan(const std::string& aType, const nlohmann::json& aBody);

} // namespace marigold::entry
