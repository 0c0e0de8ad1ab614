/** @file Metadata that a caller sends in the headers of a request. */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigold::catalog {

/** A part of a prompt. Requests with the same leading parts can reuse the same
 * KV cache entries. */
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** Metadata of a request, decoded from its headers. */
struct RequestMetadata
{
  std::string id;
  std::optional<std::string> apiKey;      ///< secret of the caller
  std::optional<base::Duration> deadline; ///< time allowed for the request
  std::optional<ModelRef> model;
  bool hasTokenCounts = false; ///< the caller declared its token counts
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  std::uint32_t expectedOutputTokens = 0; ///< 0: no estimate
  std::vector<PromptPart> prompt;
  std::optional<std::uint64_t> lastEventId; ///< to resume a stream
  /** Id of the attempt that brought the first event of the stream to resume;
   * empty if the caller names none. */
  std::string firstAttempt;
};

} // namespace marigold::catalog
