#include "apps/ctl/session.h"

#include <optional>

namespace marigold::ctl {
namespace {

using base::Code;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr base::Duration kPlatformTimeout = 5s;
constexpr base::Duration kVmTimeout = 2s;

/** Reads after a lost answer; the platform may be recovering meanwhile. */
constexpr int kReadBackAttempts = 10;
constexpr base::Duration kReadBackPause = 500ms;

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

template<typename Value, typename Start>
base::Result<Value>
Session::wait(Start aStart)
{
  std::optional<base::Captured<Value>> outcome;
  aStart([&](const base::Captured<Value>& aOutcome) {
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

base::Result<Held>
Session::readDocument(std::string_view aName)
{
  const std::string name(aName);
  const auto entry = base::capture([&] {
    return wait<platform::Entry>(
      [&](auto aDone) { mPlatform.read(name, aDone); });
  });
  if (const base::Error* error = base::errorOf(entry)) {
    if (error->code == Code::NotFound) {
      return Held{ { name, 0, "" }, 0 };
    }
    return base::fail(error->code, error->message);
  }
  const auto& held = std::get<platform::Entry>(entry);
  BOOST_LEAF_AUTO(document, documents::decode(held.value.value_or("")));
  return Held{ document, held.revision };
}

base::Result<documents::Document>
Session::publish(const Held& aBefore, const std::string& aBody)
{
  const documents::Document next{ aBefore.document.name,
                                  aBefore.document.version + 1,
                                  aBody };
  const auto written = base::capture([&] {
    return wait<platform::Revision>([&](auto aDone) {
      mPlatform.write(
        next.name, documents::encode(next), aBefore.revision, "", aDone);
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
    const auto held = base::capture([&] { return readDocument(next.name); });
    if (base::errorOf(held) != nullptr) {
      sleep(kReadBackPause);
      continue;
    }
    const documents::Document& now = std::get<Held>(held).document;
    if (now == next) {
      return next;
    }
    if (now.version < next.version) {
      return base::fail(error->code,
                        "the write did not take effect; version " +
                          std::to_string(now.version) + " stays in force");
    }
    return base::fail(Code::RevisionConflict,
                      "another operator published version " +
                        std::to_string(now.version) +
                        " first; nothing of this change is in force");
  }
  return base::fail(Code::WriteOutcomeUnknown,
                    "the answer to the write was lost and the platform cannot "
                    "be read; show the document before you try again");
}

std::vector<Target>
Session::targets()
{
  std::vector<Target> targets;
  const auto text = base::capture([&] {
    return wait<std::string>([&](auto aDone) { mPlatform.listVms(aDone); });
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
        targets.push_back({ vm.name, std::get<http::Address>(address) });
      }
    }
  }
  if (targets.empty()) {
    for (const http::Address& address : mSettings.vms) {
      targets.push_back({ address.text(), address });
    }
  }
  return targets;
}

base::Result<json>
Session::call(const Target& aTarget, const http::Request& aRequest)
{
  std::unique_ptr<http::Call> running;
  return wait<json>([&](auto aDone) {
    http::CallEvents events;
    events.done = [aDone, &aTarget](http::CallEnd aEnd,
                                    const http::Response& aAnswer) {
      const json content = json::parse(aAnswer.body, nullptr, false);
      if (aEnd != http::CallEnd::Complete || content.is_discarded()) {
        aDone(base::Error{ Code::PlatformUnreachable,
                           aTarget.name + " does not answer" });
      } else if (aAnswer.status != 200) {
        aDone(base::Error{ Code::BadRequest,
                           aTarget.name + " refused: " + aAnswer.body });
      } else {
        aDone(content);
      }
    };
    running =
      mClient.start(aTarget.address, aRequest, kVmTimeout, std::move(events));
  });
}

base::Result<json>
Session::get(const Target& aTarget, const std::string& aPath)
{
  return call(aTarget, { "GET", aPath, "", {}, "" });
}

base::Result<json>
Session::push(const Target& aTarget,
              const std::string& aPath,
              const std::string& aBody)
{
  const std::string signature =
    base::toHex(base::hmacSha256(mSettings.operatorKey, aBody));
  return call(
    aTarget,
    { "POST", aPath, "", { { "X-Operator-Signature", signature } }, aBody });
}

void
Session::sleep(base::Duration aTime)
{
  const http::EventHandle timer = mLoop.after(aTime, [this] { mLoop.stop(); });
  mLoop.run();
}

} // namespace marigold::ctl
