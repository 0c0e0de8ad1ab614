/** @file Puts the parts of a placer process together. */
#pragma once

#include "apps/placer/demand_poll.h"
#include "apps/placer/engine_link.h"
#include "apps/placer/settings.h"
#include "documents/documents.h"
#include "membership/membership.h"
#include "observe/observe.h"
#include "placement/placement.h"
#include "platform/platform.h"

#include <nlohmann/json_fwd.hpp>

namespace marigold::placer {

/** A placer process. */
class Node
{
public:
  /** @param aSettings checked settings */
  explicit Node(Settings aSettings);

  /** Runs until the process has given up its lease after SIGTERM.
   * @return an error if the settings cannot be used */
  base::Result<void> run();

private:
  void tick();
  void perform(const placement::Actions& aActions);
  void call(const placement::PlatformCall& aCall);
  void answer(const placement::PlatformAnswer& aAnswer);
  void readManifest();
  void applyManifest(const std::string& aText);
  void readList();
  void applyList(const membership::VmList& aList);
  void serveOperators();
  nlohmann::json status() const;
  nlohmann::json dump() const;

  Settings mSettings;
  http::Loop mLoop;
  observe::Metrics mMetrics;
  platform::Client mPlatform;
  std::unique_ptr<placement::Owner> mOwner;
  EngineLink mEngines;
  DemandPoll mDemand;
  observe::OperatorServer mOperator;
  std::uint64_t mManifestVersion = 0;
  std::vector<placement::Engine> mListed;
  bool mReadingManifest = false;
  bool mReadingList = false;
  bool mStopping = false;
  base::TimePoint mStopBy;
  http::EventHandle mTick;
  http::EventHandle mPoll;
  http::EventHandle mConfigurationPoll;
};

} // namespace marigold::placer
