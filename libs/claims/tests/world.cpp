/** @file A simulated fleet around the claims library, with its oracle. */
#include "world.h"

#include <algorithm>
#include <array>
#include <list>
#include <sstream>
#include <utility>

namespace marigold::claims::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kHomeVms = 3;
constexpr int kVms = 5;
constexpr int kKeys = 3;
constexpr base::Duration kTick = milliseconds(40);
constexpr base::Duration kCallTimeout = milliseconds(300);
constexpr base::Duration kGrant = milliseconds(1000);
constexpr const char* kGroupKey = "group";

enum PlatformMode : int
{
  Up,
  Down,
  Slow,
  Lossy,
};

/** Short periods, so that a sequence passes several lifetimes. */
Terms
shortTerms(const Disabled& aDisabled)
{
  Terms terms;
  terms.quorum = aDisabled.quorum ? 1 : 2;
  terms.lifetime = std::chrono::seconds(30);
  terms.grant = aDisabled.grantExpiry ? std::chrono::hours(1) : kGrant;
  terms.voteTimeout = milliseconds(500);
  terms.replaceAfter = milliseconds(1000);
  terms.lossAfter = milliseconds(2000);
  terms.sealFor = milliseconds(800);
  return terms;
}

std::string
nameOf(int aVm)
{
  return "vm-" + std::to_string(aVm);
}

int
numberOf(const base::VmName& aVm)
{
  return std::stoi(aVm.substr(3));
}

std::string
encode(const GroupRecord& aRecord)
{
  std::string text = std::to_string(aRecord.epoch);
  for (const auto& [vm, member] : aRecord.members) {
    text += " " + vm + " " + std::to_string(member.incarnation) + " " +
            std::to_string(member.since);
  }
  return text;
}

GroupRecord
decode(const std::string& aText)
{
  GroupRecord record;
  std::istringstream in(aText);
  in >> record.epoch;
  std::string vm;
  Member member;
  while (in >> vm >> member.incarnation >> member.since) {
    record.members[vm] = member;
  }
  return record;
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  static constexpr std::array kNames{ "Request",  "Advance", "Kill", "Restart",
                                      "Pause",    "Resume",  "Cut",  "Heal",
                                      "Platform", "Network" };
  return aOut << "{StepKind::"
              << kNames.at(static_cast<std::size_t>(aStep.kind)) << ", "
              << aStep.first << ", " << aStep.second << "}";
}

struct World::Attempt
{
  ClaimKey key;
  AttemptId id;
  Coordinator coordinator;
  bool platformAsked = false;
  bool platformAnswered = false;
  bool released = false;
};

struct World::Process
{
  Process(int aVm,
          base::Incarnation aRun,
          const Terms& aTerms,
          base::TimePoint aNow)
    : vm(aVm)
    , run(aRun)
    , voter(aTerms)
    , member(nameOf(aVm), aRun, voter, aTerms, aNow)
  {
  }

  int vm;
  base::Incarnation run;
  Voter voter;
  GroupMember member;
  std::optional<GroupRecord> known; ///< as a coordinator knows it
  std::map<base::VmName, PeerView> peers;
  std::list<Attempt> attempts;
  std::list<Work> backlog; ///< what arrived while paused
  bool paused = false;
};

World::World(std::uint64_t aSeed, Disabled aDisabled)
  : mRandom(aSeed)
  , mDisabled(aDisabled)
  , mTerms(shortTerms(aDisabled))
  , mProcesses(kVms)
{
  for (int vm = 0; vm < kVms; ++vm) {
    start(vm);
  }
  advance(milliseconds(1500));
}

World::~World() = default;

void
World::at(base::Duration aDelay, Work aWork)
{
  mQueue.emplace(std::pair(mNow + aDelay, ++mSerial), std::move(aWork));
}

void
World::advance(base::Duration aBy)
{
  const base::TimePoint end = mNow + aBy;
  while (!mQueue.empty() && mQueue.begin()->first.first <= end) {
    mNow = mQueue.begin()->first.first;
    const Work work = std::move(mQueue.begin()->second);
    mQueue.erase(mQueue.begin());
    work();
  }
  mNow = end;
}

bool
World::connected(int aFrom, int aTo) const
{
  return !mCut.contains({ std::min(aFrom, aTo), std::max(aFrom, aTo) });
}

void
World::onProcess(int aVm, base::Incarnation aRun, Work aWork)
{
  Process* process = mProcesses[aVm].get();
  if (process == nullptr || (aRun != 0 && process->run != aRun)) {
    return;
  }
  if (process->paused) {
    process->backlog.push_back(std::move(aWork));
    return;
  }
  aWork();
}

void
World::message(int aFrom, int aTo, const std::function<void(Process&)>& aWork)
{
  const int copies = mBadNetwork ? static_cast<int>(mRandom.below(3)) : 1;
  for (int copy = 0; copy < (aFrom == aTo ? 1 : copies); ++copy) {
    const auto delay =
      milliseconds(aFrom == aTo ? 0 : mRandom.below(mBadNetwork ? 400 : 3) + 1);
    at(delay, [this, aFrom, aTo, aWork] {
      if (aFrom == aTo || connected(aFrom, aTo)) {
        onProcess(aTo, 0, [this, aTo, aWork] { aWork(*mProcesses[aTo]); });
      }
    });
  }
}

void
World::callPlatform(Process& aFrom,
                    const std::function<Work(Kv&)>& aCall,
                    const Work& aLost)
{
  const int vm = aFrom.vm;
  const base::Incarnation run = aFrom.run;
  const auto ended = std::make_shared<bool>(false);
  const auto once = [this, vm, run, ended](const Work& aWork) {
    onProcess(vm, run, [ended, aWork] {
      if (!std::exchange(*ended, true)) {
        aWork();
      }
    });
  };
  at(kCallTimeout, [once, aLost] { once(aLost); });
  const auto delay = [this] {
    return milliseconds(mRandom.below(mPlatformMode == Slow ? 1500 : 5) + 1);
  };
  at(delay(), [this, vm, once, delay, aCall] {
    if (mPlatformMode == Down || mCutFromPlatform.contains(vm)) {
      return;
    }
    const Work result = aCall(mKv);
    if (mPlatformMode == Lossy && mRandom.chance(0.5)) {
      return;
    }
    at(delay(), [this, vm, once, result] {
      if (!mCutFromPlatform.contains(vm)) {
        once(result);
      }
    });
  });
}

void
World::start(int aVm)
{
  mProcesses[aVm] = std::make_unique<Process>(aVm, ++mSerial, mTerms, mNow);
  tick(*mProcesses[aVm]);
}

void
World::tick(Process& aProcess)
{
  const int vm = aProcess.vm;
  const base::Incarnation run = aProcess.run;
  for (int peer = 0; peer < kHomeVms; ++peer) {
    const Process* other = mProcesses[peer].get();
    if (peer != vm && other != nullptr && !other->paused &&
        connected(peer, vm)) {
      aProcess.peers[nameOf(peer)] = { other->run, mNow };
    }
  }
  if (vm < kHomeVms) {
    aProcess.voter.expire(mNow);
    for (const Claim& claim : aProcess.voter.takeExpired()) {
      callPlatform(
        aProcess,
        [claim](Kv& aKv) {
          const auto held = aKv.find("claims/" + claim.key);
          if (held != aKv.end() && held->second.value == claim.attempt) {
            aKv.erase(held);
          }
          return [] {};
        },
        [] {});
    }
    group(aProcess, aProcess.member.onTick(aProcess.peers, mNow));
  }
  for (Attempt& attempt : aProcess.attempts) {
    act(aProcess, attempt, attempt.coordinator.onTick(mNow));
  }
  at(kTick, [this, vm, run] {
    onProcess(vm, run, [this, vm] { tick(*mProcesses[vm]); });
  });
}

void
World::group(Process& aProcess, const GroupActions& aActions)
{
  if (aActions.readRecord) {
    readGroup(aProcess);
  }
  if (aActions.propose) {
    propose(aProcess, aActions);
  }
  if (aActions.listClaims) {
    listClaims(aProcess);
  }
  const Epoch epoch = aProcess.member.record().epoch;
  for (const base::VmName& vm : aActions.seal) {
    const int joiner = aProcess.vm;
    message(joiner, numberOf(vm), [this, joiner, epoch](Process& aMember) {
      sealAt(aMember, joiner, epoch);
    });
  }
}

void
World::sealAt(Process& aMember, int aJoiner, Epoch aEpoch)
{
  const bool sealed = mDisabled.seal ? aMember.voter.epoch() == aEpoch
                                     : aMember.member.onSeal(aEpoch, mNow);
  if (!sealed) {
    return;
  }
  std::vector<Claim> claims = aMember.voter.claims(mNow);
  if (mDisabled.copy) {
    claims.clear();
  }
  const base::Duration lostFor = aMember.voter.lostUntil() - mNow;
  const base::VmName from = nameOf(aMember.vm);
  message(aMember.vm, aJoiner, [=, this](Process& aOther) {
    group(aOther, aOther.member.onCopy(from, aEpoch, claims, lostFor, mNow));
  });
}

void
World::readGroup(Process& aProcess)
{
  const base::TimePoint readAt = mNow;
  callPlatform(
    aProcess,
    [this, &aProcess, readAt](Kv& aKv) {
      const Stored stored = aKv[kGroupKey];
      return [this, &aProcess, stored, readAt] {
        const GroupRecord record =
          stored.revision == 0 ? GroupRecord{} : decode(stored.value);
        group(aProcess,
              aProcess.member.onRecord(record, stored.revision, readAt, mNow));
      };
    },
    [] {});
}

void
World::propose(Process& aProcess, const GroupActions& aActions)
{
  callPlatform(
    aProcess,
    [this, &aProcess, aActions](Kv& aKv) {
      Stored& stored = aKv[kGroupKey];
      if (stored.revision == aActions.expectedRevision) {
        stored = { encode(*aActions.propose), ++mRevision };
      }
      return [this, &aProcess] {
        readGroup(aProcess);
        for (const auto& [vm, view] : aProcess.peers) {
          message(aProcess.vm, numberOf(vm), [this](Process& aOther) {
            readGroup(aOther);
          });
        }
      };
    },
    [] {});
}

void
World::listClaims(Process& aProcess)
{
  const Epoch epoch = aProcess.member.record().epoch;
  callPlatform(
    aProcess,
    [this, &aProcess, epoch](Kv& aKv) {
      std::vector<Claim> claims;
      for (const auto& [key, stored] : aKv) {
        if (key.starts_with("claims/") && !mDisabled.copy) {
          claims.push_back(
            { key.substr(7), stored.value, ClaimState::InProgress, {}, true });
        }
      }
      return [this, &aProcess, epoch, claims] {
        aProcess.member.onListed(epoch, claims, mNow);
      };
    },
    [] {});
}

void
World::request(int aKey, int aVm)
{
  Process* process = mProcesses[aVm].get();
  if (process == nullptr || process->paused) {
    return;
  }
  process->attempts.push_back({ "key-" + std::to_string(aKey),
                                "attempt-" + std::to_string(++mSerial),
                                Coordinator(mTerms, mNow) });
  Attempt& attempt = process->attempts.back();
  act(*process, attempt, attempt.coordinator.start(process->known, {}, mNow));
}

void
World::act(Process& aProcess, Attempt& aAttempt, const CoordinatorActions& aDo)
{
  for (const base::VmName& vm : aDo.ask) {
    askMember(aProcess, aAttempt, numberOf(vm));
  }
  if (aDo.askPlatform) {
    aAttempt.platformAsked = true;
    askPlatform(aProcess, aAttempt);
  }
  if (aDo.readRecord) {
    readRecord(aProcess, aAttempt);
  }
  if (aDo.decision) {
    decided(aProcess, aAttempt, *aDo.decision);
  }
}

void
World::askMember(Process& aProcess, Attempt& aAttempt, int aMember)
{
  const int from = aProcess.vm;
  const base::Incarnation run = aProcess.run;
  const Epoch epoch = aAttempt.coordinator.epoch();
  message(from,
          aMember,
          [=, this, &aAttempt, key = aAttempt.key, id = aAttempt.id](
            Process& aVoter) {
            Vote vote =
              aVoter.voter.request(key, id, epoch, milliseconds(2000), mNow);
            if (vote.kind == VoteKind::NotVoting &&
                aVoter.member.record().epoch > 0) {
              vote.record = aVoter.member.record();
            }
            if (mDisabled.voteOnce && vote.kind != VoteKind::NotVoting) {
              vote.kind = VoteKind::Granted;
            }
            message(aMember, from, [=, this, &aAttempt](Process& aSelf) {
              if (aSelf.run == run) {
                act(aSelf,
                    aAttempt,
                    aAttempt.coordinator.onVote(nameOf(aMember), vote, mNow));
              }
            });
          });
}

void
World::askPlatform(Process& aProcess, Attempt& aAttempt)
{
  const auto answer = [this, &aProcess, &aAttempt](PlatformVote aVote) {
    aAttempt.platformAnswered = true;
    act(aProcess, aAttempt, aAttempt.coordinator.onPlatform(aVote, mNow));
  };
  // The calls may reach the platform after this process has died.
  const AttemptId id = aAttempt.id;
  const std::string place = "claims/" + aAttempt.key;
  const auto create = [this, id, place, answer](Kv& aKv) {
    Stored& stored = aKv[place];
    if (stored.revision == 0) {
      stored = { id, ++mRevision };
    }
    const bool mine = stored.value == id || mDisabled.voteOnce;
    return [answer, mine] {
      answer(mine ? PlatformVote::Granted : PlatformVote::Taken);
    };
  };
  // A lost answer is read back once.
  callPlatform(aProcess, create, [=, this, &aProcess] {
    callPlatform(
      aProcess,
      [=](Kv& aKv) {
        const Stored stored = aKv[place];
        const PlatformVote vote = stored.revision == 0 ? PlatformVote::Failed
                                  : stored.value == id ? PlatformVote::Granted
                                                       : PlatformVote::Taken;
        return [answer, vote] { answer(vote); };
      },
      [answer] { answer(PlatformVote::Failed); });
  });
}

void
World::readRecord(Process& aProcess, Attempt& aAttempt)
{
  const bool after = aAttempt.platformAnswered;
  const auto done = [this, &aProcess, &aAttempt, after](
                      std::optional<GroupRecord> aRecord) {
    if (mDisabled.confirm && after && aProcess.known) {
      aRecord = aProcess.known;
    } else if (aRecord) {
      aProcess.known = aRecord;
    }
    act(
      aProcess, aAttempt, aAttempt.coordinator.onRecord(aRecord, after, mNow));
  };
  callPlatform(
    aProcess,
    [done](Kv& aKv) {
      const Stored stored = aKv[kGroupKey];
      return [done, stored] {
        done(stored.revision == 0 ? std::nullopt
                                  : std::optional(decode(stored.value)));
      };
    },
    [done] { done(std::nullopt); });
}

void
World::decided(Process& aProcess, Attempt& aAttempt, const Decision& aDecision)
{
  switch (aDecision.verdict) {
    case Verdict::Granted: {
      const int vm = aProcess.vm;
      const base::Incarnation run = aProcess.run;
      at(milliseconds(mRandom.below(5)), [=, this, &aAttempt] {
        onProcess(vm, run, [=, this, &aAttempt] {
          forward(*mProcesses[vm], aAttempt);
        });
      });
      return;
    }
    case Verdict::Repeat:
      repeated(aAttempt.key, *aDecision.answer);
      break;
    case Verdict::InProgress:
    case Verdict::Unknown:
      ++mOutcomes["unknown"];
      break;
    case Verdict::NoQuorum:
      answered(aAttempt.id, "not-run");
      break;
  }
  release(aProcess, aAttempt);
}

void
World::forward(Process& aProcess, Attempt& aAttempt)
{
  const bool refused = mRandom.chance(0.1);
  if (!aAttempt.coordinator.mayForward(mNow) || refused) {
    answered(aAttempt.id, "not-run");
    release(aProcess, aAttempt);
    return;
  }
  execute(aAttempt.key, aAttempt.id);
  const bool lost = mRandom.chance(0.1);
  Claim claim{ aAttempt.key, aAttempt.id, ClaimState::Unknown, {}, true };
  if (!lost) {
    claim.state = ClaimState::Done;
    claim.answer = StoredAnswer{ 200, {}, aAttempt.id };
  }
  const int vm = aProcess.vm;
  const base::Incarnation run = aProcess.run;
  at(milliseconds(mRandom.below(200)), [=, this, &aAttempt] {
    onProcess(vm, run, [=, this, &aAttempt] {
      finish(*mProcesses[vm], aAttempt, claim);
    });
  });
}

void
World::finish(Process& aProcess, Attempt& aAttempt, const Claim& aClaim)
{
  ++mOutcomes[aClaim.state == ClaimState::Done ? "ran" : "unknown"];
  for (const base::VmName& vm : aAttempt.coordinator.asked()) {
    message(aProcess.vm, numberOf(vm), [this, aClaim](Process& aVoter) {
      aVoter.voter.settle(aClaim, mNow);
    });
  }
}

void
World::release(Process& aProcess, Attempt& aAttempt)
{
  aAttempt.released = true;
  for (const base::VmName& vm : aAttempt.coordinator.asked()) {
    message(aProcess.vm,
            numberOf(vm),
            [key = aAttempt.key, id = aAttempt.id](Process& aVoter) {
              aVoter.voter.release(key, id);
            });
  }
  if (!aAttempt.platformAsked) {
    return;
  }
  callPlatform(
    aProcess,
    [key = aAttempt.key, id = aAttempt.id](Kv& aKv) {
      const auto held = aKv.find("claims/" + key);
      if (held != aKv.end() && held->second.value == id) {
        aKv.erase(held);
      }
      return [] {};
    },
    [] {});
}

void
World::fail(const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation = aWhat;
  }
}

void
World::execute(const ClaimKey& aKey, const AttemptId& aAttempt)
{
  for (const base::TimePoint before : mRuns[aKey]) {
    if (mNow - before < mTerms.lifetime - kGrant) {
      fail(aKey + " ran twice, the second time by " + aAttempt);
    }
  }
  mRuns[aKey].push_back(mNow);
  mExecuted[aAttempt] = aKey;
  if (mNotRun.contains(aAttempt)) {
    fail(aAttempt + " ran after the answer that it was not run");
  }
}

void
World::answered(const AttemptId& aAttempt, const std::string& aOutcome)
{
  ++mOutcomes[aOutcome];
  mNotRun.insert(aAttempt);
  if (mExecuted.contains(aAttempt)) {
    fail(aAttempt + " ran but was answered as not run");
  }
}

void
World::repeated(const ClaimKey& aKey, const StoredAnswer& aAnswer)
{
  ++mOutcomes["repeat"];
  const auto run = mExecuted.find(aAnswer.body);
  if (run == mExecuted.end()) {
    fail("a stored answer belongs to an attempt that did not run");
  } else if (run->second != aKey) {
    fail("a stored answer belongs to another key");
  }
}

void
World::cut(int aLeft, int aRight)
{
  mCut.insert({ std::min(aLeft, aRight), std::max(aLeft, aRight) });
}

void
World::breakLinks(int aVm, int aKind)
{
  const bool isolated = aKind == 0 || aKind == 2;
  const bool dataCentres = aKind == 3;
  for (int left = 0; left < kVms; ++left) {
    for (int right = left + 1; right < kVms; ++right) {
      const bool far = left < kHomeVms && right >= kHomeVms;
      if ((isolated && (left == aVm || right == aVm)) || (dataCentres && far)) {
        cut(left, right);
      }
    }
    if ((aKind == 4 && left < kHomeVms) ||
        (left == aVm && (aKind == 1 || aKind == 2))) {
      mCutFromPlatform.insert(left);
    }
  }
}

std::vector<int>
World::members() const
{
  std::vector<int> numbers;
  const auto stored = mKv.find(kGroupKey);
  if (stored != mKv.end()) {
    for (const auto& [vm, member] : decode(stored->second.value).members) {
      numbers.push_back(numberOf(vm));
    }
  }
  return numbers;
}

void
World::apply(const Step& aStep)
{
  const int vm = aStep.first % kVms;
  Process* process = mProcesses[vm].get();
  switch (aStep.kind) {
    case StepKind::Request:
      request(aStep.first % kKeys, aStep.second % kVms);
      return;
    case StepKind::Advance: {
      // Steps within a vote, within an epoch change and beyond a lifetime.
      constexpr std::array<int, 4> kScale{ 2, 40, 600, 8000 };
      advance(
        milliseconds(kScale.at(aStep.first % 4) * (aStep.second % 5 + 1)));
      return;
    }
    case StepKind::Kill:
      mProcesses[vm].reset();
      return;
    case StepKind::Restart:
      start(vm);
      return;
    case StepKind::Pause:
      if (process != nullptr) {
        process->paused = true;
      }
      return;
    case StepKind::Resume:
      if (process != nullptr && process->paused) {
        process->paused = false;
        for (const Work& work : std::exchange(process->backlog, {})) {
          work();
        }
      }
      return;
    case StepKind::Cut:
      breakLinks(vm, aStep.second % 5);
      return;
    case StepKind::Heal:
      mCut.clear();
      mCutFromPlatform.clear();
      return;
    case StepKind::Platform:
      // Up is as likely as all kinds of outages together.
      mPlatformMode = std::max<int>(Up, aStep.first % 6 - 2);
      return;
    case StepKind::Network:
      mBadNetwork = aStep.first % 2 == 1;
      return;
  }
}

void
World::settle()
{
  apply({ StepKind::Heal, 0, 0 });
  for (int vm = 0; vm < kVms; ++vm) {
    apply({ StepKind::Resume, vm, 0 });
  }
  advance(milliseconds(3000));
}

} // namespace marigold::claims::testing
