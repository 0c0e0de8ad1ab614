/** @file A watch of the store in a scripted world. */
#pragma once

#include "apps/gateway/prefix_watch.h"
#include "script.h"
#include "store.h"
#include "world.h"

namespace marigold::explore {

/**
 * A VM that watches keys (PrefixWatch, platform::Client), the store, and a
 * relay that the VM may read instead. Nothing happens unless an action says so.
 */
class WatchScenario
{
public:
  WatchScenario();
  WatchScenario(const WatchScenario&) = delete;
  WatchScenario& operator=(const WatchScenario&) = delete;

  /** @return the actions that are possible now */
  std::vector<Action> enabled() const;

  /** @param aAction action @return false if it is not possible now */
  bool apply(const Action& aAction);

  /** Lets the servers answer, and changes a key before and after a while. */
  void settle();

  /** @return what is wrong now, empty if nothing */
  std::string violation() const { return mViolation; }

  /** @return what is wrong after settle(), empty if nothing */
  std::string violationAtEnd() const { return mViolation; }

  /** @return the servers, the pending calls and the view, for a person */
  std::string describe() const;

  /** @return digest of the state, to recognise one that was seen before */
  std::uint64_t fingerprint() const;

private:
  /** A kind of action: when it is possible and what it does. */
  struct Kind;
  static const std::vector<Kind>& kinds();
  using PendingCall = Network::PendingCall;

  // What happens.
  void answer(std::size_t aTarget);
  void take(std::size_t aTarget);
  void deliver(std::size_t aTarget);
  void breakCall(std::size_t aTarget);
  void refuse(std::size_t aTarget);
  void silence(std::size_t aTarget);
  void write(std::size_t aTarget);
  void remove(std::size_t aTarget);
  void compact(std::size_t aTarget);
  void copy(std::size_t aTarget);
  void restore(std::size_t aTarget);
  void electRelay(std::size_t aTarget);
  void updateRelay(std::size_t aTarget);
  void relist(std::size_t aTarget);
  void haveLeases(std::size_t aTarget);
  void synchronize(std::size_t aTarget);
  void wait(std::size_t aTarget);
  void beLate(std::size_t aTarget);

  // When it is possible.
  bool canAnswer(std::size_t aTarget) const;
  bool canDeliver(std::size_t aTarget) const;
  bool isPending(std::size_t aTarget) const;
  bool canRefuse(std::size_t aTarget) const;
  bool canSilence(std::size_t aTarget) const;
  bool canWrite(std::size_t aTarget) const;
  bool canRemove(std::size_t aTarget) const;
  bool canCompact(std::size_t aTarget) const;
  bool canCopy(std::size_t aTarget) const;
  bool canRestore(std::size_t aTarget) const;
  bool canElectRelay(std::size_t aTarget) const;
  bool canUpdateRelay(std::size_t aTarget) const;
  bool canRelist(std::size_t aTarget) const;
  bool canHaveLeases(std::size_t aTarget) const;
  bool canSynchronize(std::size_t aTarget) const;
  bool canWait(std::size_t aTarget) const;
  bool canBeLate(std::size_t aTarget) const;

  // Parts of these.
  bool isPossible(const Kind& aKind, std::size_t aTarget) const;
  std::optional<Network::CallId> callAt(std::size_t aTarget) const;
  std::optional<http::Response> makeAnswer(const PendingCall& aCall) const;
  http::Response answerOf(const StoreContent& aContent,
                          const PendingCall& aCall) const;
  bool isAtRelay(const PendingCall& aCall) const;
  void disturb();
  void pass(base::Duration aTime);
  void advanceTo(base::TimePoint aTime);
  void answerAll();

  // What is asked.
  void showSnapshot(const platform::Snapshot& aSnapshot);
  void showChange(const platform::Entry& aEntry);
  void noteShown(const std::string& aKey,
                 platform::Revision aRevision,
                 platform::Era aEra);
  void requireCurrentView(const char* aWhen);
  void requireViewSince(const StoreContent& aContent);
  bool isOnlyCallToStore(Network::CallId aCall) const;
  void endInVain(Network::CallId aCall,
                 http::CallEnd aEnd,
                 const http::Response& aAnswer);
  void requirePauseAfterRefusal();
  void noteRelayList(const PendingCall& aCall);
  void requireTimeToCatchUp();

  World mWorld;
  Network mNetwork;
  http::Loop mLoop;
  platform::Client mStoreClient;
  platform::Client mRelayClient;
  StoreContent mStore;
  StoreContent mRelay;
  std::optional<StoreContent> mCopy; ///< from which the store may be restored
  bool mRelayElected = false;
  bool mRelayFollows = false; ///< its content is always that of the store
  base::TimePoint mRelayFailedUntil{};
  std::map<std::string, platform::Revision> mView;
  /** Latest revision at which each key was shown or found missing. */
  std::map<std::string, platform::Revision> mShown;
  platform::Era mShownEra = 0;
  base::TimePoint mDisturbedAt{};
  /** When the watch lost the store with the only call under way, unless the
   * store has answered one since, or was restored. */
  std::optional<base::TimePoint> mRefusedAt;
  /** Since when the lists of the relay are behind the view, if they are. */
  std::optional<base::TimePoint> mRelayBehindSince;
  bool mRelayLists = false; ///< it answers a list now
  std::string mViolation;
  std::size_t mWrites = 0;
  std::size_t mCompactions = 0;
  std::size_t mRestorations = 0;
  std::size_t mSilences = 0;
  std::size_t mElections = 0;
  std::size_t mRelists = 0;
  bool mHasLeases = false;
  std::size_t mSynchronizations = 0;
  std::size_t mWaits = 0;
  std::size_t mLate = 0;
  gateway::PrefixWatch mWatch;
};

} // namespace marigold::explore
