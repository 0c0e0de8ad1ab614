/** @file What a caller declares about its request. */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigold::catalog {

/** A part of a prompt; requests that share leading parts share cached memory.
 */
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/** The declarations of a request, decoded from its headers. */
struct RequestMetadata
{
  std::string id;
  std::optional<std::string> apiKey; ///< the caller's secret
  std::optional<base::Duration> deadline;
  std::optional<ModelRef> model;
  bool hasTokenCounts = false;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
  std::uint32_t expectedOutputTokens = 0; ///< 0: no estimate
  std::vector<PromptPart> prompt;
  std::optional<std::uint64_t> lastEventId;
};

} // namespace marigold::catalog
