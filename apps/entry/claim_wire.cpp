#include "apps/entry/claim_wire.h"

#include <array>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;

/** Answers travel as MessagePack binary, because a body may be any bytes. */
json
encodeAnswer(const std::optional<claims::StoredAnswer>& aAnswer)
{
  if (!aAnswer) {
    return nullptr;
  }
  return { { "status", aAnswer->status },
           { "headers", aAnswer->headers },
           { "body",
             json::binary({ aAnswer->body.begin(), aAnswer->body.end() }) } };
}

std::optional<claims::StoredAnswer>
decodeAnswer(const json& aJson)
{
  if (aJson.is_null()) {
    return std::nullopt;
  }
  const auto& body = aJson.at("body").get_binary();
  claims::StoredAnswer answer;
  answer.status = aJson.at("status");
  answer.headers = aJson.at("headers");
  answer.body.assign(body.begin(), body.end());
  return answer;
}

json
groupJson(const claims::GroupRecord& aRecord)
{
  json members = json::object();
  for (const auto& [vm, member] : aRecord.members) {
    members[vm] = { { "incarnation", member.incarnation },
                    { "since", member.since } };
  }
  return { { "epoch", aRecord.epoch }, { "members", members } };
}

claims::GroupRecord
readGroup(const json& aJson)
{
  claims::GroupRecord record;
  record.epoch = aJson.at("epoch");
  for (const auto& [vm, member] : aJson.at("members").items()) {
    record.members[vm] = { member.at("incarnation"), member.at("since") };
  }
  return record;
}

} // namespace

std::string
encodeGroupRecord(const claims::GroupRecord& aRecord)
{
  return groupJson(aRecord).dump();
}

claims::GroupRecord
decodeGroupRecord(const std::string& aText)
{
  return readGroup(json::parse(aText));
}

json
encodeClaim(const claims::Claim& aClaim)
{
  return { { "key", aClaim.key },
           { "attempt", aClaim.attempt },
           { "state", static_cast<int>(aClaim.state) },
           { "at_platform", aClaim.atPlatform },
           { "answer", encodeAnswer(aClaim.answer) } };
}

claims::Claim
decodeClaim(const json& aJson)
{
  claims::Claim claim;
  claim.key = aJson.at("key");
  claim.attempt = aJson.at("attempt");
  claim.state = static_cast<claims::ClaimState>(aJson.at("state").get<int>());
  claim.atPlatform = aJson.at("at_platform");
  claim.answer = decodeAnswer(aJson.at("answer"));
  return claim;
}

json
encodeVote(const claims::Vote& aVote)
{
  return { { "key", aVote.key },
           { "attempt", aVote.attempt },
           { "kind", static_cast<int>(aVote.kind) },
           { "epoch", aVote.epoch },
           { "answer", encodeAnswer(aVote.answer) },
           { "record", aVote.record ? groupJson(*aVote.record) : json() } };
}

claims::Vote
decodeVote(const json& aJson)
{
  claims::Vote vote;
  vote.key = aJson.at("key");
  vote.attempt = aJson.at("attempt");
  vote.kind = static_cast<claims::VoteKind>(aJson.at("kind").get<int>());
  vote.epoch = aJson.at("epoch");
  vote.answer = decodeAnswer(aJson.at("answer"));
  if (!aJson.at("record").is_null()) {
    vote.record = readGroup(aJson.at("record"));
  }
  return vote;
}

std::string_view
verdictName(claims::Verdict aVerdict)
{
  static constexpr std::array<std::string_view, 5> kNames{
    "granted", "repeat", "in-progress", "unknown", "no-quorum"
  };
  return kNames.at(static_cast<std::size_t>(aVerdict));
}

} // namespace marigold::entry
