#include "apps/placer/demand_poll.h"

#include "observe/observe.h"

#include <nlohmann/json.hpp>

namespace marigold::placer {
namespace {

using nlohmann::json;

constexpr base::Duration kPollTimeout = std::chrono::seconds(1);

/** An entry process that is silent for that long has no waiting callers. */
constexpr base::Duration kForgetAfter = std::chrono::seconds(5);

} // namespace

DemandPoll::DemandPoll(http::Loop& aLoop)
  : mClient(aLoop)
{
}

void
DemandPoll::setEntries(std::map<base::VmName, http::Address> aEntries)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return !aEntries.contains(aEntry.first);
  });
  for (const auto& [name, address] : aEntries) {
    mEntries[name].address = address;
  }
}

void
DemandPoll::poll()
{
  for (auto& [vm, entry] : mEntries) {
    if (entry.call) {
      continue;
    }
    http::CallEvents events;
    events.done = [this, name = vm](http::CallEnd aEnd,
                                    const http::Response& aAnswer) {
      Entry& answered = mEntries.at(name);
      const auto ended = std::move(answered.call);
      if (aEnd != http::CallEnd::Complete || aAnswer.status != 200) {
        return;
      }
      const json content = json::parse(aAnswer.body, nullptr, false);
      try {
        read(answered, content);
      } catch (const json::exception& wrong) {
        observe::logWarn("malformed demand of an entry process ignored",
                         { { "vm", name }, { "problem", wrong.what() } });
      }
    };
    entry.call = mClient.start(entry.address,
                               { "GET", "/demand", "", {}, "" },
                               kPollTimeout,
                               std::move(events));
  }
}

void
DemandPoll::read(Entry& aEntry, const json& aContent)
{
  const base::TimePoint now = base::monotonicNow();
  for (const json& row : aContent.at("demand")) {
    const placement::ItemName item{ row.at("model"), row.at("adapter") };
    const std::uint64_t arrived = row.at("arrived");
    std::uint64_t& before = aEntry.arrived[item];
    placement::Demand& demand = aEntry.demand[item];
    // The counter starts anew with the entry process; what came before this
    // placer is no news either.
    if (aEntry.heard && arrived > before) {
      demand.requests += static_cast<double>(arrived - before);
    }
    before = arrived;
    demand.waiting = row.at("waiting");
    demand.oldestDeadline =
      now + std::chrono::milliseconds(row.at("deadline_ms").get<int>());
  }
  aEntry.heard = true;
  aEntry.heardAt = now;
}

placement::DemandByItem
DemandPoll::take(base::TimePoint aNow)
{
  placement::DemandByItem sum;
  for (auto& [vm, entry] : mEntries) {
    const bool silent = aNow - entry.heardAt > kForgetAfter;
    for (auto& [item, demand] : entry.demand) {
      placement::Demand& total = sum[item];
      const int waiting = silent ? 0 : demand.waiting;
      if (waiting > 0 && (total.waiting == 0 ||
                          demand.oldestDeadline < total.oldestDeadline)) {
        total.oldestDeadline = demand.oldestDeadline;
      }
      total.waiting += waiting;
      total.requests += demand.requests;
      demand.requests = 0;
      if (!item.adapter.empty()) {
        // A caller of an adapter needs the model as well.
        placement::Demand& model = sum[{ item.model, "" }];
        model.waiting += waiting;
      }
    }
  }
  return sum;
}

} // namespace marigold::placer
