/** @file Makes base::Address available as http::Address. */
#pragma once

#include "base/address.h"

namespace marigold::http {

using base::Address;
using base::parseAddress;

} // namespace marigold::http
