/** @file A simulated fleet around the claims library, with its oracle. */
#pragma once

#include "claims/claims.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace marigold::claims::testing {

/** What happens next in a sequence. */
enum class StepKind : std::uint8_t
{
  Request,  ///< a caller sends key first through VM second
  Advance,  ///< time passes
  Kill,     ///< process of VM first dies
  Restart,  ///< process of VM first starts again, with an empty table
  Pause,    ///< process of VM first stops for a while
  Resume,   ///< it goes on
  Cut,      ///< links of VM first, of a data centre or to the platform break
  Heal,     ///< all links work again
  Platform, ///< the platform is up, down, slow or loses answers
  Network,  ///< messages are delivered well or badly
};

struct Step
{
  StepKind kind = StepKind::Advance;
  int first = 0;
  int second = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep);

/** Mechanisms that a test switches off to show that the oracle needs them. */
struct Disabled
{
  bool quorum = false;      ///< one vote is enough
  bool voteOnce = false;    ///< voters grant a key to every attempt
  bool copy = false;        ///< members join with an empty table
  bool seal = false;        ///< a member goes on voting after it was copied
  bool grantExpiry = false; ///< a coordinator forwards however late it is
  bool confirm = false; ///< the record is not read after the platform's vote
};

/** Five VMs, three of them in the home data centre, and a platform. */
class World
{
public:
  explicit World(std::uint64_t aSeed, Disabled aDisabled = {});
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /** @param aStep what happens */
  void apply(const Step& aStep);

  /** Lets everything that was begun come to its end. */
  void settle();

  /** @param aBy time that passes */
  void advance(base::Duration aBy);

  /** @param aKey key @param aVm VM that receives a request for it */
  void request(int aKey, int aVm);

  /** Breaks one link. @param aLeft VM @param aRight VM */
  void cut(int aLeft, int aRight);

  /** @return numbers of the members of the claim group */
  std::vector<int> members() const;

  /** @return what was wrong, empty if nothing was */
  const std::string& violation() const { return mViolation; }

  /** @return requests that ran, to show that a sequence did something */
  std::size_t executions() const { return mExecuted.size(); }

  /** @return verdicts with their counts */
  const std::map<std::string, int>& outcomes() const { return mOutcomes; }

private:
  struct Attempt;
  struct Process;
  struct Stored
  {
    std::string value;
    std::uint64_t revision = 0;
  };
  using Kv = std::map<std::string, Stored>;
  using Work = std::function<void()>;

  // Time and delivery.
  void at(base::Duration aDelay, Work aWork);
  bool connected(int aFrom, int aTo) const;
  void message(int aFrom, int aTo, const std::function<void(Process&)>& aWork);
  void onProcess(int aVm, base::Incarnation aRun, Work aWork);
  void callPlatform(Process& aFrom,
                    const std::function<Work(Kv&)>& aCall,
                    const Work& aLost);

  void breakLinks(int aVm, int aKind);

  // Processes.
  void start(int aVm);
  void tick(Process& aProcess);
  void group(Process& aProcess, const GroupActions& aActions);
  void readGroup(Process& aProcess);
  void propose(Process& aProcess, const GroupActions& aActions);
  void listClaims(Process& aProcess);
  void sealAt(Process& aMember, int aJoiner, Epoch aEpoch);

  // Attempts.
  void act(Process& aProcess, Attempt& aAttempt, const CoordinatorActions& aDo);
  void askMember(Process& aProcess, Attempt& aAttempt, int aMember);
  void askPlatform(Process& aProcess, Attempt& aAttempt);
  void readRecord(Process& aProcess, Attempt& aAttempt);
  void decided(Process& aProcess, Attempt& aAttempt, const Decision& aDecision);
  void forward(Process& aProcess, Attempt& aAttempt);
  void finish(Process& aProcess, Attempt& aAttempt, const Claim& aClaim);
  void release(Process& aProcess, Attempt& aAttempt);

  // Oracle.
  void execute(const ClaimKey& aKey, const AttemptId& aAttempt);
  void answered(const AttemptId& aAttempt, const std::string& aOutcome);
  void repeated(const ClaimKey& aKey, const StoredAnswer& aAnswer);
  void fail(const std::string& aWhat);

  base::Random mRandom;
  Disabled mDisabled;
  Terms mTerms;
  base::TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mSerial = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, Work> mQueue;
  std::vector<std::unique_ptr<Process>> mProcesses;
  std::set<std::pair<int, int>> mCut;
  std::set<int> mCutFromPlatform;
  Kv mKv;
  std::uint64_t mRevision = 0;
  int mPlatformMode = 0;
  bool mBadNetwork = false;
  std::map<ClaimKey, std::vector<base::TimePoint>> mRuns;
  std::map<AttemptId, ClaimKey> mExecuted;
  std::set<AttemptId> mNotRun;
  std::map<std::string, int> mOutcomes;
  std::string mViolation;
};

} // namespace marigold::claims::testing
