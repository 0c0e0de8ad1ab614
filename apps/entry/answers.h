/** @file Answers that this VM itself gives to a caller. */
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <string>

namespace marigold::entry {

inline constexpr const char* kOutcomeHeader = "Marigold-Outcome";
inline constexpr const char* kIdHeader = "X-Request-Id";

/**
 * @param aCode why a request is refused
 * @param aMessage one plain sentence
 * @param aId id of the request
 * @return the answer to the caller
 */
http::Response
refusal(base::Code aCode, const std::string& aMessage, const std::string& aId);

/** @param aCode why a stream ends early @param aMessage one plain sentence
 * @return the event that tells the caller */
std::string
errorEvent(base::Code aCode, const std::string& aMessage);

/** @param aAnswer answer of an upstream
 * @return its headers that concern the caller */
http::Headers
passedHeaders(const http::Response& aAnswer);

/** @param aCode why a request is refused @return one sentence for its caller */
const char*
messageOf(base::Code aCode);

} // namespace marigold::entry
