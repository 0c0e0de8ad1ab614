#include "apps/entry/upstream_table.h"

#include "observe/observe.h"

#include <algorithm>

namespace marigold::entry {
namespace {

using nlohmann::json;

constexpr base::Duration kPollPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kPollTimeout = std::chrono::seconds(1);

/** Two, because one failure may be a connection that was just being closed. */
constexpr int kFailuresToEject = 2;
constexpr base::Duration kFirstBackOff = std::chrono::seconds(1);
constexpr int kMaxBackOffDoublings = 4;

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
    // The list lags, so it may still show as live what has said it leaves.
    upstream.leaving = upstream.leaving || vm.leaving;
    updated.emplace(vm.name, std::move(upstream));
  }
  mUpstreams = std::move(updated);
  poll();
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
    ++upstream->sentSinceReport;
  }
}

void
UpstreamTable::onEnded(const base::UpstreamName& aName, bool aConnected)
{
  Upstream* upstream = find(aName);
  if (upstream == nullptr) {
    return;
  }
  upstream->inflight = std::max(0, upstream->inflight - 1);
  if (aConnected) {
    upstream->failures = 0;
    return;
  }
  ++upstream->failures;
  if (upstream->failures >= kFailuresToEject) {
    const int doublings =
      std::min(upstream->failures - kFailuresToEject, kMaxBackOffDoublings);
    upstream->ejectedUntil =
      base::monotonicNow() + kFirstBackOff * (1 << doublings);
    observe::logWarn("upstream ejected after failed connections",
                     { { "upstream", aName },
                       { "failures", std::to_string(upstream->failures) } });
  }
}

void
UpstreamTable::onLeaving(const base::UpstreamName& aName)
{
  if (Upstream* upstream = find(aName)) {
    upstream->leaving = true;
  }
}

void
UpstreamTable::poll()
{
  for (const auto& [name, upstream] : mUpstreams) {
    if (upstream.vm.role != membership::Role::Engine || mCalls[name]) {
      continue;
    }
    http::CallEvents events;
    events.done = [this, upstreamName = name](http::CallEnd aEnd,
                                              const http::Answer& aAnswer) {
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
                    const http::Answer& aAnswer)
{
  Upstream* upstream = find(aName);
  const json content = json::parse(aAnswer.body, nullptr, false);
  if (upstream == nullptr || !content.is_object()) {
    return;
  }
  try {
    std::map<base::ModelName, ResidentModel> resident;
    for (const json& item : content.at("resident")) {
      ResidentModel& model = resident[item.at("model")];
      model.version = item.at("version");
      for (const json& adapter : item.at("adapters")) {
        model.adapters.push_back(adapter.at("name"));
      }
    }
    const std::uint64_t incarnation = content.at("incarnation");
    // A new engine process does not inherit that the old one was leaving.
    upstream->leaving =
      content.at("state") == "leaving" || upstream->vm.leaving ||
      (upstream->leaving && upstream->incarnation == incarnation);
    upstream->incarnation = incarnation;
    upstream->running = content.at("running");
    upstream->queued = content.at("queued");
    upstream->capacity = std::max(1, content.at("capacity").get<int>());
    upstream->resident = std::move(resident);
    upstream->reported = true;
    upstream->reportedAt = base::monotonicNow();
    upstream->sentSinceReport = 0;
  } catch (const json::exception& wrong) {
    observe::logWarn("malformed report of an upstream ignored",
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
                        { "leaving", upstream.leaving },
                        { "ejected", upstream.ejectedUntil > now },
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
