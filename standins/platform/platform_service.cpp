#include "standins/platform/platform_service.h"

#include "observe/observe.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace marigold::standin {
namespace {

using nlohmann::json;

constexpr base::Duration kExpiryPeriod = std::chrono::milliseconds(50);
constexpr std::string_view kKvPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/leases";

std::uint64_t
numericParameter(const http::Request& aRequest, std::string_view aName)
{
  return std::strtoull(
    http::queryValue(aRequest.query, aName).c_str(), nullptr, 10);
}

std::optional<std::uint64_t>
expectedRevision(const http::Request& aRequest)
{
  if (http::queryValue(aRequest.query, "revision").empty()) {
    return std::nullopt;
  }
  return numericParameter(aRequest, "revision");
}

json
entryJson(const std::string& aKey, const StoredValue& aStored)
{
  return { { "key", aKey },
           { "value", aStored.value ? json(*aStored.value) : json() },
           { "revision", aStored.revision } };
}

} // namespace

PlatformService::PlatformService(http::Loop& aLoop)
  : mLoop(aLoop)
  , mServer(
      aLoop,
      {},
      [this](const http::Request& aRequest, const ResponderPtr& aResponder) {
        handle(aRequest, aResponder);
      })
{
  mExpiryTimer = mLoop.every(kExpiryPeriod, [this] {
    if (mStore.expire(base::monotonicNow())) {
      notifyWatchers();
    }
  });
}

base::Result<void>
PlatformService::listen(const http::Address& aAddress)
{
  return mServer.listen(aAddress);
}

bool
PlatformService::isWithinRateLimit(bool aIsWrite)
{
  const base::TimePoint now = base::monotonicNow();
  if (now - mSecondStart >= std::chrono::seconds(1)) {
    mSecondStart = now;
    mReadsThisSecond = 0;
    mWritesThisSecond = 0;
  }
  if (aIsWrite) {
    return ++mWritesThisSecond <= mControl.writesPerSecond;
  }
  // A pending watch counts as one read in each second.
  const int waiting = static_cast<int>(mWatchers.size());
  return ++mReadsThisSecond + waiting <= mControl.readsPerSecond;
}

void
PlatformService::handle(const http::Request& aRequest,
                        const ResponderPtr& aResponder)
{
  if (handleControl(aRequest, aResponder)) {
    return;
  }
  const bool isWrite = aRequest.method != "GET";
  ++mStats[isWrite ? "writes" : "reads"];
  if (mControl.mode == PlatformMode::Silent) {
    ++mStats["unanswered"];
    mUnanswered.push_back(aResponder);
    return;
  }
  if (mControl.mode == PlatformMode::Down) {
    ++mStats["refused_down"];
    aResponder->reply(observe::jsonAnswer(503, { { "error", "unavailable" } }));
    return;
  }
  if (!isWithinRateLimit(isWrite)) {
    ++mStats["refused_rate"];
    aResponder->reply(observe::jsonAnswer(429, { { "error", "rate" } }));
    return;
  }
  if (mControl.delay > base::Duration::zero()) {
    dispatchLater(aRequest, aResponder);
    return;
  }
  dispatch(aRequest, aResponder);
}

/** A delayed write takes effect even if its caller has disconnected. */
void
PlatformService::dispatchLater(const http::Request& aRequest,
                               const ResponderPtr& aResponder)
{
  const auto position = mDelayedCalls.emplace(mDelayedCalls.end());
  *position =
    mLoop.after(mControl.delay, [this, position, aRequest, aResponder] {
      dispatch(aRequest, aResponder);
      mDelayedCalls.erase(position);
    });
}

void
PlatformService::dispatch(const http::Request& aRequest,
                          const ResponderPtr& aResponder)
{
  if (aRequest.path.starts_with("/v1/kv")) {
    handleKv(aRequest, aResponder);
  } else if (aRequest.path.starts_with(kLeasePath)) {
    handleLease(aRequest, aResponder);
  } else if (aRequest.path == "/v1/watch") {
    handleWatch(aRequest, aResponder);
  } else if (aRequest.path == "/v1/vms") {
    aResponder->reply(observe::jsonAnswer(200, visibleVms()));
  } else {
    aResponder->reply(
      observe::jsonAnswer(404, { { "error", "no such path" } }));
  }
}

void
PlatformService::handleKv(const http::Request& aRequest,
                          const ResponderPtr& aResponder)
{
  if (!aRequest.path.starts_with(kKvPath)) {
    const std::string prefix = http::queryValue(aRequest.query, "prefix");
    aResponder->reply(observe::jsonAnswer(
      200,
      { { "revision", mStore.revision() }, { "items", items(prefix, 0) } }));
    return;
  }
  const std::string key = aRequest.path.substr(kKvPath.size());
  if (aRequest.method == "PUT") {
    answerWrite(key,
                mStore.write(key,
                             aRequest.body,
                             expectedRevision(aRequest),
                             http::queryValue(aRequest.query, "lease")),
                aResponder);
    return;
  }
  if (aRequest.method == "DELETE") {
    answerWrite(
      key, mStore.remove(key, expectedRevision(aRequest)), aResponder);
    return;
  }
  const StoredValue* stored = mStore.find(key);
  if (stored == nullptr) {
    aResponder->reply(
      observe::jsonAnswer(404, { { "revision", mStore.revision() } }));
    return;
  }
  aResponder->reply(observe::jsonAnswer(200, entryJson(key, *stored)));
}

void
PlatformService::answerWrite(const std::string& aKey,
                             const WriteResult& aResult,
                             const ResponderPtr& aResponder)
{
  notifyWatchers();
  const bool canLoseAnswer = aResult.status == WriteStatus::Done &&
                             aKey.starts_with(mControl.losePrefix);
  if (mControl.loseAnswers > 0 && canLoseAnswer) {
    --mControl.loseAnswers;
    ++mStats["answers_lost"];
    aResponder->abort();
    return;
  }
  aResponder->reply(observe::jsonAnswer(static_cast<int>(aResult.status),
                                        { { "revision", aResult.revision } }));
}

void
PlatformService::handleLease(const http::Request& aRequest,
                             const ResponderPtr& aResponder)
{
  const base::TimePoint now = base::monotonicNow();
  std::string id = aRequest.path.substr(kLeasePath.size());
  if (id.empty()) {
    const auto term =
      std::chrono::milliseconds(numericParameter(aRequest, "ttl_ms"));
    aResponder->reply(
      observe::jsonAnswer(200, { { "lease", mStore.grantLease(term, now) } }));
    return;
  }
  id = id.substr(1);
  bool found = false;
  if (const auto renew = id.find("/renew"); renew != std::string::npos) {
    found = mStore.renewLease(id.substr(0, renew), now);
  } else if (aRequest.method == "DELETE") {
    found = mStore.revokeLease(id);
    notifyWatchers();
  }
  aResponder->reply(
    observe::jsonAnswer(found ? 200 : 404, { { "lease", id } }));
}

json
PlatformService::items(const std::string& aPrefix, std::uint64_t aAfter) const
{
  json list = json::array();
  for (const auto& [key, stored] : mStore.changes(aPrefix, aAfter)) {
    if (stored.value || aAfter > 0) {
      list.push_back(entryJson(key, stored));
    }
  }
  return list;
}

void
PlatformService::handleWatch(const http::Request& aRequest,
                             const ResponderPtr& aResponder)
{
  const std::string prefix = http::queryValue(aRequest.query, "prefix");
  const std::uint64_t after = numericParameter(aRequest, "after");
  const json changed = items(prefix, after);
  if (!changed.empty()) {
    aResponder->reply(observe::jsonAnswer(
      200, { { "revision", mStore.revision() }, { "items", changed } }));
    return;
  }
  const auto position =
    mWatchers.insert(mWatchers.end(), { prefix, after, aResponder, {} });
  const auto onTimeout = [this, position] {
    position->responder->reply(observe::jsonAnswer(
      200, { { "revision", mStore.revision() }, { "items", json::array() } }));
    mWatchers.erase(position);
  };
  position->timer = mLoop.after(
    std::chrono::milliseconds(numericParameter(aRequest, "wait_ms")),
    onTimeout);
  aResponder->onDisconnect([this, position] { mWatchers.erase(position); });
}

void
PlatformService::notifyWatchers()
{
  for (auto watcher = mWatchers.begin(); watcher != mWatchers.end();) {
    const json changed = items(watcher->prefix, watcher->after);
    if (changed.empty() || mControl.mode != PlatformMode::Up) {
      ++watcher;
      continue;
    }
    watcher->responder->reply(observe::jsonAnswer(
      200, { { "revision", mStore.revision() }, { "items", changed } }));
    watcher = mWatchers.erase(watcher);
  }
}

bool
PlatformService::handleControl(const http::Request& aRequest,
                               const ResponderPtr& aResponder)
{
  if (aRequest.path == "/stats") {
    json stats = mStats;
    stats["watchers"] = mWatchers.size();
    aResponder->reply(observe::jsonAnswer(200, stats));
    return true;
  }
  if (!aRequest.path.starts_with("/control")) {
    return false;
  }
  constexpr std::string_view kVmPath = "/control/vms/";
  const json content = json::parse(aRequest.body, nullptr, false);
  if (aRequest.method == "DELETE" && aRequest.path.starts_with(kVmPath)) {
    updateVms(aRequest.path.substr(kVmPath.size()), nullptr);
  } else if (!content.is_object()) {
    aResponder->reply(
      observe::jsonAnswer(400, { { "error", "not an object" } }));
    return true;
  } else if (aRequest.path == "/control/vms") {
    updateVms(content.value("name", ""), &content);
  } else {
    setControl(content);
  }
  aResponder->reply(observe::jsonAnswer(200, json::object()));
  return true;
}

void
PlatformService::setControl(const json& aContent)
{
  using std::chrono::milliseconds;
  if (aContent.contains("mode")) {
    const std::string mode = aContent["mode"];
    mControl.mode = mode == "up"       ? PlatformMode::Up
                    : mode == "silent" ? PlatformMode::Silent
                                       : PlatformMode::Down;
  }
  mControl.delay = milliseconds(
    aContent.value("delay_ms", base::inMilliseconds(mControl.delay)));
  mControl.loseAnswers = aContent.value("lose_answers", mControl.loseAnswers);
  mControl.losePrefix = aContent.value("lose_prefix", mControl.losePrefix);
  mControl.listDelay = milliseconds(
    aContent.value("list_lag_ms", base::inMilliseconds(mControl.listDelay)));
  mControl.readsPerSecond =
    aContent.value("reads_per_s", mControl.readsPerSecond);
  mControl.writesPerSecond =
    aContent.value("writes_per_s", mControl.writesPerSecond);
  if (mControl.mode == PlatformMode::Up) {
    notifyWatchers();
  }
  abortPendingCalls();
}

/**
 * Aborts pending watches while the platform is down, and unanswered calls once
 * it is no longer silent.
 */
void
PlatformService::abortPendingCalls()
{
  if (mControl.mode == PlatformMode::Down) {
    for (Watcher& watcher : mWatchers) {
      watcher.responder->abort();
    }
    mWatchers.clear();
  }
  if (mControl.mode != PlatformMode::Silent) {
    for (const ResponderPtr& responder : mUnanswered) {
      responder->abort();
    }
    mUnanswered.clear();
  }
}

void
PlatformService::updateVms(const std::string& aName, const json* aVm)
{
  if (aVm == nullptr) {
    mVms.erase(aName);
  } else {
    mVms[aName] = *aVm;
  }
  json vms = json::array();
  for (const auto& [name, vm] : mVms) {
    vms.push_back(vm);
  }
  while (mVmLists.size() > 1 &&
         std::next(mVmLists.begin())->visibleAt <= base::monotonicNow()) {
    mVmLists.pop_front();
  }
  mVmLists.push_back(
    { base::monotonicNow() + mControl.listDelay, ++mListRevision, vms });
}

json
PlatformService::visibleVms() const
{
  const base::TimePoint now = base::monotonicNow();
  json visible = { { "revision", 0 }, { "vms", json::array() } };
  for (const VmListVersion& version : mVmLists) {
    if (version.visibleAt <= now) {
      visible = { { "revision", version.revision }, { "vms", version.vms } };
    }
  }
  return visible;
}

} // namespace marigold::standin
