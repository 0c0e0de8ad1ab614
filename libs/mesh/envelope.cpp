#include "mesh/envelope.h"

#include <nlohmann/json.hpp>

namespace marigold::mesh {
namespace {

using nlohmann::json;

constexpr std::size_t kMacBytes = 32;

/** Places of the fields; an array is 47 bytes shorter than a map with names. */
enum Field : std::size_t
{
  Format,
  From,
  FromIncarnation,
  To,
  ToIncarnation,
  Sequence,
  Type,
  Body,
};

Envelope
readEnvelope(const json& aJson)
{
  Envelope envelope;
  envelope.from = aJson.at(From);
  envelope.fromIncarnation = aJson.at(FromIncarnation);
  envelope.to = aJson.at(To);
  envelope.toIncarnation = aJson.at(ToIncarnation);
  envelope.sequence = aJson.at(Sequence);
  envelope.type = aJson.at(Type);
  envelope.body = aJson.at(Body);
  return envelope;
}

} // namespace

std::string
seal(const Envelope& aEnvelope, std::string_view aKey)
{
  const auto packed = json::to_msgpack(json::array({ kFormat,
                                                     aEnvelope.from,
                                                     aEnvelope.fromIncarnation,
                                                     aEnvelope.to,
                                                     aEnvelope.toIncarnation,
                                                     aEnvelope.sequence,
                                                     aEnvelope.type,
                                                     aEnvelope.body }));
  const std::string bytes(packed.begin(), packed.end());
  return base::hmacSha256(aKey, bytes) + bytes;
}

base::Result<Envelope>
open(std::string_view aBytes, std::string_view aKey)
{
  if (aBytes.size() > kMaxBytes) {
    return base::fail(base::Code::MessageTooLarge, "message is too large");
  }
  if (aBytes.size() < kMacBytes) {
    return base::fail(base::Code::MessageMalformed, "message is too short");
  }
  const std::string_view mac = aBytes.substr(0, kMacBytes);
  const std::string_view packed = aBytes.substr(kMacBytes);
  if (!base::equalConstantTime(base::hmacSha256(aKey, packed), mac)) {
    return base::fail(base::Code::MessageForged, "message has a wrong MAC");
  }
  const json content = json::from_msgpack(packed, true, false);
  try {
    if (content.at(Format) != kFormat) {
      return base::fail(base::Code::MessageVersionUnsupported,
                        "message has another format version");
    }
    return readEnvelope(content);
  } catch (const json::exception& wrong) {
    return base::fail(base::Code::MessageMalformed, wrong.what());
  }
}

ReplayFilter::ReplayFilter(NodeName aSelf, base::Incarnation aIncarnation)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
{
}

base::Result<void>
ReplayFilter::check(const Envelope& aEnvelope)
{
  const bool greeting = aEnvelope.type == kGreeting;
  const bool forThisRun = aEnvelope.toIncarnation == mIncarnation ||
                          (greeting && aEnvelope.toIncarnation == 0);
  // A greeting goes to an address whose process may not be known by name yet.
  const bool forThisNode =
    aEnvelope.to == mSelf || (greeting && aEnvelope.to.empty());
  if (!forThisNode || !forThisRun) {
    return base::fail(base::Code::MessageReplayed,
                      "message is for another process or an earlier run");
  }
  Sender& sender = mSenders[aEnvelope.from];
  const bool newer = aEnvelope.fromIncarnation > sender.incarnation ||
                     (aEnvelope.fromIncarnation == sender.incarnation &&
                      aEnvelope.sequence > sender.sequence);
  if (!newer) {
    return base::fail(base::Code::MessageReplayed,
                      "message was received before");
  }
  sender = { aEnvelope.fromIncarnation, aEnvelope.sequence };
  return {};
}

base::Incarnation
ReplayFilter::incarnationOf(const NodeName& aNode) const
{
  const auto found = mSenders.find(aNode);
  return found == mSenders.end() ? 0 : found->second.incarnation;
}

} // namespace marigold::mesh
