#include "apps/ctl/session.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace marigold::ctl {
namespace {

using base::Code;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr base::Duration kPlatformTimeout = 5s;
constexpr base::Duration kVmTimeout = 2s;

/** Reads after a write whose outcome is unknown; repeated because the platform
 * may still be recovering. */
constexpr int kReadBackAttempts = 10;
constexpr base::Duration kReadBackInterval = 500ms;

} // namespace

base::Result<Settings>
readSettings(const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  return config::parseChecked(
    text, aFile, Code::SettingsInvalid, [](config::CheckedNode& aRoot) {
      Settings settings;
      settings.platform = aRoot.require("platform").address();
      settings.operatorKey = aRoot.require("operator_key").text();
      if (aRoot.has("vms")) {
        for (const config::CheckedNode& vm : aRoot.require("vms").items()) {
          settings.vms.push_back(vm.address());
        }
      }
      return settings;
    });
}

Session::Session(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mClient(mLoop)
  , mPlatform(mLoop, mSettings.platform, kPlatformTimeout)
{
}

template<typename Value, typename StartCall>
base::Result<Value>
Session::runUntilDone(StartCall aStartCall)
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

base::Result<StoredDocument>
Session::readDocument(std::string_view aName)
{
  const std::string name(aName);
  const auto entry = base::capture([&] {
    return runUntilDone<platform::Entry>(
      [&](auto aDone) { mPlatform.read(name, aDone); });
  });
  if (const base::Error* error = base::errorOf(entry)) {
    if (error->code == Code::NotFound) {
      return StoredDocument{ { name, 0, "" }, 0 };
    }
    return base::fail(error->code, error->message);
  }
  const auto& stored = std::get<platform::Entry>(entry);
  BOOST_LEAF_AUTO(document,
                  documents::decode(stored.value.value_or("").text()));
  return StoredDocument{ document, stored.revision };
}

base::Result<documents::Document>
Session::publish(const StoredDocument& aPrevious, const std::string& aBody)
{
  const documents::Document next{ aPrevious.document.name,
                                  aPrevious.document.version + 1,
                                  aBody };
  const auto written = base::capture([&] {
    return runUntilDone<platform::Revision>([&](auto aDone) {
      mPlatform.write(
        next.name, documents::encode(next), aPrevious.revision, "", aDone);
    });
  });
  const base::Error* error = base::errorOf(written);
  if (error == nullptr) {
    return next;
  }
  if (error->code != Code::WriteOutcomeUnknown &&
      error->code != Code::RevisionConflict) {
    return base::fail(error->code, error->message);
  }
  // The write may have taken effect although its answer did not arrive.
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    const auto stored = base::capture([&] { return readDocument(next.name); });
    if (base::errorOf(stored) != nullptr) {
      sleep(kReadBackInterval);
      continue;
    }
    const documents::Document& current =
      std::get<StoredDocument>(stored).document;
    if (current == next) {
      return next;
    }
    if (current.version < next.version) {
      return base::fail(error->code,
                        "the write did not take effect; version " +
                          std::to_string(current.version) + " stays in force");
    }
    return base::fail(Code::RevisionConflict,
                      "another operator published version " +
                        std::to_string(current.version) +
                        " first; nothing of this change is in force");
  }
  return base::fail(Code::WriteOutcomeUnknown,
                    "the answer to the write was lost and the platform cannot "
                    "be read; show the document before you try again");
}

std::vector<EntryVm>
Session::entryVms()
{
  std::vector<EntryVm> entryVms;
  const auto text = base::capture([&] {
    return runUntilDone<std::string>(
      [&](auto aDone) { mPlatform.listVms(aDone); });
  });
  const auto list = base::capture([&]() -> base::Result<membership::VmList> {
    if (const base::Error* error = base::errorOf(text)) {
      return base::fail(error->code, error->message);
    }
    return platform::decodeVmList(std::get<std::string>(text));
  });
  if (base::errorOf(list) == nullptr) {
    for (const membership::Vm& vm : std::get<membership::VmList>(list).vms) {
      const auto address =
        base::capture([&] { return http::parseAddress(vm.operatorAddress); });
      if (vm.role == membership::Role::Entry &&
          base::errorOf(address) == nullptr) {
        entryVms.push_back({ vm.name, std::get<http::Address>(address) });
      }
    }
  }
  if (entryVms.empty()) {
    for (const http::Address& address : mSettings.vms) {
      entryVms.push_back({ address.text(), address });
    }
  }
  return entryVms;
}

base::Result<json>
Session::call(const EntryVm& aVm, const http::Request& aRequest)
{
  std::unique_ptr<http::Call> pendingCall;
  return runUntilDone<json>([&](auto aDone) {
    http::CallEvents events;
    events.done = [aDone, &aVm](http::CallEnd aEnd,
                                const http::Response& aAnswer) {
      const json content = json::parse(aAnswer.body, nullptr, false);
      if (aEnd != http::CallEnd::Complete || content.is_discarded()) {
        aDone(base::Error{ Code::PlatformUnreachable,
                           aVm.name + " does not answer" });
      } else if (aAnswer.status != 200) {
        aDone(base::Error{ Code::BadRequest,
                           aVm.name + " refused: " + aAnswer.body });
      } else {
        aDone(content);
      }
    };
    pendingCall =
      mClient.start(aVm.address, aRequest, kVmTimeout, std::move(events));
  });
}

base::Result<json>
Session::get(const EntryVm& aVm, const std::string& aPath)
{
  return call(aVm, { "GET", aPath, "", {}, "" });
}

base::Result<json>
Session::push(const EntryVm& aVm,
              const std::string& aPath,
              const std::string& aBody)
{
  const std::string signature =
    base::toHex(base::hmacSha256(mSettings.operatorKey, aBody));
  return call(
    aVm,
    { "POST", aPath, "", { { "X-Operator-Signature", signature } }, aBody });
}

void
Session::sleep(base::Duration aDuration)
{
  const http::EventHandle timer =
    mLoop.after(aDuration, [this] { mLoop.stop(); });
  mLoop.run();
}

} // namespace marigold::ctl
