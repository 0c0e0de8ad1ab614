/** @file Addresses under the name that the other parts of this library use. */
#pragma once

#include "base/address.h"

namespace marigold::http {

using base::Address;
using base::parseAddress;

} // namespace marigold::http
