/** @file Simulated load time of an adapter. */
#pragma once

#include "base/time.h"

#include <string_view>

namespace marigold::standin {

/**
 * Computes the load time of one adapter.
 * @param aAdapter name; its hash selects a fixed base time of 4 to 20 ms
 * @param aInFlight adapter loads in flight, this one included
 * @param aLimit loads in flight above which each load slows down in proportion
 * @return load time of the adapter
 */
base::Duration
adapterLoadTime(std::string_view aAdapter, int aInFlight, int aLimit);

} // namespace marigold::standin
