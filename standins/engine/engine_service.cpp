#include "standins/engine/engine_service.h"

#include "observe/observe.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr base::Duration kSnapshotPeriod = std::chrono::milliseconds(25);
constexpr base::Duration kDrainCheckPeriod = std::chrono::milliseconds(10);
constexpr base::Duration kFetchTimeout = std::chrono::minutes(10);
constexpr std::string_view kRequestsPath = "/v1/requests/";

const char*
stateName(OrderState aState)
{
  switch (aState) {
    case OrderState::Pending:
      return "pending";
    case OrderState::Done:
      return "done";
    case OrderState::Failed:
      return "failed";
  }
  return "";
}

const char*
residencyStateName(ResidencyState aResidency)
{
  switch (aResidency) {
    case ResidencyState::Loading:
      return "loading";
    case ResidencyState::Ready:
      return "ready";
    case ResidencyState::Unloading:
      return "unloading";
  }
  return "";
}

std::optional<Order>
readOrder(const std::string& aBody)
{
  const json content = json::parse(aBody, nullptr, false);
  if (!content.is_object()) {
    return std::nullopt;
  }
  const auto op = parseOrderOp(content.value("op", ""));
  if (!op) {
    return std::nullopt;
  }
  Order order;
  order.id = content.value("id", "");
  order.fence = content.value("fence", std::uint64_t{ 0 });
  order.op = *op;
  order.model = content.value("model", "");
  order.version = content.value("version", "");
  order.adapter = content.value("adapter", "");
  order.role = content.value("role", "");
  order.memoryMb = content.value("memory_mb", 0);
  return order;
}

} // namespace

EngineService::EngineService(http::Loop& aLoop, EngineOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mAccelerator(mOptions.memoryMb)
  , mRecord(mOptions.recordFile)
  , mOrders(mOptions.orders, mAccelerator)
  , mChats(aLoop, mOptions.chat, mAccelerator, mRecord)
  , mClient(aLoop)
  , mServer(
      aLoop,
      {},
      [this](const http::Request& aRequest, const ResponderPtr& aResponder) {
        handle(aRequest, aResponder);
      })
  , mIncarnation(static_cast<std::uint64_t>(
      base::monotonicNow().time_since_epoch().count()))
{
  loadInitialModels();
  takeSnapshot();
  if (mOptions.reportDelay > base::Duration::zero()) {
    mSnapshotTimer = mLoop.every(kSnapshotPeriod, [this] { takeSnapshot(); });
  }
}

base::Result<void>
EngineService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
EngineService::loadInitialModels()
{
  for (const InitialModel& model : mOptions.resident) {
    const ModelVersion name{ model.name, model.version };
    mAccelerator.allocateModel(name, model.memoryMb);
    mAccelerator.setState(name, "", ResidencyState::Ready);
    for (const std::string& adapter : model.adapters) {
      mAccelerator.allocateAdapter(name, adapter, 0);
      mAccelerator.setState(name, adapter, ResidencyState::Ready);
    }
  }
}

void
EngineService::drain()
{
  mChats.setLeaving(true);
  const base::TimePoint earliest = base::monotonicNow() + mOptions.minDrainTime;
  mDrainTimer = mLoop.every(kDrainCheckPeriod, [this, earliest] {
    if (mChats.idle() && mServer.openRequests() == 0 &&
        base::monotonicNow() >= earliest) {
      mLoop.stop();
    }
  });
}

void
EngineService::handle(const http::Request& aRequest,
                      const ResponderPtr& aResponder)
{
  const std::string& path = aRequest.path;
  if (path == "/v1/chat/completions") {
    mChats.start(aRequest, aResponder);
  } else if (path == "/v1/report") {
    aResponder->reply(observe::jsonAnswer(200, delayedReport()));
  } else if (path == "/v1/orders") {
    handleOrder(aRequest, aResponder);
  } else if (path == "/v1/cache/events") {
    handleCacheEvents(aRequest, aResponder);
  } else if (aRequest.method == "DELETE" && path.starts_with(kRequestsPath)) {
    const bool found = mChats.cancel(path.substr(kRequestsPath.size()));
    aResponder->reply(observe::jsonAnswer(found ? 200 : 404, json::object()));
  } else if (path == "/control") {
    handleControl(aRequest, aResponder);
  } else if (path == "/_memory") {
    aResponder->reply(observe::jsonAnswer(200, memory()));
  } else if (path == "/_ran") {
    aResponder->reply(observe::jsonAnswer(200, mRecord.entries()));
  } else {
    aResponder->reply(
      observe::jsonAnswer(404, { { "error", "no such path" } }));
  }
}

void
EngineService::handleOrder(const http::Request& aRequest,
                           const ResponderPtr& aResponder)
{
  const std::optional<Order> order = readOrder(aRequest.body);
  if (!order || order->id.empty()) {
    aResponder->reply(
      observe::jsonAnswer(400, { { "error", "malformed order" } }));
    return;
  }
  const OrderReply reply = mOrders.accept(*order, base::monotonicNow());
  advanceOrders();
  if (reply.dropsConnection) {
    aResponder->abort();
    return;
  }
  aResponder->reply(
    observe::jsonAnswer(reply.status, { { "fence", mOrders.fence() } }));
}

void
EngineService::advanceOrders()
{
  const base::TimePoint now = base::monotonicNow();
  mOrders.advance(mChats.batch(), now);
  for (const Order& order : mOrders.takePendingFetches()) {
    fetchWeights(order);
  }
  for (const std::string& model : mOrders.takeUnloadedModels()) {
    mChats.cache().evictModel(model, now);
  }
  logNewOvercommits();
  const auto due = mOrders.nextDueTime();
  if (!due) {
    mOrderTimer.reset();
    return;
  }
  mOrderTimer = mLoop.after(std::max(base::Duration::zero(), *due - now),
                            [this] { advanceOrders(); });
}

void
EngineService::logNewOvercommits()
{
  if (mAccelerator.overcommits() == mOvercommitsLogged) {
    return;
  }
  mOvercommitsLogged = mAccelerator.overcommits();
  // Logged because the counter is lost if the process is killed before a test
  // reads it.
  observe::logError("memory overcommitted",
                    { { "used_mb", std::to_string(mAccelerator.usedMb()) },
                      { "memory_mb", std::to_string(mOptions.memoryMb) } });
}

void
EngineService::fetchWeights(const Order& aOrder)
{
  http::Request request;
  request.method = "POST";
  request.path = "/v1/fetch";
  request.body = json{
    { "model", aOrder.model },
    { "version", aOrder.version },
    { "adapter", aOrder.adapter },
    { "memory_mb", aOrder.memoryMb }
  }.dump();
  http::CallEvents events;
  events.done = [this, id = aOrder.id](http::CallEnd aEnd,
                                       const http::Response& aAnswer) {
    const auto ended = std::move(mFetches[id]);
    mFetches.erase(id);
    const bool delivered =
      aEnd == http::CallEnd::Complete && aAnswer.status == 200;
    mOrders.onWeightsFetched(id, delivered, base::monotonicNow());
    advanceOrders();
  };
  mFetches[aOrder.id] =
    mClient.start(*mOptions.weights, request, kFetchTimeout, std::move(events));
}

void
EngineService::handleControl(const http::Request& aRequest,
                             const ResponderPtr& aResponder)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object()) {
    aResponder->reply(
      observe::jsonAnswer(400, { { "error", "not an object" } }));
    return;
  }
  // items() refers to the object, which must outlive the loop.
  const json faults = content.value("faults", json::object());
  for (const auto& [name, count] : faults.items()) {
    const auto fault = parseFault(name);
    if (!fault) {
      aResponder->reply(
        observe::jsonAnswer(400, { { "error", "unknown fault" } }));
      return;
    }
    mChats.faults().set(*fault, count);
  }
  if (content.contains("orders")) {
    const json& orders = content["orders"];
    mOrders.setFaults(
      { orders.value("lose", 0),
        orders.value("late", 0),
        orders.value("twice", 0),
        std::chrono::milliseconds(orders.value("late_ms", 2000)) });
  }
  if (content.contains("state")) {
    mChats.setLeaving(content["state"] == "leaving");
  }
  aResponder->reply(observe::jsonAnswer(200, json::object()));
}

void
EngineService::handleCacheEvents(const http::Request& aRequest,
                                 const ResponderPtr& aResponder)
{
  std::uint64_t next = std::strtoull(
    http::queryValue(aRequest.query, "after").c_str(), nullptr, 10);
  json events = json::array();
  for (const CacheEvent& event :
       mChats.cache().events(next, base::monotonicNow())) {
    events.push_back({ { "sequence", event.sequence },
                       { "op", event.add ? "add" : "evict" },
                       { "prefix", event.prefix } });
    next = event.sequence;
  }
  aResponder->reply(
    observe::jsonAnswer(200, { { "next", next }, { "events", events } }));
}

json
EngineService::residentModelsJson() const
{
  json resident = json::array();
  for (const auto& [name, model] : mAccelerator.models()) {
    // A load in progress is reported by its order and by used_mb.
    if (model.residency == ResidencyState::Loading) {
      continue;
    }
    json adapters = json::array();
    for (const auto& [adapter, state] : model.adapters) {
      if (state.residency != ResidencyState::Loading) {
        adapters.push_back(
          { { "name", adapter },
            { "memory_mb", state.memoryMb },
            { "state", residencyStateName(state.residency) } });
      }
    }
    resident.push_back({ { "model", name.first },
                         { "version", name.second },
                         { "memory_mb", model.memoryMb },
                         { "state", residencyStateName(model.residency) },
                         { "adapters", adapters } });
  }
  return resident;
}

json
EngineService::report() const
{
  json orders = json::array();
  for (const OrderRecord& order : mOrders.records()) {
    orders.push_back(
      { { "id", order.id }, { "state", stateName(order.state) } });
  }
  const Batch& batch = mChats.batch();
  return { { "incarnation", mIncarnation },
           { "sequence", mReportSequence },
           { "state", mChats.leaving() ? "leaving" : "live" },
           { "memory_mb", mOptions.memoryMb },
           { "used_mb", mAccelerator.usedMb() },
           { "running", batch.running() },
           { "queued", batch.waiting() },
           { "capacity", batch.capacity() },
           { "fence", mOrders.fence() },
           { "role", mOrders.role() },
           { "resident", residentModelsJson() },
           { "orders", orders } };
}

json
EngineService::takeSnapshot()
{
  ++mReportSequence;
  const base::TimePoint now = base::monotonicNow();
  mSnapshots.push_back({ now, report() });
  // Keeps the newest snapshot of at least the configured age at the front.
  while (mSnapshots.size() > 1 &&
         mSnapshots[1].takenAt + mOptions.reportDelay <= now) {
    mSnapshots.pop_front();
  }
  return mSnapshots.back().content;
}

json
EngineService::delayedReport()
{
  if (mOptions.reportDelay == base::Duration::zero()) {
    return takeSnapshot();
  }
  return mSnapshots.front().content;
}

json
EngineService::memory() const
{
  return { { "memory_mb", mAccelerator.memoryMb() },
           { "used_mb", mAccelerator.usedMb() },
           { "highest_mb", mAccelerator.highestMb() },
           { "overcommits", mAccelerator.overcommits() },
           { "loads", mAccelerator.loads() } };
}

} // namespace marigold::standin
