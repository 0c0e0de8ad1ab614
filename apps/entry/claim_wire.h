/** @file JSON of the claim messages and records. */
#pragma once

#include "claims/claims.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace marigold::entry {

/** Types of the messages; docs/design.md section 9. */
inline constexpr const char* kVoteRequestMessage = "vote-request";
inline constexpr const char* kVoteMessage = "vote";
inline constexpr const char* kSettleMessage = "settle";
inline constexpr const char* kReleaseMessage = "release";
inline constexpr const char* kClaimSyncMessage = "claim-sync";

/** @param aRecord record @return text for the platform */
std::string
encodeGroupRecord(const claims::GroupRecord& aRecord);

/** @param aText text of the platform
 * @return the record; throws json::exception if it is malformed */
claims::GroupRecord
decodeGroupRecord(const std::string& aText);

/** @param aClaim claim @return JSON for Settle and ClaimSync */
nlohmann::json
encodeClaim(const claims::Claim& aClaim);

/** @param aJson JSON @return the claim; throws json::exception */
claims::Claim
decodeClaim(const nlohmann::json& aJson);

/** @param aVote vote @return JSON for Vote */
nlohmann::json
encodeVote(const claims::Vote& aVote);

/** @param aJson JSON @return the vote; throws json::exception */
claims::Vote
decodeVote(const nlohmann::json& aJson);

/** @param aVerdict verdict @return its name in metrics */
std::string_view
verdictName(claims::Verdict aVerdict);

} // namespace marigold::entry
