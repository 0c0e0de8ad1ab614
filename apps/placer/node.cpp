#include "apps/placer/node.h"

#include "config/config.h"

#include <csignal>
#include <nlohmann/json.hpp>

namespace marigold::placer {
namespace {

using base::Captured;
using base::Code;
using nlohmann::json;
using placement::Call;
using namespace std::chrono_literals;

constexpr base::Duration kTick = 100ms;
constexpr base::Duration kPollPeriod = 500ms;

/** A manifest is in force within 3 s; the placer takes part of that. */
constexpr base::Duration kConfigurationPeriod = 1500ms;

/** A placer whose orders never settle stops anyway; its successor finds them in
 * the ledger. */
constexpr base::Duration kLongestStop = 10s;

/** Differs for each run of the process on a VM. */
std::string
runName(const base::VmName& aVm)
{
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  return aVm + "/placer/" +
         std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(started)
             .count());
}

const char*
roleName(placement::Role aRole)
{
  switch (aRole) {
    case placement::Role::Standby:
      return "standby";
    case placement::Role::Claiming:
      return "claiming";
    case placement::Role::Owner:
      return "owner";
    case placement::Role::Stopped:
      return "stopped";
  }
  return "";
}

std::string
nameOf(const placement::Item& aItem)
{
  return aItem.model + "@" + aItem.version +
         (aItem.adapter.empty() ? "" : ":" + aItem.adapter);
}

} // namespace

Node::Node(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mPlatform(mLoop, mSettings.platform, mSettings.platformTimeout)
  , mEngines(mLoop,
             [this](const base::UpstreamName& aEngine,
                    const placement::Report& aReport) {
               mOwner->onReport(aEngine, aReport);
             })
  , mDemand(mLoop)
  , mOperator(mLoop, mMetrics)
{
}

base::Result<void>
Node::run()
{
  placement::OwnerSettings owner = mSettings.owner;
  owner.self = runName(mSettings.vm);
  BOOST_LEAF_AUTO(strategy, placement::makeStrategy(mSettings.strategy));
  mOwner = std::make_unique<placement::Owner>(owner, std::move(strategy));
  serveOperators();
  BOOST_LEAF_CHECK(mOperator.listen(mSettings.operatorAddress));
  mTick = mLoop.every(kTick, [this] { tick(); });
  mPoll = mLoop.every(kPollPeriod, [this] {
    mEngines.poll();
    mDemand.poll();
  });
  mConfigurationPoll = mLoop.every(kConfigurationPeriod, [this] {
    readManifest();
    readList();
  });
  readManifest();
  readList();
  const http::EventHandle term = mLoop.onSignal(SIGTERM, [this] {
    observe::logInfo("resigning after SIGTERM");
    mStopping = true;
    mStopBy = base::monotonicNow() + kLongestStop;
    mOwner->resign();
  });
  observe::logInfo("placer process started",
                   { { "vm", mSettings.vm },
                     { "data_centre", mSettings.dataCentre },
                     { "strategy", mSettings.strategy } });
  mLoop.run();
  observe::logInfo("placer process stopped");
  return {};
}

void
Node::tick()
{
  const base::TimePoint now = base::monotonicNow();
  const placement::Role before = mOwner->role();
  mOwner->addDemand(mDemand.take(now));
  perform(mOwner->tick(now));
  if (mOwner->role() != before) {
    observe::logInfo("role changed", { { "role", roleName(mOwner->role()) } });
  }
  if (mStopping &&
      (mOwner->role() == placement::Role::Stopped || now >= mStopBy)) {
    mLoop.stop();
  }
}

void
Node::perform(const placement::Actions& aActions)
{
  for (const placement::Order& order : aActions.orders) {
    mEngines.send(order);
    mMetrics
      .counter("marigold_placement_orders_total",
               "Orders sent to engines.",
               { { "op",
                   order.op == placement::Op::Load     ? "load"
                   : order.op == placement::Op::Unload ? "unload"
                                                       : "fence" } })
      .Increment();
  }
  if (aActions.call) {
    call(*aActions.call);
  }
}

void
Node::answer(const placement::PlatformAnswer& aAnswer)
{
  const placement::Role before = mOwner->role();
  perform(mOwner->onPlatform(aAnswer, base::monotonicNow()));
  if (mOwner->role() != before) {
    observe::logInfo("role changed", { { "role", roleName(mOwner->role()) } });
  }
}

void
Node::call(const placement::PlatformCall& aCall)
{
  const std::string holder = "placer/" + mSettings.dataCentre;
  const std::string ledger = "orders/" + mSettings.dataCentre;
  const auto lease = [this](const Captured<std::string>& aResult) {
    const base::Error* error = base::errorOf(aResult);
    answer({ error ? error->code : Code::Ok,
             error ? "" : std::get<std::string>(aResult),
             0 });
  };
  const auto written = [this](const Captured<platform::Revision>& aResult) {
    const base::Error* error = base::errorOf(aResult);
    answer({ error ? error->code : Code::Ok,
             "",
             error ? 0 : std::get<platform::Revision>(aResult) });
  };
  const auto read = [this](const Captured<platform::Entry>& aResult) {
    if (const base::Error* error = base::errorOf(aResult)) {
      answer({ error->code, "", 0 });
      return;
    }
    const auto& entry = std::get<platform::Entry>(aResult);
    answer({ Code::Ok, entry.value.value_or(""), entry.revision });
  };
  switch (aCall.call) {
    case Call::GrantLease:
      mPlatform.grantLease(mSettings.owner.leaseTerm, lease);
      break;
    case Call::RenewLease:
      mPlatform.renewLease(aCall.lease, lease);
      break;
    case Call::RevokeLease:
      mPlatform.revokeLease(aCall.lease, lease);
      break;
    case Call::ReadHolder:
      mPlatform.read(holder, read);
      break;
    case Call::ReadLedger:
      mPlatform.read(ledger, read);
      break;
    case Call::WriteHolder:
      mPlatform.write(holder, aCall.value, 0, aCall.lease, written);
      break;
    case Call::WriteLedger:
      mPlatform.write(ledger, aCall.value, aCall.expected, "", written);
      break;
  }
}

void
Node::readManifest()
{
  if (mReadingManifest) {
    return;
  }
  mReadingManifest = true;
  mPlatform.read(std::string(documents::kManifest),
                 [this](const Captured<platform::Entry>& aResult) {
                   mReadingManifest = false;
                   if (base::errorOf(aResult) != nullptr) {
                     return;
                   }
                   applyManifest(
                     std::get<platform::Entry>(aResult).value.value_or(""));
                 });
}

void
Node::applyManifest(const std::string& aText)
{
  const auto outcome = base::capture([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(document, documents::decode(aText));
    if (document.version <= mManifestVersion) {
      return {};
    }
    BOOST_LEAF_AUTO(manifest, config::parseManifest(document.body, "manifest"));
    placement::Declarations declared;
    for (const config::Model& model : manifest.models) {
      declared[{ model.name, "" }] = { model.version, model.memoryMb };
      for (const config::Adapter& adapter : model.adapters) {
        declared[{ model.name, adapter.name }] = { model.version,
                                                   adapter.memoryMb };
      }
    }
    mManifestVersion = document.version;
    mOwner->setDeclared(std::move(declared));
    return {};
  });
  if (const base::Error* error = base::errorOf(outcome)) {
    observe::logWarn("manifest of the platform refused",
                     { { "problem", error->message } });
  }
}

void
Node::readList()
{
  if (mReadingList) {
    return;
  }
  mReadingList = true;
  mPlatform.listVms([this](const Captured<std::string>& aResult) {
    mReadingList = false;
    if (base::errorOf(aResult) != nullptr) {
      return;
    }
    const auto list = base::capture(
      [&] { return platform::decodeVmList(std::get<std::string>(aResult)); });
    if (base::errorOf(list) == nullptr) {
      applyList(std::get<membership::VmList>(list));
    }
  });
}

void
Node::applyList(const membership::VmList& aList)
{
  std::map<base::UpstreamName, http::Address> engines;
  std::map<base::VmName, http::Address> entries;
  mListed.clear();
  for (const membership::Vm& vm : aList.vms) {
    const bool isEngine = vm.role == membership::Role::Engine;
    const bool isEntry = vm.role == membership::Role::Entry;
    const auto address = base::capture([&] {
      return http::parseAddress(isEngine ? vm.address : vm.operatorAddress);
    });
    if (vm.dataCentre != mSettings.dataCentre || (!isEngine && !isEntry) ||
        base::errorOf(address) != nullptr) {
      continue;
    }
    if (isEntry) {
      entries[vm.name] = std::get<http::Address>(address);
    } else if (!vm.leaving) {
      engines[vm.name] = std::get<http::Address>(address);
      mListed.push_back({ vm.name, vm.memoryMb, vm.honoursFencing });
    }
  }
  mEngines.setEngines(std::move(engines));
  mDemand.setEntries(std::move(entries));
  mOwner->setEngines(mListed);
}

void
Node::serveOperators()
{
  mOperator.setReadinessCheck([this] { return !mStopping; });
  mOperator.setStatusReport([this] { return status(); });
  mOperator.addDumpSection("status", [this] { return status(); });
  mOperator.addDumpSection("placement", [this] { return dump(); });
}

json
Node::status() const
{
  return { { "vm", mSettings.vm },
           { "data_centre", mSettings.dataCentre },
           { "role", roleName(mOwner->role()) },
           { "manifest_version", mManifestVersion },
           { "platform_calls",
             { { "reads", mPlatform.counts().reads },
               { "writes", mPlatform.counts().writes },
               { "failures", mPlatform.counts().failures } } } };
}

json
Node::dump() const
{
  json orders = json::array();
  for (const placement::Record& record : mOwner->records()) {
    orders.push_back({ { "id", record.order.id },
                       { "fence", record.order.fence },
                       { "engine", record.order.engine },
                       { "item", nameOf(record.order.item) },
                       { "memory_mb", record.order.memoryMb },
                       { "sent", record.sent },
                       { "open", record.open } });
  }
  json accounts = json::object();
  for (const placement::Engine& engine : mListed) {
    accounts[engine.name] = { { "account_mb", mOwner->accountMb(engine.name) },
                              { "memory_mb", engine.memoryMb } };
  }
  json draining = json::array();
  for (const placement::Place& place : mOwner->draining()) {
    draining.push_back(place.engine + " " + nameOf(place.item));
  }
  return { { "orders", orders },
           { "engines", accounts },
           { "draining", draining } };
}

} // namespace marigold::placer
