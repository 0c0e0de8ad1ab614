#include "apps/entry/crash_watch.h"

#include "observe/observe.h"

#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using nlohmann::json;
using request::GuardVerdict;

constexpr const char* kSuspect = "suspect";
constexpr const char* kSuspectAck = "suspect-ack";
constexpr const char* kSuspectTrial = "suspect-trial";
constexpr const char* kTrialQuestion = "suspect-trial-question";
constexpr const char* kTrialGrant = "suspect-trial-grant";
constexpr const char* kTrialReturn = "suspect-trial-return";
constexpr const char* kCleared = "suspect-cleared";
constexpr const char* kSuspects = "suspects";
constexpr const char* kSuspectsWanted = "suspects-wanted";

/** A round trip between regions takes a few dozen milliseconds. A peer that is
 * slower is not waited for, because the caller is. */
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(300);
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr base::Duration kCancelTimeout = std::chrono::seconds(1);

/** Reports that a peer missed reach it within this time for each peer. */
constexpr base::Duration kGossipPeriod = std::chrono::seconds(1);

json
encode(const request::CrashReport& aReport)
{
  return { { "fingerprint", aReport.fingerprint },
           { "crash", aReport.crash },
           { "owner", aReport.owner } };
}

request::CrashReport
decode(const json& aBody)
{
  return { aBody.at("fingerprint"), aBody.at("crash"), aBody.at("owner"), {} };
}

} // namespace

CrashWatch::CrashWatch(http::Loop& aLoop,
                       http::Client& aClient,
                       PeerLink& aPeers,
                       membership::Membership& aMembership,
                       UpstreamTable& aUpstreams)
  : mLoop(aLoop)
  , mClient(aClient)
  , mPeers(aPeers)
  , mMembership(aMembership)
  , mUpstreams(aUpstreams)
  , mGuard(aMembership.self())
{
  mPeers.on(kSuspect, [this](const auto& aEnvelope) { onSuspect(aEnvelope); });
  mPeers.on(kSuspectAck, [this](const mesh::Envelope& aEnvelope) {
    acknowledged(aEnvelope.body.at("number"), aEnvelope.from);
  });
  mPeers.on(kSuspectTrial, [this](const mesh::Envelope& aEnvelope) {
    mGuard.onTrialAt(aEnvelope.body.at("fingerprint"),
                     aEnvelope.body.at("upstream"));
  });
  mPeers.on(kTrialQuestion,
            [this](const auto& aEnvelope) { onQuestion(aEnvelope); });
  mPeers.on(kTrialGrant, [this](const auto& aEnvelope) { onGrant(aEnvelope); });
  mPeers.on(kTrialReturn, [this](const mesh::Envelope& aEnvelope) {
    mGuard.returnTrial(aEnvelope.body.at("fingerprint"));
  });
  mPeers.on(kCleared, [this](const mesh::Envelope& aEnvelope) {
    mGuard.mergeCleared(aEnvelope.body.at("fingerprint"),
                        aEnvelope.body.at("crashes"),
                        base::monotonicNow());
  });
  mPeers.on(kSuspects,
            [this](const auto& aEnvelope) { onSuspects(aEnvelope); });
  mPeers.on(kSuspectsWanted, [this](const mesh::Envelope& aEnvelope) {
    sendAll(aEnvelope.from);
  });
}

void
CrashWatch::start()
{
  mGossip = mLoop.every(kGossipPeriod, [this] { gossip(); });
}

void
CrashWatch::gossip()
{
  const base::TimePoint now = base::monotonicNow();
  mGuard.expire(now);
  const auto peers = mMembership.alivePeers(now);
  if (peers.empty()) {
    return;
  }
  if (!mSynced) {
    // A restarted process would otherwise run what its peers know to crash.
    mPeers.broadcast(kSuspectsWanted, json::object());
    mSynced = true;
  }
  if (mGuard.size() > 0) {
    sendAll(peers[mGossipTurn++ % peers.size()]);
  }
}

void
CrashWatch::sendAll(const base::VmName& aVm)
{
  json reports = json::array();
  for (const request::CrashReport& report : mGuard.reports()) {
    reports.push_back(encode(report));
  }
  mPeers.send(aVm,
              kSuspects,
              { { "reports", reports }, { "cleared", mGuard.cleared() } });
}

void
CrashWatch::onSuspects(const mesh::Envelope& aEnvelope)
{
  const base::TimePoint now = base::monotonicNow();
  // Known entries keep their age, so that gossip does not keep them for ever.
  const std::set<request::CrashReport> known = [&] {
    std::set<request::CrashReport> all;
    for (request::CrashReport report : mGuard.reports()) {
      report.at = {};
      all.insert(report);
    }
    return all;
  }();
  for (const json& item : aEnvelope.body.at("reports")) {
    const request::CrashReport report = decode(item);
    if (!known.contains(report)) {
      mGuard.merge(report, now);
    }
  }
  const auto cleared = mGuard.cleared();
  for (const auto& [fingerprint, crashes] :
       aEnvelope.body.at("cleared")
         .get<std::map<std::string, std::set<std::string>>>()) {
    const auto held = cleared.find(fingerprint);
    if (held == cleared.end() || held->second != crashes) {
      mGuard.mergeCleared(fingerprint, crashes, now);
    }
  }
}

void
CrashWatch::check(const std::string& aFingerprint, const Checked& aDone)
{
  switch (mGuard.verdict(aFingerprint)) {
    case GuardVerdict::Free:
      aDone(Permission::Free);
      return;
    case GuardVerdict::Trial:
      mGuard.takeTrial(aFingerprint);
      aDone(Permission::Trial);
      return;
    case GuardVerdict::AskOwner:
      askOwner(aFingerprint, aDone);
      return;
    case GuardVerdict::InTrial:
      aDone(Permission::Refused);
      return;
    case GuardVerdict::Poisonous:
      break;
  }
  aDone(Permission::Poisonous);
}

void
CrashWatch::askOwner(const std::string& aFingerprint, const Checked& aDone)
{
  const std::uint64_t number = ++mNumber;
  Question& question = mQuestions[number];
  question.done = aDone;
  question.timeout = mLoop.after(kPeerTimeout, [this, number] {
    const Checked done = std::move(mQuestions.at(number).done);
    mQuestions.erase(number);
    done(Permission::Refused);
  });
  mPeers.send(mGuard.owner(aFingerprint),
              kTrialQuestion,
              { { "number", number }, { "fingerprint", aFingerprint } });
}

void
CrashWatch::onQuestion(const mesh::Envelope& aEnvelope)
{
  const std::string fingerprint = aEnvelope.body.at("fingerprint");
  const bool granted = mGuard.takeTrial(fingerprint);
  mPeers.send(aEnvelope.from,
              kTrialGrant,
              { { "number", aEnvelope.body.at("number") },
                { "fingerprint", fingerprint },
                { "granted", granted } });
}

void
CrashWatch::onGrant(const mesh::Envelope& aEnvelope)
{
  const bool granted = aEnvelope.body.at("granted");
  const auto found = mQuestions.find(aEnvelope.body.at("number"));
  if (found == mQuestions.end()) {
    if (granted) {
      mPeers.send(aEnvelope.from,
                  kTrialReturn,
                  { { "fingerprint", aEnvelope.body.at("fingerprint") } });
    }
    return;
  }
  const Checked done = std::move(found->second.done);
  mQuestions.erase(found);
  done(granted ? Permission::Trial : Permission::Refused);
}

void
CrashWatch::judge(const UpstreamRun& aRun,
                  const std::string& aFingerprint,
                  Judged aDone)
{
  probe(aRun, [this, aRun, aFingerprint, done = std::move(aDone)](bool aDied) {
    if (!aDied) {
      done(false);
      return;
    }
    const request::CrashReport report =
      mGuard.onCrash(aFingerprint, crashOf(aRun), base::monotonicNow());
    observe::logWarn("upstream died while it ran a request",
                     { { "upstream", aRun.name },
                       { "fingerprint", aFingerprint },
                       { "owner", report.owner } });
    announce(report, [done] { done(true); });
  });
}

std::string
CrashWatch::crashOf(const UpstreamRun& aRun)
{
  // Plain services tell no incarnation, so that each death counts by itself.
  const std::string run =
    aRun.incarnation != 0
      ? std::to_string(aRun.incarnation)
      : mMembership.self() + "-" + std::to_string(++mNumber);
  return aRun.name + "/" + run;
}

void
CrashWatch::probe(const UpstreamRun& aRun, const Judged& aDone)
{
  Probe& started = mProbes[aRun.name];
  started.waiting.push_back(aDone);
  const Upstream* upstream = mUpstreams.find(aRun.name);
  if (started.call) {
    return;
  }
  const auto finish = [this, aRun](bool aDied) {
    const auto ended = mProbes.extract(aRun.name);
    if (aDied) {
      mUpstreams.onDied(aRun.name);
    }
    for (const Judged& waiting : ended.mapped().waiting) {
      waiting(aDied);
    }
  };
  if (upstream == nullptr) {
    finish(true);
    return;
  }
  const bool engine = upstream->vm.role == membership::Role::Engine;
  http::CallEvents events;
  events.done = [aRun, engine, finish](http::CallEnd aEnd,
                                       const http::Response& aAnswer) {
    if (!engine) {
      finish(aEnd == http::CallEnd::NotSent || aEnd == http::CallEnd::TimedOut);
      return;
    }
    const json report = json::parse(aAnswer.body, nullptr, false);
    const bool same =
      report.is_object() &&
      (aRun.incarnation == 0 ||
       report.value("incarnation", std::uint64_t{ 0 }) == aRun.incarnation);
    finish(aEnd != http::CallEnd::Complete || !same);
  };
  // A plain service has no report; HEAD only shows whether it still listens.
  const http::Request question{
    engine ? "GET" : "HEAD", engine ? "/v1/report" : "/", "", {}, ""
  };
  started.call = mClient.start(
    upstream->address, question, kProbeTimeout, std::move(events), false);
}

void
CrashWatch::announce(const request::CrashReport& aReport,
                     std::function<void()> aDone)
{
  const auto peers = mMembership.alivePeers(base::monotonicNow());
  const std::uint64_t number = ++mNumber;
  json body = encode(aReport);
  body["number"] = number;
  Announcement& announcement = mAnnouncements[number];
  announcement.done = std::move(aDone);
  for (const base::VmName& peer : peers) {
    announcement.waitingFor.insert(peer);
    mPeers.send(peer, kSuspect, body);
  }
  const base::Duration wait = peers.empty() ? base::Duration() : kPeerTimeout;
  announcement.timeout =
    mLoop.after(wait, [this, number] { finishAnnouncement(number); });
}

void
CrashWatch::acknowledged(std::uint64_t aNumber, const base::VmName& aVm)
{
  const auto found = mAnnouncements.find(aNumber);
  if (found == mAnnouncements.end()) {
    return;
  }
  found->second.waitingFor.erase(aVm);
  if (found->second.waitingFor.empty()) {
    finishAnnouncement(aNumber);
  }
}

void
CrashWatch::finishAnnouncement(std::uint64_t aNumber)
{
  const auto ended = mAnnouncements.extract(aNumber);
  if (!ended.empty()) {
    ended.mapped().done();
  }
}

void
CrashWatch::onSuspect(const mesh::Envelope& aEnvelope)
{
  mGuard.merge(decode(aEnvelope.body), base::monotonicNow());
  mPeers.send(
    aEnvelope.from, kSuspectAck, { { "number", aEnvelope.body.at("number") } });
}

void
CrashWatch::completed(const std::string& aFingerprint)
{
  const auto crashes = mGuard.onCompleted(aFingerprint, base::monotonicNow());
  if (!crashes.empty()) {
    mPeers.broadcast(
      kCleared, { { "fingerprint", aFingerprint }, { "crashes", crashes } });
  }
}

void
CrashWatch::trialAt(const std::string& aFingerprint,
                    const base::UpstreamName& aUpstream)
{
  mGuard.onTrialAt(aFingerprint, aUpstream);
  mPeers.broadcast(
    kSuspectTrial,
    { { "fingerprint", aFingerprint }, { "upstream", aUpstream } });
}

void
CrashWatch::returnTrial(const std::string& aFingerprint)
{
  trialAt(aFingerprint, "");
  const base::VmName owner = mGuard.owner(aFingerprint);
  if (owner == mMembership.self()) {
    mGuard.returnTrial(aFingerprint);
  } else if (!owner.empty()) {
    mPeers.send(owner, kTrialReturn, { { "fingerprint", aFingerprint } });
  }
}

void
CrashWatch::cancel(const UpstreamRun& aRun,
                   const std::string& aId,
                   const std::string& aFingerprint,
                   bool aTrial)
{
  const Upstream* upstream = mUpstreams.find(aRun.name);
  const bool engine =
    upstream != nullptr && upstream->vm.role == membership::Role::Engine;
  if (!engine) {
    return;
  }
  const std::uint64_t number = ++mNumber;
  http::CallEvents events;
  events.done = [this, number, aRun, aFingerprint, aTrial](
                  http::CallEnd aEnd, const http::Response& /*aAnswer*/) {
    const auto ended = mCancels.extract(number);
    if (aEnd != http::CallEnd::Complete) {
      // A caller that hangs up early must not hide that its request crashes.
      judge(aRun, aFingerprint, [](bool) {});
    } else if (aTrial) {
      returnTrial(aFingerprint);
    }
  };
  mCancels[number] =
    mClient.start(upstream->address,
                  { "DELETE", "/v1/requests/" + aId, "", {}, "" },
                  kCancelTimeout,
                  std::move(events),
                  false);
}

json
CrashWatch::dump() const
{
  json suspects = json::array();
  for (const request::CrashReport& report : mGuard.reports()) {
    suspects.push_back(encode(report));
  }
  return suspects;
}

} // namespace marigold::entry
