/** @file What a request has in common with others that may crash upstreams. */
#pragma once

#include "catalog/request_metadata.h"
#include "peers/crash_evidence.h"

#include <string>

namespace marigold::dispatch {

/** @param aIdentity text that, with the prompt, is the same for repeats of the
 * request only
 * @param aPrompt parts of its prompt; the last one is no trait, because it
 * belongs to the request itself or to its session
 * @return its traits */
peers::TraitSet
makeTraits(std::string aIdentity,
           const std::vector<catalog::PromptPart>& aPrompt);

} // namespace marigold::dispatch
