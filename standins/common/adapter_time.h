/** @file How long the load of an adapter takes. */
#pragma once

#include "base/time.h"

#include <string_view>

namespace marigold::standin {

/**
 * @param aAdapter name; the time is a fixed 4 to 20 ms for each name
 * @param aInFlight adapter loads in flight, this one included
 * @param aLimit loads in flight above which each becomes slower in proportion
 * @return time of one load
 */
base::Duration
adapterLoadTime(std::string_view aAdapter, int aInFlight, int aLimit);

} // namespace marigold::standin
