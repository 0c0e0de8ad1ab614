#include "apps/gateway/start_reader.h"

#include "apps/gateway/fleet_records.h"
#include "observe/log.h"

namespace marigold::gateway {
namespace {

using namespace std::chrono_literals;

/** Pause after a peer failed or the registrations named none. */
constexpr base::Duration kPause = 100ms;

} // namespace

StartReader::StartReader(http::Loop& aLoop,
                         platform::Client& aClient,
                         const Settings& aSettings,
                         WatchRelay& aRelay,
                         std::uint64_t aSeed)
  : mLoop(aLoop)
  , mClient(aClient)
  , mSettings(aSettings)
  , mRelay(aRelay)
  , mSeed(aSeed)
{
}

void
StartReader::start(PrefixWatch& aRegistrations,
                   std::vector<PrefixWatch*> aOthers)
{
  mWaiting = { &aRegistrations };
  mLater = std::move(aOthers);
  aRegistrations.mirrorChanged().connect(
    [this, &aRegistrations] { beginLater(aRegistrations.mirror().all()); });
  readRegistrations();
}

void
StartReader::beginLater(const platform::Snapshot& aRegistrations)
{
  if (mLater.empty()) {
    return;
  }
  takeLater();
  if (mMembers.empty()) {
    // Others may have registered and read the store meanwhile.
    mSource.reset();
    learnPeers(aRegistrations);
  }
  if (mMembers.empty()) {
    startAtStore();
    return;
  }
  proceed();
}

void
StartReader::takeLater()
{
  mWaiting.insert(mWaiting.end(), mLater.begin(), mLater.end());
  mLater.clear();
}

void
StartReader::readRegistrations()
{
  mClient.list(
    Fleet::kMemberPrefix,
    [this](const base::Captured<platform::Snapshot>& aResult) {
      if (const base::Error* error = base::errorOf(aResult)) {
        observe::logWarn("registrations not read",
                         { { "error", error->message } });
        takeLater();
        startAtStore();
        return;
      }
      learnPeers(std::get<platform::Snapshot>(aResult));
      proceed();
    },
    "whom to ask",
    platform::Freshness::MaybeOld);
}

void
StartReader::learnPeers(const platform::Snapshot& aRegistrations)
{
  const std::string prefix = Fleet::kMemberPrefix;
  std::vector<peers::RelayCandidate> candidates{ { mSettings.vm,
                                                   mSettings.capacity } };
  mMembers.clear();
  for (const platform::Entry& entry : aRegistrations.entries) {
    if (!entry.key.starts_with(prefix)) {
      continue;
    }
    const base::VmName vm = entry.key.substr(prefix.size());
    const auto decoded = base::capture(
      [&] { return decodeRegistration(vm, entry.value.value_or("")); });
    const auto* member = std::get_if<Member>(&decoded);
    if (member != nullptr && vm != mSettings.vm &&
        member->dataCentre == mSettings.dataCentre) {
      mMembers[vm] = *member;
      candidates.push_back({ vm, member->capacity });
    }
  }
  if (!mSource) {
    mSource.emplace(mSettings.vm, base::monotonicNow(), mSeed);
  }
  mSource->setRanking(peers::rankRelays(std::move(candidates)));
}

void
StartReader::proceed()
{
  const auto step = mSource->next(base::monotonicNow());
  if (step == peers::StartSource::Step::ReadRegistrations) {
    mTimer = mLoop.after(kPause, [this] { readRegistrations(); });
    return;
  }
  if (step == peers::StartSource::Step::ReadStore) {
    if (!mMembers.empty()) {
      takeLater();
    } // Else the others may be read at peers that the first one shows.
    startAtStore();
    return;
  }
  for (PrefixWatch* watch : std::exchange(mWaiting, {})) {
    begin(*watch);
  }
}

void
StartReader::startAtStore()
{
  for (PrefixWatch* watch : std::exchange(mWaiting, {})) {
    watch->start();
  }
}

void
StartReader::begin(PrefixWatch& aWatch)
{
  const base::VmName peer = mSource->peer();
  aWatch.startAt(mRelay.client(mMembers.at(peer)), [this, &aWatch, peer] {
    mSource->onFailed(peer);
    mWaiting.push_back(&aWatch);
    mTimer = mLoop.after(kPause, [this] { proceed(); });
  });
}

} // namespace marigold::gateway
