#include "watch_scenario.h"

#include "platform/boundary.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

const http::Address kStoreAddress{ "10.0.0.1", 80 };
const http::Address kRelayAddress{ "10.0.0.2", 80 };
constexpr const char* kPrefix = "p/";
/** Content of each value, in base64. Values are told apart by revision. */
constexpr const char* kValue = "AAAA";
constexpr std::size_t kKeys = 2;
constexpr std::size_t kMaxCalls = 4; ///< that actions can name

/** Timeout of calls to the store, as in gateway.cpp. */
constexpr base::Duration kStoreTimeout = 1200ms;
/** Timeout of calls to a relay and time without those to one that failed, as
 * in watch_relay.cpp. */
constexpr base::Duration kRelayTimeout = 500ms;
constexpr base::Duration kRelayFailedPeriod = 1s;
constexpr base::Duration kStoreDelay = 300ms;
/** Time in which a change of the configuration is in force. */
constexpr base::Duration kLimit = 2500ms;
/** Time without trouble after which that holds. */
constexpr base::Duration kContact = 4s;
/** Shortest time between a refusal of the store and the next call to it, half
 * of the first delay of prefix_watch.cpp. */
constexpr base::Duration kMinBackoff = 50ms;
/** Time for a relay to get what this VM has. */
constexpr base::Duration kCatchUp = 300ms;
constexpr base::Duration kPause = 20ms;
constexpr base::Duration kLate = 300ms;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

std::string
keyName(std::size_t aNumber)
{
  return kPrefix + std::to_string(aNumber);
}

std::uint64_t
queryNumber(const http::Request& aRequest, const char* aName)
{
  return base::parseNumber(http::queryValue(aRequest.query, aName)).value_or(0);
}

bool
isWatch(const http::Request& aRequest)
{
  return !http::queryValue(aRequest.query, "wait_ms").empty();
}

bool
isSynchronization(const http::Request& aRequest)
{
  return http::queryValue(aRequest.query, "wait_ms") == "0";
}

/** @return a row of an answer of the store, or of a relay */
json
makeRow(const StoreContent::Change& aChange, bool aAtRelay)
{
  json row{ { "key", aChange.key }, { "revision", aChange.revision } };
  if (aAtRelay) {
    row["value"] = aChange.value ? json(*aChange.value) : json();
  } else if (aChange.value) {
    row["value"] = *aChange.value;
  } else {
    row["compacted"] = true;
  }
  return row;
}

/** @return what a relay sends to a reader that takes patches: each key once, as
 * a patch of the value that the reader has if the history tells its revision */
json
makePatchedRows(const StoreContent& aContent, std::uint64_t aAfter)
{
  std::map<std::string, StoreContent::Change> known; // by the reader
  std::map<std::string, StoreContent::Change> latest;
  for (const StoreContent::Change& change : aContent.history) {
    (change.revision > aAfter ? latest : known)[change.key] = change;
  }
  json rows = json::array();
  for (const auto& [key, change] : latest) {
    json row = makeRow(change, true);
    const auto base = known.find(key);
    if (change.value && base != known.end() && base->second.value) {
      row.erase("value");
      row["base"] = base->second.revision;
      row["patches"] = { { { "parts", { *change.value } },
                           { "hash", base::hash64(*change.value) } } };
    }
    rows.push_back(row);
  }
  return rows;
}

} // namespace

/** A kind of action: when it is possible and what it does. */
struct WatchScenario::Kind
{
  const char* name;
  std::size_t targets;
  bool (WatchScenario::*possible)(std::size_t) const;
  void (WatchScenario::*run)(std::size_t);
};

const std::vector<WatchScenario::Kind>&
WatchScenario::kinds()
{
  using Self = WatchScenario;
  static const std::vector<Kind> kKinds{
    { "answer", kMaxCalls, &Self::canAnswer, &Self::answer },
    { "take", kMaxCalls, &Self::canAnswer, &Self::take },
    { "deliver", kMaxCalls, &Self::canDeliver, &Self::deliver },
    { "break", kMaxCalls, &Self::isPending, &Self::breakCall },
    { "refuse", kMaxCalls, &Self::canRefuse, &Self::refuse },
    { "silence", 1, &Self::canSilence, &Self::silence },
    { "write", kKeys, &Self::canWrite, &Self::write },
    { "remove", kKeys, &Self::canRemove, &Self::remove },
    { "compact", 1, &Self::canCompact, &Self::compact },
    { "copy", 1, &Self::canCopy, &Self::copy },
    { "restore", 1, &Self::canRestore, &Self::restore },
    { "relay", 1, &Self::canElectRelay, &Self::electRelay },
    { "update", 1, &Self::canUpdateRelay, &Self::updateRelay },
    { "relist", 1, &Self::canRelist, &Self::relist },
    { "leases", 1, &Self::canHaveLeases, &Self::haveLeases },
    { "synchronize", 1, &Self::canSynchronize, &Self::synchronize },
    { "wait", 1, &Self::canWait, &Self::wait },
    { "late", 1, &Self::canBeLate, &Self::beLate },
  };
  return kKinds;
}

WatchScenario::WatchScenario()
  : mStoreClient(mLoop, kStoreAddress, kStoreTimeout, boundary::storeProtocol())
  , mRelayClient(mLoop, kRelayAddress, kRelayTimeout)
  , mWatch(mLoop,
           mStoreClient,
           kPrefix,
           kPause,
           platform::maxWatchWait(kLimit, kStoreTimeout),
           { [this](const platform::Snapshot& aAll) { showSnapshot(aAll); },
             [this](const platform::Entry& aEntry) { showChange(aEntry); },
             [] {},
             [](const base::Error&) {} })
{
  mWorld.advance(kContact); // Times of zero mean "never".
  mDisturbedAt = mWorld.now();
  mStore.apply(keyName(0), kValue);
  mStore.compact();
  mRelay = mStore;
  mWatch.setRelays(
    { [this] {
       const bool usable = mRelayElected && mWorld.now() >= mRelayFailedUntil;
       return usable ? &mRelayClient : nullptr;
     },
      [this](const platform::Client&) {
        requireTimeToCatchUp();
        mRelayFailedUntil = mWorld.now() + kRelayFailedPeriod;
      },
      [this] { return mRelayElected ? kStoreDelay : base::Duration{}; } });
  mWatch.start();
}

bool
WatchScenario::isPossible(const Kind& aKind, std::size_t aTarget) const
{
  return aTarget < aKind.targets && (this->*aKind.possible)(aTarget);
}

std::vector<Action>
WatchScenario::enabled() const
{
  std::vector<Action> actions;
  for (const Kind& kind : kinds()) {
    for (std::size_t target = 0; target < kind.targets; ++target) {
      if (isPossible(kind, target)) {
        actions.push_back({ kind.name, target });
      }
    }
  }
  return actions;
}

bool
WatchScenario::apply(const Action& aAction)
{
  for (const Kind& kind : kinds()) {
    if (kind.name == aAction.name && isPossible(kind, aAction.target)) {
      (this->*kind.run)(aAction.target);
      mWorld.runAllReady();
      requirePauseAfterRefusal();
      return true;
    }
  }
  return false;
}

std::optional<Network::CallId>
WatchScenario::callAt(std::size_t aTarget) const
{
  if (aTarget >= mNetwork.calls().size()) {
    return std::nullopt;
  }
  return std::next(mNetwork.calls().begin(),
                   static_cast<std::ptrdiff_t>(aTarget))
    ->first;
}

bool
WatchScenario::isAtRelay(const PendingCall& aCall) const
{
  return aCall.server == kRelayAddress;
}

/** @return what the server answers now, or nothing if it waits for changes */
std::optional<http::Response>
WatchScenario::makeAnswer(const PendingCall& aCall) const
{
  const bool atRelay = isAtRelay(aCall);
  const StoreContent& content = atRelay ? mRelay : mStore;
  if (atRelay && queryNumber(aCall.request, "era") > content.era) {
    return http::Response{ kUnavailable, {}, "" };
  }
  if (!isWatch(aCall.request)) {
    return answerOf(content, aCall);
  }
  const std::uint64_t after = queryNumber(aCall.request, "after");
  const bool otherEra =
    atRelay && queryNumber(aCall.request, "era") != content.era;
  const bool ahead = after > content.revision;
  const bool lost = after < content.compacted || (ahead && !atRelay);
  const base::Duration waited = mWorld.now() - aCall.sentAt;
  const auto limit =
    std::chrono::milliseconds(queryNumber(aCall.request, "wait_ms"));
  const bool waits = !otherEra && !lost &&
                     (ahead || after == content.revision) && waited < limit;
  return waits ? std::nullopt : std::optional(answerOf(content, aCall));
}

http::Response
WatchScenario::answerOf(const StoreContent& aContent,
                        const PendingCall& aCall) const
{
  const bool atRelay = isAtRelay(aCall);
  http::Response answer;
  answer.status = kOk;
  answer.headers = { { atRelay ? platform::kEraHeader : "Store-Era",
                       std::to_string(aContent.era) } };
  json rows = json::array();
  std::uint64_t at = aContent.revision;
  if (isWatch(aCall.request)) {
    const std::uint64_t after = queryNumber(aCall.request, "after");
    const bool otherEra =
      atRelay && queryNumber(aCall.request, "era") != aContent.era;
    if (otherEra || after < aContent.compacted ||
        (!atRelay && after > aContent.revision)) {
      answer.status = kGone;
      return answer;
    }
    at = std::max(at, after);
    if (queryNumber(aCall.request, "patches") == 1) {
      rows = makePatchedRows(aContent, after);
    }
    for (const StoreContent::Change& change : aContent.history) {
      if (change.revision > after && !atRelay) {
        rows.push_back(makeRow(change, atRelay));
      }
    }
  } else {
    for (const auto& [key, change] : aContent.keys) {
      rows.push_back(makeRow(change, atRelay));
    }
  }
  const bool events = !atRelay && isWatch(aCall.request);
  answer.body = json{
    { atRelay ? "revision" : "at", at }, { events ? "events" : "items", rows }
  }.dump();
  return answer;
}

bool
WatchScenario::canAnswer(std::size_t aTarget) const
{
  const auto id = callAt(aTarget);
  if (!id) {
    return false;
  }
  const PendingCall& call = mNetwork.calls().at(*id);
  return !call.answer && !mNetwork.isSilent(call.link) &&
         makeAnswer(call).has_value();
}

void
WatchScenario::answer(std::size_t aTarget)
{
  take(aTarget);
  deliver(aTarget);
}

/** The answer is made now and arrives later. */
void
WatchScenario::take(std::size_t aTarget)
{
  PendingCall& call = mNetwork.calls().at(*callAt(aTarget));
  call.answer = makeAnswer(call);
}

bool
WatchScenario::canDeliver(std::size_t aTarget) const
{
  const auto id = callAt(aTarget);
  if (!id) {
    return false;
  }
  const PendingCall& call = mNetwork.calls().at(*id);
  return call.answer && !mNetwork.isSilent(call.link);
}

void
WatchScenario::deliver(std::size_t aTarget)
{
  const Network::CallId id = *callAt(aTarget);
  const http::Response answer = *mNetwork.calls().at(id).answer;
  const PendingCall& call = mNetwork.calls().at(id);
  const bool fromStore =
    !isAtRelay(call) && (!isSynchronization(call.request) ||
                         (answer.status == kOk && !mWatch.isConnected()));
  const platform::Era era = mStoreClient.era();
  noteRelayList(call);
  mNetwork.end(id, http::CallEnd::Complete, answer);
  mRelayLists = false;
  // A restored store is listed at once, whoever tells of it; so is one that
  // answers a synchronization of a watch that has lost it.
  if (fromStore || mStoreClient.era() != era) {
    mRefusedAt.reset();
  }
}

void
WatchScenario::noteRelayList(const PendingCall& aCall)
{
  mRelayLists = isAtRelay(aCall) && !isWatch(aCall.request) &&
                aCall.answer->status == kOk && mRelay.era == mStore.era &&
                mRelay.era == mWatch.mirror().era();
  if (!mRelayLists) {
    return;
  }
  const auto revision = json::parse(aCall.answer->body).at("revision");
  if (revision.get<std::uint64_t>() >= mWatch.mirror().revision()) {
    mRelayBehindSince.reset();
  } else if (!mRelayBehindSince) {
    mRelayBehindSince = mWorld.now();
  }
}

/** A VM that the store refuses has only its relay, which the store tells of a
 * change a moment later than it told this VM. */
void
WatchScenario::requireTimeToCatchUp()
{
  if (mRelayLists && mRelayBehindSince &&
      mWorld.now() < *mRelayBehindSince + kCatchUp) {
    mViolation = "a relay that is a moment behind counts as failed";
  }
}

bool
WatchScenario::isPending(std::size_t aTarget) const
{
  return callAt(aTarget).has_value();
}

void
WatchScenario::breakCall(std::size_t aTarget)
{
  disturb();
  endInVain(*callAt(aTarget), http::CallEnd::Broken, {});
}

bool
WatchScenario::canRefuse(std::size_t aTarget) const
{
  const auto id = callAt(aTarget);
  return id && !mNetwork.isSilent(mNetwork.calls().at(*id).link);
}

void
WatchScenario::refuse(std::size_t aTarget)
{
  disturb();
  endInVain(
    *callAt(aTarget), http::CallEnd::Complete, { kUnavailable, {}, "" });
}

bool
WatchScenario::canSilence(std::size_t /*aTarget*/) const
{
  return mSilences < 2;
}

void
WatchScenario::silence(std::size_t /*aTarget*/)
{
  ++mSilences;
  mNetwork.silenceLinks();
}

bool
WatchScenario::canWrite(std::size_t /*aTarget*/) const
{
  return mWrites < 4;
}

void
WatchScenario::write(std::size_t aTarget)
{
  ++mWrites;
  mStore.apply(keyName(aTarget), kValue);
}

bool
WatchScenario::canRemove(std::size_t aTarget) const
{
  return mWrites < 4 && mStore.keys.contains(keyName(aTarget));
}

void
WatchScenario::remove(std::size_t aTarget)
{
  ++mWrites;
  mStore.apply(keyName(aTarget), std::nullopt);
}

bool
WatchScenario::canCompact(std::size_t /*aTarget*/) const
{
  return mCompactions < 1 && !mStore.history.empty();
}

void
WatchScenario::compact(std::size_t /*aTarget*/)
{
  ++mCompactions;
  mStore.compact();
}

bool
WatchScenario::canCopy(std::size_t /*aTarget*/) const
{
  return !mCopy;
}

void
WatchScenario::copy(std::size_t /*aTarget*/)
{
  mCopy = mStore;
}

bool
WatchScenario::canRestore(std::size_t /*aTarget*/) const
{
  return mCopy && mRestorations < 2;
}

void
WatchScenario::restore(std::size_t /*aTarget*/)
{
  disturb();
  ++mRestorations;
  const std::uint64_t era = mStore.era + 1;
  mStore = *mCopy;
  mStore.era = era;
}

bool
WatchScenario::canElectRelay(std::size_t /*aTarget*/) const
{
  return mElections < 3;
}

/** The VM gets a relay, or becomes the one that reads the store. */
void
WatchScenario::electRelay(std::size_t /*aTarget*/)
{
  ++mElections;
  mRelayElected = !mRelayElected;
}

bool
WatchScenario::canUpdateRelay(std::size_t /*aTarget*/) const
{
  return mRelay.era != mStore.era || mRelay.revision != mStore.revision;
}

/** A relay that lists again keeps no history; so does one of another era. */
void
WatchScenario::updateRelay(std::size_t /*aTarget*/)
{
  const bool sameHistory =
    mRelay.era == mStore.era && mStore.knows(mRelay.revision);
  const std::uint64_t compacted =
    sameHistory ? mRelay.compacted : mStore.revision;
  mRelay = mStore;
  mRelay.compacted = std::max(compacted, mStore.compacted);
}

bool
WatchScenario::canRelist(std::size_t /*aTarget*/) const
{
  return mRelists < 1;
}

void
WatchScenario::relist(std::size_t /*aTarget*/)
{
  ++mRelists;
  mWatch.relist("asked by the scenario");
}

bool
WatchScenario::canHaveLeases(std::size_t /*aTarget*/) const
{
  return !mHasLeases;
}

/** From now on the watch lists after failures, as that of upstreams does. */
void
WatchScenario::haveLeases(std::size_t /*aTarget*/)
{
  mHasLeases = true;
  mWatch.listWhenReached();
}

bool
WatchScenario::canSynchronize(std::size_t /*aTarget*/) const
{
  return mSynchronizations < 2;
}

/** The view must not be older than the question when the answer comes, unless
 * the store has been restored meanwhile. */
void
WatchScenario::synchronize(std::size_t /*aTarget*/)
{
  ++mSynchronizations;
  mWatch.synchronize([this, asked = mStore](bool aSucceeded) {
    if (aSucceeded && asked.era == mStore.era) {
      requireViewSince(asked);
    }
  });
}

void
WatchScenario::requireViewSince(const StoreContent& aContent)
{
  for (std::size_t number = 0; number < kKeys; ++number) {
    const std::string key = keyName(number);
    const auto then = aContent.keys.find(key);
    const auto seen = mView.find(key);
    const bool isBehind =
      then != aContent.keys.end()
        ? mShown[key] < then->second.revision
        : seen != mView.end() && seen->second <= aContent.revision;
    if (isBehind) {
      mViolation = "the view is older than its synchronization (" + key + ")";
    }
  }
}

/** @return true for a call to the store while no other one is under way; the
 * client may send another one again at any moment. Synchronizations don't
 * count: callers wait for them. */
bool
WatchScenario::isOnlyCallToStore(Network::CallId aCall) const
{
  for (const auto& [id, call] : mNetwork.calls()) {
    const bool counts = !isAtRelay(call) && !isSynchronization(call.request);
    if (counts != (id == aCall)) {
      return false;
    }
  }
  return true;
}

void
WatchScenario::endInVain(Network::CallId aCall,
                         http::CallEnd aEnd,
                         const http::Response& aAnswer)
{
  const bool counts = isOnlyCallToStore(aCall) && mWatch.isConnected();
  mNetwork.end(aCall, aEnd, aAnswer);
  // Still connected, it has ignored the end of an outdated call.
  if (counts && !mWatch.isConnected()) {
    mRefusedAt = mWorld.now();
  }
}

/** A VM that the store turns away must not press on, whatever a relay answers
 * meanwhile. */
void
WatchScenario::requirePauseAfterRefusal()
{
  for (const auto& [id, call] : mNetwork.calls()) {
    if (mRefusedAt && isOnlyCallToStore(id) &&
        call.sentAt < *mRefusedAt + kMinBackoff) {
      mViolation = "the store was called right after it refused a call";
    }
  }
}

bool
WatchScenario::canWait(std::size_t /*aTarget*/) const
{
  return mWaits < 20 && mWorld.untilNextTimer().has_value();
}

void
WatchScenario::wait(std::size_t /*aTarget*/)
{
  ++mWaits;
  pass(*mWorld.untilNextTimer());
}

bool
WatchScenario::canBeLate(std::size_t /*aTarget*/) const
{
  return mLate < 2;
}

void
WatchScenario::beLate(std::size_t /*aTarget*/)
{
  ++mLate;
  pass(kLate);
}

/** Lets time pass. A server that could answer and doesn't is slow. */
void
WatchScenario::pass(base::Duration aTime)
{
  mWorld.advance(aTime);
  for (std::size_t target = 0; target < mNetwork.calls().size(); ++target) {
    if (canAnswer(target) || canDeliver(target)) {
      disturb();
    }
  }
}

void
WatchScenario::disturb()
{
  mDisturbedAt = mWorld.now();
}

void
WatchScenario::noteShown(const std::string& aKey,
                         platform::Revision aRevision,
                         platform::Era aEra)
{
  if (aEra > mShownEra) {
    mShownEra = aEra;
    mShown.clear();
  }
  platform::Revision& shown = mShown[aKey];
  if (aEra < mShownEra || aRevision < shown) {
    mViolation = "the view goes back (" + aKey + " to revision " +
                 std::to_string(aRevision) + " of era " + std::to_string(aEra) +
                 ", shown before: " + std::to_string(shown) + " of era " +
                 std::to_string(mShownEra) + ")";
  }
  shown = std::max(shown, aRevision);
}

void
WatchScenario::showSnapshot(const platform::Snapshot& aSnapshot)
{
  mView.clear();
  for (const platform::Entry& entry : aSnapshot.entries) {
    mView[entry.key] = entry.revision;
    noteShown(entry.key, entry.revision, aSnapshot.era);
  }
  for (std::size_t number = 0; number < kKeys; ++number) {
    if (!mView.contains(keyName(number))) {
      noteShown(keyName(number), aSnapshot.revision, aSnapshot.era);
    }
  }
}

/** What ended while the store was away counts as gone only some time after the
 * watch has told that it is back. */
void
WatchScenario::showChange(const platform::Entry& aEntry)
{
  if (!mWatch.isConnected()) {
    mViolation = "a change is shown before the watch has reached the store "
                 "again (" +
                 aEntry.key + ")";
  }
  noteShown(aEntry.key, aEntry.revision, mStoreClient.era());
  if (aEntry.value) {
    mView[aEntry.key] = aEntry.revision;
  } else {
    mView.erase(aEntry.key);
  }
}

/** Servers answer all calls that they can, except on silent links. */
void
WatchScenario::answerAll()
{
  for (bool answered = true; answered;) {
    answered = false;
    mWorld.runAllReady();
    if (mRelayFollows && canUpdateRelay(0)) {
      updateRelay(0);
    }
    for (std::size_t target = 0; target < mNetwork.calls().size(); ++target) {
      if (canDeliver(target)) {
        deliver(target);
        answered = true;
        break;
      }
      if (canAnswer(target)) {
        answer(target);
        answered = true;
        break;
      }
    }
  }
}

void
WatchScenario::advanceTo(base::TimePoint aTime)
{
  constexpr base::Duration kStep = 10ms;
  while (mWorld.now() < aTime) {
    answerAll();
    const base::Duration left = aTime - mWorld.now();
    const base::Duration next =
      std::min(mWorld.untilNextTimer().value_or(left), kStep);
    mWorld.advance(std::clamp<base::Duration>(next, 1ms, left));
  }
  answerAll();
}

void
WatchScenario::requireCurrentView(const char* aWhen)
{
  std::map<std::string, platform::Revision> expected;
  for (const auto& [key, change] : mStore.keys) {
    expected[key] = change.revision;
  }
  platform::Snapshot mirror = mWatch.mirror().all();
  std::map<std::string, platform::Revision> mirrored;
  for (const platform::Entry& entry : mirror.entries) {
    mirrored[entry.key] = entry.revision;
  }
  if (mViolation.empty() && mView != expected) {
    mViolation = std::string("the view is not that of the store ") + aWhen;
  } else if (mViolation.empty() && mirrored != expected) {
    mViolation = std::string("the mirror is not that of the store ") + aWhen;
  }
}

void
WatchScenario::settle()
{
  mRelayFollows = true;
  mStore.apply(keyName(1), kValue);
  advanceTo(std::max(mWorld.now() + kLimit, mDisturbedAt + kContact));
  requireCurrentView("when a change must be in force");
  mStore.apply(keyName(0), kValue);
  advanceTo(mWorld.now() + kLimit);
  requireCurrentView("when a further change must be in force");
}

std::string
WatchScenario::describe() const
{
  std::ostringstream text;
  const auto show = [&text](const char* aName, const StoreContent& aContent) {
    text << "  " << aName << ": era " << aContent.era << ", revision "
         << aContent.revision << ", history after " << aContent.compacted
         << ",";
    for (const auto& [key, change] : aContent.keys) {
      text << " " << key << "@" << change.revision;
    }
    text << "\n";
  };
  text << "  at " << base::inMilliseconds(mWorld.now().time_since_epoch())
       << " ms\n";
  show("store", mStore);
  show(mRelayElected ? "relay (elected)" : "relay", mRelay);
  text << "  view:";
  for (const auto& [key, revision] : mView) {
    text << " " << key << "@" << revision;
  }
  text << "\n";
  for (const auto& [id, call] : mNetwork.calls()) {
    text << "  call " << id << " to " << call.server.text() << " "
         << call.request.path << "?" << call.request.query << ", "
         << base::inMilliseconds(mWorld.now() - call.sentAt) << " ms"
         << (call.answer ? ", answered" : "")
         << (mNetwork.isSilent(call.link) ? ", silent" : "") << "\n";
  }
  return text.str();
}

std::uint64_t
WatchScenario::fingerprint() const
{
  std::ostringstream text;
  text << describe() << mWorld.fingerprint() << " " << mSilences << mWrites
       << mCompactions << mRestorations << mElections << mRelists << mHasLeases
       << mLate << mSynchronizations << mCopy.has_value()
       << mWatch.isReadingStore() << mWatch.mirror().revision();
  if (mRelayBehindSince) {
    text << " " << base::inMilliseconds(mRelayBehindSince->time_since_epoch())
         << "b";
  }
  if (mRefusedAt) {
    text << " " << base::inMilliseconds(mRefusedAt->time_since_epoch());
  }
  if (mCopy) {
    text << " " << mCopy->revision;
  }
  return base::hash64(text.str());
}

} // namespace marigold::explore
