#include "configuration_scenario.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marigold::explore {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int kRoutes = 4;
/** Some items, so that a text takes several slices. */
constexpr std::size_t kSliceBytes = 150;
/** Longer than an item. */
constexpr std::size_t kMaxItemBytes = 200;
constexpr std::size_t kMaxVersions = 5;
constexpr unsigned kMaxRestores = 2;
constexpr unsigned kMaxPeerAnswers = 3;

/** How a version differs from the one before. */
enum How : std::size_t
{
  Team,       ///< a team, in the last list
  Routes,     ///< all routes
  Unreadable, ///< it can't be read, which shows in its last item
};
constexpr std::size_t kHows = How::Unreadable + 1;

/** @param aBefore version before, or null @return the next one */
json
makeVersion(const json& aBefore, std::size_t aVersion, std::size_t aHow)
{
  json next = aBefore;
  if (aHow == How::Routes || aBefore.is_null()) {
    next["services"] = { { { "name", "s" } } };
    next["routes"] = json::array();
    for (int route = 0; route < kRoutes; ++route) {
      next["routes"].push_back({ { "name", "r" + std::to_string(route) },
                                 { "host", "h" },
                                 { "prefix", "/p/" },
                                 { "type", "idempotent" },
                                 { "timeout_ms", aVersion },
                                 { "service", "s" } });
    }
  }
  next["version"] = aVersion;
  next["tenants"] = {
    { { "name", "a" }, { "api_keys", { "k" } } },
    { { "name", "b" }, { "api_keys", { "l" } }, { "rate_per_s", aVersion } }
  };
  return next;
}

/** @return what tests can see of a configuration */
std::string
contentOf(const catalog::Catalog& aCatalog)
{
  std::string content = std::to_string(aCatalog.version);
  for (const catalog::Route& route : *aCatalog.routes) {
    content += " " + route.name + " " + std::to_string(route.timeout.count());
  }
  for (const catalog::Team& team : *aCatalog.teams) {
    content += " " + team.name + " " + std::to_string(team.rate);
  }
  return content;
}

} // namespace

/** A kind of action: when it is possible and what it does. */
struct ConfigurationScenario::Kind
{
  const char* name;
  std::size_t targets;
  bool (ConfigurationScenario::*possible)(std::size_t) const;
  void (ConfigurationScenario::*run)(std::size_t);
};

const std::vector<ConfigurationScenario::Kind>&
ConfigurationScenario::kinds()
{
  using Self = ConfigurationScenario;
  static const std::vector<Kind> kKinds{
    { "change", kHows, &Self::canChange, &Self::change },
    { "restore", 2, &Self::canRestore, &Self::restore },
    { "peer", 2, &Self::canAskPeer, &Self::askPeer },
    { "slice", 1, &Self::canRunSlice, &Self::runSlice },
    { "stop", 1, &Self::canStop, &Self::stop },
  };
  return kKinds;
}

ConfigurationScenario::ConfigurationScenario()
  : mLoader(std::make_unique<gateway::CatalogLoader>(
      mLoop,
      [this](const gateway::LoadedCatalog& aLoaded) { onLoaded(aLoaded); },
      kSliceBytes))
{
}

/** @return true if a text is to be decoded */
bool
ConfigurationScenario::isBusy() const
{
  const auto any = [](const Versions& aVersions) {
    return std::any_of(
      aVersions.begin(), aVersions.end(), [](const auto& aVersion) {
        return aVersion.has_value();
      });
  };
  return mBegun || any(mNext) || any(mWaiting);
}

bool
ConfigurationScenario::isPossible(const Kind& aKind, std::size_t aTarget) const
{
  return aTarget < aKind.targets && (this->*aKind.possible)(aTarget);
}

std::vector<Action>
ConfigurationScenario::enabled() const
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
ConfigurationScenario::apply(const Action& aAction)
{
  for (const Kind& kind : kinds()) {
    if (kind.name == aAction.name && isPossible(kind, aAction.target)) {
      (this->*kind.run)(aAction.target);
      mWorld.runAllReady();
      return true;
    }
  }
  return false;
}

bool
ConfigurationScenario::canChange(std::size_t /*aHow*/) const
{
  return !mStopped && mWritten.size() < kMaxVersions;
}

/** The operator writes a version, which the store gives out. */
void
ConfigurationScenario::change(std::size_t aHow)
{
  const std::size_t version = mWritten.size() + 1;
  // A version that can't be read isn't the base of the next one.
  json before;
  for (const Written& written : mWritten) {
    before = written.content.empty() ? before : json::parse(written.text);
  }
  json next = makeVersion(before, version, aHow);
  if (aHow == How::Unreadable) {
    next["tenants"].back().erase("api_keys");
  }
  Written written{ next.dump(), "" };
  const auto alone = boundary::CatalogDecoder().decode(
    std::make_shared<const std::string>(written.text));
  if (base::errorOf(alone) == nullptr) {
    written.content = contentOf(std::get<catalog::Catalog>(alone));
  }
  mWritten.push_back(std::move(written));
  mStored = version;
  load(version, Source::Store);
}

bool
ConfigurationScenario::canRestore(std::size_t aBack) const
{
  return !mStopped && mRestores < kMaxRestores && mStored > aBack + 1;
}

/** The store comes back from an older copy, in a new era, and is listed. */
void
ConfigurationScenario::restore(std::size_t aBack)
{
  ++mRestores;
  mStored -= aBack + 1;
  load(mStored, Source::Store);
}

bool
ConfigurationScenario::canAskPeer(std::size_t aBack) const
{
  return !mStopped && mPeerAnswers < kMaxPeerAnswers && mWritten.size() > aBack;
}

/** A peer gives out the newest version, or an older one that it still has. */
void
ConfigurationScenario::askPeer(std::size_t aBack)
{
  ++mPeerAnswers;
  load(mWritten.size() - aBack, Source::Peer);
}

bool
ConfigurationScenario::canRunSlice(std::size_t /*aTarget*/) const
{
  return mWorld.untilNextTimer().has_value();
}

void
ConfigurationScenario::runSlice(std::size_t /*aTarget*/)
{
  ++mSlices;
  mWorld.advance(*mWorld.untilNextTimer());
}

bool
ConfigurationScenario::canStop(std::size_t /*aTarget*/) const
{
  return !mStopped;
}

/** The process ends, perhaps between two slices. */
void
ConfigurationScenario::stop(std::size_t /*aTarget*/)
{
  mStopped = true;
  mLoader.reset();
  if (mWorld.untilNextTimer()) {
    fail("a slice is still to come after the stop");
  }
}

void
ConfigurationScenario::load(std::size_t aVersion, Source aSource)
{
  const bool busy = isBusy();
  if (busy != mLoader->isBusy()) {
    fail("the loader is idle with a text to decode, or busy without one");
  }
  if (busy) {
    mWaiting.at(static_cast<std::size_t>(aSource)) = aVersion;
  } else {
    mBegun = Given{ aVersion, aSource };
    mSlices = 0;
  }
  mLoader->load(mWritten.at(aVersion - 1).text, aSource);
}

void
ConfigurationScenario::onLoaded(const gateway::LoadedCatalog& aLoaded)
{
  if (mStopped) {
    fail("a version is put in force after the stop");
  }
  const auto written =
    std::find_if(mWritten.begin(), mWritten.end(), [&](const Written& aText) {
      return aText.text == *aLoaded.text;
    });
  if (written == mWritten.end()) {
    fail("a text was decoded that nobody wrote");
    return;
  }
  const auto version = static_cast<std::size_t>(written - mWritten.begin()) + 1;
  checkPlace(version, aLoaded.source);
  checkContent(aLoaded, version);
  mLoaded.push_back({ version, aLoaded.source });
  mSlices = 0;
  if (base::errorOf(aLoaded.content) != nullptr) {
    return;
  }
  const std::size_t before = mInForce.version();
  mInForce.replaceIfNewer(std::make_shared<const gateway::CatalogSnapshot>(
    std::get<catalog::Catalog>(aLoaded.content),
    aLoaded.text,
    mInForce.current().get()));
  mNewest = std::max(mNewest, version);
  if (mInForce.version() < before || mInForce.version() != mNewest) {
    fail("the version in force is not the newest one that was decoded");
  }
}

/** A text that was begun is finished; then one that waits is begun, of each
 * source the latest. */
void
ConfigurationScenario::checkPlace(std::size_t aVersion, Source aSource)
{
  const auto source = static_cast<std::size_t>(aSource);
  if (mBegun ? mBegun != Given{ aVersion, aSource }
             : mNext.at(source) != aVersion) {
    fail("a text that was begun was not finished, or not the latest of its "
         "source was begun");
  }
  mBegun.reset();
  mNext.at(source).reset();
  for (std::size_t other = 0; other < mNext.size(); ++other) {
    if (!mWaiting.at(other)) {
      mWaiting.at(other) = mNext.at(other);
    }
  }
  mNext = std::exchange(mWaiting, {});
}

/** What was decoded is one whole version, in bounded slices. */
void
ConfigurationScenario::checkContent(const gateway::LoadedCatalog& aLoaded,
                                    std::size_t aVersion)
{
  const Written& written = mWritten.at(aVersion - 1);
  const bool refused = base::errorOf(aLoaded.content) != nullptr;
  if (refused != written.content.empty()) {
    fail("a version is refused in slices only, or alone only");
  } else if (!refused && contentOf(std::get<catalog::Catalog>(
                           aLoaded.content)) != written.content) {
    fail("what is put in force is not the version that was written");
  }
  if (mLoaded.empty() &&
      aLoaded.slices * (kSliceBytes + kMaxItemBytes) < aLoaded.text->size()) {
    fail("a slice was longer than it may be");
  }
}

void
ConfigurationScenario::fail(const std::string& aReason)
{
  if (mViolation.empty()) {
    mViolation = aReason;
  }
}

void
ConfigurationScenario::settle()
{
  // More than all texts have slices.
  constexpr int kMaxSlices = 200;
  for (int slice = 0; slice < kMaxSlices && mWorld.untilNextTimer(); ++slice) {
    runSlice(0);
    mWorld.runAllReady();
  }
}

std::string
ConfigurationScenario::violationAtEnd() const
{
  if (!mViolation.empty() || mStopped) {
    return mViolation;
  }
  if (isBusy() || mLoader->isBusy()) {
    return "a text that was given out last was not decoded";
  }
  return "";
}

std::string
ConfigurationScenario::describe() const
{
  std::ostringstream out;
  out << "  written " << mWritten.size() << ", at the store " << mStored
      << ", in force " << mInForce.version() << (mStopped ? ", stopped" : "")
      << "\n  decoded:";
  for (const Given& loaded : mLoaded) {
    out << " " << loaded.version << " of the "
        << gateway::sourceName(loaded.source);
  }
  out << "\n";
  if (mBegun) {
    out << "  begun: " << mBegun->version << ", slices " << mSlices << "\n";
  }
  return out.str();
}

std::uint64_t
ConfigurationScenario::fingerprint() const
{
  std::ostringstream state;
  state << describe() << mRestores << " " << mPeerAnswers << " " << mSlices;
  for (const Versions& versions : { mNext, mWaiting }) {
    for (const auto& version : versions) {
      state << " " << version.value_or(0);
    }
  }
  for (const Written& written : mWritten) {
    state << written.text;
  }
  return base::hash64(state.str(), mWorld.fingerprint());
}

} // namespace marigold::explore
