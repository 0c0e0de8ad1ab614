/** @file The order ledger of a data centre, one value of the platform. */
#pragma once

#include "placement/types.h"

#include <string>
#include <vector>

namespace marigold::placement {

/**
 * Every order that can still take effect. It is written with compare-and-swap
 * before an order is sent, so that a new holder knows all of them.
 */
struct Ledger
{
  std::string holder;    ///< process that wrote it
  FenceNumber fence = 0; ///< highest fence in use; rises with every write
  OrderId lastOrder = 0;
  std::vector<Order> orders;

  bool operator==(const Ledger&) const = default;
};

/** @param aLedger ledger @return its JSON text */
std::string
encode(const Ledger& aLedger);

/** @param aText JSON text @return the ledger, or DocumentInvalid */
base::Result<Ledger>
decodeLedger(const std::string& aText);

} // namespace marigold::placement
