#include "standins/engine/engine_service.h"

#include "observe/observe.h"

#include <algorithm>
#include <cstdlib>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr base::Duration kSnapshotPeriod = std::chrono::milliseconds(25);
constexpr base::Duration kLeaveCheckPeriod = std::chrono::milliseconds(10);
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
residenceName(Residence aResidence)
{
  switch (aResidence) {
    case Residence::Loading:
      return "loading";
    case Residence::Ready:
      return "ready";
    case Residence::Unloading:
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
  const auto op = orderOp(content.value("op", ""));
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
  , mServer(aLoop,
            {},
            [this](const http::Request& aRequest, const Out& aOut) {
              handle(aRequest, aOut);
            })
  , mIncarnation(static_cast<std::uint64_t>(
      base::monotonicNow().time_since_epoch().count()))
{
  loadInitial();
  takeSnapshot();
  if (mOptions.reportLag > base::Duration::zero()) {
    mSnapshotTimer = mLoop.every(kSnapshotPeriod, [this] { takeSnapshot(); });
  }
}

base::Result<void>
EngineService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

void
EngineService::loadInitial()
{
  for (const InitialModel& model : mOptions.resident) {
    const ModelVersion name{ model.name, model.version };
    mAccelerator.startModel(name, model.memoryMb);
    mAccelerator.mark(name, "", Residence::Ready);
    for (const std::string& adapter : model.adapters) {
      mAccelerator.startAdapter(name, adapter, 0);
      mAccelerator.mark(name, adapter, Residence::Ready);
    }
  }
}

void
EngineService::leave()
{
  mChats.setLeaving(true);
  const base::TimePoint earliest = base::monotonicNow() + mOptions.leaveTime;
  mLeaveTimer = mLoop.every(kLeaveCheckPeriod, [this, earliest] {
    if (mChats.idle() && mServer.openRequests() == 0 &&
        base::monotonicNow() >= earliest) {
      mLoop.stop();
    }
  });
}

void
EngineService::handle(const http::Request& aRequest, const Out& aOut)
{
  const std::string& path = aRequest.path;
  if (path == "/v1/chat/completions") {
    mChats.start(aRequest, aOut);
  } else if (path == "/v1/report") {
    aOut->reply(observe::jsonAnswer(200, laggingReport()));
  } else if (path == "/v1/orders") {
    handleOrder(aRequest, aOut);
  } else if (path == "/v1/cache/events") {
    handleCacheEvents(aRequest, aOut);
  } else if (aRequest.method == "DELETE" && path.starts_with(kRequestsPath)) {
    const bool found = mChats.cancel(path.substr(kRequestsPath.size()));
    aOut->reply(observe::jsonAnswer(found ? 200 : 404, json::object()));
  } else if (path == "/control") {
    handleControl(aRequest, aOut);
  } else if (path == "/_memory") {
    aOut->reply(observe::jsonAnswer(200, memory()));
  } else if (path == "/_ran") {
    aOut->reply(observe::jsonAnswer(200, mRecord.entries()));
  } else {
    aOut->reply(observe::jsonAnswer(404, { { "error", "no such path" } }));
  }
}

void
EngineService::handleOrder(const http::Request& aRequest, const Out& aOut)
{
  const std::optional<Order> order = readOrder(aRequest.body);
  if (!order || order->id.empty()) {
    aOut->reply(observe::jsonAnswer(400, { { "error", "malformed order" } }));
    return;
  }
  const OrderReply reply = mOrders.accept(*order, base::monotonicNow());
  advanceOrders();
  if (reply.silent) {
    aOut->abort();
    return;
  }
  aOut->reply(
    observe::jsonAnswer(reply.status, { { "fence", mOrders.fence() } }));
}

void
EngineService::advanceOrders()
{
  const base::TimePoint now = base::monotonicNow();
  mOrders.advance(mChats.batch(), now);
  for (const Order& order : mOrders.takeFetches()) {
    fetch(order);
  }
  for (const std::string& model : mOrders.takeUnloaded()) {
    mChats.cache().drop(model, now);
  }
  reportOvercommit();
  const auto due = mOrders.due();
  if (!due) {
    mOrderTimer.reset();
    return;
  }
  mOrderTimer = mLoop.after(std::max(base::Duration::zero(), *due - now),
                            [this] { advanceOrders(); });
}

void
EngineService::reportOvercommit()
{
  if (mAccelerator.overcommits() == mOvercommitsLogged) {
    return;
  }
  mOvercommitsLogged = mAccelerator.overcommits();
  // The log outlives a process that is killed before anyone asks it.
  observe::logError("memory overcommitted",
                    { { "used_mb", std::to_string(mAccelerator.usedMb()) },
                      { "memory_mb", std::to_string(mOptions.memoryMb) } });
}

void
EngineService::fetch(const Order& aOrder)
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
    mOrders.fetched(id, delivered, base::monotonicNow());
    advanceOrders();
  };
  mFetches[aOrder.id] =
    mClient.start(*mOptions.weights, request, kFetchTimeout, std::move(events));
}

void
EngineService::handleControl(const http::Request& aRequest, const Out& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object()) {
    aOut->reply(observe::jsonAnswer(400, { { "error", "not an object" } }));
    return;
  }
  // items() refers to its object, which therefore has to outlive the loop.
  const json faults = content.value("faults", json::object());
  for (const auto& [name, count] : faults.items()) {
    const auto fault = faultNamed(name);
    if (!fault) {
      aOut->reply(observe::jsonAnswer(400, { { "error", "unknown fault" } }));
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
  aOut->reply(observe::jsonAnswer(200, json::object()));
}

void
EngineService::handleCacheEvents(const http::Request& aRequest, const Out& aOut)
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
  aOut->reply(
    observe::jsonAnswer(200, { { "next", next }, { "events", events } }));
}

json
EngineService::residents() const
{
  json resident = json::array();
  for (const auto& [name, model] : mAccelerator.models()) {
    // A load in progress is shown by its order and by used_mb.
    if (model.residence == Residence::Loading) {
      continue;
    }
    json adapters = json::array();
    for (const auto& [adapter, state] : model.adapters) {
      if (state.residence != Residence::Loading) {
        adapters.push_back({ { "name", adapter },
                             { "memory_mb", state.memoryMb },
                             { "state", residenceName(state.residence) } });
      }
    }
    resident.push_back({ { "model", name.first },
                         { "version", name.second },
                         { "memory_mb", model.memoryMb },
                         { "state", residenceName(model.residence) },
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
           { "sequence", mReports },
           { "state", mChats.leaving() ? "leaving" : "live" },
           { "memory_mb", mOptions.memoryMb },
           { "used_mb", mAccelerator.usedMb() },
           { "running", batch.running() },
           { "queued", batch.waiting() },
           { "capacity", batch.capacity() },
           { "fence", mOrders.fence() },
           { "role", mOrders.role() },
           { "resident", residents() },
           { "orders", orders } };
}

json
EngineService::takeSnapshot()
{
  ++mReports;
  const base::TimePoint now = base::monotonicNow();
  mSnapshots.push_back({ now, report() });
  // The newest one that is old enough stays in front.
  while (mSnapshots.size() > 1 &&
         mSnapshots[1].takenAt + mOptions.reportLag <= now) {
    mSnapshots.pop_front();
  }
  return mSnapshots.back().content;
}

json
EngineService::laggingReport()
{
  if (mOptions.reportLag == base::Duration::zero()) {
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
