/** @file The models that the chat API offers. */
#pragma once

#include "catalog/types.h"

#include <string>
#include <vector>

namespace marigold::chat {

/** @param aServices services with engines @return body of the list of their
 * models, each with its adapters as NAME:ADAPTER */
std::string
modelList(const std::vector<const catalog::Service*>& aServices);

} // namespace marigold::chat
