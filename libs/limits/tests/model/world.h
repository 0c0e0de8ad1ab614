/** @file A fleet of VMs with faulty clocks and network, in virtual time. */
#pragma once

#include "model/oracle.h"
#include "model/platform_model.h"
#include "model/step.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace marigold::limits::model {

/** Runs steps; the decisions under test are those of Holder and SlotKeeper. */
class World
{
public:
  explicit World(const Scenario& aScenario);

  /** @param aStep step to run */
  void step(const Step& aStep);

  /** @return empty or the violation so far */
  std::string violation() const;

private:
  struct OpenCharge
  {
    Charge charge;
    std::size_t admission = 0;
  };
  struct Vm
  {
    base::VmName name;
    base::Incarnation incarnation = 0;
    int dataCentre = 0;
    double drift = 1; ///< speed of its clock
    double origin = 0;
    bool paused = false;
    std::size_t limits = 0; ///< index of the manifest in force
    std::optional<Holder> holder;
    std::optional<SlotKeeper> keeper;
    std::optional<SlotTerm> slot;
    bool tokensGiven = false; ///< only without zeroTokens
    ListedVms listed;
    std::deque<OpenCharge> open;
    std::map<Ticket, double> waiting;
    std::vector<std::function<void()>> inbox; ///< while paused
    std::map<LoanId, base::TimePoint> asked;  ///< only without grantIds
  };
  struct Event
  {
    std::function<void()> run;
  };

  Vm& vmOf(const Step& aStep) { return *mVms[aStep.vm % mVms.size()]; }
  base::TimePoint local(const Vm& aVm) const;
  void boot(Vm& aVm, bool aNewName);
  void end(Vm& aVm);
  void advance(double aSeconds);
  void runEvents(double aUntil);
  void tick(Vm& aVm);
  void tickSlot(Vm& aVm);
  void rollOut(Vm& aVm);
  void at(double aTime, std::function<void()> aRun);
  void perform(Vm& aVm, const Actions& aActions);
  void transmit(Vm& aFrom, const Outgoing& aOutgoing);
  void deliver(Vm& aTo,
               base::Incarnation aIncarnation,
               const base::VmName& aFrom,
               const Message& aMessage);
  void receive(Vm& aTo, const base::VmName& aFrom, const Message& aMessage);
  void call(Vm& aVm, const SlotCall& aCall);
  void admit(Vm& aVm, double aCost);
  void drain(Vm& aVm);
  void refund(Vm& aVm, double aUsedPart);
  void applySlot(Vm& aVm);
  void setLimits(int aAmount);
  double delay();
  bool reaches(int aFrom, int aTo) const;
  bool platformReaches(int aDataCentre) const;

  Scenario mScenario;
  base::Random mRandom;
  double mNow = 0;
  std::multimap<double, Event> mEvents;
  std::vector<std::unique_ptr<Vm>> mVms;
  PlatformModel mPlatform;
  bool mPlatformUp = true;
  int mCut = -1; ///< data centre that is cut off
  std::uint64_t mNames = 0;
  Oracle mOracle;
  std::vector<Bound> mBounds; ///< one for each manifest
};

} // namespace marigold::limits::model
