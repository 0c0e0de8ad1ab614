#include "placement/ledger.h"

#include <array>
#include <nlohmann/json.hpp>

namespace marigold::placement {
namespace {

using nlohmann::json;

constexpr std::array kOps{ "load", "unload", "fence" };

Op
readOp(const std::string& aName)
{
  for (std::size_t i = 0; i < kOps.size(); ++i) {
    if (aName == kOps[i]) {
      return static_cast<Op>(i);
    }
  }
  throw std::invalid_argument("unknown operation " + aName);
}

json
toJson(const Order& aOrder)
{
  return { { "id", aOrder.id },
           { "fence", aOrder.fence },
           { "engine", aOrder.engine },
           { "op", kOps[static_cast<std::size_t>(aOrder.op)] },
           { "model", aOrder.item.model },
           { "version", aOrder.item.version },
           { "adapter", aOrder.item.adapter },
           { "memory_mb", aOrder.memoryMb } };
}

Order
readOrder(const json& aContent)
{
  Order order;
  order.id = aContent.at("id");
  order.fence = aContent.at("fence");
  order.engine = aContent.at("engine");
  order.op = readOp(aContent.at("op"));
  order.item.model = aContent.at("model");
  order.item.version = aContent.at("version");
  order.item.adapter = aContent.at("adapter");
  order.memoryMb = aContent.at("memory_mb");
  return order;
}

} // namespace

std::string
encode(const Ledger& aLedger)
{
  json orders = json::array();
  for (const Order& order : aLedger.orders) {
    orders.push_back(toJson(order));
  }
  return json{
    { "format", 1 },
    { "holder", aLedger.holder },
    { "fence", aLedger.fence },
    { "last_order", aLedger.lastOrder },
    { "orders", orders }
  }.dump();
}

base::Result<Ledger>
decodeLedger(const std::string& aText)
{
  try {
    const json content = json::parse(aText);
    if (content.at("format") != 1) {
      return base::fail(base::Code::DocumentInvalid,
                        "the order ledger has an unknown format");
    }
    Ledger ledger;
    ledger.holder = content.at("holder");
    ledger.fence = content.at("fence");
    ledger.lastOrder = content.at("last_order");
    for (const json& order : content.at("orders")) {
      ledger.orders.push_back(readOrder(order));
    }
    return ledger;
  } catch (const std::exception& wrong) {
    return base::fail(base::Code::DocumentInvalid,
                      std::string("malformed order ledger: ") + wrong.what());
  }
}

} // namespace marigold::placement
