#include "platform/wire_protocol.h"

#include <nlohmann/json.hpp>

namespace marigold::platform {
namespace {

using base::Code;
using base::Error;
using nlohmann::json;

http::Request
makeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aQuery = "",
            const std::string& aBody = "")
{
  return { aMethod, aPath, aQuery, {}, aBody };
}

http::Request
readRequest(const std::string& aKey)
{
  return makeRequest("GET", "/v1/kv/" + aKey);
}

http::Request
listRequest(const std::string& aPrefix, const std::string& /*aAfterKey*/)
{
  return makeRequest("GET", "/v1/kv", "prefix=" + http::percentEncode(aPrefix));
}

http::Request
watchRequest(const std::string& aPrefix, Position aAfter, base::Duration aWait)
{
  return makeRequest(
    "GET",
    "/v1/watch",
    "prefix=" + http::percentEncode(aPrefix) + "&era=" +
      std::to_string(aAfter.era) + "&after=" + std::to_string(aAfter.revision) +
      "&wait_ms=" + std::to_string(base::inMilliseconds(aWait)) + "&patches=1");
}

http::Request
writeRequest(const ConditionalWrite& aWrite)
{
  std::string query = "revision=" + std::to_string(aWrite.expected);
  if (!aWrite.lease.empty()) {
    query += "&lease=" + aWrite.lease;
  }
  return makeRequest("PUT", "/v1/kv/" + aWrite.key, query, aWrite.value);
}

http::Request
removeRequest(const std::string& aKey, Revision aExpected)
{
  return makeRequest(
    "DELETE", "/v1/kv/" + aKey, "revision=" + std::to_string(aExpected));
}

http::Request
grantRequest(base::Duration aTerm)
{
  return makeRequest("POST",
                     "/v1/leases",
                     "ttl_ms=" + std::to_string(base::inMilliseconds(aTerm)));
}

http::Request
renewRequest(const std::string& aLease)
{
  return makeRequest("POST", "/v1/leases/" + aLease + "/renew");
}

http::Request
revokeRequest(const std::string& aLease)
{
  return makeRequest("DELETE", "/v1/leases/" + aLease);
}

TextPatch
readPatch(const json& aJson)
{
  TextPatch patch;
  patch.resultHash = aJson.at("hash");
  for (const json& item : aJson.at("parts")) {
    PatchPart& part = patch.parts.emplace_back();
    if (item.is_string()) {
      part.bytes = item;
    } else {
      part.offset = item.at(0);
      part.length = item.at(1);
    }
  }
  return patch;
}

Entry
readEntry(const json& aJson)
{
  Entry entry;
  entry.key = aJson.at("key");
  entry.revision = aJson.at("revision");
  if (aJson.contains("patches")) {
    entry.base = aJson.at("base");
    aJson.at("patches").at(0); // Without any, the key would count as deleted.
    for (const json& patch : aJson.at("patches")) {
      entry.patches.push_back(readPatch(patch));
    }
  } else if (!aJson.at("value").is_null()) {
    entry.value = aJson.at("value").get<std::string>();
  }
  return entry;
}

Snapshot
readSnapshot(const json& aJson)
{
  Snapshot snapshot;
  snapshot.revision = aJson.at("revision");
  for (const json& item : aJson.at("items")) {
    snapshot.entries.push_back(readEntry(item));
  }
  return snapshot;
}

Revision
readRevision(const json& aJson)
{
  return aJson.at("revision").get<Revision>();
}

std::string
readLease(const json& aJson)
{
  return aJson.at("lease").get<std::string>();
}

std::optional<Error>
statusError(int aStatus)
{
  constexpr int kConflict = 409;
  return errorFromStatus(aStatus, kConflict);
}

std::optional<Era>
readEra(const http::Headers& aHeaders)
{
  return readEraHeader(aHeaders, kEraHeader);
}

constexpr WireProtocol kNativeProtocol{
  &readRequest,  &listRequest,  &watchRequest,  &writeRequest, &removeRequest,
  &grantRequest, &renewRequest, &revokeRequest, &readEntry,    &readSnapshot,
  &readSnapshot, &readRevision, &readLease,     &statusError,  &readEra
};

} // namespace

const WireProtocol&
nativeProtocol()
{
  return kNativeProtocol;
}

} // namespace marigold::platform
