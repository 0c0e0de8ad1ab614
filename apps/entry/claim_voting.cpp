#include "apps/entry/claim_voting.h"

#include "apps/entry/claim_wire.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marigold::entry {
namespace {

using claims::Claim;
using nlohmann::json;

constexpr base::Duration kTick = std::chrono::milliseconds(250);

/** Claims of one part of a copy take at most about this much of a message. */
constexpr std::size_t kPartBytes = 512UL * 1024;

/** Size of a claim in a copy without its answer. */
constexpr std::size_t kClaimBytes = 256;

std::vector<json>
splitClaims(const std::vector<Claim>& aClaims)
{
  std::vector<json> parts(1, json::array());
  std::size_t bytes = 0;
  for (const Claim& claim : aClaims) {
    const std::size_t size =
      kClaimBytes + (claim.answer ? claim.answer->bytes() : 0);
    if (bytes + size > kPartBytes) {
      parts.push_back(json::array());
      bytes = 0;
    }
    bytes += size;
    parts.back().push_back(encodeClaim(claim));
  }
  return parts;
}

} // namespace

ClaimVoting::ClaimVoting(http::Loop& aLoop,
                         const Settings& aSettings,
                         base::Incarnation aIncarnation,
                         const claims::Terms& aTerms,
                         PeerLink& aPeers,
                         ClaimStore& aStore,
                         membership::Membership& aMembership,
                         observe::Metrics& aMetrics)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mPeers(aPeers)
  , mStore(aStore)
  , mMembership(aMembership)
  , mMetrics(aMetrics)
  , mVoter(aTerms)
  , mMember(aSettings.vm, aIncarnation, mVoter, aTerms, base::monotonicNow())
  , mSerial(aIncarnation)
{
}

void
ClaimVoting::start()
{
  for (const char* type : { kVoteRequestMessage,
                            kVoteMessage,
                            kSettleMessage,
                            kReleaseMessage,
                            kClaimSyncMessage }) {
    mPeers.on(type, [this](const mesh::Envelope& aEnvelope) {
      receive(aEnvelope.from, aEnvelope.type, aEnvelope.body);
    });
  }
  mTick = mLoop.every(kTick, [this] { tick(); });
}

void
ClaimVoting::send(const base::VmName& aVm,
                  const std::string& aType,
                  const json& aBody)
{
  if (aVm != mSettings.vm) {
    mPeers.send(aVm, aType, aBody);
    return;
  }
  mLoop.post([this, aType, aBody] { receive(mSettings.vm, aType, aBody); });
}

void
ClaimVoting::receive(const base::VmName& aFrom,
                     const std::string& aType,
                     const json& aBody)
{
  if (aType == kVoteRequestMessage) {
    onVoteRequest(aFrom, aBody);
  } else if (aType == kVoteMessage) {
    mOnVote(aFrom, aBody);
  } else if (aType == kClaimSyncMessage) {
    onSync(aFrom, aBody);
  } else {
    onClosing(aFrom, aType, aBody);
  }
}

void
ClaimVoting::onVoteRequest(const base::VmName& aFrom, const json& aBody)
{
  if (aBody.at("home") != mSettings.dataCentre) {
    return;
  }
  claims::Vote vote = mVoter.request(
    aBody.at("key"),
    aBody.at("attempt"),
    aBody.at("epoch"),
    std::chrono::milliseconds(aBody.at("deadline_ms").get<std::int64_t>()),
    base::monotonicNow());
  if (vote.kind == claims::VoteKind::NotVoting && mMember.record().epoch > 0) {
    vote.record = mMember.record();
  }
  mMetrics
    .counter("marigold_claim_votes_total",
             "Votes of this VM by kind.",
             { { "kind", std::to_string(static_cast<int>(vote.kind)) } })
    .Increment();
  send(aFrom, kVoteMessage, encodeVote(vote));
}

void
ClaimVoting::onClosing(const base::VmName& aFrom,
                       const std::string& aType,
                       const json& aBody)
{
  if (aBody.at("home") != mSettings.dataCentre) {
    return;
  }
  const Claim claim = decodeClaim(aBody.at("claim"));
  if (aType == kReleaseMessage) {
    mVoter.release(claim.key, claim.attempt);
  } else {
    mVoter.settle(claim, base::monotonicNow());
  }
  send(aFrom, kVoteMessage, { { "acknowledged", claim.attempt } });
}

void
ClaimVoting::onSync(const base::VmName& aFrom, const json& aBody)
{
  const std::string step = aBody.at("step");
  if (step == "changed") {
    readRecord();
  } else if (step == "seal") {
    const claims::Epoch epoch = aBody.at("epoch");
    if (mMember.onSeal(epoch, base::monotonicNow())) {
      sendCopy(aFrom, epoch);
    }
  } else if (step == "copy") {
    onCopyPart(aFrom, aBody);
  }
}

void
ClaimVoting::sendCopy(const base::VmName& aJoiner, claims::Epoch aEpoch)
{
  const base::TimePoint now = base::monotonicNow();
  const std::vector<json> parts = splitClaims(mVoter.claims(now));
  const base::Duration lostFor =
    std::max(base::Duration::zero(), mVoter.lostUntil() - now);
  ++mSerial;
  for (const json& part : parts) {
    send(aJoiner,
         kClaimSyncMessage,
         { { "step", "copy" },
           { "epoch", aEpoch },
           { "serial", mSerial },
           { "parts", parts.size() },
           { "lost_ms", base::inMilliseconds(lostFor) + 1 },
           { "claims", part } });
  }
  observe::logInfo(
    "claims copied to a joining VM",
    { { "vm", aJoiner }, { "claims", std::to_string(mVoter.size()) } });
}

void
ClaimVoting::onCopyPart(const base::VmName& aFrom, const json& aBody)
{
  Incoming& incoming = mIncoming[aFrom];
  if (incoming.serial != aBody.at("serial")) {
    incoming = { aBody.at("serial"), 0, {} };
  }
  ++incoming.parts;
  for (const json& claim : aBody.at("claims")) {
    incoming.claims.push_back(decodeClaim(claim));
  }
  if (incoming.parts < aBody.at("parts").get<std::size_t>()) {
    return;
  }
  const std::vector<Claim> claims = std::move(incoming.claims);
  mIncoming.erase(aFrom);
  act(mMember.onCopy(
    aFrom,
    aBody.at("epoch"),
    claims,
    std::chrono::milliseconds(aBody.at("lost_ms").get<std::int64_t>()),
    base::monotonicNow()));
}

void
ClaimVoting::act(const claims::GroupActions& aActions)
{
  if (aActions.readRecord) {
    readRecord();
  }
  if (aActions.listClaims) {
    listClaims();
  }
  for (const base::VmName& vm : aActions.seal) {
    send(vm,
         kClaimSyncMessage,
         { { "step", "seal" }, { "epoch", mMember.record().epoch } });
  }
  if (!aActions.propose) {
    return;
  }
  const claims::GroupRecord record = *aActions.propose;
  mStore.writeRecord(
    mSettings.dataCentre, record, aActions.expectedRevision, [this, record] {
      readRecord();
      for (const auto& [vm, member] : record.members) {
        if (vm != mSettings.vm) {
          send(vm, kClaimSyncMessage, { { "step", "changed" } });
        }
      }
    });
}

void
ClaimVoting::readRecord()
{
  mStore.readRecord(
    mSettings.dataCentre, [this](const ClaimStore::RecordRead& aRead) {
      if (aRead.ok) {
        act(mMember.onRecord(
          aRead.record, aRead.revision, aRead.startedAt, base::monotonicNow()));
      }
    });
}

void
ClaimVoting::listClaims()
{
  const claims::Epoch epoch = mMember.record().epoch;
  mStore.list(
    mSettings.dataCentre,
    [this, epoch](const base::Captured<std::vector<Claim>>& aClaims) {
      if (base::errorOf(aClaims) != nullptr) {
        return; // the next read of the record starts another list
      }
      const claims::Epoch before = mVoter.epoch();
      mMember.onListed(
        epoch, std::get<std::vector<Claim>>(aClaims), base::monotonicNow());
      if (mVoter.epoch() != before) {
        observe::logInfo("votes in a new epoch of the claim group",
                         { { "epoch", std::to_string(epoch) },
                           { "claims", std::to_string(mVoter.size()) } });
      }
    });
}

void
ClaimVoting::tick()
{
  const base::TimePoint now = base::monotonicNow();
  std::map<base::VmName, claims::PeerView> views;
  for (const auto& [name, peer] : mMembership.peers()) {
    if (peer.heard && peer.last.dataCentre == mSettings.dataCentre) {
      views[name] = { peer.last.incarnation, peer.heardAt };
    }
  }
  act(mMember.onTick(views, now));
  mVoter.expire(now);
  for (const Claim& claim : mVoter.takeExpired()) {
    mStore.remove(mSettings.dataCentre, claim.key, claim.attempt);
  }
  mStore.removeSome(now);
  mMetrics
    .gauge("marigold_claims_held", "Claims that this VM holds as a voter.")
    .Set(static_cast<double>(mVoter.size()));
}

json
ClaimVoting::dump() const
{
  const base::TimePoint now = base::monotonicNow();
  json members = json::object();
  for (const auto& [vm, member] : mMember.record().members) {
    members[vm] = member.incarnation;
  }
  return { { "epoch", mMember.record().epoch },
           { "members", members },
           { "voting", mVoter.votes(now) },
           { "installed_epoch", mVoter.epoch() },
           { "sealed", mVoter.sealed() },
           { "lost_for_ms",
             std::max<std::int64_t>(
               0, base::inMilliseconds(mVoter.lostUntil() - now)) },
           { "claims", mVoter.size() },
           { "answer_bytes", mVoter.answerBytes() } };
}

} // namespace marigold::entry
