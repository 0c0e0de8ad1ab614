#include "apps/entry/node.h"

#include <csignal>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;

/** Wall-clock milliseconds: a later run of the process draws a higher one. */
base::Incarnation
drawIncarnation()
{
  return static_cast<base::Incarnation>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

Node::Node(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mIncarnation(drawIncarnation())
  , mClient(mLoop)
  , mMembership(mSettings.vm, mSettings.dataCentre)
  , mPlatform(mLoop, mSettings.platform, mSettings.platformTimeout)
  , mPeers(mLoop, mSettings, mIncarnation, mMembership, mConfiguration)
  , mSync(mLoop, mPlatform, mMembership, mPeers, mConfiguration)
  , mUpstreams(mLoop, mClient)
  , mChoice(mUpstreams,
            mSettings.dataCentre,
            mSettings.routing,
            base::hash64(mSettings.vm, mIncarnation))
  , mPath(mLoop, mUpstreams, mChoice, mMetrics)
  , mContext{ mLoop,   mClient,  mConfiguration, mUpstreams,
              mChoice, mMetrics, mPath }
  , mFront(mContext,
           mSettings,
           mIncarnation,
           [this] { return mMembership.contactAge(base::monotonicNow()); })
  , mOperator(mLoop, mMetrics)
{
  mConfiguration.changed().connect([this] {
    mPath.waiting.update(mConfiguration.manifest());
    mUpstreams.update(mConfiguration.vms());
  });
  serveOperators();
}

base::Result<void>
Node::run()
{
  BOOST_LEAF_CHECK(mOperator.listen(mSettings.operatorAddress));
  BOOST_LEAF_CHECK(mPeers.start());
  BOOST_LEAF_CHECK(mFront.start());
  mSync.start();
  mUpstreams.start();
  const http::EventHandle term = mLoop.onSignal(SIGTERM, [this] {
    observe::logInfo("stopping after SIGTERM");
    mLoop.stop();
  });
  observe::logInfo("entry process started",
                   { { "vm", mSettings.vm },
                     { "data_centre", mSettings.dataCentre },
                     { "listen", mSettings.listen.text() } });
  mLoop.run();
  observe::logInfo("entry process stopped");
  return {};
}

void
Node::serveOperators()
{
  mOperator.setReadinessCheck([this] { return mFront.ready(); });
  mOperator.setStatusReport([this] { return status(); });
  mOperator.addDumpSection("status", [this] { return status(); });
  mOperator.addDumpSection("membership", [this] { return dumpMembership(); });
  mOperator.addDumpSection("mesh", [this] { return dumpMesh(); });
  mOperator.addDumpSection("request_path",
                           [this] { return dumpRequestPath(); });
  mOperator.addDumpSection("upstreams", [this] { return mUpstreams.dump(); });
  mOperator.addHandler("GET", "/demand", [this](const auto&, const auto& aOut) {
    aOut->reply(observe::jsonAnswer(200, demand()));
  });
  mOperator.addHandler("POST",
                       "/document",
                       [this](const http::Request& aRequest, const auto& aOut) {
                         pushDocument(aRequest, aOut);
                       });
  if (mSettings.faultInjection) {
    mOperator.addHandler(
      "POST",
      "/fault",
      [this](const http::Request& aRequest, const auto& aOut) {
        injectFault(aRequest, aOut);
      });
  }
  mOperator.addHandler("POST",
                       "/withdrawals",
                       [this](const http::Request& aRequest, const auto& aOut) {
                         pushWithdrawals(aRequest, aOut);
                       });
}

json
Node::status() const
{
  const base::TimePoint now = base::monotonicNow();
  return { { "vm", mSettings.vm },
           { "data_centre", mSettings.dataCentre },
           { "incarnation", mIncarnation },
           { "ready", mFront.ready() },
           { "situation",
             membership::situationName(mMembership.situation(now)) },
           { "versions", mConfiguration.store().versions() },
           { "withdrawn", mConfiguration.withdrawals().ids() },
           { "platform_age_ms", base::inMilliseconds(mSync.age()) },
           { "open_exchanges", mFront.openExchanges() } };
}

json
Node::dumpMembership() const
{
  const base::TimePoint now = base::monotonicNow();
  json peers = json::object();
  for (const auto& [name, peer] : mMembership.peers()) {
    peers[name] = {
      { "state", membership::stateName(mMembership.state(name, now)) },
      { "data_centre", peer.last.dataCentre },
      { "age_ms",
        peer.heard ? json(base::inMilliseconds(now - peer.heardAt)) : json() }
    };
  }
  return { { "peers", peers },
           { "relays", mMembership.relays(mSettings.dataCentre, now) },
           { "platform_calls",
             { { "reads", mPlatform.counts().reads },
               { "writes", mPlatform.counts().writes },
               { "failures", mPlatform.counts().failures } } } };
}

json
Node::dumpMesh()
{
  const mesh::TransportCounts& counts = mPeers.transport().counts();
  return {
    { "sent", counts.sent },         { "sent_bytes", counts.sentBytes },
    { "received", counts.received }, { "received_bytes", counts.receivedBytes },
    { "dropped", counts.dropped },   { "rejected", counts.rejected }
  };
}

json
Node::demand()
{
  const base::TimePoint now = base::monotonicNow();
  json rows = json::array();
  for (const auto& [key, row] : mPath.waiting.demand().entries()) {
    rows.push_back({ { "model", key.first },
                     { "adapter", key.second },
                     { "arrived", row.arrived },
                     { "waiting", row.waiting },
                     { "deadline_ms",
                       row.earliestDeadline
                         ? base::inMilliseconds(*row.earliestDeadline - now)
                         : 0 } });
  }
  return { { "demand", rows } };
}

json
Node::dumpRequestPath()
{
  const base::TimePoint now = base::monotonicNow();
  json demand = json::object();
  for (const auto& [key, row] : mPath.waiting.demand().entries()) {
    const std::string name =
      key.second.empty() ? key.first : key.first + ":" + key.second;
    demand[name] = { { "arrived", row.arrived },
                     { "waiting", row.waiting },
                     { "earliest_deadline_ms",
                       row.earliestDeadline ? json(base::inMilliseconds(
                                                *row.earliestDeadline - now))
                                            : json() } };
  }
  return { { "waiting", mPath.waiting.size() }, { "demand", demand } };
}

bool
Node::authentic(const http::Request& aRequest) const
{
  const std::string expected =
    base::toHex(base::hmacSha256(mSettings.operatorKey, aRequest.body));
  return base::equalConstantTime(
    expected, http::findHeader(aRequest.headers, "X-Operator-Signature"));
}

void
Node::pushDocument(const http::Request& aRequest,
                   const std::shared_ptr<http::Responder>& aOut)
{
  if (!authentic(aRequest)) {
    aOut->reply(observe::jsonAnswer(403, { { "error", "wrong signature" } }));
    return;
  }
  const auto outcome = base::capture([&]() -> base::Result<documents::Offer> {
    BOOST_LEAF_AUTO(document, documents::decode(aRequest.body));
    return mConfiguration.offer(document);
  });
  if (const base::Error* error = base::errorOf(outcome)) {
    aOut->reply(observe::jsonAnswer(400, { { "error", error->message } }));
    return;
  }
  aOut->reply(observe::jsonAnswer(200, status()));
}

void
Node::injectFault(const http::Request& aRequest,
                  const std::shared_ptr<http::Responder>& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!content.is_object()) {
    aOut->reply(observe::jsonAnswer(
      400, { { "error", "expected {peers: [names], platform: boolean}" } }));
    return;
  }
  const auto peers = content.value("peers", std::set<std::string>{});
  const bool platform = content.value("platform", false);
  mPeers.transport().cut(peers);
  mPlatform.simulateOutage(platform);
  observe::logWarn("links cut by a failure test",
                   { { "peers", std::to_string(peers.size()) },
                     { "platform", platform ? "cut" : "linked" } });
  aOut->reply(observe::jsonAnswer(200, json::object()));
}

void
Node::pushWithdrawals(const http::Request& aRequest,
                      const std::shared_ptr<http::Responder>& aOut)
{
  const json content = json::parse(aRequest.body, nullptr, false);
  if (!authentic(aRequest) || !content.is_array()) {
    aOut->reply(observe::jsonAnswer(
      403, { { "error", "wrong signature or not a list of key ids" } }));
    return;
  }
  std::set<std::string> ids;
  for (const json& id : content) {
    if (id.is_string()) {
      ids.insert(id.get<std::string>());
    }
  }
  mConfiguration.withdraw(ids);
  aOut->reply(observe::jsonAnswer(200, status()));
}

} // namespace marigold::entry
