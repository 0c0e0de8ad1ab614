/** @file Holds this VM's slot through the platform. */
#pragma once

#include "apps/entry/configuration.h"
#include "apps/entry/settings.h"
#include "limits/limits.h"
#include "platform/platform.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace marigold::entry {

/** Makes the platform calls that a SlotKeeper wants. */
class SlotSync
{
public:
  /** @param aChanged runs when the slot may have changed */
  SlotSync(platform::Client& aPlatform,
           const Configuration& aConfiguration,
           const Settings& aSettings,
           base::Incarnation aIncarnation,
           std::function<void()> aChanged);

  /** Starts the call that is due, if any. @param aNow current time */
  void tick(base::TimePoint aNow);

  /** Gives the slot up and releases its record. @param aNow current time */
  void release(base::TimePoint aNow);

  const limits::SlotKeeper& keeper() const { return mKeeper; }

private:
  void call(const limits::SlotCall& aCall);
  void list();
  void answered(const limits::SlotAnswer& aAnswer);
  std::string keyOf(int aNumber) const;
  int slots() const;
  template<typename Value>
  platform::Callback<Value> ending(
    std::function<void(const Value&, limits::SlotAnswer&)> aRead);

  platform::Client& mPlatform;
  const Configuration& mConfiguration;
  base::DataCentre mDataCentre;
  limits::SlotKeeper mKeeper;
  limits::ListedVms mListed;
  std::function<void()> mChanged;
};

} // namespace marigold::entry
