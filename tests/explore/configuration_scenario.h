/** @file Versions of the configuration that arrive while others are decoded. */
#pragma once

#include "apps/gateway/catalog_loader.h"
#include "apps/gateway/catalog_snapshot.h"
#include "script.h"
#include "world.h"

#include <optional>

namespace marigold::explore {

/**
 * A VM that decodes texts of the configuration in slices (CatalogLoader) and
 * puts the newest version in force. The operator writes versions; the store
 * gives them out, also older ones again after it came back from a copy, and
 * peers give out those that they have. Nothing happens unless an action says
 * so.
 */
class ConfigurationScenario
{
public:
  ConfigurationScenario();
  ConfigurationScenario(const ConfigurationScenario&) = delete;
  ConfigurationScenario& operator=(const ConfigurationScenario&) = delete;

  /** @return the actions that are possible now */
  std::vector<Action> enabled() const;

  /** @param aAction action @return false if it is not possible now */
  bool apply(const Action& aAction);

  /** Lets all slices run. */
  void settle();

  /** @return what is wrong now, empty if nothing */
  std::string violation() const { return mViolation; }

  /** @return what is wrong after settle(), empty if nothing */
  std::string violationAtEnd() const;

  /** @return the texts and the version in force, for a person */
  std::string describe() const;

  /** @return digest of the state, to recognise one that was seen before */
  std::uint64_t fingerprint() const;

private:
  /** A kind of action: when it is possible and what it does. */
  struct Kind;
  static const std::vector<Kind>& kinds();
  using Source = gateway::CatalogSource;

  /** A text of the operator and what it says if it is decoded by itself. */
  struct Written
  {
    std::string text;
    std::string content; ///< empty if it can't be read
  };

  // What happens.
  void change(std::size_t aHow);
  void restore(std::size_t aBack);
  void askPeer(std::size_t aBack);
  void runSlice(std::size_t aTarget);
  void stop(std::size_t aTarget);

  // When it is possible.
  bool canChange(std::size_t aHow) const;
  bool canRestore(std::size_t aBack) const;
  bool canAskPeer(std::size_t aBack) const;
  bool canRunSlice(std::size_t aTarget) const;
  bool canStop(std::size_t aTarget) const;

  bool isBusy() const;
  bool isPossible(const Kind& aKind, std::size_t aTarget) const;
  void load(std::size_t aVersion, Source aSource);
  void onLoaded(const gateway::LoadedCatalog& aLoaded);
  void checkPlace(std::size_t aVersion, Source aSource);
  void checkContent(const gateway::LoadedCatalog& aLoaded,
                    std::size_t aVersion);
  void fail(const std::string& aReason);

  World mWorld;
  http::Loop mLoop;
  std::vector<Written> mWritten; ///< by version, the first one is 1
  std::size_t mStored = 0;       ///< version at the store
  unsigned mRestores = 0;
  unsigned mPeerAnswers = 0;
  unsigned mSlices = 0; ///< since a text was begun

  /** A text that was given to the loader. */
  struct Given
  {
    std::size_t version = 0;
    Source source = Source::Store;
    bool operator==(const Given&) const = default;
  };
  /** Versions by source. */
  using Versions =
    std::array<std::optional<std::size_t>, gateway::kCatalogSources>;

  std::optional<Given> mBegun; ///< as it came while the loader was idle
  /** Those that waited as the last text was finished: one of these was begun.
   */
  Versions mNext;
  Versions mWaiting; ///< that came since
  std::vector<Given> mLoaded;
  std::size_t mNewest = 0; ///< of those that were decoded without an error
  gateway::CatalogHolder mInForce;
  std::string mViolation;
  bool mStopped = false;
  std::unique_ptr<gateway::CatalogLoader> mLoader;
};

} // namespace marigold::explore
