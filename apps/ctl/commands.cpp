#include "apps/ctl/commands.h"

#include "identity/identity.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

namespace marigold::ctl {
namespace {

using base::Code;
using documents::Document;
using nlohmann::json;
using namespace std::chrono_literals;

/** Three times the 3 s target for applying a change, so that late VMs are still
 * seen and listed by name. */
constexpr base::Duration kConfirmTimeout = 9s;
constexpr base::Duration kConfirmPollInterval = 200ms;
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
 * Polls the status of every entry VM until all confirm or the timeout expires.
 * @return names of the VMs that did not confirm
 */
std::set<std::string>
waitForConfirmations(Session& aSession,
                     const std::function<bool(const json&)>& aConfirmed)
{
  std::set<std::string> unconfirmed;
  std::vector<EntryVm> pending = aSession.entryVms();
  const base::TimePoint end = base::monotonicNow() + kConfirmTimeout;
  while (!pending.empty()) {
    std::vector<EntryVm> stillPending;
    for (const EntryVm& vm : pending) {
      const auto status =
        base::capture([&] { return aSession.get(vm, "/status"); });
      if (base::errorOf(status) == nullptr &&
          aConfirmed(std::get<json>(status))) {
        std::cout << "confirmed by " << vm.name << "\n";
      } else {
        stillPending.push_back(vm);
      }
    }
    pending = std::move(stillPending);
    if (base::monotonicNow() >= end) {
      break;
    }
    if (!pending.empty()) {
      aSession.sleep(kConfirmPollInterval);
    }
  }
  for (const EntryVm& vm : pending) {
    unconfirmed.insert(vm.name);
  }
  return unconfirmed;
}

base::Result<void>
reportUnconfirmed(const std::set<std::string>& aUnconfirmed)
{
  if (aUnconfirmed.empty()) {
    std::cout << "done: every VM has confirmed\n";
    return {};
  }
  std::string names;
  for (const std::string& name : aUnconfirmed) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return base::fail(Code::NotReady, "not confirmed by: " + names);
}

/** Pushes content to every entry VM directly, independently of the watches on
 * the platform. Failed pushes are printed only. */
void
pushToVms(Session& aSession, const std::string& aPath, const std::string& aBody)
{
  for (const EntryVm& vm : aSession.entryVms()) {
    const auto outcome =
      base::capture([&] { return aSession.push(vm, aPath, aBody); });
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
decodeKeyRecords(const StoredDocument& aStored)
{
  if (aStored.document.version == 0) {
    return std::vector<identity::KeyRecord>{};
  }
  return identity::decodeKeys(aStored.document.body);
}

/** Marks a key as withdrawn in the platform; retries on revision conflicts. */
base::Result<Document>
recordWithdrawal(Session& aSession, const std::string& aId)
{
  constexpr int kAttempts = 5;
  base::Error last;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kKeys));
    BOOST_LEAF_AUTO(records, decodeKeyRecords(stored));
    const auto record =
      std::find_if(records.begin(), records.end(), [&](const auto& aRecord) {
        return aRecord.id == aId;
      });
    if (record == records.end()) {
      return base::fail(Code::NotFound, "no key has the id \"" + aId + "\"");
    }
    if (record->withdrawn) {
      return stored.document;
    }
    record->withdrawn = true;
    const auto published = base::capture(
      [&] { return aSession.publish(stored, identity::encodeKeys(records)); });
    const base::Error* error = base::errorOf(published);
    if (error == nullptr) {
      return std::get<Document>(published);
    }
    last = *error;
    // Another operator changed the keys concurrently: retries on the new
    // revision, because a withdrawal must not be lost.
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
  BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kManifest));
  BOOST_LEAF_AUTO(published, aSession.publish(stored, text));
  std::cout << "accepted as version " << published.version << "\n";
  return reportUnconfirmed(
    waitForConfirmations(aSession, [&](const json& aStatus) {
      return hasVersion(aStatus, published);
    }));
}

base::Result<void>
showManifest(Session& aSession)
{
  BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kManifest));
  if (stored.document.version == 0) {
    return base::fail(Code::NotFound, "no manifest has been published");
  }
  std::cout << "# version " << stored.document.version << "\n"
            << stored.document.body;
  return {};
}

base::Result<void>
diffManifest(Session& aSession, const std::string& aFile)
{
  BOOST_LEAF_AUTO(text, config::readFile(aFile));
  BOOST_LEAF_AUTO(after, config::parseManifest(text, aFile));
  BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kManifest));
  config::Manifest before;
  if (stored.document.version > 0) {
    BOOST_LEAF_ASSIGN(
      before, config::parseManifest(stored.document.body, "manifest in force"));
  }
  for (const std::string& line : config::diffManifests(before, after)) {
    std::cout << line << "\n";
  }
  return {};
}

base::Result<void>
grantKey(Session& aSession, const std::string& aTeam)
{
  BOOST_LEAF_AUTO(storedManifest, aSession.readDocument(documents::kManifest));
  BOOST_LEAF_AUTO(
    manifest,
    config::parseManifest(storedManifest.document.body, "manifest in force"));
  if (config::findTeam(manifest, aTeam) == nullptr) {
    return base::fail(Code::NotFound,
                      "the manifest in force declares no team \"" + aTeam +
                        "\"");
  }
  BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kKeys));
  BOOST_LEAF_AUTO(records, decodeKeyRecords(stored));
  BOOST_LEAF_AUTO(bytes, randomBytes());
  const identity::NewKey key = identity::makeKey(aTeam, bytes, utcNow());
  records.push_back(key.record);
  BOOST_LEAF_AUTO(published,
                  aSession.publish(stored, identity::encodeKeys(records)));
  std::cout << "id " << key.record.id << "\nkey " << key.text << "\n";
  return reportUnconfirmed(
    waitForConfirmations(aSession, [&](const json& aStatus) {
      return hasVersion(aStatus, published);
    }));
}

base::Result<void>
withdrawKey(Session& aSession, const std::string& aId)
{
  // Pushes to the VMs first: this is the fastest path, and the only one during
  // an outage of the platform.
  pushToVms(aSession, "/withdrawals", json::array({ aId }).dump());
  const auto recorded =
    base::capture([&] { return recordWithdrawal(aSession, aId); });
  const base::Error* error = base::errorOf(recorded);
  if (error == nullptr) {
    std::cout << "recorded in the platform\n";
  } else {
    std::cerr << "not recorded in the platform: " << error->message << "\n";
  }
  const auto unconfirmed =
    waitForConfirmations(aSession, [&](const json& aStatus) {
      const auto ids = aStatus.value("withdrawn", std::vector<std::string>{});
      return std::find(ids.begin(), ids.end(), aId) != ids.end();
    });
  if (error != nullptr) {
    return base::fail(error->code,
                      "the key is withdrawn only at the VMs named above; run "
                      "this again when the platform answers");
  }
  return reportUnconfirmed(unconfirmed);
}

base::Result<void>
listKeys(Session& aSession)
{
  BOOST_LEAF_AUTO(stored, aSession.readDocument(documents::kKeys));
  BOOST_LEAF_AUTO(records, decodeKeyRecords(stored));
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
  std::size_t unreachable = 0;
  for (const EntryVm& vm : aSession.entryVms()) {
    std::cout << std::left << std::setw(kNameWidth) << vm.name;
    const auto status =
      base::capture([&] { return aSession.get(vm, "/status"); });
    if (base::errorOf(status) != nullptr) {
      std::cout << "does not answer\n";
      ++unreachable;
      continue;
    }
    const json& content = std::get<json>(status);
    std::cout << (content.value("ready", false) ? "ready" : "not ready") << "  "
              << content.value("situation", "") << "  versions "
              << content["versions"].dump() << "  platform last reached "
              << content.value("platform_age_ms", std::int64_t{ 0 })
              << " ms ago\n";
  }
  if (unreachable > 0) {
    return base::fail(Code::NotReady,
                      std::to_string(unreachable) + " VMs do not answer");
  }
  return {};
}

base::Result<void>
dumpVm(Session& aSession, const std::string& aVm)
{
  for (const EntryVm& vm : aSession.entryVms()) {
    if (vm.name == aVm || vm.address.text() == aVm) {
      BOOST_LEAF_AUTO(content, aSession.get(vm, "/dump"));
      std::cout << content.dump(kDumpIndent) << "\n";
      return {};
    }
  }
  return base::fail(Code::NotFound, "no entry VM is named \"" + aVm + "\"");
}

} // namespace marigold::ctl
