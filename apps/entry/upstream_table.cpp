#include "apps/entry/upstream_table.h"

#include "observe/observe.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigold::entry {
namespace {

using nlohmann::json;

constexpr base::Duration kPollPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kPollTimeout = std::chrono::seconds(1);

/** Weight of the newest request in the mean time of an upstream. */
constexpr double kNewestWeight = 0.1;

} // namespace

UpstreamTable::UpstreamTable(http::Loop& aLoop, http::Client& aClient)
  : mLoop(aLoop)
  , mClient(aClient)
{
}

void
UpstreamTable::start()
{
  mPoll = mLoop.every(kPollPeriod, [this] { poll(); });
}

void
UpstreamTable::update(const membership::VmList& aList)
{
  std::map<base::UpstreamName, Upstream> updated;
  mEntryVms = static_cast<int>(std::count_if(
    aList.vms.begin(), aList.vms.end(), [](const membership::Vm& aVm) {
      return aVm.role == membership::Role::Entry && !aVm.leaving;
    }));
  for (const membership::Vm& vm : aList.vms) {
    const auto address =
      base::capture([&] { return http::parseAddress(vm.address); });
    if (vm.role == membership::Role::Entry ||
        base::errorOf(address) != nullptr) {
      continue;
    }
    const auto known = mUpstreams.find(vm.name);
    Upstream upstream;
    if (known != mUpstreams.end()) {
      upstream = std::move(known->second);
    }
    upstream.vm = vm;
    upstream.address = std::get<http::Address>(address);
    updated.emplace(vm.name, std::move(upstream));
  }
  mUpstreams = std::move(updated);
  poll();
  mFreed.emit();
}

Upstream*
UpstreamTable::find(const base::UpstreamName& aName)
{
  const auto found = mUpstreams.find(aName);
  return found == mUpstreams.end() ? nullptr : &found->second;
}

void
UpstreamTable::onSent(const base::UpstreamName& aName)
{
  if (Upstream* upstream = find(aName)) {
    ++upstream->inflight;
    upstream->health.onSent(base::monotonicNow());
  }
}

void
UpstreamTable::onEnded(const base::UpstreamName& aName, bool aConnected)
{
  Upstream* upstream = find(aName);
  if (upstream == nullptr) {
    return;
  }
  const base::TimePoint now = base::monotonicNow();
  upstream->inflight = std::max(0, upstream->inflight - 1);
  if (aConnected) {
    upstream->health.onConnected();
    mFreed.emit();
    return;
  }
  upstream->health.onFailure(now);
  if (upstream->health.ejected(now)) {
    observe::logWarn("upstream ejected after failed connections",
                     { { "upstream", aName } });
  }
}

void
UpstreamTable::onCompleted(const base::UpstreamName& aName,
                           base::Duration aTime,
                           double aCost)
{
  Upstream* upstream = find(aName);
  if (upstream == nullptr) {
    return;
  }
  const bool first = upstream->meanTime == base::Duration::zero();
  const double mean =
    base::inSeconds(first ? aTime : upstream->meanTime) * (1 - kNewestWeight) +
    base::inSeconds(aTime) * kNewestWeight;
  upstream->meanTime = base::fromSeconds(mean);
  upstream->meanCost =
    first ? aCost
          : upstream->meanCost * (1 - kNewestWeight) + aCost * kNewestWeight;
}

void
UpstreamTable::onNotResident(const base::UpstreamName& aName,
                             const base::ModelName& aModel,
                             const std::string& aAdapter)
{
  Upstream* upstream = find(aName);
  if (upstream == nullptr) {
    return;
  }
  const auto found = upstream->resident.find(aModel);
  if (found == upstream->resident.end()) {
    return;
  }
  if (aAdapter.empty()) {
    upstream->resident.erase(found);
  } else {
    std::erase(found->second.adapters, aAdapter);
  }
}

void
UpstreamTable::poll()
{
  for (auto& [name, upstream] : mUpstreams) {
    if (upstream.vm.role != membership::Role::Engine || mCalls[name]) {
      continue;
    }
    upstream.inflightAtPoll = upstream.inflight;
    pollCacheEvents(name, upstream.address);
    http::CallEvents events;
    events.done = [this, upstreamName = name](http::CallEnd aEnd,
                                              const http::Response& aAnswer) {
      const auto ended = std::move(mCalls[upstreamName]);
      if (aEnd == http::CallEnd::Complete && aAnswer.status == 200) {
        read(upstreamName, aAnswer);
      }
    };
    mCalls[name] = mClient.start(upstream.address,
                                 { "GET", "/v1/report", "", {}, "" },
                                 kPollTimeout,
                                 std::move(events));
  }
}

void
UpstreamTable::read(const base::UpstreamName& aName,
                    const http::Response& aAnswer)
{
  Upstream* upstream = find(aName);
  const json content = json::parse(aAnswer.body, nullptr, false);
  if (upstream == nullptr || !content.is_object()) {
    return;
  }
  try {
    std::map<base::ModelName, ResidentModel> resident;
    for (const json& item : content.at("resident")) {
      if (item.value("state", "ready") != "ready") {
        continue;
      }
      ResidentModel& model = resident[item.at("model")];
      model.version = item.at("version");
      for (const json& adapter : item.at("adapters")) {
        if (adapter.value("state", "ready") == "ready") {
          model.adapters.push_back(adapter.at("name"));
        }
      }
    }
    const std::uint64_t incarnation = content.at("incarnation");
    if (upstream->incarnation != incarnation) {
      upstream->others = {};
      mPrefixes.forget(aName);
    }
    const std::uint64_t sequence = content.at("sequence");
    const bool newer = !upstream->reported || upstream->sequence != sequence ||
                       upstream->incarnation != incarnation;
    upstream->incarnation = incarnation;
    upstream->running = content.at("running");
    upstream->queued = content.at("queued");
    upstream->capacity = std::max(1, content.at("capacity").get<int>());
    upstream->resident = std::move(resident);
    upstream->reported = true;
    if (newer) {
      upstream->sequence = sequence;
      upstream->reportedAt = base::monotonicNow();
      upstream->others.onReport(upstream->running + upstream->queued,
                                upstream->inflightAtPoll);
    }
    mFreed.emit();
  } catch (const json::exception& wrong) {
    observe::logWarn("malformed report of an upstream ignored",
                     { { "upstream", aName }, { "problem", wrong.what() } });
  }
}

void
UpstreamTable::pollCacheEvents(const base::UpstreamName& aName,
                               const http::Address& aAddress)
{
  if (mEventCalls[aName]) {
    return;
  }
  http::CallEvents events;
  events.done = [this, aName](http::CallEnd aEnd,
                              const http::Response& aAnswer) {
    const auto ended = std::move(mEventCalls[aName]);
    if (aEnd == http::CallEnd::Complete && aAnswer.status == 200) {
      readCacheEvents(aName, aAnswer);
    }
  };
  const std::string after = std::to_string(mPrefixes.sequence(aName));
  mEventCalls[aName] =
    mClient.start(aAddress,
                  { "GET", "/v1/cache/events", "after=" + after, {}, "" },
                  kPollTimeout,
                  std::move(events));
}

void
UpstreamTable::readCacheEvents(const base::UpstreamName& aName,
                               const http::Response& aAnswer)
{
  const json content = json::parse(aAnswer.body, nullptr, false);
  if (!content.is_object() || !content.contains("events")) {
    return;
  }
  try {
    std::vector<routing::CacheEvent> events;
    for (const json& item : content.at("events")) {
      events.push_back(
        { item.at("sequence"), item.at("op") == "add", item.at("prefix") });
    }
    mPrefixes.onEvents(aName, std::move(events), base::monotonicNow());
  } catch (const json::exception& wrong) {
    observe::logWarn("malformed cache events of an upstream ignored",
                     { { "upstream", aName }, { "problem", wrong.what() } });
  }
}

json
UpstreamTable::dump() const
{
  const base::TimePoint now = base::monotonicNow();
  json upstreams = json::object();
  for (const auto& [name, upstream] : mUpstreams) {
    json resident = json::object();
    for (const auto& [model, state] : upstream.resident) {
      resident[model] = state.version;
    }
    upstreams[name] = { { "data_centre", upstream.vm.dataCentre },
                        { "ejected", upstream.health.ejected(now) },
                        { "inflight", upstream.inflight },
                        { "running", upstream.running },
                        { "resident", resident },
                        { "report_age_ms",
                          upstream.reported ? json(base::inMilliseconds(
                                                now - upstream.reportedAt))
                                            : json() } };
  }
  return upstreams;
}

} // namespace marigold::entry
