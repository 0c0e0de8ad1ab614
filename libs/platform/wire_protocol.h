/** @file Wire protocols of the platform client: how calls are encoded as HTTP
 * requests and how answers are decoded. */
#pragma once

#include "base/base.h"
#include "http/message.h"
#include "platform/shared_text.h"
#include "platform/text_patch.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigold::platform {

/** Revision of a key or of the store, which rises with each change. */
using Revision = std::uint64_t;

/** Number of times that the store was restored from an older copy. What it had
 * acknowledged since the copy is gone then, and revisions and leases of that
 * time are given out again, so those of two eras cannot be compared. */
using Era = std::uint64_t;

/** A point in the history of the store. */
struct Position
{
  Revision revision = 0;
  Era era = 0;

  bool operator==(const Position&) const = default;
};

/** A key with its value and the revision at which it was last changed. */
struct Entry
{
  std::string key;
  /** Absent: the key was deleted, unless there are patches. */
  std::optional<SharedText> value;
  Revision revision = 0;
  /** How the value came from that of the base revision, oldest first. A relay
   * sends them in place of a large value. */
  std::vector<TextPatch> patches = {};
  Revision base = 0;
};

/** Entries and the revision of the store at which they were read. */
struct Snapshot
{
  Revision revision = 0;
  std::vector<Entry> entries;
  bool more = false; ///< another page follows
  Era era = 0;
};

/** A write that is applied only if the key still has the expected revision. */
struct ConditionalWrite
{
  std::string key;
  std::string value;
  Revision expected = 0; ///< 0: the key must not exist
  std::string lease;     ///< empty: the key has no lease
};

/**
 * Encoders and decoders of one wire protocol of the platform. The decoders
 * throw nlohmann::json::exception for malformed content.
 */
struct WireProtocol
{
  http::Request (*read)(const std::string& aKey);
  http::Request (*list)(const std::string& aPrefix,
                        const std::string& aAfterKey);
  http::Request (*watch)(const std::string& aPrefix,
                         Position aAfter,
                         base::Duration aWait);
  http::Request (*write)(const ConditionalWrite& aWrite);
  http::Request (*remove)(const std::string& aKey, Revision aExpected);
  http::Request (*grantLease)(base::Duration aTerm);
  http::Request (*renewLease)(const std::string& aLease);
  http::Request (*revokeLease)(const std::string& aLease);
  Entry (*readEntry)(const nlohmann::json& aContent);
  Snapshot (*readPage)(const nlohmann::json& aContent);
  Snapshot (*readChanges)(const nlohmann::json& aContent);
  Revision (*readRevision)(const nlohmann::json& aContent);
  std::string (*readLease)(const nlohmann::json& aContent);
  std::optional<base::Error> (*statusError)(int aStatus);
  /** @return the era that an answer names, if it does */
  std::optional<Era> (*readEra)(const http::Headers& aHeaders);
};

/** Header of the native protocol with the era of the data in an answer. */
constexpr const char* kEraHeader = "Marigold-Store-Era";

/** @param aHeaders headers of an answer @param aName header with an era
 * @return the era, or nothing if the header is missing or malformed */
std::optional<Era>
readEraHeader(const http::Headers& aHeaders, const char* aName);

/**
 * Maps the statuses that have the same meaning in all protocols.
 * @param aStatus HTTP status of an answer
 * @param aConflict status for a key whose revision is not the expected one
 * @return the error, or nothing for success; PlatformUnreachable for a status
 * without a meaning of its own
 */
std::optional<base::Error>
errorFromStatus(int aStatus, int aConflict);

/** @return the protocol that docs/protocols.md describes */
const WireProtocol&
nativeProtocol();

} // namespace marigold::platform
