/** @file The platform stand-in's HTTP side: protocol, limits and faults. */
#pragma once

#include "http/http.h"
#include "standins/platform/kv_store.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace marigold::standin {

/** How the platform treats calls. */
enum class PlatformMode : std::uint8_t
{
  Up,
  Down,   ///< refuses each call
  Silent, ///< accepts connections and never answers
};

/** Faults and limits that tests switch with POST /control. */
struct PlatformControl
{
  PlatformMode mode = PlatformMode::Up;
  base::Duration delay = base::Duration::zero();
  int loseAnswers = 0; ///< writes whose answer will be lost after they applied
  std::string losePrefix; ///< only for keys that start with this
  base::Duration listLag = std::chrono::seconds(1);
  int readsPerSecond = 2000;
  int writesPerSecond = 400;
};

/** Serves docs/protocols.md, section platform. */
class PlatformService
{
public:
  explicit PlatformService(http::Loop& aLoop);

  /** @param aAddress where to listen @return SettingsInvalid if taken */
  base::Result<void> listen(const http::Address& aAddress);

private:
  using Out = std::shared_ptr<http::Responder>;

  struct Watcher
  {
    std::string prefix;
    std::uint64_t after;
    Out out;
    http::EventHandle timer;
  };

  /** A list of VMs that becomes visible after the lag. */
  struct ListVersion
  {
    base::TimePoint visibleAt;
    std::uint64_t revision;
    nlohmann::json vms;
  };

  void handle(const http::Request& aRequest, const Out& aOut);
  void dispatch(const http::Request& aRequest, const Out& aOut);
  bool handleControl(const http::Request& aRequest, const Out& aOut);
  void handleKv(const http::Request& aRequest, const Out& aOut);
  void handleLease(const http::Request& aRequest, const Out& aOut);
  void handleWatch(const http::Request& aRequest, const Out& aOut);
  void setControl(const nlohmann::json& aContent);
  void changeVms(const std::string& aName, const nlohmann::json* aVm);
  nlohmann::json visibleVms() const;
  nlohmann::json items(const std::string& aPrefix, std::uint64_t aAfter) const;
  void answerWrite(const std::string& aKey,
                   const WriteResult& aResult,
                   const Out& aOut);
  void wakeWatchers();
  bool withinRate(bool aIsWrite);
  void dispatchLater(const http::Request& aRequest, const Out& aOut);
  void breakWaiting();

  http::Loop& mLoop;
  http::Server mServer;
  KvStore mStore;
  PlatformControl mControl;
  std::list<Watcher> mWatchers;
  std::list<ListVersion> mLists;
  std::map<std::string, nlohmann::json> mVms;
  std::uint64_t mListRevision = 0;
  base::TimePoint mSecondStart;
  int mReadsThisSecond = 0;
  int mWritesThisSecond = 0;
  std::map<std::string, std::uint64_t> mStats;
  std::list<http::EventHandle> mDelayed;
  std::list<Out> mUnanswered; ///< calls of the silent mode
  http::EventHandle mExpiry;
};

} // namespace marigold::standin
