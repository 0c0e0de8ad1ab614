#include "apps/ctl/commands.h"

#include "identity/identity.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <set>

namespace marigold::ctl {
namespace {

using base::Code;
using documents::Document;
using nlohmann::json;
using namespace std::chrono_literals;

/** Three times the target of 3 s, so that a late VM is named and not missed. */
constexpr base::Duration kConfirmTime = 9s;
constexpr base::Duration kConfirmPause = 200ms;
constexpr std::size_t kKeyBytes = 32;
constexpr int kDumpIndent = 2;

std::string
utcNow()
{
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

base::Result<std::string>
randomBytes()
{
  std::ifstream source("/dev/urandom", std::ios::binary);
  std::string bytes(kKeyBytes, '\0');
  source.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!source) {
    return base::fail(Code::Internal, "no random bytes can be read");
  }
  return bytes;
}

/**
 * Asks every VM until all confirm or the time is over.
 * @return names of the VMs that did not confirm
 */
std::set<std::string>
waitForVms(Session& aSession,
           const std::function<bool(const json&)>& aConfirmed)
{
  std::set<std::string> missing;
  std::vector<Target> open = aSession.targets();
  const base::TimePoint end = base::monotonicNow() + kConfirmTime;
  while (!open.empty()) {
    std::vector<Target> still;
    for (const Target& target : open) {
      const auto status =
        base::capture([&] { return aSession.get(target, "/status"); });
      if (base::errorOf(status) == nullptr &&
          aConfirmed(std::get<json>(status))) {
        std::cout << "confirmed by " << target.name << "\n";
      } else {
        still.push_back(target);
      }
    }
    open = std::move(still);
    if (base::monotonicNow() >= end) {
      break;
    }
    if (!open.empty()) {
      aSession.sleep(kConfirmPause);
    }
  }
  for (const Target& target : open) {
    missing.insert(target.name);
  }
  return missing;
}

base::Result<void>
reportMissing(const std::set<std::string>& aMissing)
{
  if (aMissing.empty()) {
    std::cout << "done: every VM has confirmed\n";
    return {};
  }
  std::string names;
  for (const std::string& name : aMissing) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return base::fail(Code::NotReady, "not confirmed by: " + names);
}

/** Pushes a new document to every VM, so that it does not depend on watches. */
void
pushToVms(Session& aSession, const std::string& aPath, const std::string& aBody)
{
  for (const Target& target : aSession.targets()) {
    const auto outcome =
      base::capture([&] { return aSession.push(target, aPath, aBody); });
    if (const base::Error* error = base::errorOf(outcome)) {
      std::cerr << "push: " << error->message << "\n";
    }
  }
}

bool
hasVersion(const json& aStatus, const Document& aDocument)
{
  return aStatus.contains("versions") &&
         aStatus["versions"].value(aDocument.name, std::uint64_t{ 0 }) >=
           aDocument.version;
}

base::Result<std::vector<identity::KeyRecord>>
recordsOf(const Held& aHeld)
{
  if (aHeld.document.version == 0) {
    return std::vector<identity::KeyRecord>{};
  }
  return identity::decodeKeys(aHeld.document.body);
}

/** Marks a key as withdrawn in the platform. */
base::Result<Document>
recordWithdrawal(Session& aSession, const std::string& aId)
{
  constexpr int kAttempts = 5;
  base::Error last;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kKeys));
    BOOST_LEAF_AUTO(records, recordsOf(held));
    const auto record =
      std::find_if(records.begin(), records.end(), [&](const auto& aRecord) {
        return aRecord.id == aId;
      });
    if (record == records.end()) {
      return base::fail(Code::NotFound, "no key has the id \"" + aId + "\"");
    }
    if (record->withdrawn) {
      return held.document;
    }
    record->withdrawn = true;
    const auto published = base::capture(
      [&] { return aSession.publish(held, identity::encodeKeys(records)); });
    const base::Error* error = base::errorOf(published);
    if (error == nullptr) {
      return std::get<Document>(published);
    }
    last = *error;
    // Another operator changed other keys; a withdrawal must not lose to it.
    if (error->code != Code::RevisionConflict) {
      break;
    }
  }
  return base::fail(last.code, last.message);
}

} // namespace

base::Result<void>
checkManifest(const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_AUTO(manifest, config::parseManifest(text, aFile));
  std::cout << aFile << ": valid; " << manifest.teams.size() << " teams, "
            << manifest.models.size() << " models, " << manifest.services.size()
            << " services\n";
  return {};
}

base::Result<void>
publishManifest(Session& aSession, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_CHECK(config::parseManifest(text, aFile));
  BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kManifest));
  BOOST_LEAF_AUTO(published, aSession.publish(held, text));
  std::cout << "accepted as version " << published.version << "\n";
  return reportMissing(waitForVms(aSession, [&](const json& aStatus) {
    return hasVersion(aStatus, published);
  }));
}

base::Result<void>
showManifest(Session& aSession)
{
  BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kManifest));
  if (held.document.version == 0) {
    return base::fail(Code::NotFound, "no manifest has been published");
  }
  std::cout << "# version " << held.document.version << "\n"
            << held.document.body;
  return {};
}

base::Result<void>
diffManifest(Session& aSession, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_AUTO(after, config::parseManifest(text, aFile));
  BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kManifest));
  config::Manifest before;
  if (held.document.version > 0) {
    BOOST_LEAF_ASSIGN(
      before, config::parseManifest(held.document.body, "manifest in force"));
  }
  for (const std::string& line : config::diffManifests(before, after)) {
    std::cout << line << "\n";
  }
  return {};
}

base::Result<void>
grantKey(Session& aSession, const std::string& aTeam)
{
  BOOST_LEAF_AUTO(manifestHeld, aSession.readDocument(documents::kManifest));
  BOOST_LEAF_AUTO(
    manifest,
    config::parseManifest(manifestHeld.document.body, "manifest in force"));
  if (config::findTeam(manifest, aTeam) == nullptr) {
    return base::fail(Code::NotFound,
                      "the manifest in force declares no team \"" + aTeam +
                        "\"");
  }
  BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kKeys));
  BOOST_LEAF_AUTO(records, recordsOf(held));
  BOOST_LEAF_AUTO(bytes, randomBytes());
  const identity::NewKey key = identity::makeKey(aTeam, bytes, utcNow());
  records.push_back(key.record);
  BOOST_LEAF_AUTO(published,
                  aSession.publish(held, identity::encodeKeys(records)));
  std::cout << "id " << key.record.id << "\nkey " << key.text << "\n";
  return reportMissing(waitForVms(aSession, [&](const json& aStatus) {
    return hasVersion(aStatus, published);
  }));
}

base::Result<void>
withdrawKey(Session& aSession, const std::string& aId)
{
  // The VMs are told first: during an outage of the platform this is the only
  // path, and otherwise the fastest one.
  pushToVms(aSession, "/withdrawals", json::array({ aId }).dump());
  const auto recorded =
    base::capture([&] { return recordWithdrawal(aSession, aId); });
  const base::Error* error = base::errorOf(recorded);
  if (error == nullptr) {
    std::cout << "recorded in the platform\n";
  } else {
    std::cerr << "not recorded in the platform: " << error->message << "\n";
  }
  const auto missing = waitForVms(aSession, [&](const json& aStatus) {
    const auto ids = aStatus.value("withdrawn", std::vector<std::string>{});
    return std::find(ids.begin(), ids.end(), aId) != ids.end();
  });
  if (error != nullptr) {
    return base::fail(error->code,
                      "the key is withdrawn only at the VMs named above; run "
                      "this again when the platform answers");
  }
  return reportMissing(missing);
}

base::Result<void>
listKeys(Session& aSession)
{
  BOOST_LEAF_AUTO(held, aSession.readDocument(documents::kKeys));
  BOOST_LEAF_AUTO(records, recordsOf(held));
  for (const identity::KeyRecord& record : records) {
    std::cout << record.id << "  " << record.team << "  "
              << (record.withdrawn ? "withdrawn" : "valid") << "  granted "
              << record.grantedAt << "\n";
  }
  return {};
}

base::Result<void>
showStatus(Session& aSession)
{
  constexpr int kNameWidth = 24;
  std::size_t silent = 0;
  for (const Target& target : aSession.targets()) {
    std::cout << std::left << std::setw(kNameWidth) << target.name;
    const auto status =
      base::capture([&] { return aSession.get(target, "/status"); });
    if (base::errorOf(status) != nullptr) {
      std::cout << "does not answer\n";
      ++silent;
      continue;
    }
    const json& content = std::get<json>(status);
    std::cout << (content.value("ready", false) ? "ready" : "not ready") << "  "
              << content.value("situation", "") << "  versions "
              << content["versions"].dump() << "  platform heard "
              << content.value("platform_age_ms", std::int64_t{ 0 })
              << " ms ago\n";
  }
  if (silent > 0) {
    return base::fail(Code::NotReady,
                      std::to_string(silent) + " VMs do not answer");
  }
  return {};
}

base::Result<void>
dumpVm(Session& aSession, const std::string& aVm)
{
  for (const Target& target : aSession.targets()) {
    if (target.name == aVm || target.address.text() == aVm) {
      BOOST_LEAF_AUTO(content, aSession.get(target, "/dump"));
      std::cout << content.dump(kDumpIndent) << "\n";
      return {};
    }
  }
  return base::fail(Code::NotFound, "no entry VM is named \"" + aVm + "\"");
}

} // namespace marigold::ctl
