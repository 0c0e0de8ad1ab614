/** @file Errors in the form of the chat API. */
#pragma once

#include "base/code.h"

#include <string>

namespace marigold::chat {

/** Content type of all bodies that are no event streams. */
inline constexpr const char* kJsonType = "application/json";

/**
 * @param aCode why the request ended
 * @param aDetail what the caller can correct; empty if the code says it all
 * @return body of an answer with an error
 */
std::string
errorBody(base::Code aCode, const std::string& aDetail = {});

/** @param aCode why an answer broke off @return the event that says so */
std::string
errorEvent(base::Code aCode);

} // namespace marigold::chat
