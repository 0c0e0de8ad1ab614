/** @file Requests of the chat API. */
#pragma once

#include "base/base.h"
#include "catalog/request_metadata.h"

#include <string>
#include <string_view>

namespace marigold::chat {

/** Calls of the chat API. */
enum class Call : std::uint8_t
{
  None, ///< not a call of the chat API
  Completion,
  ModelList
};

/** @param aTarget request target with an optional query @return the call */
Call
callOf(std::string_view aTarget);

/** Memory that reading a body may take. The longest conversations need less. */
constexpr std::size_t kMaxTreeBytes = 32UL * 1024 * 1024;

/** @param aBody body of a request for a completion
 * @return about as much memory as readRequest() takes for it, or more */
std::size_t
memoryToRead(const std::string& aBody);

/** A request for a completion. */
struct Request
{
  catalog::ModelRef model; ///< NAME or NAME:ADAPTER in the body
  bool streamed = false;   ///< the caller wants events, not one JSON object
  std::uint32_t promptTokens = 0;    ///< estimated from the size of the prompt
  std::uint32_t maxOutputTokens = 0; ///< of all choices together
  /** One part for the tools and one for each message, so that conversations
   * share the parts that they have in common. */
  std::vector<catalog::PromptPart> prompt;
  /** For the engine. It always asks for events and limits the output. */
  std::string body;
};

/**
 * @param aBody body of a request for a completion
 * @return the request, or BadRequest if it cannot be read within kMaxTreeBytes
 */
base::Result<Request>
readRequest(const std::string& aBody);

} // namespace marigold::chat
