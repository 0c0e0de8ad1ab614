#include "apps/ctl/gateways.h"

#include "apps/gateway/fleet_records.h"
#include "platform/platform.h"
#include "platform/store_protocol.h"

#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace marigold::ctl {
namespace {

using base::Code;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr base::Duration kStoreTimeout = 5s;
constexpr base::Duration kVmTimeout = 2s;
constexpr int kOk = 200;

} // namespace

base::Result<std::vector<Vm>>
parseVms(const std::vector<std::string>& aAddresses)
{
  std::vector<Vm> vms;
  for (const std::string& text : aAddresses) {
    BOOST_LEAF_AUTO(address, http::parseAddress(text));
    vms.push_back({ text, address });
  }
  return vms;
}

base::Result<Vm>
findVm(const std::vector<Vm>& aVms, const std::string& aName)
{
  for (const Vm& vm : aVms) {
    if (vm.name == aName) {
      return vm;
    }
  }
  return base::fail(Code::NotFound, "no VM is named \"" + aName + "\"");
}

Gateways::Gateways()
  : mClient(mLoop)
{
}

template<typename Value, typename StartCall>
base::Result<Value>
Gateways::runUntilDone(StartCall aStartCall)
{
  std::optional<base::Captured<Value>> outcome;
  aStartCall([&](const base::Captured<Value>& aOutcome) {
    outcome = aOutcome;
    mLoop.stop();
  });
  while (!outcome) {
    mLoop.run();
  }
  if (const base::Error* error = base::errorOf(*outcome)) {
    return base::fail(error->code, error->message);
  }
  return std::get<Value>(*outcome);
}

base::Result<std::vector<Vm>>
Gateways::registered(const std::string& aStore)
{
  BOOST_LEAF_AUTO(address, http::parseAddress(aStore));
  platform::Client store(
    mLoop, address, kStoreTimeout, boundary::storeProtocol());
  BOOST_LEAF_AUTO(snapshot, runUntilDone<platform::Snapshot>([&](auto aDone) {
                    store.list(gateway::kMemberPrefix, aDone);
                  }));
  std::vector<Vm> vms;
  for (const platform::Entry& entry : snapshot.entries) {
    const std::string name =
      entry.key.substr(std::string(gateway::kMemberPrefix).size());
    BOOST_LEAF_AUTO(
      member, gateway::decodeRegistration(name, entry.value.value_or("")));
    vms.push_back({ name, member.operatorAddress });
  }
  return vms;
}

base::Result<json>
Gateways::get(const Vm& aVm, const std::string& aPath)
{
  std::unique_ptr<http::Call> pendingCall;
  return runUntilDone<json>([&](auto aDone) {
    http::CallEvents events;
    events.done = [aDone, &aVm](http::CallEnd aEnd,
                                const http::Response& aAnswer) {
      json content = json::parse(aAnswer.body, nullptr, false);
      if (aEnd != http::CallEnd::Complete || content.is_discarded()) {
        aDone(base::Error{ Code::PlatformUnreachable,
                           aVm.name + " does not answer" });
      } else if (aAnswer.status != kOk) {
        aDone(base::Error{ Code::BadRequest,
                           aVm.name + " refused: " + aAnswer.body });
      } else {
        aDone(std::move(content));
      }
    };
    pendingCall = mClient.start(
      aVm.address, { "GET", aPath, "", {}, "" }, kVmTimeout, std::move(events));
  });
}

base::Result<void>
Gateways::showStatus(const std::vector<Vm>& aVms, std::ostream& aOut)
{
  constexpr int kNameWidth = 24;
  std::size_t silent = 0;
  for (const Vm& vm : aVms) {
    aOut << std::left << std::setw(kNameWidth) << vm.name;
    const auto status = base::capture([&] { return get(vm, "/status"); });
    if (const base::Error* error = base::errorOf(status)) {
      aOut << error->message << "\n";
      ++silent;
      continue;
    }
    const json& content = std::get<json>(status);
    aOut << (content.value("ready", false) ? "ready" : "not ready")
         << (content.value("draining", false) ? ", draining" : "")
         << "  configuration "
         << content.value("configuration", std::uint64_t{ 0 }) << "  fleet "
         << content.value("fleet", std::uint64_t{ 0 })
         << (content.value("owns_orders", false) ? "  owns the orders" : "")
         << "\n";
  }
  if (silent > 0) {
    return base::fail(Code::NotReady,
                      std::to_string(silent) + " VMs do not answer");
  }
  return {};
}

base::Result<void>
Gateways::showDump(const Vm& aVm, std::ostream& aOut)
{
  constexpr int kIndent = 2;
  BOOST_LEAF_AUTO(content, get(aVm, "/dump"));
  aOut << content.dump(kIndent) << "\n";
  return {};
}

} // namespace marigold::ctl
