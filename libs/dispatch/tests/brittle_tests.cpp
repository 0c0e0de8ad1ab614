/** @file Tests of a fleet beside upstreams that fall over when they turn too
 * many requests away. */
#include "dispatch/dispatch.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>

using namespace marigold;
using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;

namespace {

constexpr Duration kStep = 20ms;
constexpr TimePoint kStart{ 100s };
const char* const kService = "chat";

/** What is played. */
struct Scene
{
  std::size_t vms = 6;
  Duration reportDelay = 300ms;
  std::size_t upstreams = 9;
  unsigned slots = 8;
  unsigned waiting = 6;      ///< before the upstreams let fewer wait
  unsigned fewerWaiting = 1; ///< from four seconds after the first statement
  std::uint32_t maxRejections = 4;
  Duration occupancy = 2s; ///< mean time for which a request has a place
  Duration latestStart = 900ms;
  Duration played = 30s;
  /** Requests that arrive in a second, by the time since the start. */
  std::function<double(Duration)> demand;
  /** VMs that are out of step from 12 s on, for 5 s. */
  std::size_t frozen = 0;
  std::size_t cutOff = 0;
  std::size_t restarted = 0;
  /** Whether the VMs keep what an upstream says of itself; without it the
   * scene shows what the guard is for. */
  bool guarded = true;
};

struct Result
{
  unsigned falls = 0;
  unsigned served = 0;
  unsigned refused = 0;
  unsigned rejections = 0;
  unsigned refusedBesideRoom = 0; ///< while under half of the places were taken
};

/** A request on its way through the fleet. */
struct Request
{
  std::size_t vm = 0;
  unsigned tries = 0;
  bool repeated = false; ///< was held
  bool lost = false;     ///< ran at an upstream that fell over
};

struct Running
{
  Request request;
  TimePoint endsAt{};
};

/** An upstream that falls over when it turns too many requests away. */
struct BrittleUpstream
{
  std::uint32_t born = 0;
  TimePoint downUntil{};
  std::vector<Running> running;
  std::deque<Request> waiting;
  std::deque<std::pair<TimePoint, std::size_t>> rejections; ///< with the VM

  std::size_t held() const { return running.size() + waiting.size(); }
};

struct Vm
{
  dispatch::BrittleGuard guard;
  Duration lag{};                    ///< age of its view of the peers
  std::vector<std::uint32_t> sent;   ///< by upstream, of its requests there
  std::deque<Request> whileFrozen{}; ///< arrivals during a freeze
};

/** What the VMs reported of an upstream. */
struct Report
{
  std::uint32_t sent = 0;
  peers::BrittleUse use;

  Report& operator+=(const Report& aOther)
  {
    sent += aOther.sent;
    use.wants += aOther.use.wants;
    use.rejections += aOther.use.rejections;
    use.borrowed += aOther.use.borrowed;
    return *this;
  }
};

/** Reports of all VMs at one moment. */
struct Reports
{
  std::vector<std::vector<Report>> vms; ///< by VM and upstream
  /** Sums of those that hear each other, by whether they are cut off. */
  std::array<std::vector<Report>, 2> sums;
};

class Fleet
{
public:
  Fleet(const Scene& aScene, std::uint64_t aSeed)
    : mScene(aScene)
    , mRandom(aSeed)
    , mUpstreams(aScene.upstreams)
    , mVms(aScene.vms)
  {
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      restart(vm);
    }
  }

  Result play()
  {
    for (mNow = kStart; mNow < kStart + mScene.played; mNow += kStep) {
      endRuns();
      disturb();
      exchangeReports();
      std::vector<Request> requests = takeDue();
      for (const Request& request : arrivals()) {
        requests.push_back(request);
      }
      for (const Request& request : requests) {
        handle(request);
      }
    }
    return mResult;
  }

private:
  static constexpr Duration kBrittleAt = 4s;
  static constexpr Duration kContact = 4s;
  static constexpr Duration kTroubleAt = 12s;
  static constexpr Duration kTrouble = 5s;
  static constexpr Duration kDown = 3s;
  static constexpr unsigned kTries = 3;

  bool isBrittle() const { return mNow >= kStart + kBrittleAt; }
  bool inTrouble() const
  {
    return mNow >= kStart + kTroubleAt && mNow < kStart + kTroubleAt + kTrouble;
  }
  bool isFrozen(std::size_t aVm) const
  {
    return inTrouble() && aVm < mScene.frozen;
  }
  bool isCutOff(std::size_t aVm) const
  {
    return inTrouble() && aVm < mScene.cutOff;
  }

  /** A new process. What the one before had sent ends with its connections. */
  void restart(std::size_t aVm)
  {
    for (BrittleUpstream& upstream : mUpstreams) {
      std::erase_if(upstream.running, [aVm](const Running& aRunning) {
        return aRunning.request.vm == aVm;
      });
      std::erase_if(upstream.waiting, [aVm](const Request& aRequest) {
        return aRequest.vm == aVm;
      });
    }
    Vm& vm = mVms[aVm];
    vm = {};
    vm.sent.assign(mUpstreams.size(), 0);
    vm.lag = Duration(mScene.reportDelay / 3) +
             base::fromSeconds(base::inSeconds(mScene.reportDelay) * 2 / 3 *
                               mRandom.unit());
    vm.guard.setReportDelay(mScene.reportDelay);
    vm.guard.setFleet(mVms.size(), aVm);
  }

  std::vector<Request> arrivals()
  {
    std::vector<Request> found;
    const double mean = mScene.demand(mNow - kStart) * base::inSeconds(kStep);
    double left = mean;
    while (left > 0 && (left >= 1 || mRandom.chance(left))) {
      // Some VMs get three times the requests of others.
      const double place = std::pow(mRandom.unit(), 1.4);
      const auto vm =
        static_cast<std::size_t>(place * static_cast<double>(mVms.size()));
      found.push_back({ std::min(vm, mVms.size() - 1) });
      left -= 1;
    }
    return found;
  }

  std::vector<Request> takeDue()
  {
    std::vector<Request> due;
    while (!mLater.empty() && mLater.begin()->first <= mNow) {
      due.push_back(mLater.begin()->second);
      mLater.erase(mLater.begin());
    }
    return due;
  }

  void disturb()
  {
    if (mNow == kStart + kTroubleAt) {
      for (std::size_t vm = 0; vm < mScene.restarted; ++vm) {
        restart(vm);
      }
    }
    if (mNow == kStart + kTroubleAt + kTrouble) {
      for (Vm& vm : mVms) {
        for (const Request& request : vm.whileFrozen) {
          mLater.emplace(mNow, request);
        }
        vm.whileFrozen.clear();
      }
    }
  }

  void exchangeReports()
  {
    Reports reports;
    reports.sums.fill(std::vector<Report>(mUpstreams.size()));
    std::array<std::size_t, 2> heard{};
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      reports.vms.emplace_back();
      auto& sums = reports.sums.at(isCutOff(vm) ? 1 : 0);
      heard.at(isCutOff(vm) ? 1 : 0) += isFrozen(vm) ? 0 : 1;
      for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
        const std::uint32_t sent = mVms[vm].sent[index];
        const Report report{ sent,
                             mVms[vm].guard.use(process(index), sent, mNow) };
        reports.vms.back().push_back(report);
        if (!isFrozen(vm)) {
          sums[index] += report;
        }
      }
    }
    mReports.push_back(std::move(reports));
    if (mReports.size() > static_cast<std::size_t>(1s / kStep)) {
      mReports.pop_front();
    }
    const bool gossips = (mNow - kStart) % Duration(300ms) == 0s;
    std::array<peers::BrittleServices, 2> services;
    for (std::size_t vm = 0; gossips && vm < mVms.size(); ++vm) {
      for (const auto& [name, service] : mVms[vm].guard.services(mNow)) {
        auto& known = services.at(isCutOff(vm) ? 1 : 0);
        const auto [found, isNew] = known.try_emplace(name, service);
        if (!isNew && service.age < found->second.age) {
          found->second = service;
        }
      }
    }
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      const std::size_t group = isCutOff(vm) ? 1 : 0;
      mVms[vm].guard.setHeard(heard.at(group));
      if (!isFrozen(vm)) {
        mVms[vm].guard.merge(services.at(group), mNow);
      }
    }
  }

  peers::ProcessTag process(std::size_t aUpstream) const
  {
    return aUpstream + 1000UL * mUpstreams[aUpstream].born;
  }

  /** @return what a VM knows of its peers' use of an upstream */
  Report peersAt(std::size_t aVm, std::size_t aUpstream) const
  {
    const auto age = static_cast<std::size_t>(mVms[aVm].lag / kStep);
    const Reports& reports =
      mReports[mReports.size() - 1 - std::min(age, mReports.size() - 1)];
    Report sum = reports.sums.at(isCutOff(aVm) ? 1 : 0)[aUpstream];
    const Report& own = reports.vms[aVm][aUpstream];
    sum.sent -= std::min(sum.sent, own.sent);
    sum.use.wants -= std::min(sum.use.wants, own.use.wants);
    sum.use.rejections -= std::min(sum.use.rejections, own.use.rejections);
    sum.use.borrowed -= std::min(sum.use.borrowed, own.use.borrowed);
    return sum;
  }

  void handle(Request aRequest)
  {
    Vm& vm = mVms[aRequest.vm];
    if (isFrozen(aRequest.vm)) {
      vm.whileFrozen.push_back(aRequest);
      return;
    }
    bool askAgain = false;
    if (const auto upstream = choose(aRequest, askAgain)) {
      arrive(*upstream, aRequest);
    } else if (askAgain && !aRequest.repeated) {
      aRequest.repeated = true;
      mLater.emplace(mNow + mScene.reportDelay, aRequest);
    } else {
      refuse(aRequest);
    }
  }

  std::optional<std::size_t> choose(const Request& aRequest, bool& aAskAgain)
  {
    Vm& vm = mVms[aRequest.vm];
    std::vector<dispatch::Candidate> candidates;
    std::vector<Report> peers;
    for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
      peers.push_back(peersAt(aRequest.vm, index));
      if (mUpstreams[index].downUntil > mNow) {
        continue;
      }
      dispatch::Candidate candidate;
      candidate.index = index;
      candidate.slots = mScene.slots;
      candidate.running = vm.sent[index] + peers.back().sent;
      candidate.processingMs = 50;
      candidate.queuedMs = candidate.running * 20.0;
      candidates.push_back(candidate);
    }
    while (const auto choice =
             dispatch::chooseUpstream(candidates, {}, mRandom.bits())) {
      if (!dispatch::startsInTime(*choice, mScene.latestStart)) {
        return std::nullopt;
      }
      const std::size_t index = choice->index;
      const auto most = vm.guard.maxRejections(kService, process(index), mNow);
      if (!mScene.guarded || !most) {
        return index;
      }
      const auto admission = vm.guard.tryAdmit(
        process(index),
        *most,
        { static_cast<double>(mScene.slots),
          static_cast<double>(vm.sent[index] + peers[index].sent),
          static_cast<double>(vm.sent[index]) },
        peers[index].use,
        mRandom.unit(),
        mNow,
        aRequest.repeated);
      if (admission == dispatch::Admission::Admitted) {
        return index;
      }
      aAskAgain |= admission == dispatch::Admission::AskAgain;
      std::erase_if(candidates, [index](const auto& aCandidate) {
        return aCandidate.index == index;
      });
    }
    return std::nullopt;
  }

  void arrive(std::size_t aUpstream, Request aRequest)
  {
    BrittleUpstream& upstream = mUpstreams[aUpstream];
    Vm& vm = mVms[aRequest.vm];
    if (upstream.running.size() < mScene.slots) {
      run(aUpstream, aRequest);
    } else if (upstream.waiting.size() < waitingRoom()) {
      upstream.waiting.push_back(aRequest);
    } else {
      answer(aUpstream, aRequest.vm);
      vm.guard.onRejected(process(aUpstream), mNow);
      reject(aUpstream, aRequest);
      return;
    }
    ++vm.sent[aUpstream];
  }

  std::size_t waitingRoom() const
  {
    return mNow >= kStart + kBrittleAt + kContact ? mScene.fewerWaiting
                                                  : mScene.waiting;
  }

  void run(std::size_t aUpstream, const Request& aRequest)
  {
    const double mean = base::inSeconds(mScene.occupancy);
    const double seconds = mean * (0.5 + mRandom.unit());
    mUpstreams[aUpstream].running.push_back(
      { aRequest, mNow + base::fromSeconds(seconds) });
    // The head of a stream comes soon after its begin.
    answer(aUpstream, aRequest.vm);
  }

  void answer(std::size_t aUpstream, std::size_t aVm)
  {
    mVms[aVm].guard.onAnswer(kService,
                             process(aUpstream),
                             isBrittle() ? std::optional(mScene.maxRejections)
                                         : std::nullopt,
                             mNow);
  }

  void reject(std::size_t aUpstream, Request aRequest)
  {
    BrittleUpstream& upstream = mUpstreams[aUpstream];
    ++mResult.rejections;
    // The gateway holds what was turned away before it asks another one.
    if (mScene.guarded && !aRequest.repeated) {
      aRequest.repeated = true;
      mLater.emplace(mNow + mScene.reportDelay, aRequest);
    } else if (!mScene.guarded && ++aRequest.tries <= kTries) {
      mLater.emplace(mNow + kStep, aRequest);
    } else {
      refuse(aRequest);
    }
    upstream.rejections.emplace_back(mNow, aRequest.vm);
    while (upstream.rejections.front().first <= mNow - 1s) {
      upstream.rejections.pop_front();
    }
    const bool falls = mNow >= kStart + kBrittleAt + kContact &&
                       upstream.rejections.size() > mScene.maxRejections;
    if (falls) {
      fall(aUpstream);
    }
  }

  /** @return false if the VM was frozen or started within the contact time */
  bool isInTouch(std::size_t aVm) const
  {
    const bool recent = mNow >= kStart + kTroubleAt &&
                        mNow < kStart + kTroubleAt + kTrouble + kContact;
    return !recent || aVm >= std::max(mScene.frozen, mScene.restarted);
  }

  /** Its streams go on elsewhere, as far as there is room. */
  void fall(std::size_t aUpstream)
  {
    BrittleUpstream& upstream = mUpstreams[aUpstream];
    const auto inTouch = std::count_if(
      upstream.rejections.begin(),
      upstream.rejections.end(),
      [this](const auto& aItem) { return isInTouch(aItem.second); });
    const bool counts =
      2 * static_cast<std::size_t>(inTouch) > upstream.rejections.size();
    mResult.falls += counts ? 1 : 0;
    for (const Running& running : upstream.running) {
      leave(aUpstream, running.request);
    }
    for (const Request& request : upstream.waiting) {
      leave(aUpstream, request);
    }
    const std::uint32_t born = upstream.born + 1;
    upstream = {};
    upstream.born = born;
    upstream.downUntil = mNow + kDown;
  }

  void leave(std::size_t aUpstream, Request aRequest)
  {
    --mVms[aRequest.vm].sent[aUpstream];
    aRequest.repeated = false;
    aRequest.tries = 0;
    aRequest.lost = true;
    mLater.emplace(mNow + kStep, aRequest);
  }

  void refuse(Request aRequest)
  {
    ++mResult.refused;
    std::size_t held = 0;
    std::size_t up = 0;
    for (const BrittleUpstream& upstream : mUpstreams) {
      up += upstream.downUntil <= mNow ? 1 : 0;
      held += upstream.held();
    }
    if (isBrittle() && held * 2 < up * mScene.slots) {
      ++mResult.refusedBesideRoom;
    }
    // The caller comes back once, through any VM.
    if (aRequest.tries < kTries) {
      const Duration wait = 500ms + base::fromSeconds(mRandom.unit());
      mLater.emplace(
        mNow + wait,
        Request{ mRandom.below(mVms.size()), kTries, false, aRequest.lost });
    }
  }

  void endRuns()
  {
    for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
      BrittleUpstream& upstream = mUpstreams[index];
      std::erase_if(upstream.running, [&](const Running& aRunning) {
        if (aRunning.endsAt > mNow) {
          return false;
        }
        --mVms[aRunning.request.vm].sent[index];
        ++mResult.served;
        return true;
      });
      while (upstream.running.size() < mScene.slots &&
             !upstream.waiting.empty()) {
        run(index, upstream.waiting.front());
        upstream.waiting.pop_front();
      }
    }
  }

  Scene mScene;
  base::Random mRandom;
  TimePoint mNow{};
  std::vector<BrittleUpstream> mUpstreams;
  std::vector<Vm> mVms;
  std::deque<Reports> mReports;
  std::multimap<TimePoint, Request> mLater;
  Result mResult;
};

/** Falls that the users allow. */
double
allowedFalls(const Scene& aScene)
{
  return 2 + 0.1 * static_cast<double>(aScene.upstreams);
}

Result
play(const Scene& aScene, std::uint64_t aSeed)
{
  return Fleet(aScene, aSeed).play();
}

/** @return what one VM that knows everything serves of the same demand */
Result
playWithOneVm(Scene aScene, std::uint64_t aSeed)
{
  aScene.vms = 1;
  aScene.frozen = 0;
  aScene.cutOff = 0;
  aScene.restarted = 0;
  return play(aScene, aSeed);
}

/** Requests that take all places of the upstreams. @return in a second */
double
capacity(const Scene& aScene)
{
  return static_cast<double>(aScene.upstreams) * aScene.slots /
         base::inSeconds(aScene.occupancy);
}

/** @return demand of a part of the capacity, with bursts of another part */
std::function<double(Duration)>
bursts(const Scene& aScene, double aUsual, double aBurst)
{
  const double full = capacity(aScene);
  return [=](Duration aPassed) {
    return full * (aPassed % Duration(6s) < 2s ? aBurst : aUsual);
  };
}

Scene
engines(std::size_t aVms)
{
  Scene scene;
  scene.vms = aVms;
  if (aVms > 6) {
    scene.reportDelay = 600ms;
    scene.upstreams = 30;
    scene.slots = 16;
  }
  return scene;
}

Scene
plainServices(std::size_t aVms)
{
  Scene scene;
  scene.vms = aVms;
  scene.slots = 6;
  scene.waiting = 4;
  scene.occupancy = 150ms;
  scene.upstreams = aVms > 6 ? 20 : 5;
  scene.reportDelay = aVms > 6 ? 600ms : 300ms;
  return scene;
}

/** Checks that callers get the places that are free. */
void
checkCalm(const Scene& aScene)
{
  const Result fleet = play(aScene, 1);
  LONGS_EQUAL(0, fleet.falls);
  LONGS_EQUAL(0, fleet.refusedBesideRoom);
}

/** Checks a scene against what the users allow. */
void
check(const Scene& aScene)
{
  const Result fleet = play(aScene, 1);
  CHECK(fleet.falls <= allowedFalls(aScene));
  CHECK(fleet.served * 2 > playWithOneVm(aScene, 1).served);
}

/** Plays engines and plain services beside fleets of two sizes, with upstreams
 * that survive few rejections and more. */
void
checkAll(const std::function<void(Scene&)>& aChange)
{
  for (const std::size_t vms : { 6, 82 }) {
    for (Scene scene : { engines(vms), plainServices(vms) }) {
      aChange(scene);
      for (const std::uint32_t most : { 1, 4 }) {
        scene.maxRejections = most;
        check(scene);
      }
    }
  }
}

} // namespace

TEST_GROUP(BrittleFleet){};

// Guards against a fleet that turns more requests to each upstream than it
// takes all the time, and against upstreams that fall over again and again.
TEST(BrittleFleet, OverloadFellsFewUpstreams)
{
  checkAll([](Scene& aScene) { aScene.demand = bursts(aScene, 1.5, 1.5); });
}

// Guards against bursts that no VM sees as a whole: each sends what the others
// leave free. What falls goes to the next upstream, and so on.
TEST(BrittleFleet, BurstsFellFewUpstreams)
{
  checkAll([](Scene& aScene) { aScene.demand = bursts(aScene, 0.3, 4); });
}

// Some VMs stand still for five seconds and send all they got meanwhile.
TEST(BrittleFleet, FrozenVmsFellFewUpstreams)
{
  checkAll([](Scene& aScene) {
    aScene.demand = bursts(aScene, 0.3, 4);
    aScene.frozen = aScene.vms / 3;
  });
}

// Half of the VMs hear only each other. Guards against places that both halves
// take for free.
TEST(BrittleFleet, VmsThatAreCutOffFellFewUpstreams)
{
  checkAll([](Scene& aScene) {
    aScene.demand = bursts(aScene, 0.3, 4);
    aScene.cutOff = aScene.vms / 2;
  });
}

// Half of the VMs start again in the middle of a burst, and know nothing.
TEST(BrittleFleet, VmsThatStartFellFewUpstreams)
{
  checkAll([](Scene& aScene) {
    aScene.demand = bursts(aScene, 0.3, 4);
    aScene.restarted = aScene.vms / 2;
  });
}

// Guards against refusals while under half of the places are taken, which users
// don't expect.
TEST(BrittleFleet, CalmRequestsAreServed)
{
  Scene scene = engines(6);
  scene.demand = bursts(scene, 0.4, 0.4);
  checkCalm(scene);
}

// The same with more VMs than places.
TEST(BrittleFleet, CalmRequestsOfManyVmsAreServed)
{
  for (Scene scene : { plainServices(6), engines(82), plainServices(82) }) {
    scene.demand = bursts(scene, 0.4, 0.4);
    checkCalm(scene);
  }
}

TEST_GROUP(BrittleGuard)
{
  static constexpr peers::ProcessTag kOne = 7;
  static constexpr peers::ProcessTag kOther = 8;
  TimePoint now = kStart;
  dispatch::BrittleGuard guard;

  void setup() override
  {
    guard.setReportDelay(300ms);
    guard.onAnswer(kService, kOne, 4, now);
  }

  dispatch::Admission ask(const dispatch::Places& aPlaces,
                          const peers::BrittleUse& aPeers = {},
                          bool aRepeated = false)
  {
    return guard.tryAdmit(kOne, 4, aPlaces, aPeers, 0, now, aRepeated);
  }
};

// Guards against a burst on all VMs that exceeds the places, and against places
// that belong to nobody.
TEST(BrittleGuard, PartsOfAllVmsAddUpToThePlaces)
{
  for (const std::size_t vms : { 1, 6, 82, 380 }) {
    for (const unsigned places : { 1U, 6U, 16U, 100U }) {
      unsigned admitted = 0;
      for (std::size_t vm = 0; vm < vms; ++vm) {
        guard.setFleet(vms, vm);
        double own = 0;
        while (ask({ static_cast<double>(places), own, own }) ==
               dispatch::Admission::Admitted) {
          ++own;
          ++admitted;
        }
      }
      LONGS_EQUAL(places, admitted);
    }
  }
}

// Guards against two VMs that use the same place: its owner, and one that has
// borrowed it.
TEST(BrittleGuard, BorrowedPlacesReduceTheParts)
{
  unsigned admitted = 0;
  guard.setHeard(6);
  for (std::size_t vm = 0; vm < 6; ++vm) {
    guard.setFleet(6, vm);
    double own = 0;
    while (ask({ 8, own, own }, { 0, 0, 3 }) == dispatch::Admission::Admitted) {
      ++own;
      ++admitted;
    }
  }
  LONGS_EQUAL(5, admitted);
}

// Guards against requests that are refused although the places of others are
// free, and against ones that wait for ever.
TEST(BrittleGuard, HeldRequestMayBorrowAFreePlace)
{
  guard.setFleet(6, 0);
  guard.setHeard(6);
  CHECK(ask({ 6, 1, 1 }) == dispatch::Admission::AskAgain);
  CHECK(ask({ 6, 1, 1 }, {}, true) == dispatch::Admission::Admitted);
  LONGS_EQUAL(1, guard.use(kOne, 2, now).borrowed);
  CHECK(ask({ 6, 6, 1 }, {}, true) == dispatch::Admission::LimitReached);
}

// A VM that hears half of the fleet. Guards against places that those take
// which it does not hear.
TEST(BrittleGuard, PlacesOfVmsThatAreNotHeardAreNotFree)
{
  guard.setFleet(6, 0);
  guard.setHeard(3);
  CHECK(ask({ 6, 3, 1 }, {}, true) == dispatch::Admission::LimitReached);
}

// Guards against further requests to an upstream that is about to fall over.
TEST(BrittleGuard, RejectionsEndAdmissionsForASecond)
{
  CHECK(ask({ 8, 0, 0 }) == dispatch::Admission::Admitted);
  guard.onRejected(kOne, now);
  CHECK(ask({ 8, 1, 1 }, { 0, 1, 0 }) != dispatch::Admission::Admitted);
  now += 1s;
  CHECK(ask({ 8, 1, 1 }) == dispatch::Admission::Admitted);
}

// An upstream is back after its fall under another tag. Guards against a burst
// to the one that is empty.
TEST(BrittleGuard, NewProcessIsAsBrittleAsItsService)
{
  LONGS_EQUAL(4, *guard.maxRejections(kService, kOther, now));
  CHECK(!guard.maxRejections("desk", kOther, now));
  CHECK(!guard.maxRejections(kService, kOther, now + 11s));
}

// Guards against upstreams that are spared after their answers say otherwise.
TEST(BrittleGuard, AnswerEndsIt)
{
  CHECK(guard.onAnswer(kService, kOther, std::nullopt, now + 1s));
  CHECK(!guard.maxRejections(kService, kOther, now + 1s));
  CHECK(bool(guard.maxRejections(kService, kOne, now + 1s)));
  guard.onAnswer(kService, kOne, std::nullopt, now + 1s);
  CHECK(!guard.maxRejections(kService, kOne, now + 1s));
}

// Guards against a VM that has just started and sends what it likes until an
// answer tells it.
TEST(BrittleGuard, PeersTellOfBrittleServices)
{
  dispatch::BrittleGuard started;
  started.merge(guard.services(now + 1s), now + 1s);
  LONGS_EQUAL(4, *started.maxRejections(kService, kOne, now + 1s));
  CHECK(guard.services(now + 6s).empty());
}

// Guards against a report that is older than the answer which ended it.
TEST(BrittleGuard, ReportDoesNotReviveWhatHasEnded)
{
  const auto report = guard.services(now);
  guard.onAnswer(kService, kOne, std::nullopt, now + 100ms);
  guard.merge(report, now + 200ms);
  CHECK(!guard.maxRejections(kService, kOther, now + 200ms));
}

// Without the header nothing is kept and nothing is reported.
TEST(BrittleGuard, SoundUpstreamsLeaveNoTrace)
{
  dispatch::BrittleGuard calm;
  CHECK(!calm.onAnswer(kService, kOne, std::nullopt, now));
  calm.onRejected(kOne, now);
  CHECK(calm.use(kOne, 3, now) == peers::BrittleUse{});
  CHECK(calm.services(now).empty());
}
