#include "apps/placer/engine_link.h"

#include "observe/observe.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marigold::placer {
namespace {

using nlohmann::json;
using placement::Op;

constexpr base::Duration kPollTimeout = std::chrono::seconds(1);

/** An order that takes longer counts as lost until a report shows it. It must
 * not exceed the longest order delay. */
constexpr base::Duration kOrderTimeout = std::chrono::seconds(2);

const char*
opName(const placement::Order& aOrder)
{
  const bool adapter = !aOrder.item.adapter.empty();
  switch (aOrder.op) {
    case Op::Load:
      return adapter ? "load_adapter" : "load";
    case Op::Unload:
      return adapter ? "unload_adapter" : "unload";
    case Op::Fence:
      return "fence";
  }
  return "fence";
}

placement::Progress
progress(const std::string& aState)
{
  if (aState == "done") {
    return placement::Progress::Done;
  }
  return aState == "failed" ? placement::Progress::Failed
                            : placement::Progress::Pending;
}

/** @return the number of an order, 0 if another system gave it */
placement::OrderId
orderId(const std::string& aText)
{
  placement::OrderId id = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, id);
  return result.ptr == end ? id : 0;
}

placement::Report
readReport(const json& aContent)
{
  placement::Report report;
  report.incarnation = aContent.at("incarnation");
  report.sequence = aContent.at("sequence");
  report.fence = aContent.at("fence");
  for (const json& model : aContent.at("resident")) {
    const placement::Item item{ model.at("model"), model.at("version"), "" };
    report.resident[item] = model.at("memory_mb");
    for (const json& adapter : model.at("adapters")) {
      report.resident[{ item.model, item.version, adapter.at("name") }] =
        adapter.at("memory_mb");
    }
  }
  for (const json& order : aContent.at("orders")) {
    report.orders[orderId(order.at("id"))] = progress(order.at("state"));
  }
  return report;
}

} // namespace

base::Result<placement::Report>
decodeReport(const std::string& aText)
{
  try {
    return readReport(json::parse(aText));
  } catch (const json::exception& wrong) {
    return base::fail(base::Code::DocumentInvalid,
                      std::string("malformed report: ") + wrong.what());
  }
}

std::string
encodeOrder(const placement::Order& aOrder)
{
  return json{
    { "id", std::to_string(aOrder.id) },
    { "fence", aOrder.fence },
    { "op", opName(aOrder) },
    { "model", aOrder.item.model },
    { "version", aOrder.item.version },
    { "adapter", aOrder.item.adapter },
    { "memory_mb", aOrder.memoryMb }
  }.dump();
}

EngineLink::EngineLink(http::Loop& aLoop, OnReport aOnReport)
  : mClient(aLoop)
  , mOnReport(std::move(aOnReport))
{
}

void
EngineLink::poll()
{
  for (const auto& [engine, address] : mAddresses) {
    if (mPolls[engine]) {
      continue;
    }
    http::CallEvents events;
    events.done = [this, name = engine](http::CallEnd aEnd,
                                        const http::Response& aAnswer) {
      const auto ended = std::move(mPolls[name]);
      if (aEnd != http::CallEnd::Complete || aAnswer.status != 200) {
        return;
      }
      const auto report =
        base::capture([&] { return decodeReport(aAnswer.body); });
      if (const base::Error* error = base::errorOf(report)) {
        observe::logWarn("report of an engine ignored",
                         { { "engine", name }, { "problem", error->message } });
        return;
      }
      mOnReport(name, std::get<placement::Report>(report));
    };
    mPolls[engine] = mClient.start(address,
                                   { "GET", "/v1/report", "", {}, "" },
                                   kPollTimeout,
                                   std::move(events));
  }
}

void
EngineLink::send(const placement::Order& aOrder)
{
  const auto address = mAddresses.find(aOrder.engine);
  if (address == mAddresses.end()) {
    return;
  }
  observe::logInfo("order",
                   { { "engine", aOrder.engine },
                     { "id", std::to_string(aOrder.id) },
                     { "fence", std::to_string(aOrder.fence) },
                     { "op", opName(aOrder) },
                     { "model", aOrder.item.model },
                     { "version", aOrder.item.version },
                     { "adapter", aOrder.item.adapter } });
  const auto place = mOrders.emplace(mOrders.end());
  http::CallEvents events;
  events.done = [this, place, id = aOrder.id](http::CallEnd aEnd,
                                              const http::Response& aAnswer) {
    const auto ended = std::move(*place);
    mOrders.erase(place);
    if (aEnd != http::CallEnd::Complete || aAnswer.status != 202) {
      observe::logWarn("order not accepted",
                       { { "id", std::to_string(id) },
                         { "status", std::to_string(aAnswer.status) } });
    }
  };
  *place = mClient.start(address->second,
                         { "POST",
                           "/v1/orders",
                           "",
                           { { "Content-Type", "application/json" } },
                           encodeOrder(aOrder) },
                         kOrderTimeout,
                         std::move(events),
                         false);
}

} // namespace marigold::placer
