/** @file How the calls of the platform client look on the wire. */
#pragma once

#include "base/base.h"
#include "http/message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace marigold::platform {

using Revision = std::uint64_t;

/** A key with its value. */
struct Entry
{
  std::string key;
  std::optional<std::string> value; ///< absent: the key was deleted
  Revision revision = 0;
};

/** Entries and the revision of the store that they show. */
struct Snapshot
{
  Revision revision = 0;
  std::vector<Entry> entries;
  bool more = false; ///< a further page follows the last entry
};

/** A write that holds only if the key still has a revision. */
struct ConditionalWrite
{
  std::string key;
  std::string value;
  Revision expected = 0; ///< 0: the key must not exist
  std::string lease;     ///< empty: the key is bound to no lease
};

/**
 * Requests and answers of one protocol of the platform. The readers throw
 * nlohmann::json::exception for malformed content.
 */
struct WireProtocol
{
  http::Request (*read)(const std::string& aKey);
  http::Request (*list)(const std::string& aPrefix,
                        const std::string& aAfterKey);
  http::Request (*watch)(const std::string& aPrefix,
                         Revision aAfter,
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
};

/**
 * @param aStatus HTTP status of an answer
 * @param aConflict status that says that a key has another revision
 * @return the error that all protocols of the platform mean by it, if any
 */
std::optional<base::Error>
errorFromStatus(int aStatus, int aConflict);

/** @return the protocol of docs/protocols.md */
const WireProtocol&
nativeProtocol();

} // namespace marigold::platform
