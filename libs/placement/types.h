/** @file Engines, what they hold, orders to them and their reports. */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::placement {

using OrderId = std::uint64_t;

/** Fencing number; 0 is older than every order. */
using FenceNumber = std::uint64_t;

/** A model, or an adapter of it, without its version. */
struct ItemName
{
  base::ModelName model;
  std::string adapter; ///< empty: the model itself

  auto operator<=>(const ItemName&) const = default;
};

/** One thing that takes accelerator memory. */
struct Item
{
  base::ModelName model; ///< empty: any model, chosen when the order is sent
  std::string version;
  std::string adapter; ///< empty: the model itself

  auto operator<=>(const Item&) const = default;

  /** @return the item without its version */
  ItemName name() const { return { model, adapter }; }
};

/** What the manifest says of an item. */
struct Declared
{
  std::string version;
  int memoryMb = 0;
};

using Declarations = std::map<ItemName, Declared>;

/** An engine by the list of VMs. */
struct Engine
{
  base::UpstreamName name;
  int memoryMb = 0;
  bool honoursFencing = false;
};

/** What an order does. */
enum class Op : std::uint8_t
{
  Load,
  Unload,
  Fence, ///< only raises the engine's fencing number
};

/** An order to an engine; an adapter in the item makes it an adapter order. */
struct Order
{
  OrderId id = 0;
  FenceNumber fence = 0;
  base::UpstreamName engine;
  Op op = Op::Fence;
  Item item;
  int memoryMb = 0;

  bool operator==(const Order&) const = default;
};

/** What an engine says of an order. */
enum class Progress : std::uint8_t
{
  Pending,
  Done,
  Failed,
};

/** An engine's report: a snapshot that was taken some time ago. */
struct Report
{
  base::Incarnation incarnation = 0; ///< rises with each start of the engine
  std::uint64_t sequence = 0;        ///< rises within an incarnation
  FenceNumber fence = 0;             ///< highest fence that was seen
  std::map<Item, int> resident;      ///< memory in MB by item
  std::map<OrderId, Progress> orders;
};

} // namespace marigold::placement
